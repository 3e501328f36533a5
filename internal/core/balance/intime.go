package balance

import "time"

// Requests that no endpoint can begin to answer within their remaining time are
// refused at once, so that their callers can come back or give up early:
//
//  1. Only time in queues counts, for prompts that an engine prefills before the
//     request: an engine without a queue is never too slow.
//  2. Only endpoints whose speed has been learned from enough responses count as
//     too slow. A pool with any other endpoint refuses nothing.
//  3. Callers come back at different times, within the time that they have left.

const (
	// inTimeFactor is the factor on the expected time in the queue that must exceed the
	// remaining time for a refusal: the answer follows, and more urgent requests may come
	// first.
	inTimeFactor = 2.0
	// minInTimeWait and maxInTimeWait bound the time that a refused caller is asked to
	// wait, as a share of its remaining time.
	minInTimeWait = 0.15
	maxInTimeWait = 0.33
)

// refusesInTime reports whether a request is to be refused because no endpoint can
// answer it within its remaining time, and after what time its caller may return.
func (b *Balancer) refusesInTime(now time.Time, p *pool, req *Request, best *choice) (time.Duration, bool) {
	left := req.Deadline.Sub(now)
	if p.engine == nil || req.Deadline.IsZero() || left <= 0 || !isHopeless(now, p, best, left) {
		return 0, false
	}
	return b.spreadWait(left), true
}

// spreadWait returns a time that a refused caller is asked to wait, which differs between
// callers.
func (b *Balancer) spreadWait(left time.Duration) time.Duration {
	share := minInTimeWait + b.rng.Float64()*(maxInTimeWait-minInTimeWait)
	return time.Duration(share * float64(left))
}

// isHopeless reports whether all usable endpoints of the pool would answer too late.
// The cheapest one is asked first, as most requests can be answered there.
func isHopeless(now time.Time, p *pool, best *choice, left time.Duration) bool {
	if !best.endpoint.isTooSlow(now, best.priority, left) {
		return false
	}
	for _, e := range p.endpoints {
		if e.isUsable(now) && !e.isTooSlow(now, best.priority, left) {
			return false
		}
	}
	return true
}

// isTooSlow reports whether the endpoint has a queue that would certainly make a request
// with the priority too late.
func (e *endpoint) isTooSlow(now time.Time, priority int, left time.Duration) bool {
	if !e.speed.IsTrusted(now) {
		return false
	}
	total := e.totalLoad()
	ahead := 0
	for _, n := range total.PendingPrefill[:priority+1] {
		ahead += n
	}
	queueMS := float64(ahead) * e.speed.perTokenMS(total.Count)
	return inTimeFactor*queueMS > float64(left.Milliseconds())
}
