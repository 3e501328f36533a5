package virtual

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/dispatch"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/virtual/eventclock"
	"github.com/wigeonsail/wigeonsail/opconfig"
)

const (
	// toEndpoint is the time of a message between a host and an endpoint.
	toEndpoint = 200 * time.Microsecond
	// configuredRoom is the room that operators guess for each endpoint.
	configuredRoom = 16
	// slowFrom, slowUntil and slowTo describe an engine that lags for a while:
	// parts of the run, and a factor on its speed.
	slowFrom  = 0.4
	slowUntil = 0.6
	slowTo    = 0.3
)

// policy decides for one host.
type policy interface {
	Submit(now time.Time, req model.Request) []dispatch.Action
	Cancel(now time.Time, id model.RequestID) []dispatch.Action
	Finish(now time.Time, id model.RequestID, n model.Attempt, res dispatch.Result) []dispatch.Action
	RecordTokens(now time.Time, id model.RequestID, tokens int)
}

// host is an entry host.
type host struct {
	policy
	cluster *cluster
	id      model.HostID
	domain  int
	index   int
}

// cluster is one user's hosts and endpoints under one policy.
type cluster struct {
	opts    Options
	load    *workload
	clock   *eventclock.Clock
	hosts   []*host
	engines []*engine
	byName  map[model.EndpointName]*engine
	jobs    []*job
	// open are the jobs that may not have ended.
	open  []*job
	byID  map[model.RequestID]*job
	rng   *rand.Rand
	stats sharingStats
}

func newCluster(opts Options, w *workload) *cluster {
	c := &cluster{
		opts: opts, load: w, clock: eventclock.New(),
		byName: map[model.EndpointName]*engine{},
		byID:   map[model.RequestID]*job{},
		rng:    rand.New(rand.NewPCG(opts.Seed, 2)),
	}
	c.addEngines(enginePool, w.engines)
	c.addEngines(servicePool, w.services)
	return c
}

// addEngines adds the endpoints of a pool with uneven slots and speeds.
func (c *cluster) addEngines(pool model.PoolName, count int) {
	rng := rand.New(rand.NewPCG(c.opts.Seed, c.load.stream+50+uint64(count)))
	for i := range count {
		e := &engine{
			clock: c.clock, pool: pool, domain: i % c.load.domains, updated: c.clock.Now(),
			name:  model.EndpointName(fmt.Sprintf("%s-%d", pool, i)),
			slots: 12 + rng.IntN(9),
			speed: 0.7 + 0.6*rng.Float64(),
		}
		if pool == servicePool {
			e.slots, e.speed = 8+rng.IntN(5), 0.9+0.2*rng.Float64()
		}
		c.engines = append(c.engines, e)
		c.byName[e.name] = e
	}
}

// capacity returns a pool's work a second.
func (c *cluster) capacity(pool model.PoolName) float64 {
	sum := 0.0
	for _, e := range c.engines {
		if e.pool == pool {
			sum += e.capacity()
		}
	}
	return sum
}

// config returns the operators' configuration of the cluster.
func (c *cluster) config() *opconfig.Config {
	cfg := &opconfig.Config{
		Schema:   opconfig.SchemaVersion,
		Accounts: accounts(),
		Pools: []opconfig.Pool{
			{Name: enginePool, Kind: opconfig.KindEngine},
			{Name: servicePool, Kind: opconfig.KindService},
		},
	}
	for _, l := range c.load.classes {
		cfg.Classes = append(cfg.Classes, l.Class)
	}
	for _, e := range c.engines {
		cfg.Endpoints = append(cfg.Endpoints, opconfig.Endpoint{
			Name: e.name, Pool: e.pool, Domain: domainName(e.domain), Address: string(e.name), Room: configuredRoom,
		})
	}
	return cfg
}

func domainName(i int) model.DomainName { return model.DomainName(fmt.Sprintf("domain-%d", i)) }

// arrivals draws the requests of all classes; they depend on the seed only.
func (c *cluster) arrivals() []arrival {
	var all []arrival
	for i := range c.load.classes {
		l := &c.load.classes[i]
		rng := rand.New(rand.NewPCG(c.opts.Seed, c.load.stream+uint64(i)))
		rate := c.opts.Overload * l.share * c.capacity(l.pool) / l.meanWork()
		all = append(all, l.draw(rng, c.load, rate, c.opts.Duration)...)
	}
	slices.SortStableFunc(all, func(a, b arrival) int { return int(a.at - b.at) })
	return all
}

