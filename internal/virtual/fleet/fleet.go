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
	// inDomainLatency and crossDomainLatency are the one-way latencies between
	// two machines of the same failure domain and of different ones.
	inDomainLatency    = 100 * time.Microsecond
	crossDomainLatency = time.Millisecond
	// callerLatency is the one-way latency between a caller and a host.
	callerLatency = time.Millisecond
	// maxRetries is the number of endpoints that are tried after the first one
	// has rejected a request.
	maxRetries = 3
	// maxSpeeds is the largest number of engines whose speed a digest reports.
	maxSpeeds = 8
	// retryWaitDivisor bounds how long a refused caller waits before it retries:
	// at most its remaining patience divided by retryWaitDivisor.
	retryWaitDivisor = 3
)

// Sharing sets how often hosts send each other load digests.
type Sharing struct {
	// LocalInterval is the time between two digests of a host to the other
	// hosts of its failure domain, CrossDomainInterval that between two digests
	// to the hosts of all other failure domains; 0 for no digests.
	LocalInterval, CrossDomainInterval time.Duration
	// AccountInterval is the time between two digests with the work of accounts; 0 if all
	// have it.
	AccountInterval time.Duration
}

// Options describes a fleet and its load.
type Options struct {
	Seed uint64
	// Domains, Hosts and Engines are the numbers of failure domains, of all
	// entry hosts and of all engines.
	Domains int
	Hosts   int
	Engines int
	Engine  EngineSpec
	// Speeds are factors on the speed of the engines' steps, which the engines
	// have in turn; none if all have the speed of Engine.
	Speeds    []float64
	Slowdowns Slowdowns
	Classes   []Class
	Surges    []Surge
	// Accounts is the number of client accounts, which request equally much except in
	// bursts; 0 for none.
	Accounts int
	Bursts   []Burst
	// Deaths are the hosts that send no digests any more from a time on. Their callers
	// go to the others.
	Deaths map[int]time.Duration
	// Duration is the time during which requests arrive.
	Duration time.Duration
	Sharing  Sharing
}

// Fleet is the state of a simulation.
type Fleet struct {
	opts    Options
	clock   *eventclock.Clock
	hosts   []*host
	engines map[model.EndpointName]*engine
	// order lists the engines.
	order  []*engine
	spread spreadStats
	calls  []*call
	// submitted counts the submissions to engines so far.
	submitted int
	stats     stats
	// prefilled has the IDs of the shared prefixes that some engine has
	// prefilled.
	prefilled map[model.PartID]bool
}

// host is an entry host with its balancer.
type host struct {
	fleet    *Fleet
	id       model.HostID
	domain   model.DomainName
	index    int
	balancer *balance.Balancer
}

// call is a caller's request.
type call struct {
	arrival
	id      model.RequestID
	host    *host
	arrived time.Time
	// attempts counts the submissions to engines. avoid lists the engines that
	// rejected the request.
	attempts int
	avoid    []model.EndpointName
	// current is the latest attempt, engine its engine.
	current    *sequence
	engine     *engine
	firstEvent time.Time
	// lastEvent is the time of the latest event, maxGap the longest time
	// between two events.
	lastEvent time.Time
	maxGap    time.Duration
	done      time.Time
	// expected is the host's estimate of the time from arrival to first event.
	expected            time.Duration
	refused             bool
	retriedAfterRefusal bool
	abandoned           bool
}

// Run simulates the load until all requests have ended.
func Run(opts Options) Report {
	f := &Fleet{
		opts: opts, clock: eventclock.New(),
		engines:   make(map[model.EndpointName]*engine),
		prefilled: make(map[model.PartID]bool),
	}
	f.addEngines()
	f.addHosts()
	for i, a := range opts.arrivals() {
		a.host = f.liveHost(a.host, a.at)
		c := &call{arrival: a, id: model.RequestID(fmt.Sprintf("r%d", i)), host: f.hosts[a.host]}
		f.calls = append(f.calls, c)
		f.clock.After(a.at, func() { f.arrive(c) })
	}
	f.scheduleDigests(opts.Sharing.LocalInterval, func(a, b *host) bool { return a.domain == b.domain })
	f.scheduleDigests(opts.Sharing.CrossDomainInterval, func(a, b *host) bool { return a.domain != b.domain })
	f.clock.Every(spreadInterval, spreadInterval, f.arrivalsEnded, f.sampleSpread)
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
			index: i, speed: f.opts.speed(i), spec: &f.opts.Engine, clock: f.clock, fleet: f,
		}
		f.order = append(f.order, e)
		f.engines[e.name] = e
	}
}

