// Package model holds the vocabulary that all core packages and ports share:
// names, outcomes and priorities of requests, hosts and endpoints.
package model

import "time"

// HostID names an entry host. It is unique among all hosts that are live.
type HostID string

// Incarnation tells one process of a host from its predecessors under the
// same HostID. A later start has a larger value.
type Incarnation uint64

// DomainName names a failure domain.
type DomainName string

// ClassName names a request class.
type ClassName string

// AccountName names a client account.
type AccountName string

// EndpointName names an endpoint: a replica of a model engine or of a plain
// service.
type EndpointName string

// PoolName names a set of interchangeable endpoints.
type PoolName string

// ModelName names a model, as callers write it in the model field.
type ModelName string

// RequestID identifies one request of a caller. All attempts share it.
type RequestID string

// Tier orders classes. Tier 0 is served first.
type Tier int

// Attempt counts the tries of one request from 1.
type Attempt int

// Version numbers accepted configurations from 1. Zero means none.
type Version uint64

// Offset is a position in a stream of the platform's log.
type Offset uint64

// Outcome states what is known of a request's effect.
type Outcome uint8

// The outcomes that a caller can be told.
const (
	// OutcomeUnknown means that the request may or may not have run.
	OutcomeUnknown Outcome = iota
	// OutcomeNotRun means that no endpoint has run or will run the request.
	OutcomeNotRun
	// OutcomeRan means that an endpoint ran the request.
	OutcomeRan
)

// String returns the outcome as it stands in error bodies and records.
func (o Outcome) String() string {
	switch o {
	case OutcomeNotRun:
		return "not_run"
	case OutcomeRan:
		return "ran"
	default:
		return "unknown"
	}
}

// ParseOutcome reads the text that String writes. Any other text is
// OutcomeUnknown.
func ParseOutcome(s string) Outcome {
	switch s {
	case "not_run":
		return OutcomeNotRun
	case "ran":
		return OutcomeRan
	default:
		return OutcomeUnknown
	}
}

// Request is what the decisions know of a caller's request. Nobody knows how
// long its answer will be.
type Request struct {
	// ID identifies the request.
	ID RequestID
	// Class is the request's class.
	Class ClassName
	// Account is the caller's client account.
	Account AccountName
	// Pool is the set of endpoints that can serve it.
	Pool PoolName
	// Model is the wanted model; empty for plain services.
	Model ModelName
	// Prefix is a hash of the prompt's start, for cache affinity; 0 for none.
	Prefix uint64
	// Arrived is when the entry host read the request.
	Arrived time.Time
	// Deadline is when the answer is worth nothing any more.
	Deadline time.Time
	// Attempt counts the tries of this request.
	Attempt Attempt
	// Avoid lists endpoints that failed an earlier attempt.
	Avoid []EndpointName
	// Forwarded says that another domain's host sent it here. It is not
	// forwarded again.
	Forwarded bool
}
