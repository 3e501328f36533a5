package balance

import (
	"slices"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/enginespeed"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// Latency model of an engine: its chunked prefill between the decode steps of
// other requests, at the learned speed, and its cache transfers. Short-term
// deviations of a single endpoint are learned as its latencyRatio.
const (
	// fetchBaseMS and fetchMSPerToken are the time to transfer cached tokens
	// from another endpoint, in milliseconds: the fixed part and the part per
	// token.
	fetchBaseMS     = 4.0
	fetchMSPerToken = 0.0005
	// lowerPriorityShare is the share of lower-priority prompt tokens that is
	// expected to be prefilled first, since an engine finishes a prompt that it
	// has started.
	lowerPriorityShare = 0.4
	// outputShare is the share of the maximum output that a request is expected
	// to hold in memory.
	outputShare = 0.5
	// serviceBaseMS is the expected response time of an idle plain service, in
	// milliseconds.
	serviceBaseMS = 45.0
)

// The costs that are added up for an endpoint, in units of the worth of a
// request that is served in time. Those of tokens, bytes and connections follow
// the platform's prices.
const (
	// transferCost is the cost of transferring 1,000 cached tokens between
	// endpoints. recomputeCost is that of prefilling 1,000 tokens that another
	// endpoint already caches or is prefilling, or that other hosts will prefill at
	// its home.
	transferCost  = 0.022
	recomputeCost = 0.075
	// awayFromHomeCost is the least cost of prefilling a shared prefix for the first
	// time at an endpoint other than its home.
	awayFromHomeCost = 0.15
	// crossDomainCost is the cost of traffic between failure domains,
	// newConnectionCost that of opening a connection.
	crossDomainCost   = 0.02
	newConnectionCost = 0.05
	// overMemoryCost is the cost of a request that will have to be preempted
	// for lack of memory, overSlotsCost that of each request above an engine's
	// slots.
	overMemoryCost = 0.8
	overSlotsCost  = 0.1
	// staleViewCost is the cost of an endpoint in another domain per second
	// between two digests of that domain's hosts: many hosts choose it from the
	// same outdated load report.
	staleViewCost = 0.25
	// failureCost is the cost of an attempt that fails.
	failureCost = 1.0
	// silentEndpointCost is the cost of an endpoint with stalled or overdue
	// requests, suspectDomainCost that of an endpoint in a domain that may be
	// unreachable.
	silentEndpointCost = 0.5
	suspectDomainCost  = 0.7
	// limitTestGain is the gain of finding out whether the limit of an endpoint has
	// ended. It exceeds the cost of a connection to another failure domain.
	limitTestGain = 0.2
	// crowdingCost is the cost of adding one second of prefill to a queue of
	// one second of prefill: it delays all requests that arrive later.
	crowdingCost = 0.6
	// latencyCost is the cost of a response that takes all of its latency
	// target, apart from the cost of being late.
	latencyCost = 0.05
)

// latenessCost is the cost of a late response by rank.
var latenessCost = [ranksPerTier]float64{2, 1.3, 0.9}

// Parameters of the probability that a response is late. It is one half when
// the expected time is evenOddsShare of the target, and its odds grow with the
// third power of the ratio.
const evenOddsShare = 0.75

// concurrentPrefillInterval is the time between two digests from which on a new prefix that
// is prefilled away from its home is likely to be prefilled by other hosts as well.
const concurrentPrefillInterval = 100 * time.Millisecond

// maxSampled is the largest number of endpoints that are compared for one
// request, in addition to the home and the cache holders of its shared prefix.
const maxSampled = 256

// memoryLimitShare is the share of an engine's cache above which requests are
// likely to be preempted.
const memoryLimitShare = 0.9

// choice is an endpoint with the estimates for a request there.
type choice struct {
	endpoint *endpoint
	// expected is the estimated time to the first response.
	expected time.Duration
	// cost is the sum of the costs of the choice; lower is better. terms are the
	// costs by what causes them; nil unless the decision is explained.
	cost  float64
	terms *costTerms
	// prefill is the number of prompt tokens that the endpoint has to prefill.
	prefill int
	// fetchFrom is the address of an endpoint to fetch the shared prefix from;
	// empty for none.
	fetchFrom string
	// unqueuedMS and queuedMS are the parts of the expected time outside and in
	// the queue, in milliseconds, before scaling by the endpoint's
	// latencyRatio.
	unqueuedMS, queuedMS float64
	// speedSample is the sample of the engine's speed that the response will
	// complete.
	speedSample enginespeed.Observation
	// priority is the priority to send to the engine.
	priority int
	// indirect reports that the request must be sent through another host.
	indirect bool
	// retryAfter is when to retry if no endpoint was found.
	retryAfter time.Duration
}

// choose returns the endpoint of the pool with the lowest cost, or the reason
// why there is none. It refreshes the estimates and the pool's reservation
// before.
func (b *Balancer) choose(now time.Time, p *pool, req *Request) (choice, Reason) {
	if p.engine != nil && req.Prompt.InputTokens > p.engine.CacheTokens {
		return choice{retryAfter: maxRetryAfter}, ReasonTooLarge
	}
	b.refreshEstimates(now)
	b.updateLimitShares(now)
	p.updateUrgentReserve(now, b)
	loc := b.locateSharedPrefix(now, p, &req.Prompt)
	candidates := b.candidates(p, req.Prompt.SharedPrefixID(), loc)
	if req.Software != "" {
		candidates = b.endpointsOf(p, req.Software)
	}
	if len(candidates) == 0 && req.Software != "" {
		return choice{retryAfter: p.timeToNextEndpoint(now)}, ReasonSoftware
	}
	for _, tier := range b.preferences(now, req) {
		if req.OnlyOthers && !tier.others {
			return choice{retryAfter: p.timeToNextEndpoint(now)}, ReasonNoEndpoint
		}
		best := b.cheapest(now, p, req, loc, candidates, tier.allowed)
		if best.endpoint != nil {
			best.priority = best.enginePriority(now, req)
			best.indirect = tier.indirect
			return best, ""
		}
	}
	if wait, brittle := b.timeToBrittleRoom(now, p, req); brittle {
		return choice{retryAfter: wait}, ReasonBrittle
	}
	if wait, limited := b.timeToLimitedRequest(now, p); limited {
		return choice{retryAfter: wait}, ReasonLimit
	}
	if wait, backingOff := b.timeToBackoffEnd(now, p); backingOff {
		return choice{retryAfter: wait}, ReasonBackoff
	}
	return choice{retryAfter: p.timeToNextEndpoint(now)}, ReasonNoEndpoint
}

// preference is a group of endpoints of which one is chosen if none of a group before it
// is usable.
type preference struct {
	allowed func(e *endpoint) bool
	// indirect reports that requests are sent through another host, others that no endpoint
	// has failed the request before.
	indirect, others bool
}

// preferences returns the groups of endpoints in order: those that this host reaches, those
// that only others reach, the same ones if they have failed the request before, and as the
// last resort those in unreachable domains.
func (b *Balancer) preferences(now time.Time, req *Request) []preference {
	avoided := func(e *endpoint) bool { return slices.Contains(req.Avoid, e.Name) }
	direct := func(e *endpoint) bool { return b.reaches(e) && e.isUsable(now) }
	var reached *reach
	indirect := func(e *endpoint) bool {
		if reached == nil {
			reached = b.reach()
		}
		return b.mayGoThroughAnotherHost(now, e, reached)
	}
	return []preference{
		{others: true, allowed: func(e *endpoint) bool { return direct(e) && !avoided(e) }},
		{others: true, indirect: true, allowed: func(e *endpoint) bool { return indirect(e) && !avoided(e) }},
		{allowed: direct},
		{indirect: true, allowed: indirect},
		{allowed: func(e *endpoint) bool { return e.isUsable(now) }},
	}
}

// cheapest returns the candidate with the lowest cost among those for which allowed
// returns true; its endpoint is nil if there is none. The priority is not set.
func (b *Balancer) cheapest(now time.Time, p *pool, req *Request, loc cacheLocation, candidates []*endpoint, allowed func(*endpoint) bool) choice {
	var best choice
	for _, e := range candidates {
		if !allowed(e) || !b.brittleAllows(now, p, req, e) {
			continue
		}
		c := b.estimateCost(now, p, req, e, loc)
		b.trace.record(&c)
		if best.endpoint == nil || c.cost < best.cost {
			best = c
		}
	}
	return best
}

// candidates returns the endpoints to compare. A small pool is compared whole.
// In a large pool these are the home and the cache holders of the shared prefix
// and a random sample: if every host compared all endpoints, all would converge
// on the same few best ones.
func (b *Balancer) candidates(p *pool, key model.PartID, loc cacheLocation) []*endpoint {
	if len(p.endpoints) <= maxSampled {
		return p.endpoints
	}
	out := make([]*endpoint, 0, maxSampled+maxHolders+1)
	if loc.home != nil {
		out = append(out, loc.home)
	}
	for _, h := range b.cacheIndex.byKey[key] {
		if e := b.endpoints[h.endpoint]; e != nil && e.Pool == p.endpoints[0].Pool {
			out = append(out, e)
		}
	}
	for range maxSampled {
		out = append(out, p.endpoints[b.rng.IntN(len(p.endpoints))])
	}
	return out
}

// estimateCost estimates the latency and the cost of a request at an endpoint,
// after decaying the endpoint's learned averages. The priority is not set.
func (b *Balancer) estimateCost(now time.Time, p *pool, req *Request, e *endpoint, loc cacheLocation) choice {
	if now.Sub(e.decayedAt) >= refreshInterval {
		e.decay(now)
	}
	c := choice{endpoint: e, terms: b.trace.newTerms()}
	var ms float64
	if p.engine == nil {
		ms = e.expectedServiceMS()
	} else {
		ms = b.estimateEngine(now, p, req, &c, loc)
	}
	ms *= e.latencyRatio
	c.expected = time.Duration(ms * float64(time.Millisecond))
	c.add(termLateness, lateCost(req, now, ms))
	if e.Domain != b.opts.Domain {
		c.add(termCrossDomain, crossDomainCost+staleViewCost*b.crossDomainInterval.Seconds())
	}
	if e.localLoad.Count >= e.peakInFlight {
		c.add(termConnection, newConnectionCost)
	}
	c.add(termFailures, e.failureRate*failureCost)
	if e.stalled > 0 || e.overdue > 0 {
		c.add(termSilent, silentEndpointCost)
	}
	if e.limit.needsTest(now) {
		c.add(termLimitTest, -limitTestGain)
	}
	if b.domain(e.Domain).isSuspect() {
		c.add(termSuspectDomain, suspectDomainCost)
	}
	return c
}

// lateCost returns the cost of a response that takes ms milliseconds from now:
// the probability of missing the target times the cost by rank, and a small
// part that grows with latency.
func lateCost(req *Request, now time.Time, ms float64) float64 {
	target := float64(req.Target.Milliseconds())
	if target <= 0 {
		return 0
	}
	ms += float64(now.Sub(req.Arrived).Milliseconds())
	ratio := ms / target
	odds := ratio / evenOddsShare
	lateProbability := 1 - 1/(1+odds*odds*odds)
	return lateProbability*latenessCost[req.rank()] + latencyCost*ratio
}

// expectedServiceMS returns the expected response time of a plain service at
// its current load, in milliseconds.
func (e *endpoint) expectedServiceMS() float64 {
	count := e.localLoad.Count + e.remoteLoad.Count
	return serviceBaseMS * (1 + float64(count)/float64(max(e.Slots, 1)))
}

// estimateEngine adds the costs that are specific to an engine to c and returns
// the expected time to the first event, in milliseconds.
func (b *Balancer) estimateEngine(now time.Time, p *pool, req *Request, c *choice, loc cacheLocation) float64 {
	e := c.endpoint
	total := e.totalLoad()
	fetchMS := b.planSharedPrefix(now, req, c, loc)
	perTokenMS := e.speed.perTokenMS(total.Count)
	ahead := total.prefillAhead(req.priority())
	queueMS := ahead * perTokenMS
	ownMS := float64(c.prefill) * perTokenMS
	c.add(termReservation, p.urgentReserve.reservationCost(req, e))
	c.add(termCrowding, crowdingCost*ownMS/1000*total.prefillAhead(NumPriorities-1)*perTokenMS/1000)
	if over := total.Count + 1 - p.engine.Slots; over > 0 {
		c.add(termOverSlots, float64(over)*overSlotsCost)
	}
	if float64(total.Memory+estimatedMemory(&req.Prompt)) > memoryLimitShare*float64(p.engine.CacheTokens) {
		c.add(termOverMemory, overMemoryCost)
	}
	c.unqueuedMS = p.speed.BaseMS() + ownMS + fetchMS
	c.queuedMS = queueMS
	c.speedSample = enginespeed.Observation{
		OtherMS:      fetchMS,
		OwnTokens:    float64(c.prefill) * slowdown(total.Count),
		QueuedTokens: ahead * slowdown(total.Count) * p.queueCorrection.factor(),
	}
	return c.unqueuedMS + queueMS*p.queueCorrection.factor()
}

// planSharedPrefix decides whether the endpoint has the shared prefix cached,
// fetches it from another endpoint or prefills it. It sets c.prefill and
// c.fetchFrom, adds the cost to c.cost, and returns the time to fetch the
// prefix, in milliseconds; 0 if it need not be fetched.
func (b *Balancer) planSharedPrefix(now time.Time, req *Request, c *choice, loc cacheLocation) float64 {
	c.prefill = req.Prompt.UnsharedTokens()
	if loc.tokens == 0 {
		return 0
	}
	thousands := float64(loc.tokens) / 1000
	cached, prefilling := b.cacheIndex.lookup(now, req.Prompt.SharedPrefixID(), c.endpoint.Name)
	switch {
	case cached || prefilling:
		// The endpoint may have evicted the prefix under load. Fetching a
		// prefix that it still caches transfers nothing.
		if other := loc.sourceOtherThan(c.endpoint); other != nil {
			c.fetchFrom = other.Address
		}
		return 0
	case loc.source != nil:
		c.fetchFrom = loc.source.Address
		c.add(termTransfer, transferCost*thousands)
		return fetchBaseMS + fetchMSPerToken*float64(loc.tokens)
	case loc.prefilling:
		c.add(termRecompute, recomputeCost*thousands)
	case c.endpoint == loc.home && loc.assumedAtHome:
		return 0
	case c.endpoint != loc.home:
		// Hosts that do so at the same time prefill it twice, and so do those that
		// do not learn of it.
		c.add(termAwayFromHome, max(awayFromHomeCost, recomputeCost*thousands*b.concurrentPrefillShare()))
		if loc.home != nil {
			// If the home does not cache the prefix after all, nothing is
			// transferred.
			c.fetchFrom = loc.home.Address
		}
		if loc.assumedAtHome {
			c.add(termTransfer, transferCost*thousands)
			return fetchBaseMS + fetchMSPerToken*float64(loc.tokens)
		}
	}
	c.prefill += loc.tokens
	return 0
}

// concurrentPrefillShare returns the share of the new prefixes that other hosts are expected
// to prefill elsewhere before they learn of it.
func (b *Balancer) concurrentPrefillShare() float64 {
	return min(1, b.crossDomainInterval.Seconds()/concurrentPrefillInterval.Seconds())
}

// estimatedMemory returns the number of tokens that a request is expected to
// hold in the engine's cache.
func estimatedMemory(p *model.Prompt) int {
	return p.UnsharedTokens() + int(outputShare*float64(p.MaxOutputTokens))
}

// timeToNextEndpoint returns the time until the first endpoint of the pool may
// be tried again, at most unknownPoolRetryAfter.
func (p *pool) timeToNextEndpoint(now time.Time) time.Duration {
	first := unknownPoolRetryAfter
	for _, e := range p.endpoints {
		if !e.Draining {
			first = min(first, max(e.pausedUntil.Sub(now), e.nextCheck.Sub(now)))
		}
	}
	return first
}
