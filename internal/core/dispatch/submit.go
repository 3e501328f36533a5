package dispatch

import (
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/admission"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

const (
	// minRetryAfter and maxRetryAfter bound the time to come back that a
	// refusal states.
	minRetryAfter = time.Second
	maxRetryAfter = 2 * time.Minute
	// maxMargin bounds the margin for errors of an expected wait, which is half
	// of what is left.
	maxMargin = 2 * time.Second
	// elapsedQuantile is the share of answers that a request's deadline must
	// leave time for when it has to wait.
	elapsedQuantile = 0.95
	// firstTokenQuantile is the share of first tokens that its latency target
	// must leave time for.
	firstTokenQuantile = 0.75
	// startQuantile is the same for a request that has begun to wait.
	startQuantile = 0.5
)

// Submit takes a new request, or a further attempt of a request whose last
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
	p.states[c.index].seen = true
	p.demand.Add(now)
	d.demand.add(now, req.Account, req.Class)
	if reason, wait := d.check(now, req, c, p); reason != ReasonNone {
		return []Action{refusal(req, req.Attempt, reason, wait)}
	}
	return d.admit(now, req, c, p)
}

// check returns why a request must not even wait.
func (d *Dispatcher) check(now time.Time, req model.Request, c *class, p *pool) (Reason, time.Duration) {
	if d.draining {
		return ReasonLeaving, minRetryAfter
	}
	if !now.Before(req.Deadline) {
		return ReasonDeadline, minRetryAfter
	}
	if p.tiers.Queue(c.index).AccountLen(req.Account) >= c.MaxQueued && c.MaxQueued > 0 {
		return ReasonQueueFull, p.states[c.index].wait(now, p, c, req.Account, c.share(req.Account))
	}
	if req.Attempt > 1 {
		if !c.budget.Retry() {
			return ReasonRetryBudget, minRetryAfter
		}
		return ReasonNone, 0
	}
	if !req.Forwarded {
		if ok, wait := d.withinLimit(now, req, c); !ok {
			return ReasonLimit, wait
		}
	}
	c.budget.First()
	return ReasonNone, 0
}

// admit grants, queues, spills or refuses a request that passed the checks.
func (d *Dispatcher) admit(now time.Time, req model.Request, c *class, p *pool) []Action {
	if !p.usable(now) {
		if act, ok := d.spill(now, req, c, p); ok {
			return []Action{act}
		}
		return []Action{refusal(req, req.Attempt, ReasonNoEndpoint, minRetryAfter)}
	}
	if !d.startsNow(now, c, p) {
		over := d.overdue(now, req, c, p)
		if over > 0 || d.outgrown(now, c, p) {
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
	return d.run(now, p, nil)
}

// startsNow says that the pool has room for the class, by preemption where
// that is allowed, and nobody waits in it.
func (d *Dispatcher) startsNow(now time.Time, c *class, p *pool) bool {
	if p.tiers.Queue(c.index).Len() > 0 {
		return false
	}
	return d.roomOf(now, p, c, p.room(now)).Fits
}

// outgrown says that a protected class needs more than this domain's room: its
// requests wait although all others give way.
func (d *Dispatcher) outgrown(now time.Time, c *class, p *pool) bool {
	if !c.Protected {
		return false
	}
	return p.states[c.index].inFlight+p.tiers.Queue(c.index).Len() >= p.room(now).limit
}

// overdue returns by how much the expected wait of a request exceeds what its
// deadline and its class's latency target leave; 0 when it does not.
func (d *Dispatcher) overdue(now time.Time, req model.Request, c *class, p *pool) time.Duration {
	s := p.states[c.index]
	if p.tiers.Queue(c.index).Len() == 0 {
		// Without a request that waits the drain rate would never be learned.
		return 0
	}
	wait := s.wait(now, p, c, req.Account, c.share(req.Account))
	slack := req.Deadline.Sub(now) - s.elapsed.Quantile(elapsedQuantile)
	if target := c.FirstToken.Std(); target > 0 {
		usual := min(s.firstToken.Quantile(firstTokenQuantile), target/2)
		slack = min(slack, target-now.Sub(req.Arrived)-usual)
	}
	slack = max(slack, 0)
	return max(wait-slack+min(slack/2, maxMargin), 0)
}

func (d *Dispatcher) enqueue(now time.Time, r *request) {
	s := r.pool.states[r.class.index]
	r.state = s
	q := r.pool.tiers.Queue(r.class.index)
	if q.Len() == 0 {
		s.drain.Began(now)
	}
	r.LatestStart = r.Deadline
	if !r.class.Protected && r.attempt == r.req.Attempt {
		r.LatestStart = r.Deadline.Add(-s.elapsed.Quantile(startQuantile))
	}
	q.Push(&r.Item, r.class.share(r.Account))
	d.expiry.Add(&r.Item)
}

func refusal(req model.Request, n model.Attempt, reason Reason, wait time.Duration) Action {
	return Action{
		Kind:       ActionRefuse,
		Request:    req.ID,
		Attempt:    n,
		Reason:     reason,
		RetryAfter: min(max(wait, minRetryAfter), maxRetryAfter),
	}
}