// play runs all arrivals to their end.
func (c *cluster) play() {
	for i, a := range c.arrivals() {
		j := &job{arrival: a, id: model.RequestID(fmt.Sprintf("r%d", i))}
		c.jobs = append(c.jobs, j)
		c.byID[j.id] = j
		c.clock.After(a.at, func() { c.arrive(j) })
	}
	c.open = c.jobs
	slow := c.engines[0]
	speed := slow.speed
	part := func(p float64) time.Duration { return seconds(p * c.opts.Duration.Seconds()) }
	c.clock.After(part(slowFrom), func() { slow.setSpeed(speed * slowTo) })
	c.clock.After(part(slowUntil), func() { slow.setSpeed(speed) })
	c.clock.Drain()
}

// arrive sends a new request to its entry host.
func (c *cluster) arrive(j *job) {
	j.arrived = c.clock.Now()
	j.deadline = j.arrived.Add(j.class.Deadline.Std())
	j.waitFrom = j.arrived
	c.clock.After(j.class.Deadline.Std(), func() { c.leave(j) })
	c.clock.After(c.load.fromClient, func() { c.enter(j, c.hosts[j.arrival.host], false) })
}

// enter submits the request at a host.
func (c *cluster) enter(j *job, h *host, forwarded bool) {
	if j.ended() {
		return
	}
	h = c.owner(j, h)
	j.host = h
	c.stats.wait(j, h.domain)
	c.apply(h, h.Submit(c.clock.Now(), model.Request{
		ID: j.id, Class: j.class.Name, Account: j.account, Pool: j.class.pool, Prefix: j.prefix,
		Arrived: j.arrived, Deadline: j.deadline, Attempt: 1, Forwarded: forwarded,
	}))
}

// apply does what a host's policy decided.
func (c *cluster) apply(h *host, acts []dispatch.Action) {
	for _, a := range acts {
		j := c.byID[a.Request]
		switch a.Kind {
		case dispatch.ActionGrant:
			c.grant(j, h, a)
		case dispatch.ActionRefuse:
			c.refuse(j)
		case dispatch.ActionPreempt:
			c.preempt(j)
		case dispatch.ActionSpill:
			c.forward(j, a.Domain)
		}
	}
}

func (c *cluster) grant(j *job, h *host, a dispatch.Action) {
	e := c.byName[a.Endpoint]
	c.stats.granted(j, h, e)
	t := &task{
		job: j, attempt: a.Attempt, priority: a.Priority,
		prefill: j.prefill + j.relayed*prefillCost, answer: j.answer - j.relayed,
	}
	granted := c.clock.Now()
	if e.pool == servicePool {
		t.priority = 0
	}
	t.onFirst = func() { c.first(j, t) }
	t.onEnd = func() { c.finish(j, t, granted) }
	j.task, j.engine, j.host = t, e, h
	c.clock.After(toEndpoint, func() {
		if j.task == t {
			e.submit(t)
		}
	})
}

func (c *cluster) first(j *job, t *task) {
	if j.task != t {
		return
	}
	if j.firstAt.IsZero() {
		j.firstAt = c.clock.Now()
	}
	if j.class.pool == enginePool {
		j.host.RecordTokens(c.clock.Now(), j.id, 1)
	}
}

func (c *cluster) finish(j *job, t *task, granted time.Time) {
	if j.task != t {
		return
	}
	j.generated += t.answer
	j.relayed += t.answer
	j.doneAt = c.clock.Now()
	j.task = nil
	res := dispatch.Result{Outcome: model.OutcomeRan, Elapsed: c.clock.Now().Sub(granted), Tokens: int(t.answer)}
	c.apply(j.host, j.host.Finish(c.clock.Now(), j.id, t.attempt, res))
}

func (c *cluster) refuse(j *job) {
	j.shed = true
	c.stats.stop(j)
	j.stopWaiting(c.clock.Now())
}

func (c *cluster) preempt(j *job) {
	j.preempted++
	done := j.engine.cancel(j.task)
	j.relayed += done
	j.generated += done
	j.task = nil
	j.waitFrom = c.clock.Now()
	c.stats.wait(j, j.host.domain)
}

func (c *cluster) forward(j *job, domain model.DomainName) {
	c.stats.stop(j)
	for i := range c.load.domains {
		if domainName(i) != domain {
			continue
		}
		h := c.hosts[i*c.load.hostsPerDomain+c.rng.IntN(c.load.hostsPerDomain)]
		c.clock.After(c.load.betweenDomains, func() { c.enter(j, h, true) })
	}
}

// leave is the caller giving up at the deadline.
func (c *cluster) leave(j *job) {
	if j.ended() {
		return
	}
	j.stopWaiting(c.clock.Now())
	j.doneAt = c.clock.Now()
	c.stats.stop(j)
	if j.host == nil {
		return
	}
	if j.task == nil {
		c.apply(j.host, j.host.Cancel(c.clock.Now(), j.id))
		return
	}
	done := j.engine.cancel(j.task)
	j.generated += done
	n := j.task.attempt
	j.task = nil
	c.apply(j.host, j.host.Finish(c.clock.Now(), j.id, n, dispatch.Result{Canceled: true}))
}
