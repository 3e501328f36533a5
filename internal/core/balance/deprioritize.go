package balance

import "time"

// Requests that are going to miss their target are deprioritized when the
// queued prefill exceeds what engines can process in time:
//
//  1. A request of the last rank that will be late at its endpoint is prefilled
//     after all requests that can still be in time: it loses little by waiting
//     longer, and would make the requests behind it late too.
//  2. Only the time in the queue counts, not the prefill of the request itself, so
//     that large requests are not deprioritized for their size.

// maxQueueWaitShare is the share of the target that a request may wait in a
// queue and still be in time. The rest is for the engine itself.
const maxQueueWaitShare = 0.75

// queueWait returns the expected time in the queue.
func (c *choice) queueWait() time.Duration {
	return c.expected - time.Duration(c.unqueuedMS*c.endpoint.latencyRatio*float64(time.Millisecond))
}

// isLate reports whether a request of the last rank is going to miss its target
// because of the queue: the time since arrival plus the expected time in the
// queue exceeds maxQueueWaitShare of the target. It is false for other ranks.
func (c *choice) isLate(now time.Time, req *Request) bool {
	if req.rank() != ranksPerTier-1 || req.Target <= 0 {
		return false
	}
	return now.Sub(req.Arrived)+c.queueWait() > time.Duration(maxQueueWaitShare*float64(req.Target))
}

// enginePriority returns the priority to send to the engine: that of the
// request, or the lowest one for a late request.
func (c *choice) enginePriority(now time.Time, req *Request) int {
	if c.isLate(now, req) {
		return NumPriorities - 1
	}
	return req.priority()
}
