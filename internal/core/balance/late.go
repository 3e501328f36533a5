package balance

import "time"

// Requests that will be late, when engines have more to read than comes in time:
//
//  1. A request of the last rank that will be late where it goes is read after
//     all that can still be in time: it loses little by waiting longer, and would
//     make those behind it late too.
//  2. What counts is the time in the queue, not the time to read the request
//     itself, so that large requests are not put last for their size.

// lateWait is the part of the target that a request may wait in a queue and still
// be in time: the rest is for the engine itself.
const lateWait = 0.75

// wait is the expected time in the queue.
func (c *choice) wait() time.Duration {
	return c.expected - time.Duration(c.unqueued*float64(time.Millisecond))
}

// late says that a request of the last rank will be late.
func (c *choice) late(now time.Time, req *Request) bool {
	if req.rank() != ranksPerTier-1 || req.Target <= 0 {
		return false
	}
	return now.Sub(req.Arrived)+c.wait() > time.Duration(lateWait*float64(req.Target))
}

// enginePriority is the engine's priority of a request.
func (c *choice) enginePriority(now time.Time, req *Request) int {
	if c.late(now, req) {
		return Priorities - 1
	}
	return req.priority()
}
