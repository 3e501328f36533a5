package dispatch

import (
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// ActionKind is what the caller of the Dispatcher has to do.
type ActionKind uint8

// The kinds of actions.
const (
	// ActionGrant sends the request to Endpoint now.
	ActionGrant ActionKind = iota + 1
	// ActionRefuse answers the caller at once: the request was not run.
	ActionRefuse
	// ActionSpill forwards the request to a host of Domain.
	ActionSpill
	// ActionPreempt cancels the running attempt; the request is queued again
	// and resumed from the last token relayed.
	ActionPreempt
)

// Reason is why a request was refused.
type Reason uint8

// The reasons for a refusal.
const (
	// ReasonNone is set in actions that are not refusals.
	ReasonNone Reason = iota
	// ReasonDeadline means that the request cannot meet its deadline in the
	// queue.
	ReasonDeadline
	// ReasonQueueFull means that the account's queue in the class is full.
	ReasonQueueFull
	// ReasonLimit means that the account's limit in the class is used up.
	ReasonLimit
	// ReasonNoEndpoint means that no endpoint of the pool can be reached.
	ReasonNoEndpoint
	// ReasonRetryBudget means that the retry budget of the class is used up.
	ReasonRetryBudget
	// ReasonLeaving means that this host is draining before it leaves.
	ReasonLeaving
)

// String returns the reason as used in error bodies and metrics.
func (r Reason) String() string {
	switch r {
	case ReasonDeadline:
		return "deadline"
	case ReasonQueueFull:
		return "queue_full"
	case ReasonLimit:
		return "limit"
	case ReasonNoEndpoint:
		return "no_endpoint"
	case ReasonRetryBudget:
		return "retry_budget"
	case ReasonLeaving:
		return "leaving"
	default:
		return "none"
	}
}

// Action is an instruction to the caller of the Dispatcher.
type Action struct {
	Kind    ActionKind
	Request model.RequestID
	Attempt model.Attempt
	// Endpoint and Address identify the endpoint of a grant or a preemption.
	Endpoint model.EndpointName
	Address  string
	// Priority is the engine priority of a granted request; smaller is served
	// first.
	Priority int
	// Domain is the failure domain that a spilled request is forwarded to.
	Domain model.DomainName
	// Reason and RetryAfter are set for a refusal.
	Reason     Reason
	RetryAfter time.Duration
}

// Result is the outcome of an attempt.
type Result struct {
	// Outcome is whether the request is known to have run.
	Outcome model.Outcome
	// Failed reports whether the endpoint failed, as opposed to the caller
	// disconnecting.
	Failed bool
	// Canceled reports whether the caller has disconnected.
	Canceled bool
	// FirstToken is the time from the grant to the first token; 0 for none.
	FirstToken time.Duration
	// Elapsed is the time from the grant to the end.
	Elapsed time.Duration
	// Tokens is the number of tokens relayed in this attempt.
	Tokens int
}

// LoadReport is an endpoint's own report of its load, which lags behind.
type LoadReport struct {
	Endpoint  model.EndpointName
	Running   int
	Queued    int
	Leaving   bool
	CanResume bool
	Models    []model.ModelName
	// Age is the age of the report, as stated in the report.
	Age time.Duration
}
