package dispatch

import (
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/opconfig"
)

// Finish ends an attempt that was granted. Late and duplicate ends, by attempt
// number, are dropped.
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
	d.learn(now, r, res)
	e := r.endpoint
	d.release(r)
	delete(d.requests, id)
	e.Refresh(d.opts.Sharing)
	return d.run(now, p, nil)
}

// finishPreempted withdraws a waiting request whose preempted attempt ended
// after all: the answer was whole before the cancellation reached it, or the
// caller has gone.
func (d *Dispatcher) finishPreempted(r *request, n model.Attempt, res Result) {
	last := r.endpoint == nil && r.attempt == n+1
	if !last {
		return
	}
	whole := res.Outcome == model.OutcomeRan && !res.Failed
	if whole || res.Canceled {
		d.unqueue(r)
		delete(d.requests, r.ID)
	}
}

func (d *Dispatcher) learn(now time.Time, r *request, res Result) {
	e := r.endpoint
	switch {
	case res.Canceled:
		e.Health.Canceled()
	case res.Failed:
		e.Health.Failed(now)
	default:
		e.Health.Succeeded()
		r.state.elapsed.Add(res.Elapsed)
		d.learnFirstToken(now, r, res)
	}
}

func (d *Dispatcher) learnFirstToken(now time.Time, r *request, res Result) {
	if r.tokens > 0 {
		return
	}
	took := res.FirstToken
	if took == 0 {
		took = res.Elapsed
	}
	d.firstToken(now, r, took)
}

func (d *Dispatcher) firstToken(now time.Time, r *request, took time.Duration) {
	r.state.firstToken.Add(took)
	r.endpoint.FirstToken(now, r.class.index, took, r.class.FirstToken.Std())
}

// Progress tells that tokens of a granted attempt were relayed.
func (d *Dispatcher) Progress(now time.Time, id model.RequestID, tokens int) {
	r := d.requests[id]
	if r == nil || r.endpoint == nil || tokens <= 0 {
		return
	}
	if r.tokens == 0 && r.pool.Kind != opconfig.KindService {
		d.firstToken(now, r, now.Sub(r.granted))
	}
	r.tokens += tokens
	if l := r.class.limits[r.Account]; l != nil {
		l.tokens += tokens
	}
}
