package balance

import "time"

const (
	// queueRatioWeight is the weight of the newest response in the mean ratio.
	queueRatioWeight = 0.03
	// minQueuedMS is the shortest expected time in the queue, in milliseconds,
	// from which a response is used to learn the ratio.
	minQueuedMS = 50
	// minQueueFactor and maxQueueFactor bound the learned ratio: beyond them,
	// something other than the queue is slow.
	minQueueFactor = 0.5
	maxQueueFactor = 4
)

// queueCorrection learns the ratio of actual to expected time in the queues of
// a pool. Load reports of other hosts arrive late, so that queues are longer
// than expected under load.
type queueCorrection struct {
	// meanRatio is the moving average of the ratio; 0 without samples.
	meanRatio float64
}

// factor returns the factor by which to multiply an expected time in the queue;
// 1 without samples.
func (q *queueCorrection) factor() float64 {
	if q.meanRatio == 0 {
		return 1
	}
	return q.meanRatio
}

// record updates the ratio with the time to the first response of a request. It
// ignores requests that were expected to queue for less than minQueuedMS.
func (q *queueCorrection) record(r *runningRequest, took time.Duration) {
	if r.queuedMS < minQueuedMS {
		return
	}
	ratio := (float64(took.Milliseconds()) - r.unqueuedMS) / r.queuedMS
	ratio = min(max(ratio, 0), 2*maxQueueFactor)
	mean := q.factor() + queueRatioWeight*(ratio-q.factor())
	q.meanRatio = min(max(mean, minQueueFactor), maxQueueFactor)
}

// recordResponseTime updates the latency ratio and the speed of the endpoint and
// the queue correction of its pool with the time from placement to the first response,
// which is now. Requests that are delayed on purpose are skipped: their latency does not show that the endpoint is slow.
func (b *Balancer) recordResponseTime(now time.Time, r *runningRequest) {
	if r.isDelayedOnPurpose() {
		return
	}
	took := now.Sub(r.placedAt)
	r.endpoint.recordLatency(now, took, r.expected)
	b.observeSpeed(now, r, took)
	b.pool(r.endpoint.Pool).queueCorrection.record(r, took)
}

// isDelayedOnPurpose reports whether the engine serves the request after all others, or
// behind those of its rank.
func (r *runningRequest) isDelayedOnPurpose() bool {
	return r.priority == NumPriorities-1 || r.priority != r.req.priority()
}
