package capacity

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/core/routing"
)

// Group are the endpoints of one kind of a pool in a failure domain.
type Group struct {
	Pool        model.PoolName
	Domain      model.DomainName
	Reclaimable bool
}

// Endpoints counts the listed endpoints of a group.
type Endpoints struct {
	// Serving accept requests, Leaving are draining.
	Serving, Leaving int
}

// PoolView is what a host knows of a pool whose endpoints can be ordered.
type PoolView struct {
	Pool model.PoolName
	// Engine is nil for plain services. Slots is the number of requests that an endpoint
	// runs at once.
	Engine  *routing.Engine
	Slots   int
	Scaling routing.Scaling
	// Domains are the failure domains in which endpoints can be ordered.
	Domains   []model.DomainName
	Endpoints map[Group]Endpoints
	// Demand is the sum over all hosts, Load what their requests occupy. Current reports
	// that neither is outdated and that the list of endpoints is up to date: else the pool
	// does not shrink.
	Demand  Demand
	Load    Load
	Current bool
}

// Decision is an order that is due.
type Decision struct {
	Order  Order
	Reason Reason
	// Need is the number of endpoints that carry the load, Before the number of ordered ones
	// before; -1 if it was not known. Serving is the number of those that serve.
	Need            float64
	Before, Serving int
}

// Reason is why an order is due.
type Reason string

// The reasons for orders.
const (
	ReasonCheaper   Reason = "cheaper"
	ReasonGrows     Reason = "load_grows"
	ReasonShrinks   Reason = "load_shrinks"
	ReasonReclaimed Reason = "reclaimed"
	ReasonRepeat    Reason = "repeat"
)

// Outcome is the outcome of an order.
type Outcome uint8

// The outcomes of orders.
const (
	// OutcomeAccepted: the platform has accepted the order.
	OutcomeAccepted Outcome = iota
	// OutcomeUnavailable: there are no such endpoints at the moment.
	OutcomeUnavailable
	// OutcomeNotSent: the platform has not got the order.
	OutcomeNotSent
	// OutcomeUnknown: the order may take effect, also seconds later.
	OutcomeUnknown
)

// String returns the outcome as used in metrics.
func (o Outcome) String() string {
	switch o {
	case OutcomeUnavailable:
		return "unavailable"
	case OutcomeNotSent:
		return "not_sent"
	case OutcomeUnknown:
		return "unknown"
	default:
		return "accepted"
	}
}

const (
	// minPause and maxPause bound the time without orders of a group after it was not
	// available. It doubles with each refusal in a row.
	minPause = 2 * time.Second
	maxPause = 4 * time.Second
	// notSentPause is the time after which an order that was not sent is due again.
	notSentPause = 300 * time.Millisecond
)

// group is the state of a group.
type group struct {
	// ordered is the count of the last order; -1 if it is not known. orderedAt is the time
	// of that order or of its last repeat, repeats the number of repeats.
	ordered   int
	orderedAt time.Time
	repeats   int
	inFlight  bool
	// unknown reports that the outcome of the last order is not known.
	unknown bool
	// refused reports that the last order was refused, refusals how many were in a row. There
	// is no order before pausedUntil.
	refused     bool
	refusals    int
	pausedUntil time.Time
	// notBefore is when an order that was not sent is due again.
	notBefore time.Time
	// reclaimed reports that serving endpoints were lost since the last order.
	reclaimed bool
	// seen is what was listed last.
	seen Endpoints
	why  Reason
}

// count returns the number of endpoints that the group has or will have.
func (g *group) count() int {
	if g.ordered >= 0 && !g.refused {
		return g.ordered
	}
	return g.seen.Serving
}

// wished returns the number of endpoints that the group has or should have got.
func (g *group) wished() int { return max(g.ordered, g.count()) }

// Planner decides which orders are due. It is not safe for concurrent use: the control loop
// owns it.
type Planner struct {
	// since is when this host has taken over the orders; zero while it has not.
	since   time.Time
	groups  map[Group]*group
	history map[model.PoolName]*history
}

// NewPlanner returns a Planner that knows nothing.
func NewPlanner() *Planner {
	return &Planner{groups: make(map[Group]*group), history: make(map[model.PoolName]*history)}
}

// Domains returns the failure domains in which a pool has or has had endpoints.
func (p *Planner) Domains(v *PoolView) []model.DomainName {
	seen := make(map[model.DomainName]bool)
	for id := range v.Endpoints {
		seen[id.Domain] = true
	}
	for id := range p.groups {
		if id.Pool == v.Pool {
			seen[id.Domain] = true
		}
	}
	return slices.Sorted(maps.Keys(seen))
}

// Observe records what the host knows of a pool. All hosts do this, so that each can take
// over.
func (p *Planner) Observe(now time.Time, v PoolView) {
	h := p.history[v.Pool]
	if h == nil {
		h = &history{}
		p.history[v.Pool] = h
	}
	busy := v.Demand.Requests > 0 || v.Load.Running > 0
	h.record(now, need(v.Engine, v.Slots, v.Demand, v.Load), busy, v.Scaling.BootTime)
	h.urgent = max(h.urgent, urgentNeed(v.Engine, v.Slots, v.Load))
	for _, domain := range v.Domains {
		for _, reclaimable := range []bool{false, true} {
			id := Group{Pool: v.Pool, Domain: domain, Reclaimable: reclaimable}
			p.group(id).observe(v.Endpoints[id])
		}
	}
}

