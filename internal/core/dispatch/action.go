package dispatch

import (
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// ActionKind tells what the shell is to do.
type ActionKind uint8

// The kinds of actions.
const (
	// ActionGrant sends the request to Endpoint now.
	ActionGrant ActionKind = iota + 1
	// ActionRefuse answers the caller at once that the request was not run.
	ActionRefuse
	// ActionSpill forwards the request to a host of Domain.
	ActionSpill
	// ActionPreempt cancels the running attempt; the request is queued again
	// and resumed from the last token relayed.
	ActionPreempt
)

// Reason tells why a request was refused.
type Reason uint8

// The reasons of a refusal.
const (
	// ReasonNone stands in actions that refuse nothing.
	ReasonNone Reason = iota
	// ReasonDeadline means that the queue cannot meet the deadline.
	ReasonDeadline
	// ReasonQueueFull means that the account's queue in the class is full.
	ReasonQueueFull
	// ReasonLimit means that the account's limit in the class is used up.
	ReasonLimit
	// ReasonNoEndpoint means that no endpoint of the pool can be reached.
	ReasonNoEndpoint
	// ReasonRetryBudget means that the class has no retries left.
	ReasonRetryBudget
	// ReasonLeaving means that this host is leaving.
	ReasonLeaving
)

// String returns the reason as it stands in error bodies and metrics.
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

// Action is an instruction to the shell.
type Action struct {
	Kind    ActionKind
	Request model.RequestID
	Attempt model.Attempt
	// Endpoint and Address say where a granted request goes.
	Endpoint model.EndpointName
	Address  string
	// Priority is the engine's priority for a granted request.
	Priority int
	// Domain says where a spilled request goes.
	Domain model.DomainName
	// Reason and RetryAfter belong to a refusal.
	Reason     Reason
	RetryAfter time.Duration
}

// Result is the end of an attempt.
type Result struct {
	// Outcome is what is known of the attempt's effect.
	Outcome model.Outcome
	// Failed says that the endpoint failed, as against the caller leaving.
	Failed bool
	// Canceled says that the caller has gone.
	Canceled bool
	// FirstToken is the time from the grant to the first token; 0 for none.
	FirstToken time.Duration
	// Elapsed is the time from the grant to the end.
	Elapsed time.Duration
	// Tokens were relayed in this attempt.
	Tokens int
}

// LoadReport is an endpoint's own report, which lags.
type LoadReport struct {
	Endpoint  model.EndpointName
	Running   int
	Queued    int
	Leaving   bool
	CanResume bool
	Models    []model.ModelName
	// Age is how old the report says it is.
	Age time.Duration
}
