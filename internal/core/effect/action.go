package effect

import (
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// TryID identifies one call of Begin.
type TryID uint64

// Try is a caller's request that must not take effect twice.
type Try struct {
	ID      TryID
	Account model.AccountName
	// KeyText is the caller's idempotency key or ticket.
	KeyText string
	Digest  Digest
	// First says that the caller has sent nothing with this key before.
	// Without the log only this makes a refusal provably not_run.
	First bool
	// Deduplicates says that the endpoint itself runs a key at most once.
	Deduplicates bool
	// Forwarded says that another host handed the try over.
	Forwarded bool
	// Deadline is when the caller stops waiting.
	Deadline time.Time
}

// ActionKind tells what the shell is to do.
type ActionKind uint8

// The kinds of actions.
const (
	// ActionSend gives Try the right to send its request once. The shell
	// ends it with Finish.
	ActionSend ActionKind = iota + 1
	// ActionReplay answers Try with Result.
	ActionReplay
	// ActionFetch answers Try with the outcome record at Place of Partition.
	ActionFetch
	// ActionForward hands Try to the host that issued its ticket.
	ActionForward
	// ActionRefuse answers Try with Refusal.
	ActionRefuse
	// ActionAppend adds Record to Partition.
	ActionAppend
)

// Action is an instruction to the shell.
type Action struct {
	Kind      ActionKind
	Try       TryID
	Right     Right
	Result    Result
	Partition int
	Place     Place
	// Host and Address name the issuer of a forwarded ticket.
	Host    model.HostID
	Address string
	Refusal *Refusal
	Record  Record
}

// Right is the permission to send one request once.
type Right struct {
	Key   Key
	Owner Owner
	// Unprotected rights are for endpoints that deduplicate themselves; they
	// are given while the log is out of reach and leave no record.
	Unprotected bool
}

// Code names the reason of a refusal in error bodies and metrics.
type Code string

// The reasons of a refusal.
const (
	// CodeKeyReused means that the key came before with another request.
	CodeKeyReused Code = "idempotency_key_reused"
	// CodeKeyExpired means that the key's time is outside the window.
	CodeKeyExpired Code = "idempotency_key_expired"
	// CodeInProgress means that the key's request is still running.
	CodeInProgress Code = "request_in_progress"
	// CodeHostGone means that the host that may have sent is gone.
	CodeHostGone Code = "sender_gone"
	// CodeUnknownOutcome means that an earlier try ended without an answer.
	CodeUnknownOutcome Code = "earlier_try_unknown"
	// CodeLogUnavailable means that no claim can be made now.
	CodeLogUnavailable Code = "claim_log_unavailable"
	// CodeTicketInvalid means that the ticket is forged or altered.
	CodeTicketInvalid Code = "ticket_invalid"
	// CodeTicketExpired means that the ticket is too old.
	CodeTicketExpired Code = "ticket_expired"
	// CodeTicketsFull means that too many tickets are in use here.
	CodeTicketsFull Code = "too_many_tickets"
	// CodeAnswerUnavailable means that the request has ended and its answer
	// cannot be read now or was too large to be kept.
	CodeAnswerUnavailable Code = "answer_unavailable"
	// CodeNotRun means that an earlier try that was waited for did not run.
	CodeNotRun Code = "earlier_try_not_run"
)

// Refusal tells a caller why its request is not sent now.
type Refusal struct {
	// Outcome is what is known of all tries with the key and this request.
	Outcome model.Outcome
	Code    Code
	// RetryAfter is when to come back; 0 where coming back does not help.
	RetryAfter time.Duration
	// TakeTicket hints that a ticket works now.
	TakeTicket bool
}

// Error implements error.
func (r *Refusal) Error() string {
	return "request refused (" + r.Outcome.String() + "): " + string(r.Code)
}

func refuse(try TryID, outcome model.Outcome, code Code, retryAfter time.Duration) Action {
	refusal := &Refusal{Outcome: outcome, Code: code, RetryAfter: retryAfter}
	return Action{Kind: ActionRefuse, Try: try, Refusal: refusal}
}

// Unreachable is the refusal of a try whose ticket's issuer does not answer.
// Sent says that the issuer may have got the try.
func Unreachable(try Try, sent bool) *Refusal {
	outcome := unproved(try)
	if sent {
		outcome = model.OutcomeUnknown
	}
	return &Refusal{Outcome: outcome, Code: CodeHostGone, RetryAfter: progressRetryAfter}
}

// unproved is the outcome of a try that this host does not send, while other
// hosts may have sent the same key before.
func unproved(try Try) model.Outcome {
	if try.First {
		return model.OutcomeNotRun
	}
	return model.OutcomeUnknown
}
