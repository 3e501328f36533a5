// Package model holds the vocabulary that all core packages and ports share:
// names, outcomes and priorities of requests, hosts and endpoints.
package model

import (
	"cmp"
	"time"
)

// HostID names an entry host. It is unique among all hosts that are live.
type HostID string

// Incarnation distinguishes successive processes of a host that share one
// HostID. A process that starts later has a larger value.
type Incarnation uint64

// DomainName names a failure domain.
type DomainName string

// ClassName names a request class.
type ClassName string

// AccountName names a client account.
type AccountName string

// EndpointName names an endpoint, which is one replica of a model engine or of
// a plain service.
type EndpointName string

// PoolName names a set of interchangeable endpoints.
type PoolName string

// ModelName names a model, as given in the model field of a caller's request.
type ModelName string

// RequestID identifies one request of a caller. All attempts of the request
// share it.
type RequestID string

// SoftwareVersion is the version of the software that an endpoint runs, as it states itself;
// empty if it is not known.
type SoftwareVersion string

// Tier is the priority level of a class. Tier 0 is served first.
type Tier int

// Attempt numbers the attempts of one request, starting at 1.
type Attempt int

// Version numbers accepted configurations, starting at 1. Zero means that there
// is no configuration.
type Version uint64

// Offset is a position in a stream of the platform's log.
type Offset uint64

// Era numbers the histories of the platform's store. It rises when the store was
// restored from an older copy: records that it had acknowledged may be lost, and
// their offsets are assigned again.
type Era uint64

// FirstEra is the era of a store that was never restored.
const FirstEra Era = 1

// Position is a position in a stream of the platform's log. An offset identifies a
// record only within its era.
type Position struct {
	Era    Era
	Offset Offset
}

// Compare returns a negative number, 0 or a positive number if p is before other,
// equal to it or after it. All positions of an era are before those of the next.
func (p Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(p.Era, other.Era), cmp.Compare(p.Offset, other.Offset))
}

// IsAfter reports whether p is after other.
func (p Position) IsAfter(other Position) bool { return p.Compare(other) > 0 }

// LaterPosition returns the later one of two positions.
func LaterPosition(a, b Position) Position {
	if b.IsAfter(a) {
		return b
	}
	return a
}

// eraShift is the number of bits of a stream offset below its era.
const eraShift = 40

// StreamOffset returns the position as a single offset that rises through all
// eras: those of an era are above all of the eras before.
func (p Position) StreamOffset() Offset { return Offset(p.Era)<<eraShift | p.Offset }

// Position returns the position of an offset that StreamOffset returned.
func (o Offset) Position() Position {
	return Position{Era: Era(o >> eraShift), Offset: o & (1<<eraShift - 1)}
}

// Build identifies the program that a host runs. The zero value is that of a host that states
// none.
type Build struct {
	// Commit is what the program was built from, or a hash of the program.
	Commit string `json:"commit"`
	// Protocol identifies the messages between hosts.
	Protocol string `json:"protocol"`
}

// String returns the commit and the protocol, separated by a slash.
func (b Build) String() string {
	if b == (Build{}) {
		return "not stated"
	}
	return b.Commit + "/" + b.Protocol
}

// Instance identifies one start of an endpoint. A restart under the same name has
// another Started.
type Instance struct {
	Name    EndpointName
	Started int64
}

// Outcome states whether a request is known to have been executed.
type Outcome uint8

// The outcomes that are reported to callers.
const (
	// OutcomeUnknown means that the request may or may not have run.
	OutcomeUnknown Outcome = iota
	// OutcomeNotRun means that no endpoint has run or will run the request.
	OutcomeNotRun
	// OutcomeRan means that an endpoint ran the request.
	OutcomeRan
)

// String returns the text of the outcome in error bodies and stored records.
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

// ParseOutcome parses the text that String returns. It returns OutcomeUnknown
// for any other text.
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

// Request holds the properties of a caller's request that routing decisions
// use. The length of its response is not known in advance.
type Request struct {
	// ID identifies the request.
	ID RequestID
	// Class is the request's class.
	Class ClassName
	// Account is the caller's client account.
	Account AccountName
	// Pool is the set of endpoints that can serve the request.
	Pool PoolName
	// Model is the requested model; empty for plain services.
	Model ModelName
	// Prefix is a hash of the start of the prompt, used for prefix cache
	// affinity; 0 for none.
	Prefix uint64
	// Arrived is when the entry host read the request.
	Arrived time.Time
	// Deadline is the time after which the response is useless to the caller.
	Deadline time.Time
	// Attempt is the number of the current attempt.
	Attempt Attempt
	// Avoid lists the endpoints at which an earlier attempt failed.
	Avoid []EndpointName
	// Forwarded reports that a host of another failure domain forwarded the
	// request here. It is not forwarded again.
	Forwarded bool
}
