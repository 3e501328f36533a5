package dispatch

import (
	"slices"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/admission"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/core/placement"
)

// protectedSpare is the room that an endpoint must have left after a protected
// request to be chosen without preemption.
const protectedSpare = 1

// grantQueued grants queued requests of a pool while there is room for them and
// appends the actions to out.
func (d *Dispatcher) grantQueued(now time.Time, p *pool, out []Action) []Action {
	for p.tiers.Len() > 0 {
		room := p.room(now)
		index, it := p.tiers.Next(now, func(i int) admission.Room {
			return d.classRoom(now, p, d.rules.classes[i], room)
		})
		if it == nil {
			return out
		}
		r := d.requests[it.ID]
		e, acts := d.placeOrPreempt(now, r, room.limit)
		if e == nil {
			return out
		}
		p.tiers.Queue(index).Serve(it)
		out = append(out, acts...)
		out = append(out, d.grant(now, r, e))
	}
	return out
}

// placeOrPreempt returns the endpoint for a request, with a preemption if no
// endpoint has room. For a protected request, preemption is preferred to an
// endpoint that is almost full, since the known load of the peers there is
// outdated.
func (d *Dispatcher) placeOrPreempt(now time.Time, r *request, limit int) (*placement.Endpoint, []Action) {
	spare := 0
	if r.class.Protected {
		spare = protectedSpare
	}
	if e := d.chooseEndpoint(now, r, spare); e != nil {
		return e, nil
	}
	if act, e := d.preemptFor(now, r, limit); e != nil {
		return e, []Action{act}
	}
	return d.chooseEndpoint(now, r, 0), nil
}

// classRoom returns the room of a pool for a class, including what it could
// preempt. While a peer has protected requests queued, other classes are held
// to their floor.
func (d *Dispatcher) classRoom(now time.Time, p *pool, c *class, room poolRoom) admission.Room {
	out := admission.Room{InFlight: p.states[c.index].inFlight, Limit: room.limit}
	free := room.free
	if c.Protected {
		free = room.protected
	} else if p.yieldsToPeers && out.InFlight >= p.tiers.Floor(now, c.index, room.limit) {
		return out
	}
	out.Fits = free > p.headroomForOthers(d.rules, c, room.limit) || d.preemptibleClass(now, p, c, room.limit) != nil
	return out
}

// chooseEndpoint returns an endpoint with room for the request and spare more,
// or nil.
func (d *Dispatcher) chooseEndpoint(now time.Time, r *request, spare int) *placement.Endpoint {
	return placement.Choose(now, d.rng, r.pool.endpoints, placement.Requirements{
		Prefix:    r.req.Prefix,
		Model:     r.req.Model,
		Avoid:     r.req.Avoid,
		Protected: r.class.Protected,
		Spare:     spare,
	})
}

// grant records a request as running at an endpoint and returns the action.
func (d *Dispatcher) grant(now time.Time, r *request, e *placement.Endpoint) Action {
	d.expiry.Remove(&r.Item)
	s := r.state
	if r.preemptions == 0 {
		s.drain.RecordGrant(now, r.pool.tiers.Queue(r.class.index).Len() > 0)
	}
	s.inFlight++
	if e.Health.IsEjected() {
		e.Health.StartTrial()
	}
	e.LocalInFlight++
	r.endpoint = e
	r.granted = now
	r.tokens = 0
	if r.class.Preemptible && r.class.Idempotent && !r.class.Protected {
		s.addRunning(r)
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
	r.endpoint.LocalInFlight--
	r.endpoint = nil
	r.state.inFlight--
	r.state.removeRunning(r)
	if l := r.class.limits[r.Account]; l != nil {
		l.tokens -= r.tokens
	}
}

// preemptibleClass returns the lowest class of which a running request can be
// preempted for one of class c, or nil. For a class that is not protected,
// other classes are preempted only down to their floor.
func (d *Dispatcher) preemptibleClass(now time.Time, p *pool, c *class, limit int) *classState {
	for i := len(p.states) - 1; i > c.index; i-- {
		if d.rules.classes[i].Tier <= c.Tier {
			return nil
		}
		s := p.states[i]
		floor := 0
		if !c.Protected {
			floor = p.tiers.Floor(now, i, limit)
		}
		if s.inFlight > floor && slices.ContainsFunc(s.running, (*request).isPreemptible) {
			return s
		}
	}
	return nil
}

// preemptionVictim returns the running request to preempt for one of class c:
// in the lowest class, the one with the latest deadline, so that the oldest
// requests finish.
func (d *Dispatcher) preemptionVictim(now time.Time, p *pool, c *class, limit int) *request {
	s := d.preemptibleClass(now, p, c, limit)
	if s == nil {
		return nil
	}
	var best *request
	for _, r := range s.running {
		if r.isPreemptible() && (best == nil || r.Deadline.After(best.Deadline)) {
			best = r
		}
	}
	return best
}

// isPreemptible reports whether the endpoint can resume the request and may be
// given another in its place.
func (r *request) isPreemptible() bool {
	e := r.endpoint
	return e.CanResume && !e.IsLeaving() && !e.Health.IsEjected()
}

// preemptFor cancels a running request in favor of one of a higher tier and
// returns the endpoint that becomes free. The canceled request is queued again
// for its next attempt.
func (d *Dispatcher) preemptFor(now time.Time, higher *request, limit int) (Action, *placement.Endpoint) {
	r := d.preemptionVictim(now, higher.pool, higher.class, limit)
	if r == nil {
		return Action{}, nil
	}
	e := r.endpoint
	act := Action{Kind: ActionPreempt, Request: r.ID, Attempt: r.attempt, Endpoint: e.Name, Address: e.Address}
	d.release(r)
	r.attempt++
	r.preemptions++
	r.Resumed = true
	d.enqueue(now, r)
	return act, e
}

// Cancel removes a queued request whose caller has disconnected. A running
// attempt is ended by Finish instead.
func (d *Dispatcher) Cancel(now time.Time, id model.RequestID) []Action {
	r := d.requests[id]
	if r == nil || r.endpoint != nil {
		return nil
	}
	d.unqueue(r)
	delete(d.requests, id)
	return nil
}
