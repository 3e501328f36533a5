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
	// endpointLatency is the one-way latency from a host to an endpoint.
	endpointLatency = 200 * time.Microsecond
	// configuredRoom is the room in the configuration of every endpoint. It is
	// an operator's guess: the endpoints' actual slots differ.
	configuredRoom = 16
	// The first engine is slow between slowFrom and slowUntil, which are
	// fractions of the run. slowFactor multiplies its speed during that time.
	slowFrom   = 0.4
	slowUntil  = 0.6
	slowFactor = 0.3
)

// policy makes the dispatch decisions of one host. Its methods are those by
// which dispatch.Dispatcher handles requests.
type policy interface {
	Submit(now time.Time, req model.Request) []dispatch.Action
	Cancel(now time.Time, id model.RequestID) []dispatch.Action
	Finish(now time.Time, id model.RequestID, n model.Attempt, res dispatch.Result) []dispatch.Action
	RecordTokens(now time.Time, id model.RequestID, tokens int)
}

// host is an entry host with its policy.
type host struct {
	policy
	cluster *cluster
	// id is empty for the hosts of a baseline.
	id model.HostID
	// domain is the index of the host's failure domain, index that of the host.
	domain int
	index  int
}

// cluster simulates the hosts and endpoints of one user under one policy.
type cluster struct {
	opts    Options
	params  *workload
	clock   *eventclock.Clock
	hosts   []*host
	engines []*engine
	byName  map[model.EndpointName]*engine
	jobs    []*job
	// unfinished is the suffix of jobs that starts with the first one that may
	// not have ended.
	unfinished []*job
	byID       map[model.RequestID]*job
	rng        *rand.Rand
	stats      sharingStats
}

func newCluster(opts Options, w *workload) *cluster {
	c := &cluster{
		opts: opts, params: w, clock: eventclock.New(),
		byName: map[model.EndpointName]*engine{},
		byID:   map[model.RequestID]*job{},
		rng:    rand.New(rand.NewPCG(opts.Seed, 2)),
	}
	c.addEngines(enginePool, w.engines)
	c.addEngines(servicePool, w.services)
	return c
}

