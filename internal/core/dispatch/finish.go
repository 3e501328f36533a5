package dispatch

import (
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/opconfig"
)

// Finish ends a granted attempt and grants queued requests in its place. Late
// and duplicate calls, recognized by the attempt number, are ignored.
func (d *Dispatcher) Finish(now time.Time, id model.RequestID, n model.Attempt, res Result) []Action {
	r := d.requests[id]
	if r == nil {
		return nil
	}
	if r.attempt != n || r.endpoint == nil {
		d.finishPreempted(r, n, res)
		return nil
	}
	p := r.pool
	d.recordResult(now, r, res)
	e := r.endpoint
	d.release(r)
	delete(d.requests, id)
	e.UpdateLimits(d.opts.Sharing)
	return d.grantQueued(now, p, nil)
}

// finishPreempted removes a queued request whose preempted attempt has ended
// the request after all: the response was complete before the cancellation
// arrived, or the caller has disconnected.
func (d *Dispatcher) finishPreempted(r *request, n model.Attempt, res Result) {
	wasPreempted := r.endpoint == nil && r.attempt == n+1
	if !wasPreempted {
		return
	}
	complete := res.Outcome == model.OutcomeRan && !res.Failed
	if complete || res.Canceled {
		d.unqueue(r)
		delete(d.requests, r.ID)
	}
}

// recordResult updates the endpoint's health and the learned durations with the
// result of an attempt.
func (d *Dispatcher) recordResult(now time.Time, r *request, res Result) {
	e := r.endpoint
	switch {
	case res.Canceled:
		e.Health.RecordCanceled()
	case res.Failed:
		e.Health.RecordFailure(now)
	default:
		e.Health.RecordSuccess()
		r.state.elapsed.Add(res.Elapsed)
		d.recordFirstTokenAtEnd(now, r, res)
	}
}

// recordFirstTokenAtEnd records the time to the first token of an attempt for
// which RecordTokens was not called. Without a first token it is the whole
// duration.
func (d *Dispatcher) recordFirstTokenAtEnd(now time.Time, r *request, res Result) {
	if r.tokens > 0 {
		return
	}
	took := res.FirstToken
	if took == 0 {
		took = res.Elapsed
	}
	d.recordFirstToken(now, r, took)
}

// recordFirstToken records a time to the first token for the class and the
// endpoint.
func (d *Dispatcher) recordFirstToken(now time.Time, r *request, took time.Duration) {
	r.state.firstToken.Add(took)
	r.endpoint.RecordFirstToken(now, r.class.index, took, r.class.FirstToken.Std())
}

// RecordTokens records that further tokens of a granted attempt were relayed.
func (d *Dispatcher) RecordTokens(now time.Time, id model.RequestID, tokens int) {
	r := d.requests[id]
	if r == nil || r.endpoint == nil || tokens <= 0 {
		return
	}
	if r.tokens == 0 && r.pool.Kind != opconfig.KindService {
		d.recordFirstToken(now, r, now.Sub(r.granted))
	}
	r.tokens += tokens
	if l := r.class.limits[r.Account]; l != nil {
		l.tokens += tokens
	}
}
