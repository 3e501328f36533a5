package dispatch

import (
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/core/placement"
	"github.com/wigeonsail/wigeonsail/opconfig"
)

// SetConfig puts a checked configuration in force. What was learned of
// endpoints goes on, and requests that wait keep waiting where class and pool
// still exist; the others are refused.
func (d *Dispatcher) SetConfig(now time.Time, cfg *opconfig.Config) []Action {
	waiting := d.takeQueued()
	old := d.rules
	d.rules = newRules(cfg, old)
	d.setPools(cfg, old)
	d.setEndpoints(cfg)
	d.countPeers()
	out := d.rebind(now, waiting)
	for _, p := range d.poolList {
		d.refresh(now, p)
		out = d.run(now, p, out)
	}
	return out
}

// takeQueued removes all waiting requests, in the order of their latest start.
func (d *Dispatcher) takeQueued() []*request {
	var waiting []*request
	for it := d.expiry.First(); it != nil; it = d.expiry.First() {
		r := d.requests[it.ID]
		d.unqueue(r)
		waiting = append(waiting, r)
	}
	return waiting
}

func (d *Dispatcher) setPools(cfg *opconfig.Config, old *rules) {
	before := d.pools
	d.pools = map[model.PoolName]*pool{}
	d.poolList = nil
	for _, c := range cfg.Pools {
		p := before[c.Name]
		if p == nil {
			p = newPool(c, d.rules)
		} else {
			p.Pool = c
			p.keepStates(old, d.rules)
		}
		p.endpoints = nil
		d.pools[c.Name] = p
		d.poolList = append(d.poolList, p)
	}
}

func (p *pool) keepStates(old, next *rules) {
	states := p.states
	p.setRules(next)
	for i, c := range next.classes {
		if was := old.byName[c.Name]; was != nil {
			p.states[i] = states[was.index]
		}
	}
}

func (d *Dispatcher) setEndpoints(cfg *opconfig.Config) {
	before := d.endpoints
	d.endpoints = map[model.EndpointName]*endpointRef{}
	for _, c := range cfg.Endpoints {
		p := d.pools[c.Pool]
		if c.Domain != d.opts.Domain || p == nil {
			continue
		}
		e := keepEndpoint(before[c.Name], c)
		e.SetLeaving(placement.LeavingConfig, c.Leaving)
		e.Index = len(p.endpoints)
		p.endpoints = append(p.endpoints, e)
		d.endpoints[c.Name] = &endpointRef{Endpoint: e, pool: p}
	}
}

func keepEndpoint(before *endpointRef, c opconfig.Endpoint) *placement.Endpoint {
	if before == nil || before.Address != c.Address {
		return placement.NewEndpoint(c.Name, c.Address, c.Room)
	}
	e := before.Endpoint
	if e.Configured != c.Room {
		e.Configured = c.Room
		e.Room = placement.NewRoom(c.Room)
	}
	return e
}

// rebind leads the requests in hand to the new classes and pools.
func (d *Dispatcher) rebind(now time.Time, waiting []*request) []Action {
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
