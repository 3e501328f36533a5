package balance

import "time"

// watchedEndpoints are the endpoints that may need a connectivity check: those that are
// unreachable and those with stalled or overdue requests. All others need none, so that
// the cost of StartChecks does not grow with the number of endpoints. Endpoints are added
// when they get into such a state and removed when StartChecks finds that it has ended.
type watchedEndpoints map[*endpoint]bool

// watch adds an endpoint.
func (w watchedEndpoints) watch(e *endpoint) {
	if w != nil {
		w[e] = true
	}
}

// needsWatching reports whether the endpoint is unreachable or not proven reachable, or has
// stalled or overdue requests.
func (e *endpoint) needsWatching() bool {
	return e.unreachable || e.unproven || e.stalled > 0 || e.overdue > 0
}

// maxOpenChecks bounds the checks of unreachable endpoints in progress at once, so that the
// return of many causes no burst of connections.
const maxOpenChecks = 16

// dueChecks starts the checks of unreachable endpoints that are due, and appends them to
// out. It marks the failure domains that have stalled or overdue requests.
func (b *Balancer) dueChecks(now time.Time, overdue map[*domain]bool, out []Check) []Check {
	open := 0
	for e := range b.watched {
		if e.checkOpen {
			open++
		}
	}
	for e := range b.watched {
		if b.endpoints[e.Name] != e || !e.needsWatching() {
			delete(b.watched, e)
			continue
		}
		d := b.domain(e.Domain)
		if e.stalled > 0 || e.overdue > 0 {
			overdue[d] = true
		}
		if (e.unreachable || e.unproven) && !e.Draining && !d.unreachable && !now.Before(e.nextCheck) && !e.isBackingOff(now) &&
			!e.checkOpen && open < maxOpenChecks {
			out = e.appendCheck(now, out)
			open++
		}
	}
	return out
}