func (f *Fleet) addHosts() {
	for i := range f.opts.Hosts {
		h := &host{fleet: f, id: model.HostID(fmt.Sprintf("host-%d", i)), domain: f.domainOf(i), index: i}
		h.balancer = balance.New(balance.Options{
			Domain: h.domain, Seed: f.opts.Seed + uint64(i), FairShares: true,
			Budget: attempt.SharedBudgetOptions{Ratio: 0.2, Slack: 100, Window: 10 * time.Second},
		})
		h.balancer.SetPools([]routing.Pool{{
			Name: enginePool, Engine: &routing.Engine{Slots: f.opts.Engine.Slots, CacheTokens: f.opts.Engine.CacheTokens},
		}})
		h.balancer.SetCrossDomainInterval(f.opts.Sharing.CrossDomainInterval)
		for n := range f.opts.Engines {
			e := f.engines[model.EndpointName(fmt.Sprintf("engine-%d", n))]
			h.balancer.Apply(directory.Change{Entry: directory.Entry{
				Name: e.name, Pool: enginePool, Address: string(e.name), Domain: e.domain, Slots: f.opts.Engine.Slots,
			}})
		}
		f.hosts = append(f.hosts, h)
	}
}

// scheduleDigests schedules the load digests of each host to the other hosts
// for which match returns true. The hosts' digests are spread evenly over the
// interval. An interval of 0 schedules none.
func (f *Fleet) scheduleDigests(interval time.Duration, match func(a, b *host) bool) {
	if interval <= 0 {
		return
	}
	for i, h := range f.hosts {
		var peers []*host
		for _, p := range f.hosts {
			if p != h && match(h, p) {
				peers = append(peers, p)
			}
		}
		first := interval * time.Duration(i) / time.Duration(len(f.hosts))
		var sent sentContent
		f.clock.Every(first, interval, f.arrivalsEnded, func() { h.sendDigest(peers, &sent) })
	}
}

// arrivalsEnded reports whether the time during which requests arrive is over.
func (f *Fleet) arrivalsEnded() bool { return f.clock.Now().Sub(time.Unix(0, 0)) > f.opts.Duration }

// sentContent is what a host has sent to a group of peers: the number of cache updates, and
// when the work of accounts.
type sentContent struct {
	updates int
	workAt  time.Time
}

// sendDigest sends peers the host's load and the cache updates since the last
// digest, and the work of accounts if that is due.
func (h *host) sendDigest(peers []*host, sent *sentContent) {
	now := h.fleet.clock.Now()
	if h.fleet.isDead(h) {
		return
	}
	h.balancer.ExpirePeers(now)
	h.balancer.Accounts().Expire(now)
	work := h.balancer.Accounts().OwnWork(now)
	loads := h.balancer.LocalLoad(now)
	updates, next := h.balancer.LocalCacheUpdatesSince(sent.updates)
	sent.updates = next
	workDue := now.Sub(sent.workAt) >= h.fleet.opts.Sharing.AccountInterval
	if workDue {
		sent.workAt = now
	}
	speeds := h.balancer.EngineSpeeds(now, false, maxSpeeds)
	for _, p := range peers {
		h.fleet.clock.After(latency(h.domain, p.domain), func() {
			p.balancer.SetPeerLoad(h.fleet.clock.Now(), h.id, h.domain, loads, updates)
			p.balancer.ApplyEngineSpeeds(h.fleet.clock.Now(), speeds)
			if workDue {
				p.balancer.Accounts().ReceiveHost(h.fleet.clock.Now(), h.id, h.domain, work)
			}
		})
	}
}

// latency returns the one-way latency between two failure domains, or within
// one if they are equal.
func latency(a, b model.DomainName) time.Duration {
	if a == b {
		return inDomainLatency
	}
	return crossDomainLatency
}

