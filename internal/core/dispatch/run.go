package dispatch

import (
	"math"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/core/placement"
)

// maxPreemptions bounds how often a request gives way to classes that are not
// protected.
const maxPreemptions = 3

// run grants waiting requests of a pool while there is room for them.
func (d *Dispatcher) run(now time.Time, p *pool, out []Action) []Action {
	for p.tiers.Len() > 0 {
		free, limit := p.free(now)
		index, it := p.tiers.Next(now, func(i int) bool {
			c := d.rules.classes[i]
			if free > p.reserved(d.rules, c, limit) {
				return true
			}
			return d.victim(p, c, limit) != nil
		})
		if it == nil {
			return out
		}
		r := d.requests[it.ID]
		e := d.choose(now, r)
		if e == nil {
			var act Action
			if act, e = d.preemptFor(now, r, limit); e == nil {
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

// victim returns the running request that gives way to one of class c at the
// least cost: of the lowest class, the one with the fewest tokens to compute
// again. Only endpoints that can resume are considered.
func (d *Dispatcher) victim(p *pool, c *class, limit int) *request {
	var best *request
	for _, r := range p.preemptible {
		if !r.givesWayTo(c, limit) {
			continue
		}
		if best == nil || r.givesWayBefore(best) {
			best = r
		}
	}
	return best
}

// givesWayTo says whether a running request may be preempted for class c. For
// classes that are not protected its class keeps the floor, and no request is
// preempted without end.
func (r *request) givesWayTo(c *class, limit int) bool {
	if r.class.Tier <= c.Tier || !r.endpoint.CanResume {
		return false
	}
	if r.endpoint.Leaving() || r.endpoint.Health.Ejected() {
		return false
	}
	if c.Protected {
		return true
	}
	kept := int(math.Ceil(r.class.Floor * float64(limit)))
	return r.state.inFlight > kept && r.preemptions < maxPreemptions
}

func (r *request) givesWayBefore(other *request) bool {
	if r.class.index != other.class.index {
		return r.class.index > other.class.index
	}
	return r.granted.After(other.granted)
}

// preemptFor cancels a running request for one of a higher tier and returns the
// endpoint that it left. The canceled request waits again for its next attempt.
func (d *Dispatcher) preemptFor(now time.Time, higher *request, limit int) (Action, *placement.Endpoint) {
	r := d.victim(higher.pool, higher.class, limit)
	if r == nil {
		return Action{}, nil
	}
	e := r.endpoint
	act := Action{Kind: ActionPreempt, Request: r.ID, Attempt: r.attempt, Endpoint: e.Name, Address: e.Address}
	d.release(r)
	r.attempt++
	r.preemptions++
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
