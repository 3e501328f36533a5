package balance

import (
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// Answers of endpoints, as evidence that this host has paths to them. Digests of the hosts
// in a failure domain are none: a host may reach these and no endpoint.

// recordAnswer records that an endpoint has answered a request or a check which began at a
// time.
func (b *Balancer) recordAnswer(now time.Time, e *endpoint, began time.Time) {
	e.failingSince = time.Time{}
	b.domain(e.Domain).lastAnswer = now
	clear(b.paths.failed)
	if !began.Before(b.paths.changedAt) {
		e.unproven = false
	}
	if began.After(e.answeredFrom) {
		e.answeredFrom = began
	}
}

// recordFailing records that a connection to the endpoint has failed.
func (e *endpoint) recordFailing(now time.Time) {
	if !e.isFailing() {
		e.failingSince = now
	}
}

// isFailing reports whether the last connection to the endpoint has failed.
func (e *endpoint) isFailing() bool { return !e.failingSince.IsZero() }

// hasCrashed reports whether the endpoint is known to have crashed and has not answered since.
func (e *endpoint) hasCrashed() bool { return e.answeredFrom.Before(e.crashedAt) }

// answersToConfirm is the number of other endpoints that must have answered before a failed
// endpoint has failed on its own.
const answersToConfirm = 2

// commonFailureTime is the time within which failures of several endpoints may have the same
// cause.
const commonFailureTime = 500 * time.Millisecond

// IsOwnFailure reports whether an endpoint that has broken a connection at a time and
// refuses others must have failed itself. Then this host has not lost its paths to the
// failure domain: answersToConfirm of the others there have answered what began later, all
// of them if there are fewer, and they are more than have failed since commonFailureTime
// before without being known to have crashed. If there are no others, those of all domains
// count.
func (b *Balancer) IsOwnFailure(name model.EndpointName, since time.Time) bool {
	e := b.endpoints[name]
	if e == nil {
		return true
	}
	others := b.countOthers(e, since, e.Domain)
	if others.known == 0 {
		others = b.countOthers(e, since, "")
	}
	return others.answered >= max(min(answersToConfirm, others.known-others.down), 1) && others.answered > others.failed
}

// otherEndpoints counts endpoints: all that are not draining, the ones that were down
// commonFailureTime before a time or have crashed, those that have failed later, and those
// that have answered since that time.
type otherEndpoints struct{ known, down, answered, failed int }

// countOthers counts the endpoints other than e of a failure domain, or of all domains if it
// is empty.
func (b *Balancer) countOthers(e *endpoint, since time.Time, domain model.DomainName) otherEndpoints {
	var out otherEndpoints
	for _, other := range b.endpoints {
		if other == e || other.Draining || domain != "" && other.Domain != domain {
			continue
		}
		out.known++
		switch {
		case other.isFailing() && (other.hasCrashed() || since.Sub(other.failingSince) > commonFailureTime):
			out.down++
		case other.isFailing():
			out.failed++
		case !other.answeredFrom.Before(since):
			out.answered++
		}
	}
	return out
}

// StartCheck starts a check of an endpoint. It returns none if one is in progress or the
// endpoint is not listed.
func (b *Balancer) StartCheck(now time.Time, name model.EndpointName) []Check {
	if e := b.endpoints[name]; e != nil {
		return e.appendCheck(now, nil)
	}
	return nil
}

// RequestChecks starts a round of checks of the failure domain of an endpoint at the next
// StartChecks, and of all domains if it has no other endpoint.
func (b *Balancer) RequestChecks(name model.EndpointName) {
	e := b.endpoints[name]
	if e == nil {
		return
	}
	alone := b.countOthers(e, time.Time{}, e.Domain).known == 0
	for _, d := range b.domains {
		d.checksRequested = d.checksRequested || d.name == e.Domain || alone
	}
}
