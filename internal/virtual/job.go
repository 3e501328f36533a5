package virtual

import (
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// job is a caller's request with its progress through the system.
type job struct {
	arrival
	id       model.RequestID
	deadline time.Time
	arrived  time.Time
	// task is the current attempt and engine the endpoint that runs it; task is
	// nil while the request waits.
	task   *task
	engine *engine
	host   *host
	// relayed counts the tokens relayed to the caller, generated those that all
	// attempts generated.
	relayed   float64
	generated float64
	firstAt   time.Time
	doneAt    time.Time
	shed      bool
	preempted int
	// waitStarted is when the request began to wait; zero while it runs.
	waitStarted time.Time
	longestWait time.Duration
	// waitingKey and waitingHost identify the counter of sharingStats that
	// includes the request while it waits; waitingHost is nil otherwise.
	waitingKey  waitKey
	waitingHost *host
}

// recordStart records that an endpoint has begun to work on the request.
func (j *job) recordStart(now time.Time) { j.recordWaitEnd(now) }

// recordWaitEnd ends the current wait, if any, and updates the longest one.
func (j *job) recordWaitEnd(now time.Time) {
	if j.waitStarted.IsZero() {
		return
	}
	j.longestWait = max(j.longestWait, now.Sub(j.waitStarted))
	j.waitStarted = time.Time{}
}

// isEnded reports whether the request was answered in full or refused, or its
// deadline has passed.
func (j *job) isEnded() bool { return j.shed || !j.doneAt.IsZero() }

// isDelivered reports whether the caller received the whole answer by the
// deadline.
func (j *job) isDelivered() bool {
	return !j.shed && !j.doneAt.IsZero() && !j.doneAt.After(j.deadline) && j.relayed >= j.answer
}

// meetsTarget reports whether the answer was delivered within the class's
// latency target. The target applies to the first token of an engine and to
// the whole response of a service.
func (j *job) meetsTarget() bool {
	if !j.isDelivered() {
		return false
	}
	by := j.firstAt
	if j.class.pool == servicePool {
		by = j.doneAt
	}
	return by.Sub(j.arrived) <= j.class.FirstToken.Std()
}
