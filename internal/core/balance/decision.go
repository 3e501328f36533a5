package balance

import (
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/fairshare"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// Request is a request to be placed on an endpoint.
type Request struct {
	ID   model.RequestID
	Pool model.PoolName
	// Account is the caller's client account; empty for none.
	Account model.AccountName
	Prompt  model.Prompt
	// Tier is the priority tier of the caller's account or of the route. Rank
	// is the tier of the route itself and orders requests within one Tier.
	Tier model.Tier
	Rank model.Tier
	// Target is the latency target for the whole response or its first event,
	// counted from Arrived.
	Target time.Duration
	// Arrived is when the caller sent the request.
	Arrived time.Time
	// Deadline is when the caller stops waiting for the response; zero for never.
	Deadline time.Time
	// Software is the version at which a stream has begun; only endpoints of this version
	// are chosen. It is empty for a request that any endpoint may serve.
	Software model.SoftwareVersion
	// Avoid lists the endpoints that have failed or refused the request.
	Avoid []model.EndpointName
	// OnlyOthers excludes the endpoints in Avoid and those in unreachable domains, which
	// are chosen otherwise if there is nothing else.
	OnlyOthers bool
	// Retry reports whether an endpoint has already received the request, so
	// that sending it again is charged to the retry budget.
	Retry bool
}

// ranksPerTier is the number of ranks that are distinguished within a tier.
const ranksPerTier = 3

// priority returns the engine priority of the request, from 0 to
// NumPriorities-1: ordered by tier, then by rank within the tier. Smaller is
// served first.
func (r *Request) priority() int {
	return min(max(int(r.Tier), 0)*ranksPerTier+r.rank(), NumPriorities-1)
}

// isUrgent reports whether the request has rank 0, the rank of requests whose
// callers wait interactively.
func (r *Request) isUrgent() bool { return r.rank() == 0 }

// rank returns the rank, clamped to 0 through ranksPerTier-1.
func (r *Request) rank() int { return min(max(int(r.Rank), 0), ranksPerTier-1) }

// Reason is why a request was refused.
type Reason string

// The reasons for a refusal.
const (
	// ReasonNoEndpoint means that no endpoint can take the request.
	ReasonNoEndpoint Reason = "no_endpoint"
	// ReasonRetryBudget means that the retry budget is used up.
	ReasonRetryBudget Reason = "retry_budget"
	// ReasonBackoff means that all endpoints that could take the request have
	// asked this host to send nothing for some time.
	ReasonBackoff Reason = "backoff"
	// ReasonLimit means that the limits that endpoints have stated leave nothing for
	// this host at present.
	ReasonLimit Reason = "request_limit"
	// ReasonBrittle means that the brittle endpoints that could take the request have no
	// room.
	ReasonBrittle Reason = "brittle"
	// ReasonQuarantine means that the request, or a part of its prompt, crashes endpoints.
	ReasonQuarantine Reason = "quarantine"
	// ReasonSuspended means that endpoints have crashed under the request, and that one
	// host at a time may send it.
	ReasonSuspended Reason = "suspended"
	// ReasonSoftware means that no endpoint has the version at which the stream has begun.
	ReasonSoftware Reason = "software_version"
	// ReasonNotInTime means that no endpoint can answer within the remaining time.
	ReasonNotInTime Reason = "not_in_time"
	// ReasonAboveShare means that the pool is short of room and the account of the request
	// above its share.
	ReasonAboveShare Reason = "above_share"
	// ReasonTooLarge means that the prompt exceeds the cache of every endpoint.
	ReasonTooLarge Reason = "too_large"
)

// Decision is the endpoint chosen for a request, or the reason for a refusal.
type Decision struct {
	// Endpoint and Address identify the chosen endpoint; both are empty for a
	// refusal.
	Endpoint model.EndpointName
	Address  string
	// Started identifies the start of the endpoint. Software is the version that it runs;
	// empty if that is not certain.
	Started  int64
	Software model.SoftwareVersion
	// Indirect reports that this host does not reach the endpoint, so that the request must
	// be sent through another one.
	Indirect bool
	// Limit is the limit of the endpoint in requests per second; 0 for none.
	Limit float64
	// Brittle reports that the endpoint was taken for brittle.
	Brittle bool
	// Priority is the priority to send to the engine; smaller is served first.
	Priority int
	// FetchFrom is the address of an endpoint that likely caches the shared
	// prefix of the prompt and can transfer it; empty for none.
	FetchFrom string
	// Expected is the estimated time to the first response.
	Expected time.Duration
	// InFlight is the number of requests in flight at the endpoint from all
	// hosts, as far as known. PeersAge is the age of the oldest peer load
	// report that is in use.
	InFlight int
	PeersAge time.Duration
	// QueuedPrefill is the number of prompt tokens still to be prefilled at the
	// endpoint before this request was added, by priority. OwnPrefill is the
	// number of tokens that the request itself adds.
	QueuedPrefill [NumPriorities]int
	OwnPrefill    int
	// AboveShare is the standing of the account if the request was treated as one above
	// the account's share; zero otherwise.
	AboveShare fairshare.Standing
	// Reason and RetryAfter are set for a refusal.
	Reason     Reason
	RetryAfter time.Duration
}

// IsRefused reports whether the request was refused.
func (d Decision) IsRefused() bool { return d.Endpoint == "" }

// Result is the outcome of an attempt.
type Result struct {
	// Failure is how the endpoint failed; FailureNone if it did not.
	Failure Failure
	// RetryAfter is the time for which an endpoint that refused the request wants
	// no more requests from this host; 0 for none.
	RetryAfter time.Duration
}

// Failure is the way in which an endpoint failed an attempt.
type Failure uint8

// The failures of an attempt.
const (
	// FailureNone means that the endpoint did not fail.
	FailureNone Failure = iota
	// FailureRefused means that the endpoint refused the request because it was
	// full.
	FailureRefused
	// FailureError means that the endpoint returned an error of its own.
	FailureError
	// FailureBroken means that the response broke off or never arrived.
	FailureBroken
	// FailureUnreachable means that no connection to the endpoint could be
	// opened.
	FailureUnreachable
	// FailureReplaced means that a different endpoint now serves the address.
	FailureReplaced
)
