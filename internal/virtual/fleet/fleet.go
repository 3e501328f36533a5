package fleet

import (
	"fmt"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/attempt"
	"github.com/wigeonsail/wigeonsail/internal/core/balance"
	"github.com/wigeonsail/wigeonsail/internal/core/directory"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/core/routing"
	"github.com/wigeonsail/wigeonsail/internal/virtual/eventclock"
)

const (
	enginePool model.PoolName = "engines"
	// inDomain and betweenDomains are the times of a message one way.
	inDomain       = 100 * time.Microsecond
	betweenDomains = time.Millisecond
	// fromCaller is the time of a message between a caller and a host.
	fromCaller = time.Millisecond
	// retries is the number of endpoints that are asked besides the first.
	retries = 3
	// patiencePart is the part of the time left after which a caller comes back
	// at the latest.
	patiencePart = 3
)

// Sharing is how hosts learn of each other's work.
type Sharing struct {
	// Near and Far are the times between two digests of a host to those of its
	// own failure domain and to the others; 0 for none.
	Near, Far time.Duration
}

// Options describes a fleet and its load.
type Options struct {
	Seed    uint64
	Domains int
	Hosts   int
	Engines int
	Engine  EngineSpec
	Classes []Class
	Surges  []Surge
	// Duration is the time during which requests arrive.
	Duration time.Duration
	Sharing  Sharing
}

// Fleet is a fleet at work.
type Fleet struct {
	opts    Options
	clock   *eventclock.Clock
	hosts   []*host
	engines map[model.EndpointName]*engine
	calls   []*call
	order   int
	stats   stats
	// read are the shared parts that some engine has read.
	read map[model.PartID]bool
}

// host is an entry host.
type host struct {
	fleet    *Fleet
	id       model.HostID
	domain   model.DomainName
	balancer *balance.Balancer
}

// call is a request of a caller.
type call struct {
	arrival
	id      model.RequestID
	host    *host
	arrived time.Time
	tries   int
	avoid   []model.EndpointName
	current *sequence
	engine  *engine
	first   time.Time
	// last is the time of the newest event, gap the longest pause.
	last time.Time
	gap  time.Duration
	done time.Time
	// expected is the time to the first event as the host expected it.
	expected time.Duration
	refused  bool
	cameBack bool
	left     bool
}

// Run plays the load to its end.
func Run(opts Options) Report {
	f := &Fleet{
		opts: opts, clock: eventclock.New(),
		engines: make(map[model.EndpointName]*engine),
		read:    make(map[model.PartID]bool),
	}
	f.addEngines()
	f.addHosts()
	for i, a := range opts.arrivals() {
		c := &call{arrival: a, id: model.RequestID(fmt.Sprintf("r%d", i)), host: f.hosts[a.host]}
		f.calls = append(f.calls, c)
		f.clock.After(a.at, func() { f.arrive(c) })
	}
	f.share(opts.Sharing.Near, func(a, b *host) bool { return a.domain == b.domain })
	f.share(opts.Sharing.Far, func(a, b *host) bool { return a.domain != b.domain })
	f.clock.Drain()
	return f.report()
}

func (f *Fleet) domainOf(i int) model.DomainName {
	return model.DomainName(fmt.Sprintf("domain-%d", i%f.opts.Domains))
}

func (f *Fleet) addEngines() {
	for i := range f.opts.Engines {
		e := &engine{
			name: model.EndpointName(fmt.Sprintf("engine-%d", i)), domain: f.domainOf(i),
			spec: &f.opts.Engine, clock: f.clock, fleet: f,
		}
		f.engines[e.name] = e
	}
}

func (f *Fleet) addHosts() {
	for i := range f.opts.Hosts {
		h := &host{fleet: f, id: model.HostID(fmt.Sprintf("host-%d", i)), domain: f.domainOf(i)}
		h.balancer = balance.New(balance.Options{
			Domain: h.domain, Seed: f.opts.Seed + uint64(i),
			Budget: attempt.SharedBudgetOptions{Ratio: 0.2, Slack: 100, Window: 10 * time.Second},
		})
		h.balancer.SetPools([]routing.Pool{{
			Name: enginePool, Engine: &routing.Engine{Slots: f.opts.Engine.Slots, CacheTokens: f.opts.Engine.CacheTokens},
		}})
		h.balancer.SetCrossDomainInterval(f.opts.Sharing.Far)
		for n := range f.opts.Engines {
			e := f.engines[model.EndpointName(fmt.Sprintf("engine-%d", n))]
			h.balancer.Apply(directory.Change{Entry: directory.Entry{
				Name: e.name, Pool: enginePool, Address: string(e.name), Domain: e.domain, Slots: f.opts.Engine.Slots,
			}})
		}
		f.hosts = append(f.hosts, h)
	}
}

