package dispatch

import (
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/admission"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

const (
	// minRetryAfter and maxRetryAfter bound the retry time stated in a refusal.
	minRetryAfter = time.Second
	maxRetryAfter = 2 * time.Minute
	// maxMargin bounds the safety margin for errors in an expected wait. The
	// margin is half of the remaining time.
	maxMargin = 2 * time.Second
	// elapsedQuantile is the quantile of response durations for which a
	// request's deadline must leave time if it has to be queued.
	elapsedQuantile = 0.95
	// firstTokenQuantile is the quantile of times to the first token for which
	// its latency target must leave time.
	firstTokenQuantile = 0.75
	// startQuantile is the quantile of response durations for which the latest
	// start of a queued request must leave time before its deadline.
	startQuantile = 0.5
)

// Submit handles a new request, or a further attempt of a request whose last
// attempt has ended.
func (d *Dispatcher) Submit(now time.Time, req model.Request) []Action {
	if d.requests[req.ID] != nil {
		return nil
	}
	req.Attempt = max(req.Attempt, 1)
	c, p := d.rules.byName[req.Class], d.pools[req.Pool]
	if c == nil || p == nil {
		return []Action{refusal(req, req.Attempt, ReasonNoEndpoint, minRetryAfter)}
	}
	p.states[c.index].used = true
	p.demand.Add(now)
	d.demand.add(now, req.Account, req.Class)
	if reason, wait := d.checkAdmission(now, req, c, p); reason != ReasonNone {
		return []Action{refusal(req, req.Attempt, reason, wait)}
	}
	return d.admit(now, req, c, p)
}

// checkAdmission returns why a request must be refused without queueing, and
// when to retry; ReasonNone if it may be queued. It charges limits and retry
// budgets.
func (d *Dispatcher) checkAdmission(now time.Time, req model.Request, c *class, p *pool) (Reason, time.Duration) {
	if d.draining {
		return ReasonLeaving, minRetryAfter
	}
	if !now.Before(req.Deadline) {
		return ReasonDeadline, minRetryAfter
	}
	if p.tiers.Queue(c.index).AccountLen(req.Account) >= c.MaxQueued && c.MaxQueued > 0 {
		return ReasonQueueFull, p.states[c.index].expectedWait(now, p, c, req.Account, c.share(req.Account))
	}
	if req.Attempt > 1 {
		if !c.budget.TakeRetry() {
			return ReasonRetryBudget, minRetryAfter
		}
		return ReasonNone, 0
	}
	if !req.Forwarded {
		if ok, wait := d.takeFromLimit(now, req, c); !ok {
			return ReasonLimit, wait
		}
	}
	c.budget.RecordFirst()
	return ReasonNone, 0
}

// admit grants, queues, spills or refuses a request that passed checkAdmission.
func (d *Dispatcher) admit(now time.Time, req model.Request, c *class, p *pool) []Action {
	if !p.hasUsableEndpoint(now) {
		if act, ok := d.spill(now, req, c, p); ok {
			return []Action{act}
		}
		return []Action{refusal(req, req.Attempt, ReasonNoEndpoint, minRetryAfter)}
	}
	if !d.canStartNow(now, c, p) {
		over := d.excessWait(now, req, c, p)
		if over > 0 || d.isOversubscribed(now, c, p) {
			if act, ok := d.spill(now, req, c, p); ok {
				return []Action{act}
			}
		}
		if over > 0 && !c.Protected {
			return []Action{refusal(req, req.Attempt, ReasonDeadline, over)}
		}
	}
	r := &request{req: req, class: c, pool: p, attempt: req.Attempt}
	r.Item = admission.Item{ID: req.ID, Account: req.Account, Deadline: req.Deadline, Enqueued: now}
	d.requests[req.ID] = r
	d.enqueue(now, r)
	return d.grantQueued(now, p, nil)
}

// canStartNow reports whether the pool has room for the class, by preemption if
// allowed, and no request of the class is queued.
func (d *Dispatcher) canStartNow(now time.Time, c *class, p *pool) bool {
	if p.tiers.Queue(c.index).Len() > 0 {
		return false
	}
	return d.classRoom(now, p, c, p.room(now)).Fits
}

// isOversubscribed reports whether a protected class needs more than this
// domain's room: its requests are queued although all others are preempted.
func (d *Dispatcher) isOversubscribed(now time.Time, c *class, p *pool) bool {
	if !c.Protected {
		return false
	}
	return p.states[c.index].inFlight+p.tiers.Queue(c.index).Len() >= p.room(now).limit
}

// excessWait returns by how much the expected wait of a request exceeds the
// time that its deadline and its class's latency target leave; 0 if it does
// not.
func (d *Dispatcher) excessWait(now time.Time, req model.Request, c *class, p *pool) time.Duration {
	s := p.states[c.index]
	if p.tiers.Queue(c.index).Len() == 0 {
		// The first request is always queued: the drain rate is learned only
		// while a request is queued.
		return 0
	}
	wait := s.expectedWait(now, p, c, req.Account, c.share(req.Account))
	slack := req.Deadline.Sub(now) - s.elapsed.Quantile(elapsedQuantile)
	if target := c.FirstToken.Std(); target > 0 {
		usual := min(s.firstToken.Quantile(firstTokenQuantile), target/2)
		slack = min(slack, target-now.Sub(req.Arrived)-usual)
	}
	slack = max(slack, 0)
	return max(wait-slack+min(slack/2, maxMargin), 0)
}

// enqueue adds a request to the queue of its class and sets its latest start.
func (d *Dispatcher) enqueue(now time.Time, r *request) {
	s := r.pool.states[r.class.index]
	r.state = s
	q := r.pool.tiers.Queue(r.class.index)
	if q.Len() == 0 {
		s.drain.RecordQueueStart(now)
	}
	r.LatestStart = r.Deadline
	if !r.class.Protected && r.attempt == r.req.Attempt {
		r.LatestStart = r.Deadline.Add(-s.elapsed.Quantile(startQuantile))
	}
	q.Push(&r.Item, r.class.share(r.Account))
	d.expiry.Add(&r.Item)
}

// refusal returns a refusal with a retry time within minRetryAfter and
// maxRetryAfter.
func refusal(req model.Request, n model.Attempt, reason Reason, wait time.Duration) Action {
	return Action{
		Kind:       ActionRefuse,
		Request:    req.ID,
		Attempt:    n,
		Reason:     reason,
		RetryAfter: min(max(wait, minRetryAfter), maxRetryAfter),
	}
}