// addEngines adds the endpoints of a pool, with random numbers of slots and
// speeds.
func (c *cluster) addEngines(pool model.PoolName, count int) {
	rng := rand.New(rand.NewPCG(c.opts.Seed, c.params.rngStream+50+uint64(count)))
	for i := range count {
		e := &engine{
			clock: c.clock, pool: pool, domain: i % c.params.domains, advancedAt: c.clock.Now(),
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

// capacity returns a pool's capacity in units of work per second, without the
// temporary slowdown of an engine. A unit of work is one generated token.
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
	for _, l := range c.params.classes {
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

// arrivals draws the requests of all classes, in order of time. They do not
// depend on the policy, so all policies get the same arrivals for a seed.
func (c *cluster) arrivals() []arrival {
	var all []arrival
	for i := range c.params.classes {
		l := &c.params.classes[i]
		rng := rand.New(rand.NewPCG(c.opts.Seed, c.params.rngStream+uint64(i)))
		rate := c.opts.Overload * l.share * c.capacity(l.pool) / l.meanWork()
		all = append(all, l.drawArrivals(rng, c.params, rate, c.opts.Duration)...)
	}
	slices.SortStableFunc(all, func(a, b arrival) int { return int(a.at - b.at) })
	return all
}

// run simulates all arrivals until every request has ended.
func (c *cluster) run() {
	for i, a := range c.arrivals() {
		j := &job{arrival: a, id: model.RequestID(fmt.Sprintf("r%d", i))}
		c.jobs = append(c.jobs, j)
		c.byID[j.id] = j
		c.clock.After(a.at, func() { c.arrive(j) })
	}
	c.unfinished = c.jobs
	slow := c.engines[0]
	speed := slow.speed
	timeAt := func(fraction float64) time.Duration { return seconds(fraction * c.opts.Duration.Seconds()) }
	c.clock.After(timeAt(slowFrom), func() { slow.setSpeed(speed * slowFactor) })
	c.clock.After(timeAt(slowUntil), func() { slow.setSpeed(speed) })
	c.clock.Drain()
}

// arrive schedules a new request's arrival at its entry host and its deadline.
func (c *cluster) arrive(j *job) {
	j.arrived = c.clock.Now()
	j.deadline = j.arrived.Add(j.class.Deadline.Std())
	j.waitStarted = j.arrived
	c.clock.After(j.class.Deadline.Std(), func() { c.expire(j) })
	c.clock.After(c.params.clientLatency, func() { c.submit(j, c.hosts[j.arrival.host], false) })
}

// submit submits the request at a host. forwarded is true if another failure
// domain forwarded it.
func (c *cluster) submit(j *job, h *host, forwarded bool) {
	if j.isEnded() {
		return
	}
	h = c.grantingHost(j, h)
	j.host = h
	c.stats.addWaiting(j, h.domain)
	c.apply(h, h.Submit(c.clock.Now(), model.Request{
		ID: j.id, Class: j.class.Name, Account: j.account, Pool: j.class.pool, Prefix: j.prefix,
		Arrived: j.arrived, Deadline: j.deadline, Attempt: 1, Forwarded: forwarded,
	}))
}

// apply performs the actions that a host's policy returned.
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

// grant starts an attempt at the endpoint that the action names. After a
// preemption, the attempt continues the answer and prefills the tokens relayed
// so far.
func (c *cluster) grant(j *job, h *host, a dispatch.Action) {
	e := c.byName[a.Endpoint]
	c.stats.recordGrant(j, h, e)
	t := &task{
		job: j, attempt: a.Attempt, priority: a.Priority,
		prefill: j.prefill + j.relayed*prefillCost, answer: j.answer - j.relayed,
	}
	granted := c.clock.Now()
	// Services serve requests in order of arrival.
	if e.pool == servicePool {
		t.priority = 0
	}
	t.onFirstToken = func() { c.recordFirstToken(j, t) }
	t.onEnd = func() { c.finish(j, t, granted) }
	j.task, j.engine, j.host = t, e, h
	c.clock.After(endpointLatency, func() {
		if j.task == t {
			e.submit(t)
		}
	})
}

// recordFirstToken handles the first token of an attempt.
func (c *cluster) recordFirstToken(j *job, t *task) {
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

// finish handles the end of an attempt that generated its whole answer.
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

// refuse ends a request that the policy has shed.
func (c *cluster) refuse(j *job) {
	j.shed = true
	c.stats.removeWaiting(j)
	j.recordWaitEnd(c.clock.Now())
}

// preempt cancels a request's attempt. The request waits at its host again and
// keeps the tokens generated so far.
func (c *cluster) preempt(j *job) {
	j.preempted++
	done := j.engine.cancel(j.task)
	j.relayed += done
	j.generated += done
	j.task = nil
	j.waitStarted = c.clock.Now()
	c.stats.addWaiting(j, j.host.domain)
}

// forward sends a request to a random host of another failure domain.
func (c *cluster) forward(j *job, domain model.DomainName) {
	c.stats.removeWaiting(j)
	for i := range c.params.domains {
		if domainName(i) != domain {
			continue
		}
		h := c.hosts[i*c.params.hostsPerDomain+c.rng.IntN(c.params.hostsPerDomain)]
		c.clock.After(c.params.crossDomainLatency, func() { c.submit(j, h, true) })
	}
}

// expire ends a request at its deadline and cancels its attempt. It has no
// effect if the request has ended before.
func (c *cluster) expire(j *job) {
	if j.isEnded() {
		return
	}
	j.recordWaitEnd(c.clock.Now())
	j.doneAt = c.clock.Now()
	c.stats.removeWaiting(j)
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
