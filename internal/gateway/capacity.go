package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/capacity"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/core/routing"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

// Orders of endpoints: every host observes the pools, and the one that holds the duty sends
// the orders that are due. See docs/design/capacity.md.

const (
	// capacityInterval is the time between two reviews of the pools.
	capacityInterval = 250 * time.Millisecond
	// maxTermGap is the time between two terms of this host in which another one has hardly
	// given orders: after a refused call, the host claims the duty again at once.
	maxTermGap = 2 * time.Second
)

// orderHolder tells whether this host gives the orders, and sends them. *dutyKeeper
// implements it.
type orderHolder interface {
	holder(now time.Time) (port.DutyHolder, bool)
	call(holder port.DutyHolder, held port.Duty, send func(ctx context.Context) error, done func(now time.Time, err error))
}

// capacityDriver sends the orders of endpoints. The control loop owns it.
type capacityDriver struct {
	gateway *Gateway
	duty    orderHolder
	planner *capacity.Planner
	// pools are the pools whose endpoints can be ordered.
	pools      map[model.PoolName]routing.Pool
	reviewedAt time.Time
	// heldAt is when this host was last seen to hold the duty.
	heldAt time.Time
}

func newCapacityDriver(g *Gateway, duty orderHolder) *capacityDriver {
	return &capacityDriver{gateway: g, duty: duty, planner: capacity.NewPlanner()}
}

// setPools applies a new configuration.
func (d *capacityDriver) setPools(pools []routing.Pool) {
	d.pools = make(map[model.PoolName]routing.Pool)
	for _, p := range pools {
		if p.Scaling != nil {
			d.pools[p.Name] = p
		}
	}
	d.planner.Forget(d.isScaled)
}

// isOn reports whether endpoints can be ordered.
func (d *capacityDriver) isOn() bool {
	return len(d.pools) > 0 && d.gateway.opts.Duties.has(port.DutyCapacity)
}

// isScaled reports whether the endpoints of a pool can be ordered.
func (d *capacityDriver) isScaled(pool model.PoolName) bool {
	_, scaled := d.pools[pool]
	return scaled
}

// tick observes the pools at most once per capacityInterval, and sends the orders that are
// due if this host gives them.
func (d *capacityDriver) tick(now time.Time, c *control) {
	if !d.isOn() || now.Sub(d.reviewedAt) < capacityInterval {
		return
	}
	d.reviewedAt = now
	views := c.poolViews(now)
	for _, v := range views {
		d.planner.Observe(now, v)
	}
	d.setMetrics(now)
	holder, holds := d.duty.holder(now)
	if !holds {
		if now.Sub(d.heldAt) > maxTermGap {
			d.planner.Stop()
		}
		return
	}
	d.heldAt = now
	if !d.planner.HasTakenOver() {
		d.planner.TakeOver(now)
		d.gateway.opts.Log.WithField("fence", holder.Fence).Info("capacity: this host orders endpoints")
	}
	for _, v := range views {
		for _, decision := range d.planner.Plan(now, v) {
			d.send(holder, decision)
		}
	}
}

// send sends an order in the background.
func (d *capacityDriver) send(holder port.DutyHolder, decision capacity.Decision) {
	g := d.gateway
	send := func(ctx context.Context) error {
		return g.opts.Duties.Client.OrderCapacity(ctx, holder, decision.Order)
	}
	d.duty.call(holder, port.DutyCapacity, send, func(now time.Time, err error) {
		logOrder(g.opts.Log, decision, err)
		outcome := orderOutcome(err)
		d.planner.Record(now, decision.Order, outcome)
		g.opts.Metrics.Ordered(decision.Order.Pool, outcome.String())
	})
}

// orderOutcome returns the outcome of an order. A refusal does not tell whether another host
// has used a higher fence or there are no endpoints: both are assumed.
func orderOutcome(err error) capacity.Outcome {
	var failure *port.DutyError
	switch {
	case err == nil:
		return capacity.OutcomeAccepted
	case !errors.As(err, &failure):
		return capacity.OutcomeUnknown
	case failure.Conflict:
		return capacity.OutcomeUnavailable
	case failure.TooMany || failure.Outcome == model.OutcomeNotRun:
		return capacity.OutcomeNotSent
	default:
		return capacity.OutcomeUnknown
	}
}

// setMetrics sets the gauges about the pools.
func (d *capacityDriver) setMetrics(now time.Time) {
	var ordered, serving, booting, leaving int
	for _, s := range d.planner.Status(now) {
		ordered += max(s.Ordered, 0)
		serving += s.Serving
		booting += s.Booting
		leaving += s.Leaving
	}
	d.gateway.opts.Metrics.SetCapacity(ordered, serving, booting, leaving)
}

// poolViews returns what this host knows of the pools whose endpoints can be ordered.
func (c *control) poolViews(now time.Time) []capacity.PoolView {
	demand := make(demandSum)
	reported := c.demand.byDomain(c.gateway.opts.Domain)
	for _, sum := range reported {
		for _, n := range sum {
			demand.add(n, 1)
		}
	}
	views := make(map[model.PoolName]*capacity.PoolView, len(c.capacity.pools))
	for name, p := range c.capacity.pools {
		load, slots := c.balancer.PoolLoad(name)
		pending := 0
		for _, n := range load.PendingPrefill {
			pending += n
		}
		views[name] = &capacity.PoolView{
			Pool: name, Engine: p.Engine, Slots: slots, Scaling: *p.Scaling, Endpoints: make(map[capacity.Group]capacity.Endpoints),
			Demand: demand[name], Load: capacity.Load{Running: load.Count, Urgent: load.Urgent, PendingPrefill: pending, Memory: load.Memory},
			Current: c.isListCurrent(now) && c.isDemandComplete(now, reported),
		}
	}
	c.countEndpoints(views)
	var out []capacity.PoolView
	for _, v := range views {
		out = append(out, *v)
	}
	return out
}

// countEndpoints counts the listed endpoints of the pools. The failure domains of a pool are
// those in which it has had endpoints.
func (c *control) countEndpoints(views map[model.PoolName]*capacity.PoolView) {
	for _, e := range c.directory.Entries() {
		v := views[e.Pool]
		if v == nil {
			continue
		}
		id := capacity.Group{Pool: e.Pool, Domain: e.Domain, Reclaimable: e.Reclaimable}
		n := v.Endpoints[id]
		if c.directory.IsDraining(e.Name) {
			n.Leaving++
		} else {
			n.Serving++
		}
		v.Endpoints[id] = n
	}
	for _, v := range views {
		v.Domains = c.capacity.planner.Domains(v)
	}
}

// isDemandComplete reports whether all failure domains with hosts have reported their demand.
func (c *control) isDemandComplete(now time.Time, reported map[model.DomainName]demandSum) bool {
	for _, domain := range c.balancer.HostDomains(now) {
		if reported[domain] == nil {
			return false
		}
	}
	return true
}

// views returns the state of the pools that can be scaled.
func (d *capacityDriver) views(now time.Time) []CapacityView {
	if !d.isOn() {
		return nil
	}
	var out []CapacityView
	for _, s := range d.planner.Status(now) {
		out = append(out, CapacityView{
			Pool: s.Pool, Domain: s.Domain, Reclaimable: s.Reclaimable, Need: d.planner.Need(s.Pool),
			Ordered: s.Ordered, Serving: s.Serving, Booting: s.Booting, Leaving: s.Leaving, Unavailable: s.Paused, Why: s.Why,
		})
	}
	return out
}