// share lets each host tell the peers that match of its work at regular times.
func (f *Fleet) share(every time.Duration, match func(a, b *host) bool) {
	if every <= 0 {
		return
	}
	for i, h := range f.hosts {
		var peers []*host
		for _, p := range f.hosts {
			if p != h && match(h, p) {
				peers = append(peers, p)
			}
		}
		first := every * time.Duration(i) / time.Duration(len(f.hosts))
		told := 0
		f.clock.Every(first, every, f.over, func() { h.tell(peers, &told) })
	}
}

// over says that the last request has arrived.
func (f *Fleet) over() bool { return f.clock.Now().Sub(time.Unix(0, 0)) > f.opts.Duration }

// tell sends a digest to peers.
func (h *host) tell(peers []*host, told *int) {
	now := h.fleet.clock.Now()
	h.balancer.ExpirePeers(now)
	loads := h.balancer.LocalLoad(now)
	marks, next := h.balancer.LocalCacheUpdatesSince(*told)
	*told = next
	for _, p := range peers {
		h.fleet.clock.After(distance(h.domain, p.domain), func() {
			p.balancer.SetPeerLoad(h.fleet.clock.Now(), h.id, h.domain, loads, marks)
		})
	}
}

func distance(a, b model.DomainName) time.Duration {
	if a == b {
		return inDomain
	}
	return betweenDomains
}

// arrive begins a request at its host.
func (f *Fleet) arrive(c *call) {
	c.arrived = f.clock.Now()
	f.clock.After(fromCaller, func() { f.place(c) })
	f.clock.After(c.class.Patience, func() { f.leave(c) })
}

// place sends the request where its host's balancer decides.
func (f *Fleet) place(c *call) {
	now := f.clock.Now()
	d := c.host.balancer.Submit(now, balance.Request{
		ID: c.id, Pool: enginePool, Prompt: c.prompt, Tier: 1, Rank: c.class.Rank,
		Target: c.class.Target, Arrived: c.arrived, Avoid: c.avoid, Retry: c.tries > 0,
	})
	if d.IsRefused() {
		f.refuse(c, d.RetryAfter)
		return
	}
	c.tries++
	c.expected = now.Sub(c.arrived) + d.Expected
	f.order++
	e := f.engines[d.Endpoint]
	s := &sequence{call: c, priority: d.Priority, order: f.order, fetch: f.engines[model.EndpointName(d.FetchFrom)]}
	s.event = func(made int) { f.event(c, s, made) }
	c.current, c.engine = s, e
	f.clock.After(distance(c.host.domain, e.domain), func() {
		if c.left || e.submit(s) {
			return
		}
		f.clock.After(distance(e.domain, c.host.domain), func() { f.rejected(c, e) })
	})
}

// refuse lets a caller come back once, after a part of the time that it has left
// at most.
func (f *Fleet) refuse(c *call, after time.Duration) {
	if c.cameBack {
		c.refused = true
		return
	}
	c.cameBack = true
	now := f.clock.Now()
	left := c.arrived.Add(c.class.Patience).Sub(now)
	f.clock.After(min(after, left/patiencePart)+fromCaller, func() {
		if !c.left {
			c.id += "-again"
			f.place(c)
		}
	})
}

// rejected takes the request elsewhere, or refuses it.
func (f *Fleet) rejected(c *call, e *engine) {
	c.host.balancer.Finish(f.clock.Now(), c.id, balance.Result{Failure: balance.FailureRefused})
	f.stats.rejected++
	if c.left {
		return
	}
	if c.tries > retries {
		c.refused = true
		return
	}
	c.avoid = append(c.avoid, e.name)
	f.place(c)
}

// event takes an event of an answer on its way to the host.
func (f *Fleet) event(c *call, s *sequence, made int) {
	f.clock.After(distance(c.engine.domain, c.host.domain), func() {
		if c.left || c.current != s {
			return
		}
		now := f.clock.Now()
		if c.first.IsZero() {
			c.first = now.Add(fromCaller)
			c.host.balancer.RecordFirstResponse(now, c.id)
		}
		if !c.last.IsZero() {
			c.gap = max(c.gap, now.Sub(c.last))
		}
		c.last = now
		if made >= c.output {
			c.done = now.Add(fromCaller)
			c.host.balancer.Finish(now, c.id, balance.Result{})
		}
	})
}

// leave ends a request whose caller has waited for too long.
func (f *Fleet) leave(c *call) {
	if !c.done.IsZero() || c.refused {
		return
	}
	c.left = true
	if c.current != nil {
		c.engine.cancel(c.current)
		c.host.balancer.Finish(f.clock.Now(), c.id, balance.Result{})
	}
}

// noteRead counts the tokens of shared parts that are read, and again.
func (f *Fleet) noteRead(key model.PartID, tokens int) {
	if f.read[key] {
		f.stats.readAgain += tokens
	}
	f.read[key] = true
}
