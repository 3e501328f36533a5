package dispatch

import (
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/core/placement"
	"github.com/wigeonsail/wigeonsail/opconfig"
)

// SetConfig applies a validated configuration. The learned state of endpoints
// is kept. Queued requests stay queued if their class and pool still exist; the
// others are refused.
func (d *Dispatcher) SetConfig(now time.Time, cfg *opconfig.Config) []Action {
	waiting := d.dequeueAll()
	old := d.rules
	d.rules = newRules(cfg, old)
	d.setPools(cfg, old)
	d.setEndpoints(cfg)
	d.sumPeerLoad()
	out := d.rebindRequests(now, waiting)
	for _, p := range d.poolList {
		d.refreshLimits(now, p)
		out = d.grantQueued(now, p, out)
	}
	return out
}

// dequeueAll removes and returns all queued requests, in the order of their
// latest start.
func (d *Dispatcher) dequeueAll() []*request {
	var waiting []*request
	for it := d.expiry.First(); it != nil; it = d.expiry.First() {
		r := d.requests[it.ID]
		d.unqueue(r)
		waiting = append(waiting, r)
	}
	return waiting
}

// setPools replaces the pools and keeps the state of those that still exist.
func (d *Dispatcher) setPools(cfg *opconfig.Config, old *rules) {
	oldPools := d.pools
	d.pools = map[model.PoolName]*pool{}
	d.poolList = nil
	for _, c := range cfg.Pools {
		p := oldPools[c.Name]
		if p == nil {
			p = newPool(c, d.rules)
		} else {
			p.Pool = c
			p.carryOverStates(old, d.rules)
		}
		p.endpoints = nil
		d.pools[c.Name] = p
		d.poolList = append(d.poolList, p)
	}
}

// carryOverStates applies new rules and keeps the state of the classes that
// still exist.
func (p *pool) carryOverStates(old, next *rules) {
	states := p.states
	p.setRules(next)
	for i, c := range next.classes {
		if oldClass := old.byName[c.Name]; oldClass != nil {
			p.states[i] = states[oldClass.index]
		}
	}
}

// setEndpoints replaces the endpoints of this host's failure domain and keeps
// the learned state of those that still exist.
func (d *Dispatcher) setEndpoints(cfg *opconfig.Config) {
	oldEndpoints := d.endpoints
	d.endpoints = map[model.EndpointName]*endpointRef{}
	for _, c := range cfg.Endpoints {
		p := d.pools[c.Pool]
		if c.Domain != d.opts.Domain || p == nil {
			continue
		}
		e := carryOverEndpoint(oldEndpoints[c.Name], c)
		e.SetLeaving(placement.LeavingConfig, c.Leaving)
		e.Index = len(p.endpoints)
		p.endpoints = append(p.endpoints, e)
		d.endpoints[c.Name] = &endpointRef{Endpoint: e, pool: p}
	}
}

// carryOverEndpoint returns the existing endpoint, or a new one if it is
// unknown or its address has changed. A changed room resets the learned room.
func carryOverEndpoint(old *endpointRef, c opconfig.Endpoint) *placement.Endpoint {
	if old == nil || old.Address != c.Address {
		return placement.NewEndpoint(c.Name, c.Address, c.Room)
	}
	e := old.Endpoint
	if e.ConfiguredRoom != c.Room {
		e.ConfiguredRoom = c.Room
		e.Room = placement.NewRoom(c.Room)
	}
	return e
}

// rebindRequests points all requests to the new classes and pools, queues the
// waiting ones again and refuses those whose class or pool is gone.
func (d *Dispatcher) rebindRequests(now time.Time, waiting []*request) []Action {
	for _, r := range d.requests {
		if c := d.rules.byName[r.req.Class]; c != nil {
			r.class = c
		}
	}
	var out []Action
	for _, r := range waiting {
		r.pool = d.pools[r.req.Pool]
		if r.pool == nil || d.rules.byName[r.req.Class] == nil {
			delete(d.requests, r.ID)
			out = append(out, refusal(r.req, r.attempt, ReasonNoEndpoint, minRetryAfter))
			continue
		}
		d.enqueue(now, r)
	}
	return out
}
