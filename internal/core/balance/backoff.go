package balance

import "time"

// An endpoint that refuses a request may state how long it wants no more requests
// from this host. It gets none in that time. Then it gets one request at a time
// until one has been answered, so that the hosts' waiting requests do not all
// arrive at the moment at which the time ends.

const (
	// backoffJitter is the part of a backoff that is added to it at random, up to
	// maxBackoffJitter, so that hosts return at different times.
	backoffJitter    = 0.2
	maxBackoffJitter = time.Second
)

// backoff is the state of an endpoint that asked for no requests.
type backoff struct {
	// until is the time before which the endpoint gets no requests; zero for
	// none.
	until time.Time
	// trial reports that no request has been answered since then.
	trial bool
}

// startBackoff starts or extends the time in which the endpoint gets no requests.
func (e *endpoint) startBackoff(now time.Time, length time.Duration) {
	if until := now.Add(length); until.After(e.backoff.until) {
		e.backoff.until = until
	}
	e.backoff.trial = true
}

// endBackoff ends the trial after a backoff, unless the backoff itself has not
// ended: requests that were sent before it may still be answered.
func (e *endpoint) endBackoff(now time.Time) {
	if !e.isBackingOff(now) {
		e.backoff.trial = false
	}
}

// isBackingOff reports whether the endpoint gets no requests at present because it
// asked for none.
func (e *endpoint) isBackingOff(now time.Time) bool { return now.Before(e.backoff.until) }

// backoffAllowsRequest reports whether the backoff allows one more request: there is none,
// or it has ended and no other request of this host is in flight.
func (e *endpoint) backoffAllowsRequest(now time.Time) bool {
	if !e.backoff.trial {
		return true
	}
	return !e.isBackingOff(now) && e.localLoad.Count == 0
}

// timeToBackoffEnd returns the time until the first endpoint of the pool ends its
// backoff, with jitter. It returns false if no endpoint in service is backing off.
func (b *Balancer) timeToBackoffEnd(now time.Time, p *pool) (time.Duration, bool) {
	first, found := time.Duration(0), false
	for _, e := range p.endpoints {
		if !e.isInService(now) || !e.backoff.trial {
			continue
		}
		wait := max(e.backoff.until.Sub(now), 0)
		if !found || wait < first {
			first, found = wait, true
		}
	}
	jitter := min(time.Duration(backoffJitter*float64(first)), maxBackoffJitter)
	return first + time.Duration(b.rng.Float64()*float64(jitter)), found
}