// observe records what is listed of a group.
func (g *group) observe(seen Endpoints) {
	before := g.ordered
	if before < 0 {
		before = g.seen.Serving
	}
	if seen.Serving < g.seen.Serving && before > 0 && 2*seen.Serving <= before {
		g.reclaimed = true
	}
	g.seen = seen
}

func (p *Planner) group(id Group) *group {
	g := p.groups[id]
	if g == nil {
		g = &group{ordered: -1}
		p.groups[id] = g
	}
	return g
}

// TakeOver begins the orders of this host. What was ordered before is not known, but what was
// not available still counts.
func (p *Planner) TakeOver(now time.Time) {
	p.since = now
	for _, g := range p.groups {
		*g = group{ordered: -1, seen: g.seen, refused: g.refused, refusals: g.refusals, pausedUntil: g.pausedUntil}
	}
}

// Stop ends the orders of this host.
func (p *Planner) Stop() { p.since = time.Time{} }

// HasTakenOver reports whether this host gives the orders.
func (p *Planner) HasTakenOver() bool { return !p.since.IsZero() }

// Plan returns the orders that are due for an observed pool. Each counts as given until
// Record.
func (p *Planner) Plan(now time.Time, v PoolView) []Decision {
	if !p.HasTakenOver() || len(v.Domains) == 0 {
		return nil
	}
	goal := p.goal(now, v)
	var out []Decision
	for _, domain := range v.Domains {
		for _, reclaimable := range []bool{true, false} {
			id := Group{Pool: v.Pool, Domain: domain, Reclaimable: reclaimable}
			g := p.group(id)
			if g.inFlight || now.Before(g.pausedUntil) || now.Before(g.notBefore) {
				continue
			}
			want, reason := p.wanted(now, v, id, goal)
			if reason == "" {
				continue
			}
			out = append(out, Decision{
				Order: Order{Pool: v.Pool, Domain: domain, Reclaimable: reclaimable, Count: want}, Reason: reason,
				Need: goal.need, Before: g.ordered, Serving: g.seen.Serving,
			})
			p.give(now, g, want, reason)
		}
	}
	return out
}

// give records an order as given.
func (p *Planner) give(now time.Time, g *group, count int, reason Reason) {
	g.repeats++
	if count != g.ordered || reason == ReasonReclaimed || g.refused {
		g.repeats = 0
	}
	g.ordered, g.orderedAt, g.inFlight, g.reclaimed, g.why = count, now, true, false, reason
}

// Record records the outcome of an order of Plan.
func (p *Planner) Record(now time.Time, o Order, outcome Outcome) {
	g := p.group(Group{Pool: o.Pool, Domain: o.Domain, Reclaimable: o.Reclaimable})
	g.inFlight = false
	g.unknown = outcome == OutcomeUnknown
	g.refused = outcome == OutcomeUnavailable || outcome == OutcomeNotSent
	switch outcome {
	case OutcomeUnavailable:
		g.pausedUntil = now.Add(min(minPause<<min(g.refusals, 8), maxPause))
		g.refusals++
	case OutcomeNotSent:
		g.notBefore = now.Add(notSentPause)
	default:
		g.refusals, g.pausedUntil = 0, time.Time{}
	}
}

// GroupStatus is the state of a group.
type GroupStatus struct {
	Group
	// Ordered is the count of the last order; -1 if it is not known.
	Ordered          int
	Serving, Leaving int
	// Booting is the number of ordered endpoints that do not serve yet.
	Booting int
	// Paused reports that there are none available at the moment.
	Paused bool
	Why    Reason
}

// Status returns the state of all groups, in the order of their names.
func (p *Planner) Status(now time.Time) []GroupStatus {
	var out []GroupStatus
	for id, g := range p.groups {
		out = append(out, GroupStatus{
			Group: id, Ordered: g.ordered, Serving: g.seen.Serving, Leaving: g.seen.Leaving,
			Booting: max(g.ordered-g.seen.Serving, 0), Paused: now.Before(g.pausedUntil), Why: g.why,
		})
	}
	slices.SortFunc(out, func(a, b GroupStatus) int {
		kind := 0
		if a.Reclaimable != b.Reclaimable {
			kind = 1
			if b.Reclaimable {
				kind = -1
			}
		}
		return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Domain, b.Domain), kind)
	})
	return out
}

// Need returns the number of endpoints that the load of a pool needs; 0 if it is not known.
func (p *Planner) Need(pool model.PoolName) float64 {
	h := p.history[pool]
	if h == nil {
		return 0
	}
	n, _ := h.peak()
	return n
}

// Forget drops the state of pools that are not configured any more.
func (p *Planner) Forget(configured func(model.PoolName) bool) {
	maps.DeleteFunc(p.groups, func(id Group, _ *group) bool { return !configured(id.Pool) })
	maps.DeleteFunc(p.history, func(name model.PoolName, _ *history) bool { return !configured(name) })
}
