package balance

import (
	"slices"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

const (
	// readRate is the prompt tokens that an engine reads in a millisecond; the
	// learned slowness corrects it for each endpoint.
	readRate = 60.0
	// firstAnswerBase is the time to the first event of an idle engine.
	firstAnswerBase = 95 * time.Millisecond
	// perRequest is what each request at an engine adds to the time of a step.
	perRequest = 500 * time.Microsecond
	// queuedRequest is what each request above an engine's slots adds.
	queuedRequest = 50 * time.Millisecond
	// memoryPart is the part of an engine's memory from which on requests are
	// likely to be preempted, memoryPenalty what that costs.
	memoryPart    = 0.9
	memoryPenalty = 3 * time.Second
	// otherDomain is the cost of an endpoint in another failure domain: the way
	// there and the bytes between domains.
	otherDomain = 5 * time.Millisecond
	// newConnection is the cost of opening a connection.
	newConnection = 8 * time.Millisecond
	// awayFromHome is the cost of each 1,000 shared tokens that another endpoint
	// than their home has to get.
	awayFromHome = 20 * time.Millisecond
	// fetchRate is the tokens that move between engines in a millisecond.
	fetchRate = 2000.0
	// outputPart is the part of the longest answer that a request is expected to
	// hold in memory.
	outputPart = 0.5
	// serviceBase is the time that a plain service is expected to take.
	serviceBase = 45 * time.Millisecond
	// failurePenalty is the cost of an endpoint that fails all requests.
	failurePenalty = time.Second
)

// choice is an endpoint with what is expected of it.
type choice struct {
	endpoint *endpoint
	// expected is the time to the first answer, cost the time with the price of
	// moved tokens, connections and the like.
	expected  time.Duration
	cost      time.Duration
	pending   int
	fetchFrom string
	// retryAfter is when to come back when no endpoint was found.
	retryAfter time.Duration
}

// choose picks the cheapest endpoint of a pool.
func (b *Balancer) choose(now time.Time, p *pool, req *Request) (choice, Reason) {
	if p.engine != nil && req.Prompt.InputTokens > p.engine.CacheTokens {
		return choice{retryAfter: maxRetryAfter}, ReasonTooLarge
	}
	best := b.cheapest(now, p, req, req.Avoid)
	if best.endpoint == nil && len(req.Avoid) > 0 {
		best = b.cheapest(now, p, req, nil)
	}
	if best.endpoint == nil {
		return choice{retryAfter: p.pausedFor(now)}, ReasonNoEndpoint
	}
	return best, ""
}

func (b *Balancer) cheapest(now time.Time, p *pool, req *Request, avoid []model.EndpointName) choice {
	home, source := b.home(now, p, req.Prompt.SharedKey())
	var best choice
	for _, e := range p.endpoints {
		if !e.usable(now) || slices.Contains(avoid, e.Name) {
			continue
		}
		c := b.price(now, p, req, e, home, source)
		if best.endpoint == nil || c.cost < best.cost {
			best = c
		}
	}
	return best
}

// price works out what a request costs at an endpoint.
func (b *Balancer) price(now time.Time, p *pool, req *Request, e *endpoint, home, source *endpoint) choice {
	e.fade(now)
	c := choice{endpoint: e}
	if p.engine == nil {
		c.expected = e.serviceTime()
		c.cost = c.expected
	} else {
		b.priceEngine(p, req, &c, home, source)
	}
	if e.Domain != b.opts.Domain {
		c.cost += otherDomain
	}
	if e.own.Count >= e.opened {
		c.cost += newConnection
	}
	c.cost += time.Duration(e.failing * float64(failurePenalty))
	return c
}

// serviceTime is the expected time of an answer of a plain service.
func (e *endpoint) serviceTime() time.Duration {
	count := e.own.Count + e.peers.Count
	slots := max(e.Slots, 1)
	rounds := 1 + float64(count)/float64(slots)
	return time.Duration(rounds * e.slowness * float64(serviceBase))
}

func (b *Balancer) priceEngine(p *pool, req *Request, c *choice, home, source *endpoint) {
	e := c.endpoint
	total := e.own
	total.sum(e.peers)
	shared := req.Prompt.SharedTokens()
	c.pending = req.Prompt.OwnTokens()
	fetch := 0.0
	if e != home && shared > 0 {
		c.cost += time.Duration(float64(shared) / 1000 * float64(awayFromHome))
		fetch = float64(shared) / fetchRate
	}
	if source != nil && source != e {
		c.fetchFrom = source.Address
	}
	if source == nil {
		c.pending += shared
	}
	tokens := total.pending(req.priority()) + float64(c.pending)
	wait := time.Duration((tokens/readRate + fetch) * float64(time.Millisecond))
	busy := time.Duration(total.Count) * perRequest
	c.expected = time.Duration(e.slowness * float64(firstAnswerBase+wait+busy))
	c.cost += c.expected
	if over := total.Count + 1 - p.engine.Slots; over > 0 {
		c.cost += time.Duration(over) * queuedRequest
	}
	if float64(total.Memory+memoryOf(&req.Prompt)) > memoryPart*float64(p.engine.CacheTokens) {
		c.cost += memoryPenalty
	}
}

// memoryOf is the number of tokens that a request is expected to hold.
func memoryOf(p *model.Prompt) int {
	return p.OwnTokens() + int(outputPart*float64(p.MaxOutputTokens))
}

// pausedFor is the time until the first endpoint of a pool is tried again.
func (p *pool) pausedFor(now time.Time) time.Duration {
	first := unknownPoolRetryAfter
	for _, e := range p.endpoints {
		if !e.Draining {
			first = min(first, e.paused.Sub(now))
		}
	}
	return first
}
