package dispatch

import (
	"slices"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/admission"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/core/placement"
)

// protectedSpare is the room that an endpoint must have beside a protected
// request to be chosen without preemption.
const protectedSpare = 1

// run grants waiting requests of a pool while there is room for them.
func (d *Dispatcher) run(now time.Time, p *pool, out []Action) []Action {
	for p.tiers.Len() > 0 {
		room := p.room(now)
		index, it := p.tiers.Next(now, func(i int) admission.Room {
			return d.roomOf(now, p, d.rules.classes[i], room)
		})
		if it == nil {
			return out
		}
		r := d.requests[it.ID]
		e, acts := d.makeRoom(now, r, room.limit)
		if e == nil {
			return out
		}
		p.tiers.Queue(index).Take(it)
		out = append(out, acts...)
		out = append(out, d.grant(now, r, e))
	}
	return out
}

// makeRoom returns the endpoint for a request, by preemption where no endpoint
// has room. A protected request rather preempts than goes to an endpoint that
// is all but full, since what is known of the peers' work there is late.
func (d *Dispatcher) makeRoom(now time.Time, r *request, limit int) (*placement.Endpoint, []Action) {
	spare := 0
	if r.class.Protected {
		spare = protectedSpare
	}
	if e := d.choose(now, r, spare); e != nil {
		return e, nil
	}
	if act, e := d.preemptFor(now, r, limit); e != nil {
		return e, []Action{act}
	}
	return d.choose(now, r, 0), nil
}

// roomOf returns what a pool has for a class, with what it could preempt. While
// a peer has protected requests waiting, other classes keep to their floor.
func (d *Dispatcher) roomOf(now time.Time, p *pool, c *class, room poolRoom) admission.Room {
	out := admission.Room{InFlight: p.states[c.index].inFlight, Limit: room.limit}
	free := room.free
	if c.Protected {
		free = room.protected
	} else if p.yields && out.InFlight >= p.tiers.Floor(now, c.index, room.limit) {
		return out
	}
	out.Fits = free > p.reserved(d.rules, c, room.limit) || d.givingClass(now, p, c, room.limit) != nil
	return out
}

func (d *Dispatcher) choose(now time.Time, r *request, spare int) *placement.Endpoint {
	return placement.Choose(now, d.rng, r.pool.endpoints, placement.Wish{
		Prefix:    r.req.Prefix,
		Model:     r.req.Model,
		Avoid:     r.req.Avoid,
		Protected: r.class.Protected,
		Spare:     spare,
	})
}

func (d *Dispatcher) grant(now time.Time, r *request, e *placement.Endpoint) Action {
	d.expiry.Remove(&r.Item)
	s := r.state
	if r.preemptions == 0 {
		s.drain.Granted(now, r.pool.tiers.Queue(r.class.index).Len() > 0)
	}
	s.inFlight++
	if e.Health.Ejected() {
		e.Health.StartTrial()
	}
	e.Own++
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
	r.endpoint.Own--
	r.endpoint = nil
	r.state.inFlight--
	r.state.removeRunning(r)
	if l := r.class.limits[r.Account]; l != nil {
		l.tokens -= r.tokens
	}
}

// givingClass returns the lowest class of which a running request gives way to
// one of class c, or nil. To a class that is not protected it gives way down to
// its floor.
func (d *Dispatcher) givingClass(now time.Time, p *pool, c *class, limit int) *classState {
	for i := len(p.states) - 1; i > c.index; i-- {
		if d.rules.classes[i].Tier <= c.Tier {
			return nil
		}
		s := p.states[i]
		kept := 0
		if !c.Protected {
			kept = p.tiers.Floor(now, i, limit)
		}
		if s.inFlight > kept && slices.ContainsFunc(s.running, (*request).canGiveWay) {
			return s
		}
	}
	return nil
}

// victim returns the running request that gives way to one of class c: of the
// lowest class, the one with the latest deadline, so that the oldest requests
// go on and end.
func (d *Dispatcher) victim(now time.Time, p *pool, c *class, limit int) *request {
	s := d.givingClass(now, p, c, limit)
	if s == nil {
		return nil
	}
	var best *request
	for _, r := range s.running {
		if r.canGiveWay() && (best == nil || r.Deadline.After(best.Deadline)) {
			best = r
		}
	}
	return best
}

// canGiveWay says that the endpoint can resume the request and may be given
// another in its place.
func (r *request) canGiveWay() bool {
	e := r.endpoint
	return e.CanResume && !e.Leaving() && !e.Health.Ejected()
}

// preemptFor cancels a running request for one of a higher tier and returns the
// endpoint that it left. The canceled request waits again for its next attempt.
func (d *Dispatcher) preemptFor(now time.Time, higher *request, limit int) (Action, *placement.Endpoint) {
	r := d.victim(now, higher.pool, higher.class, limit)
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
