package dispatch

import (
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/core/placement"
)

// run grants waiting requests of a pool while there is room for them.
func (d *Dispatcher) run(now time.Time, p *pool, out []Action) []Action {
	for p.tiers.Len() > 0 {
		free, limit := p.free(now)
		index, it := p.tiers.Next(now, func(i int) bool {
			c := d.rules.classes[i]
			if free > p.reserved(d.rules, c, limit) {
				return true
			}
			return c.Protected && d.victim(p) != nil
		})
		if it == nil {
			return out
		}
		r := d.requests[it.ID]
		e := d.choose(now, r)
		if e == nil {
			var act Action
			if act, e = d.preemptFor(now, r); e == nil {
				return out
			}
			out = append(out, act)
		}
		p.tiers.Take(now, index, it)
		out = append(out, d.grant(now, r, e))
	}
	return out
}

func (d *Dispatcher) choose(now time.Time, r *request) *placement.Endpoint {
	return placement.Choose(now, d.rng, r.pool.endpoints, placement.Wish{
		Prefix: r.req.Prefix,
		Model:  r.req.Model,
		Avoid:  r.req.Avoid,
	})
}

func (d *Dispatcher) grant(now time.Time, r *request, e *placement.Endpoint) Action {
	d.expiry.Remove(&r.Item)
	s := r.state
	s.drain.Granted(now, r.pool.tiers.Queue(r.class.index).Len() > 0)
	s.inFlight++
	if e.Health.Ejected() {
		e.Health.StartTrial()
	}
	e.Own++
	r.endpoint = e
	r.granted = now
	r.tokens = 0
	if r.class.Preemptible && !r.class.Protected {
		r.pool.addPreemptible(r)
	}
	return Action{
		Kind:     ActionGrant,
		Request:  r.ID,
		Attempt:  r.attempt,
		Endpoint: e.Name,
		Address:  e.Address,
		Priority: int(r.class.Tier),
	}
}

// release frees the room of a running request.
func (d *Dispatcher) release(r *request) {
	r.endpoint.Own--
	r.endpoint = nil
	r.state.inFlight--
	r.pool.removePreemptible(r)
	if l := r.class.limits[r.Account]; l != nil {
		l.tokens -= r.tokens
	}
}

// victim returns the running request that gives way at the least cost: of the
// lowest class, the one with the fewest tokens to compute again. Only endpoints
// that can resume are considered.
func (d *Dispatcher) victim(p *pool) *request {
	var best *request
	for _, r := range p.preemptible {
		if !r.endpoint.CanResume || r.endpoint.Leaving() || r.endpoint.Health.Ejected() {
			continue
		}
		if best == nil || r.givesWayBefore(best) {
			best = r
		}
	}
	return best
}

func (r *request) givesWayBefore(other *request) bool {
	if r.class.index != other.class.index {
		return r.class.index > other.class.index
	}
	return r.granted.After(other.granted)
}

// preemptFor cancels a running request for a protected one and returns the
// endpoint that it left. The canceled request waits again for its next attempt.
func (d *Dispatcher) preemptFor(now time.Time, protected *request) (Action, *placement.Endpoint) {
	if !protected.class.Protected {
		return Action{}, nil
	}
	r := d.victim(protected.pool)
	if r == nil {
		return Action{}, nil
	}
	e := r.endpoint
	act := Action{Kind: ActionPreempt, Request: r.ID, Attempt: r.attempt, Endpoint: e.Name, Address: e.Address}
	d.release(r)
	r.attempt++
	d.enqueue(now, r)
	return act, e
}

// Cancel withdraws a request whose caller has gone. A running attempt is
// ended by Finish as well.
func (d *Dispatcher) Cancel(now time.Time, id model.RequestID) []Action {
	r := d.requests[id]
	if r == nil || r.endpoint != nil {
		return nil
	}
	d.unqueue(r)
	delete(d.requests, id)
	return nil
}