// arrive schedules a new request's arrival at its host and the end of its
// caller's patience.
func (f *Fleet) arrive(c *call) {
	c.arrived = f.clock.Now()
	f.clock.After(callerLatency, func() { f.place(c) })
	f.clock.After(c.class.Patience, func() { f.abandon(c) })
}

// place submits the request to the engine that its host's balancer chooses.
func (f *Fleet) place(c *call) {
	now := f.clock.Now()
	d := c.host.balancer.Submit(now, balance.Request{
		ID: c.id, Pool: enginePool, Account: f.opts.accountName(&c.arrival), Prompt: c.prompt, Tier: 1, Rank: c.class.Rank,
		Target: c.class.Target, Arrived: c.arrived, Deadline: c.arrived.Add(c.class.Patience), Avoid: c.avoid, Retry: c.attempts > 0,
	})
	if d.IsRefused() {
		f.refuse(c, d.RetryAfter)
		return
	}
	c.attempts++
	c.expected = now.Sub(c.arrived) + d.Expected
	f.submitted++
	e := f.engines[d.Endpoint]
	s := &sequence{call: c, priority: d.Priority, order: f.submitted, fetchFrom: f.engines[model.EndpointName(d.FetchFrom)]}
	s.onEvent = func(generated int) { f.recordEvent(c, s, generated) }
	c.current, c.engine = s, e
	f.clock.After(latency(c.host.domain, e.domain), func() {
		if c.abandoned || e.submit(s) {
			return
		}
		f.clock.After(latency(e.domain, c.host.domain), func() { f.retryElsewhere(c, e) })
	})
}

// refuse handles a refusal by the balancer. The caller retries once, after the
// given delay or a part of its remaining patience, whichever is shorter.
func (f *Fleet) refuse(c *call, after time.Duration) {
	if c.retriedAfterRefusal {
		c.refused = true
		return
	}
	c.retriedAfterRefusal = true
	now := f.clock.Now()
	left := c.arrived.Add(c.class.Patience).Sub(now)
	f.clock.After(min(after, left/retryWaitDivisor)+callerLatency, func() {
		if !c.abandoned {
			c.id += "-again"
			f.place(c)
		}
	})
}

// retryElsewhere handles the rejection by a full engine. It places the request
// again, without the engines that have rejected it, or refuses it once it has
// used its retries.
func (f *Fleet) retryElsewhere(c *call, e *engine) {
	c.host.balancer.Finish(f.clock.Now(), c.id, balance.Result{Failure: balance.FailureRefused})
	f.stats.rejected++
	if c.abandoned {
		return
	}
	if c.attempts > maxRetries {
		c.refused = true
		return
	}
	c.avoid = append(c.avoid, e.name)
	f.place(c)
}

// recordEvent schedules the arrival of an event at the host. generated is the
// number of tokens generated so far.
func (f *Fleet) recordEvent(c *call, s *sequence, generated int) {
	f.clock.After(latency(c.engine.domain, c.host.domain), func() {
		if c.abandoned || c.current != s {
			return
		}
		now := f.clock.Now()
		if c.firstEvent.IsZero() {
			c.firstEvent = now.Add(callerLatency)
			c.host.balancer.RecordFirstResponse(now, c.id)
		}
		if !c.lastEvent.IsZero() {
			c.maxGap = max(c.maxGap, now.Sub(c.lastEvent))
		}
		c.lastEvent = now
		if generated >= c.output {
			c.done = now.Add(callerLatency)
			c.host.balancer.Finish(now, c.id, balance.Result{})
		}
	})
}

// abandon ends a request whose caller's patience has run out. It has no effect
// if the request has ended before.
func (f *Fleet) abandon(c *call) {
	if !c.done.IsZero() || c.refused {
		return
	}
	c.abandoned = true
	if c.current != nil {
		c.engine.cancel(c.current)
		c.host.balancer.Finish(f.clock.Now(), c.id, balance.Result{})
	}
}

// recordPrefill records that a shared prefix is prefilled, and counts its tokens
// if it was prefilled before.
func (f *Fleet) recordPrefill(key model.PartID, tokens int) {
	if f.prefilled[key] {
		f.stats.repeatedPrefill += tokens
	}
	f.prefilled[key] = true
}
