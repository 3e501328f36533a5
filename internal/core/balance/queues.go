package balance

import "time"

const (
	// queueWeight is the weight of the newest answer in the mean of the times in
	// queues.
	queueWeight = 0.03
	// minQueued is the expected time in a queue, in milliseconds, from which on an
	// answer tells something of queues.
	minQueued = 50
	// minQueueFactor and maxQueueFactor bound what is learned: beyond them it is
	// other things that are slow.
	minQueueFactor = 0.5
	maxQueueFactor = 4
)

// queues is how long queues are against what is known of them: hosts hear late
// of each other's requests, so that under load queues are longer than expected.
type queues struct {
	// mean is the mean of the times in queues by the expected ones; 0 before any
	// was seen.
	mean float64
}

// factor is what an expected time in a queue is multiplied by.
func (q *queues) factor() float64 {
	if q.mean == 0 {
		return 1
	}
	return q.mean
}

// learn takes the time to the first answer of a request.
func (q *queues) learn(r *running, took time.Duration) {
	if r.queued < minQueued {
		return
	}
	ratio := (float64(took.Milliseconds()) - r.unqueued) / r.queued
	ratio = min(max(ratio, 0), 2*maxQueueFactor)
	mean := q.factor() + queueWeight*(ratio-q.factor())
	q.mean = min(max(mean, minQueueFactor), maxQueueFactor)
}

// learn takes the time to the first answer of a request. Requests that are read
// last on purpose tell nothing of their endpoint.
func (b *Balancer) learn(now time.Time, r *running) {
	if r.last() {
		return
	}
	took := now.Sub(r.granted)
	r.endpoint.learn(now, took, r.expected)
	b.pool(r.endpoint.Pool).queues.learn(r, took)
}

// last says that the request is read after all others.
func (r *running) last() bool { return r.priority == Priorities-1 }
