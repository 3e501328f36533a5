package balance

import (
	"math"
	"slices"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// An engine as a request sees it, from the published times of its steps, its
// reading in chunks between the tokens of other requests, and its transfers.
// What an endpoint does faster or slower is learned as its slowness.
const (
	// firstEventBase is the time to the first event of an idle engine for a
	// prompt without tokens, in milliseconds.
	firstEventBase = 95.0
	// readTime is the time to read a prompt token, in milliseconds, readTimeEach
	// what each running request adds: their tokens are made in between.
	readTime     = 0.028
	readTimeEach = 0.0006
	// fetchBase and fetchTime are the time to get parts from another endpoint:
	// for the first token and for each, in milliseconds.
	fetchBase = 4.0
	fetchTime = 0.0005
	// lessUrgentShare is the part of less urgent prompts that is read first,
	// since an engine goes on with what it has begun.
	lessUrgentShare = 0.4
	// outputPart is the part of the longest answer that a request is expected to
	// hold in memory.
	outputPart = 0.5
	// serviceBase is the time that a plain service is expected to take, in
	// milliseconds.
	serviceBase = 45.0
)

// The costs of a choice, as parts of what a request in time is worth. Those of
// tokens, bytes and connections follow the platform's prices.
const (
	// movedTokens is the cost of moving 1,000 tokens between endpoints,
	// reReadTokens that of reading them although another endpoint holds them.
	movedTokens  = 0.022
	reReadTokens = 0.075
	// awayFromHome is the cost of reading parts for the first time at another
	// endpoint than their home: hosts that do so at once read them twice.
	awayFromHome = 0.15
	// otherDomain is the cost of bytes between failure domains, newConnection
	// that of a connection.
	otherDomain   = 0.02
	newConnection = 0.05
	// overMemory is the cost of a request that has to be preempted, overSlots
	// that of each request above an engine's slots.
	overMemory = 0.8
	overSlots  = 0.1
	// staleView is the cost of an endpoint in another domain for each second
	// between two digests of its hosts: many hosts choose it by the same old view.
	staleView = 0.25
	// failing is the cost of an attempt that fails.
	failing = 1.0
	// silentEndpoint is the cost of an endpoint at which requests have fallen
	// silent, silentDomain that of one in a domain that may be cut off.
	silentEndpoint = 0.5
	silentDomain   = 0.7
	// crowding is the cost of reading for a second before requests that have a
	// second to be read: it delays all that come later.
	crowding = 0.6
	// slowerAnswer is the cost of an answer that takes all of its target, apart
	// from being late.
	slowerAnswer = 0.05
)

// lateness is the cost of a late answer by the rank of its route.
var lateness = [ranksPerTier]float64{2, 1.3, 0.9}

// The chance to be late: a half when the expected time is evenTime of the
// target, and rising with its lateSlope'th power.
const (
	evenTime  = 0.75
	lateSlope = 3.0
)

// maxCompared is the largest number of endpoints that are compared for one
// request, besides those that hold its parts.
const maxCompared = 256

// memoryPart is the part of an engine's memory from which on requests are
// likely to be preempted.
const memoryPart = 0.9

// choice is an endpoint with what is expected of it.
type choice struct {
	endpoint *endpoint
	// expected is the time to the first answer.
	expected time.Duration
	cost     float64
	// read is the number of tokens that the endpoint has to read.
	read      int
	fetchFrom string
	// unqueued and queued are the parts of the expected time without and with a
	// queue, in milliseconds.
	unqueued, queued float64
	// priority is the engine's.
	priority int
	// retryAfter is when to come back when no endpoint was found.
	retryAfter time.Duration
}

// choose picks the cheapest endpoint of a pool.
func (b *Balancer) choose(now time.Time, p *pool, req *Request) (choice, Reason) {
	if p.engine != nil && req.Prompt.InputTokens > p.engine.CacheTokens {
		return choice{retryAfter: maxRetryAfter}, ReasonTooLarge
	}
	b.refresh(now)
	p.updateReserve(now, b)
	where := b.locate(now, p, &req.Prompt)
	candidates := b.candidates(p, req.Prompt.SharedPrefixID(), where)
	// An endpoint that has failed the request is better than one behind a cut.
	for _, allowed := range []func(e *endpoint) bool{
		func(e *endpoint) bool { return !b.domain(e.Domain).cutOff && !slices.Contains(req.Avoid, e.Name) },
		func(e *endpoint) bool { return !b.domain(e.Domain).cutOff },
		func(*endpoint) bool { return true },
	} {
		best := b.cheapest(now, p, req, where, candidates, allowed)
		if best.endpoint != nil {
			best.priority = best.enginePriority(now, req)
			return best, ""
		}
	}
	return choice{retryAfter: p.pausedFor(now)}, ReasonNoEndpoint
}

func (b *Balancer) cheapest(now time.Time, p *pool, req *Request, where whereabouts, candidates []*endpoint, allowed func(*endpoint) bool) choice {
	var best choice
	for _, e := range candidates {
		if !e.usable(now) || !allowed(e) {
			continue
		}
		c := b.price(now, p, req, e, where)
		if best.endpoint == nil || c.cost < best.cost {
			best = c
		}
	}
	return best
}

// candidates are the endpoints that are compared: all of a small pool. Of a
// large one, where the parts of the prompt are or belong, and a sample: hosts
// that compare all of many would all meet at the few best.
func (b *Balancer) candidates(p *pool, key model.PartID, where whereabouts) []*endpoint {
	if len(p.endpoints) <= maxCompared {
		return p.endpoints
	}
	out := make([]*endpoint, 0, maxCompared+maxHolders+1)
	if where.home != nil {
		out = append(out, where.home)
	}
	for _, h := range b.holders.byKey[key] {
		if e := b.endpoints[h.endpoint]; e != nil && e.Pool == p.endpoints[0].Pool {
			out = append(out, e)
		}
	}
	for range maxCompared {
		out = append(out, p.endpoints[b.rng.IntN(len(p.endpoints))])
	}
	return out
}

// price works out what a request costs at an endpoint.
func (b *Balancer) price(now time.Time, p *pool, req *Request, e *endpoint, where whereabouts) choice {
	e.fade(now)
	c := choice{endpoint: e}
	var ms float64
	if p.engine == nil {
		ms = e.serviceTime()
	} else {
		ms = b.priceEngine(now, p, req, &c, where)
	}
	ms *= e.slowness
	c.expected = time.Duration(ms * float64(time.Millisecond))
	c.cost += lateCost(req, now, ms)
	if e.Domain != b.opts.Domain {
		c.cost += otherDomain + staleView*b.farInterval.Seconds()
	}
	if e.own.Count >= e.opened {
		c.cost += newConnection
	}
	c.cost += e.failing * failing
	if e.stalled > 0 || e.overdue > 0 {
		c.cost += silentEndpoint
	}
	if b.domain(e.Domain).inDoubt() {
		c.cost += silentDomain
	}
	return c
}

// lateCost is the cost of an answer after so many milliseconds from now.
func lateCost(req *Request, now time.Time, ms float64) float64 {
	target := float64(req.Target.Milliseconds())
	if target <= 0 {
		return 0
	}
	ms += float64(now.Sub(req.Arrived).Milliseconds())
	ratio := ms / target
	late := 1 / (1 + math.Pow(evenTime/ratio, lateSlope))
	return late*lateness[req.rank()] + slowerAnswer*ratio
}

// serviceTime is the expected time of an answer of a plain service, in
// milliseconds.
func (e *endpoint) serviceTime() float64 {
	count := e.own.Count + e.peers.Count
	return serviceBase * (1 + float64(count)/float64(max(e.Slots, 1)))
}

// priceEngine adds the costs of an engine and returns the expected time to the
// first event in milliseconds.
func (b *Balancer) priceEngine(now time.Time, p *pool, req *Request, c *choice, where whereabouts) float64 {
	e := c.endpoint
	total := e.total()
	fetch := b.priceShared(now, req, c, where)
	each := readTime + readTimeEach*float64(total.Count)
	before := total.pending(req.priority()) * each
	own := float64(c.read) * each
	c.cost += p.reserve.price(req, e)
	c.cost += crowding * own / 1000 * total.pending(Priorities-1) * each / 1000
	if over := total.Count + 1 - p.engine.Slots; over > 0 {
		c.cost += float64(over) * overSlots
	}
	if float64(total.Memory+memoryOf(&req.Prompt)) > memoryPart*float64(p.engine.CacheTokens) {
		c.cost += overMemory
	}
	c.unqueued = firstEventBase + own + fetch
	c.queued = before
	return c.unqueued + before*p.queues.factor()
}

// priceShared decides how an endpoint gets the shared parts of the prompt. It
// returns the time to fetch them in milliseconds.
func (b *Balancer) priceShared(now time.Time, req *Request, c *choice, where whereabouts) float64 {
	c.read = req.Prompt.UnsharedTokens()
	if where.tokens == 0 {
		return 0
	}
	thousands := float64(where.tokens) / 1000
	held, reading := b.holders.state(now, req.Prompt.SharedPrefixID(), c.endpoint.Name)
	switch {
	case held || reading:
		// Under load an endpoint may have dropped them. Fetching what it still holds
		// moves nothing.
		if other := where.besides(c.endpoint); other != nil {
			c.fetchFrom = other.Address
		}
		return 0
	case where.source != nil:
		c.fetchFrom = where.source.Address
		c.cost += movedTokens * thousands
		return fetchBase + fetchTime*float64(where.tokens)
	case where.reading:
		c.cost += reReadTokens * thousands
	case c.endpoint == where.home && where.assumed:
		return 0
	case c.endpoint != where.home:
		c.cost += awayFromHome
		if where.home != nil {
			// Fetching what the home lacks after all moves nothing.
			c.fetchFrom = where.home.Address
		}
		if where.assumed {
			c.cost += movedTokens * thousands
			return fetchBase + fetchTime*float64(where.tokens)
		}
	}
	c.read += where.tokens
	return 0
}

// memoryOf is the number of tokens that a request is expected to hold.
func memoryOf(p *model.Prompt) int {
	return p.UnsharedTokens() + int(outputPart*float64(p.MaxOutputTokens))
}

// pausedFor is the time until the first endpoint of a pool is tried again.
func (p *pool) pausedFor(now time.Time) time.Duration {
	first := unknownPoolRetryAfter
	for _, e := range p.endpoints {
		if !e.Draining {
			first = min(first, max(e.paused.Sub(now), e.checkAt.Sub(now)))
		}
	}
	return first
}
