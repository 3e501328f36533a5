package effect

import (
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// TryID identifies one try, that is, one call of Begin.
type TryID uint64

// Try is one submission of a request that must not take effect twice.
type Try struct {
	ID      TryID
	Account model.AccountName
	// KeyText is the caller's idempotency key or ticket.
	KeyText string
	Digest  Digest
	// First reports that the caller declares to have sent nothing with this key
	// before. While the log is unreachable, only this proves that a refused
	// request has not run.
	First bool
	// Deduplicates reports that the endpoint itself runs each key at most once.
	Deduplicates bool
	// Forwarded reports that another host forwarded the try.
	Forwarded bool
	// Deadline is when the caller stops waiting.
	Deadline time.Time
}

// ActionKind is the kind of an Action.
type ActionKind uint8

// The kinds of actions.
const (
	// ActionSend gives Try the Permit to send its request once. The caller must
	// end the permit with Finish.
	ActionSend ActionKind = iota + 1
	// ActionReplay answers Try with Result.
	ActionReplay
	// ActionFetch answers Try with the outcome record at Position in Partition,
	// which has to be read from the log.
	ActionFetch
	// ActionForward forwards Try to the host that issued its ticket.
	ActionForward
	// ActionRefuse answers Try with Refusal.
	ActionRefuse
	// ActionAppend appends Record to Partition.
	ActionAppend
)

// Action is an output of the Machine, to be executed by its caller. Its Kind
// states which fields are set.
type Action struct {
	Kind      ActionKind
	Try       TryID
	Permit    Permit
	Result    Result
	Partition int
	Position  Position
	// Key is the key whose outcome record is at Position, for ActionFetch.
	Key Key
	// Host and Address identify the issuer of the ticket, for ActionForward.
	Host    model.HostID
	Address string
	Refusal *Refusal
	Record  Record
}

// Permit is the permission to send one request once.
type Permit struct {
	Key   Key
	Owner Owner
	// Unlogged permits are granted without a claim while the log is unreachable,
	// for endpoints that deduplicate requests themselves. They leave no record.
	Unlogged bool
}

// Code is the reason of a refusal, as used in error bodies and metrics.
type Code string

// The reasons of a refusal.
const (
	// CodeKeyReused means that the key was used before with a different request.
	CodeKeyReused Code = "idempotency_key_reused"
	// CodeKeyExpired means that the key's time is outside the window.
	CodeKeyExpired Code = "idempotency_key_expired"
	// CodeInProgress means that the key's request is still running.
	CodeInProgress Code = "request_in_progress"
	// CodeSenderGone means that the host that may have sent the request is down.
	CodeSenderGone Code = "sender_gone"
	// CodeEarlierTryUnknown means that an earlier try ended without a response.
	CodeEarlierTryUnknown Code = "earlier_try_unknown"
	// CodeLogUnavailable means that no claim can be made now.
	CodeLogUnavailable Code = "claim_log_unavailable"
	// CodeTicketInvalid means that the ticket is forged or altered.
	CodeTicketInvalid Code = "ticket_invalid"
	// CodeTicketExpired means that the ticket has expired.
	CodeTicketExpired Code = "ticket_expired"
	// CodeTooManyTickets means that the limit of tickets in use at this host is
	// reached.
	CodeTooManyTickets Code = "too_many_tickets"
	// CodeAnswerUnavailable means that the request has ended, but its response
	// cannot be read now or was too large to be stored.
	CodeAnswerUnavailable Code = "answer_unavailable"
	// CodeEarlierTryNotRun means that this try waited for an earlier one, which
	// did not run.
	CodeEarlierTryNotRun Code = "earlier_try_not_run"
)

// Refusal is the reason why a try was not sent.
type Refusal struct {
	// Outcome states whether any try with this key and content may have taken
	// effect.
	Outcome model.Outcome
	Code    Code
	// RetryAfter is the delay before a retry; 0 if a retry does not help.
	RetryAfter time.Duration
	// SuggestTicket reports that the request can be sent now with a ticket.
	SuggestTicket bool
}

// Error implements error.
func (r *Refusal) Error() string {
	return "request refused (" + r.Outcome.String() + "): " + string(r.Code)
}

// refuse returns the action that refuses a try.
func refuse(try TryID, outcome model.Outcome, code Code, retryAfter time.Duration) Action {
	refusal := &Refusal{Outcome: outcome, Code: code, RetryAfter: retryAfter}
	return Action{Kind: ActionRefuse, Try: try, Refusal: refusal}
}

// IssuerUnreachable returns the refusal of a try that could not be forwarded to
// the issuer of its ticket. sent reports whether the issuer may have received
// the try.
func IssuerUnreachable(try Try, sent bool) *Refusal {
	outcome := unprovenOutcome(try)
	if sent {
		outcome = model.OutcomeUnknown
	}
	return &Refusal{Outcome: outcome, Code: CodeSenderGone, RetryAfter: progressRetryAfter}
}

// unprovenOutcome returns the outcome of a try that this host does not send, while
// other hosts may have sent a request with the same key before: not_run if the
// caller declares that this is its first try, and unknown otherwise.
func unprovenOutcome(try Try) model.Outcome {
	if try.First {
		return model.OutcomeNotRun
	}
	return model.OutcomeUnknown
}
