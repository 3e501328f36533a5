package virtual

import (
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// job is a caller's request on its way through the system.
type job struct {
	arrival
	id       model.RequestID
	deadline time.Time
	arrived  time.Time
	// task is the running attempt and engine its place; nil while it waits.
	task   *task
	engine *engine
	host   *host
	// relayed are the tokens that the caller has, generated all that were
	// made.
	relayed   float64
	generated float64
	firstAt   time.Time
	doneAt    time.Time
	shed      bool
	preempted int
	// waitFrom is when the request began to wait; zero while it runs.
	waitFrom    time.Time
	longestWait time.Duration
	// counted and countedAt say where the request is counted as waiting.
	counted   waitKey
	countedAt *host
}

// started tells that an endpoint began to work on the request.
func (j *job) started(now time.Time) { j.stopWaiting(now) }

func (j *job) stopWaiting(now time.Time) {
	if j.waitFrom.IsZero() {
		return
	}
	j.longestWait = max(j.longestWait, now.Sub(j.waitFrom))
	j.waitFrom = time.Time{}
}

// ended says that the caller has its final answer, or has gone.
func (j *job) ended() bool { return j.shed || !j.doneAt.IsZero() }

// delivered says that the whole answer came by the deadline.
func (j *job) delivered() bool {
	return !j.shed && !j.doneAt.IsZero() && !j.doneAt.After(j.deadline) && j.relayed >= j.answer
}

// attained says that the answer met the class's latency target.
func (j *job) attained() bool {
	if !j.delivered() {
		return false
	}
	by := j.firstAt
	if j.class.pool == servicePool {
		by = j.doneAt
	}
	return by.Sub(j.arrived) <= j.class.FirstToken.Std()
}
