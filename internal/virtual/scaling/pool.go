// Package scaling simulates a pool whose endpoints are ordered from a platform: they boot, are
// reclaimed by failure domain, run dry, and cost by domain and kind. It compares the order
// policy of the gateway with others, on a simulated clock.
package scaling

import (
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/capacity"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/core/routing"
)

// PoolName is the name of the simulated pool.
const PoolName model.PoolName = "pool"

// Reclaim takes away the reclaimable endpoints of a domain.
type Reclaim struct {
	At     time.Duration
	Domain model.DomainName
	// Dry is the time from At in which none are available there.
	Dry time.Duration
}

// Burst multiplies the load for a time.
type Burst struct {
	At, For time.Duration
	Factor  float64
}

// Options describes a pool and its load.
type Options struct {
	Duration time.Duration
	// Lead is the time before the first requests.
	Lead    time.Duration
	Domains []model.DomainName
	// StartEach is the number of endpoints by domain at the start.
	StartEach int
	Scaling   routing.Scaling
	Engine    routing.Engine
	// Notice is the time from a reclaim until the endpoints end.
	Notice time.Duration
	// PromptTokens are the prompt tokens per second that callers request. TokensPerSecond is
	// the speed at which an endpoint reads them, InFlight the mean time of a request at an
	// endpoint, and TokensPerRequest the mean length of a prompt.
	PromptTokens     float64
	TokensPerSecond  float64
	InFlight         time.Duration
	TokensPerRequest float64
	// Swing is the part by which the load rises and falls over SwingPeriod.
	Swing       float64
	SwingPeriod time.Duration
	Bursts      []Burst
	Reclaims    []Reclaim
}

// Defaults returns a pool of the size of a real one, with a load that it carries easily.
func Defaults() Options {
	return Options{
		Duration: time.Minute, Lead: 14 * time.Second, Domains: []model.DomainName{"a", "b", "c"}, StartEach: 47,
		Scaling: routing.Scaling{
			Min: 1, Max: 94, BootTime: 4 * time.Second, ReclaimablePrice: 0.18,
			DomainPrices: map[model.DomainName]float64{"a": 1, "b": 0.8, "c": 1.25},
		},
		Engine: routing.Engine{Slots: 16, CacheTokens: 500_000}, Notice: 2300 * time.Millisecond,
		PromptTokens: 1_000_000, TokensPerSecond: 60_000, InFlight: 1100 * time.Millisecond, TokensPerRequest: 2900,
		Swing: 0.25, SwingPeriod: 11 * time.Second,
	}
}

// Trouble returns a pool with a burst while the reclaimable endpoints of a domain are taken
// away and none are available there, in the middle of a duration.
func Trouble(duration time.Duration) Options {
	out := Defaults()
	out.Duration = duration
	at := out.Lead + (duration-out.Lead)/2
	out.Bursts = []Burst{{At: at, For: 8 * time.Second, Factor: 2.4}}
	out.Reclaims = []Reclaim{{At: at, Domain: "b", Dry: 10 * time.Second}}
	return out
}

// step is the resolution of the simulation.
const step = 250 * time.Millisecond

// endpoint is an endpoint of the pool.
type endpoint struct {
	group    capacity.Group
	servesAt time.Duration
	// endsAt is when it ends; 0 while it stays.
	endsAt time.Duration
}

// pool is the state of the pool at the platform.
type pool struct {
	opts      Options
	endpoints []*endpoint
	desired   map[capacity.Group]int
}

func newPool(opts Options) *pool {
	p := &pool{opts: opts, desired: make(map[capacity.Group]int)}
	for _, d := range opts.Domains {
		id := capacity.Group{Pool: PoolName, Domain: d}
		p.desired[id] = opts.StartEach
		for range opts.StartEach {
			p.endpoints = append(p.endpoints, &endpoint{group: id})
		}
	}
	return p
}

// order carries out an order. It returns false if none are available.
func (p *pool) order(now time.Duration, o capacity.Order) bool {
	id := capacity.Group{Pool: o.Pool, Domain: o.Domain, Reclaimable: o.Reclaimable}
	other := id
	other.Reclaimable = !id.Reclaimable
	count := max(min(o.Count, p.opts.Scaling.Max-p.desired[other]), 0)
	var staying []*endpoint
	for _, e := range p.endpoints {
		if e.group == id && e.endsAt == 0 {
			staying = append(staying, e)
		}
	}
	if count > len(staying) && p.isDry(now, id) {
		return false
	}
	p.desired[id] = count
	for range count - len(staying) {
		p.endpoints = append(p.endpoints, &endpoint{group: id, servesAt: now + p.opts.Scaling.BootTime})
	}
	for _, e := range staying[min(count, len(staying)):] {
		e.endsAt = now + p.opts.Notice
	}
	return true
}

func (p *pool) isDry(now time.Duration, id capacity.Group) bool {
	for _, r := range p.opts.Reclaims {
		if id.Reclaimable && r.Domain == id.Domain && now >= r.At && now < r.At+r.Dry {
			return true
		}
	}
	return false
}

// advance plays what happens by itself in the step that ends now, and returns the price of the
// endpoints over it.
func (p *pool) advance(now time.Duration) float64 {
	for _, r := range p.opts.Reclaims {
		if r.At > now-step && r.At <= now {
			p.reclaim(now, r.Domain)
		}
	}
	price := 0.0
	kept := p.endpoints[:0]
	for _, e := range p.endpoints {
		if e.endsAt > 0 && now >= e.endsAt {
			continue
		}
		kept = append(kept, e)
		each := p.opts.Scaling.DomainPrices[e.group.Domain]
		if e.group.Reclaimable {
			each *= p.opts.Scaling.ReclaimablePrice
		}
		price += each * step.Seconds()
	}
	p.endpoints = kept
	return price
}

func (p *pool) reclaim(now time.Duration, domain model.DomainName) {
	id := capacity.Group{Pool: PoolName, Domain: domain, Reclaimable: true}
	p.desired[id] = 0
	for _, e := range p.endpoints {
		if e.group == id && e.endsAt == 0 {
			e.endsAt = now + p.opts.Notice
		}
	}
}

// listed counts the endpoints as the list of endpoints shows them.
func (p *pool) listed(now time.Duration) (map[capacity.Group]capacity.Endpoints, int) {
	out := make(map[capacity.Group]capacity.Endpoints)
	serving := 0
	for _, e := range p.endpoints {
		n := out[e.group]
		switch {
		case e.endsAt > 0:
			n.Leaving++
		case now >= e.servesAt:
			n.Serving++
			serving++
		}
		out[e.group] = n
	}
	return out, serving
}
