// Package balance chooses the endpoint for each request. It tracks the load
// that this host and the other hosts have placed on each endpoint, the shared
// prompt prefixes that each endpoint likely caches, and each endpoint's
// measured latency and failures. From these it estimates the time to the first
// response and a cost for each endpoint, and picks the endpoint with the lowest
// cost or refuses the request. It is a state machine without I/O and without a
// clock.
package balance

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/attempt"
	"github.com/wigeonsail/wigeonsail/internal/core/directory"
	"github.com/wigeonsail/wigeonsail/internal/core/enginespeed"
	"github.com/wigeonsail/wigeonsail/internal/core/fairshare"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/core/routing"
)

// Options configures a Balancer.
type Options struct {
	// Domain is this host's failure domain.
	Domain model.DomainName
	// Budget limits the retries that all hosts together send to each pool.
	Budget attempt.SharedBudgetOptions
	// WarmCaches reports that the endpoints have already served other hosts, so
	// that a host that has just started assumes that each shared prefix is
	// cached at its home endpoint.
	WarmCaches bool
	// FairShares divides pools that are short of room among client accounts.
	FairShares bool
	// Others are the paths of other hosts; nil if requests are never sent through them.
	Others OtherPaths
	// Seed seeds the random choices among endpoints.
	Seed uint64
}

// Balancer is the state machine. It is not safe for concurrent use: the control
// loop owns it.
type Balancer struct {
	opts      Options
	pools     map[model.PoolName]*pool
	endpoints map[model.EndpointName]*endpoint
	// byKey holds the endpoints by key. listing counts how often it has changed.
	byKey   map[EndpointKey]*endpoint
	listing int
	// inUse are the endpoints to which this host has sent requests, until localLoads
	// finds that they have ended.
	inUse   map[*endpoint]bool
	running map[model.RequestID]*runningRequest
	// peers holds the latest load report of each other host, and of each other
	// failure domain under domainLoadID.
	peers map[model.HostID]*peerLoad
	// lastHeard is when each other host was last heard from, and its failure
	// domain. domainHosts is the number of hosts of each failure domain as last
	// reported by a relay.
	lastHeard   map[model.HostID]hostContact
	domainHosts map[model.DomainName]hostCount
	cacheIndex  cacheIndex
	// crossDomainInterval is the time between two digests from a host of
	// another failure domain.
	crossDomainInterval time.Duration
	// localLoadChanged reports whether the local load differs from the last
	// LocalLoad.
	localLoadChanged bool
	// refreshedAt is when refreshEstimates last ran.
	refreshedAt time.Time
	// startedAt is the time of the first request.
	startedAt time.Time
	// rng draws from source, which is kept so that Explain can draw from a copy.
	rng    *rand.Rand
	source *rand.PCG
	// trace records the costs of the candidates; nil unless the decision is explained.
	trace *trace
	// domains holds the reachability of each failure domain. domainChanges are
	// the changes since the last TakeDomainChanges.
	domains       map[model.DomainName]*domain
	domainChanges []DomainChange
	paths         paths
	// watched are the endpoints that may need a connectivity check.
	watched watchedEndpoints
	// limitReports holds the endpoints with a report about their limit that is shared
	// with other hosts. limitSharesAt is when this host's shares were last updated.
	limitReports  map[model.EndpointName]*endpoint
	limitSharesAt time.Time
	liveHosts     liveHosts
	// brittleReports holds the endpoints with a report about their brittleness.
	brittleReports map[model.EndpointName]*endpoint
	brittleView    brittleView
	// accounts counts the work that client accounts request.
	accounts *fairshare.Book
	// listAsOf is a time as of which the list of endpoints is known.
	listAsOf time.Time
}

// pool is the state of one pool of endpoints. endpoints is sorted by hash.
type pool struct {
	engine          *routing.Engine
	endpoints       []*endpoint
	budget          *attempt.SharedBudget
	urgentReserve   urgentReserve
	queueCorrection queueCorrection
	speed           *enginespeed.Pool
	// urgentAt is when an urgent request was last to be placed among brittle endpoints,
	// urgentRefusedAt when one last found no room there.
	urgentAt, urgentRefusedAt time.Time
}

// runningRequest is a request in flight at an endpoint.
type runningRequest struct {
	req      Request
	endpoint *endpoint
	// placedAt is when the request was placed, expected the estimated time to
	// the first response then.
	placedAt time.Time
	expected time.Duration
	// prefill is the number of prompt tokens that the endpoint has to prefill;
	// 0 after the first response. pendingPrefill is the estimate of how many
	// are left.
	prefill        int
	pendingPrefill int
	// memory is the number of cache tokens that the request is expected to
	// hold.
	memory int
	// initialPrefill is prefill as it was on placement. priority is the engine
	// priority.
	initialPrefill int
	priority       int
	// unqueuedMS and queuedMS are the parts of the time to the first response,
	// in milliseconds, that were expected on placement outside and in the
	// queue.
	unqueuedMS, queuedMS float64
	// speedSample is the sample of the engine's speed without the measured time.
	// baseMS is the part of the expected time that no prefill takes.
	speedSample enginespeed.Observation
	baseMS      float64
	// indirect reports whether the request was sent through another host.
	indirect bool
	// answered reports whether the first response has arrived.
	answered bool
	// stalled reports whether the stream has been silent for longer than usual,
	// overdue whether the first response is far later than expected.
	stalled bool
	overdue bool
}

// New returns a Balancer without pools or endpoints.
func New(opts Options) *Balancer {
	source := rand.NewPCG(opts.Seed, opts.Seed^0x9e3779b97f4a7c15)
	return &Balancer{
		opts:           opts,
		pools:          make(map[model.PoolName]*pool),
		endpoints:      make(map[model.EndpointName]*endpoint),
		inUse:          make(map[*endpoint]bool),
		byKey:          make(map[EndpointKey]*endpoint),
		running:        make(map[model.RequestID]*runningRequest),
		peers:          make(map[model.HostID]*peerLoad),
		lastHeard:      make(map[model.HostID]hostContact),
		domainHosts:    make(map[model.DomainName]hostCount),
		cacheIndex:     newCacheIndex(),
		domains:        make(map[model.DomainName]*domain),
		watched:        make(watchedEndpoints),
		paths:          paths{failed: make(map[model.EndpointName]model.DomainName)},
		limitReports:   make(map[model.EndpointName]*endpoint),
		brittleReports: make(map[model.EndpointName]*endpoint),
		source:         source,
		accounts:       fairshare.NewBook(),
		rng:            rand.New(source),
	}
}

// SetPools sets the engine data of the pools of a new configuration and creates
// pools that are missing. Pools that the configuration no longer has lose theirs,
// and are dropped unless they have endpoints.
func (b *Balancer) SetPools(pools []routing.Pool) {
	configured := make(map[model.PoolName]bool, len(pools))
	for _, cfg := range pools {
		configured[cfg.Name] = true
		b.pool(cfg.Name).engine = cfg.Engine
	}
	for name, p := range b.pools {
		if configured[name] {
			continue
		}
		p.engine = nil
		if len(p.endpoints) == 0 {
			delete(b.pools, name)
		}
	}
}

// SetBudget changes the retry budget of all pools. Attempts already counted stay
// counted unless the length of the budget's window changes.
func (b *Balancer) SetBudget(opts attempt.SharedBudgetOptions) {
	b.opts.Budget = opts
	for _, p := range b.pools {
		p.budget.SetOptions(opts)
	}
}

// pool returns the pool with the name and creates it if needed: endpoints may
// be listed before the configuration names their pool.
func (b *Balancer) pool(name model.PoolName) *pool {
	p := b.pools[name]
	if p == nil {
		p = &pool{budget: attempt.NewSharedBudget(b.opts.Budget), speed: enginespeed.NewPool()}
		b.pools[name] = p
	}
	return p
}

// Apply applies a change of the endpoint directory. A restarted endpoint, or
// one that moved to another pool, loses its learned state.
func (b *Balancer) Apply(c directory.Change) {
	e := b.endpoints[c.Entry.Name]
	if c.Removed {
		if e != nil {
			b.remove(e)
		}
		return
	}
	if e != nil && (c.Restarted || e.Pool != c.Entry.Pool) {
		b.remove(e)
		e = nil
	}
	if e == nil {
		e = newEndpoint(c.Entry)
		e.watched, e.unproven = b.watched, b.paths.lost
		b.endpoints[e.Name] = e
		b.byKey[EndpointKey(e.hash)] = e
		b.listing++
		b.pool(e.Pool).insertByHash(e)
		b.sumRemoteLoad(e)
		return
	}
	e.Entry = c.Entry
}

// remove drops an endpoint. Requests in flight there end on their own.
func (b *Balancer) remove(e *endpoint) {
	delete(b.endpoints, e.Name)
	delete(b.byKey, EndpointKey(e.hash))
	b.listing++
	delete(b.limitReports, e.Name)
	delete(b.brittleReports, e.Name)
	b.cacheIndex.dropEndpoint(e.Name)
	if e.inDomainRound {
		b.domain(e.Domain).openChecks--
	}
	p := b.pool(e.Pool)
	p.endpoints = slices.DeleteFunc(p.endpoints, func(other *endpoint) bool { return other == e })
}

// Submit chooses an endpoint for a request or refuses it. A placed request
// counts as in flight until Finish. A request without endpoints to avoid adds
// to the pool's retry budget, and a placed retry is charged to it.
func (b *Balancer) Submit(now time.Time, req Request) Decision {
	d := b.place(now, &req)
	b.recordRequested(now, &req, &d)
	return d
}

// place chooses an endpoint for a request or refuses it.
func (b *Balancer) place(now time.Time, req *Request) Decision {
	if b.startedAt.IsZero() {
		b.startedAt = now
	}
	p := b.pools[req.Pool]
	if p == nil {
		return refuse(ReasonNoEndpoint, unknownPoolRetryAfter)
	}
	if len(req.Avoid) == 0 {
		p.budget.RecordFirst(now)
	}
	choice, reason := b.choose(now, p, req)
	if choice.endpoint == nil {
		return refuse(reason, choice.retryAfter)
	}
	standing, above := b.isAboveShare(now, p, req, &choice)
	if above {
		choice.priority = req.priorityAboveShare(choice.priority)
		if wait, refused := b.refusesAboveShare(now, p, req, &choice); refused {
			d := refuse(ReasonAboveShare, wait)
			d.AboveShare = standing
			return d
		}
	}
	if wait, refused := b.refusesInTime(now, p, req, &choice); refused {
		return refuse(ReasonNotInTime, wait)
	}
	if req.Retry && !p.budget.TakeRetry(now, b.CountHosts(now)) {
		return refuse(ReasonRetryBudget, choice.expected)
	}
	d := b.grant(now, req, choice)
	d.AboveShare = standing
	return d
}

// grant records the request as in flight at the chosen endpoint, queues a cache
// update for its shared prefix, and returns the decision.
func (b *Balancer) grant(now time.Time, req *Request, c choice) Decision {
	e := c.endpoint
	r := &runningRequest{
		req:            *req,
		endpoint:       e,
		placedAt:       now,
		expected:       c.expected,
		prefill:        c.prefill,
		pendingPrefill: c.prefill,
		memory:         estimatedMemory(&req.Prompt),
		initialPrefill: c.prefill,
		unqueuedMS:     c.unqueuedMS * e.latencyRatio,
		queuedMS:       c.queuedMS * e.latencyRatio,
		priority:       c.priority,
		speedSample:    c.speedSample,
		baseMS:         b.pool(e.Pool).speed.BaseMS(),
	}
	r.indirect = c.indirect
	b.running[req.ID] = r
	b.localLoadChanged = true
	total := e.totalLoad()
	d := Decision{
		Endpoint:      e.Name,
		Address:       e.Address,
		Started:       e.Started,
		Software:      b.certainSoftware(e),
		Indirect:      c.indirect,
		Limit:         e.limit.report.PerSecond,
		Brittle:       b.takeRoom(e),
		Priority:      c.priority,
		FetchFrom:     c.fetchFrom,
		Expected:      c.expected,
		InFlight:      total.Count,
		PeersAge:      b.oldestPeerLoadAge(now),
		QueuedPrefill: total.PendingPrefill,
		OwnPrefill:    c.prefill,
	}
	e.limit.takeRequest(now)
	b.inUse[e] = true
	e.localLoad.add(c.priority, r.pendingPrefill, r.memory, 1)
	if req.isUrgent() {
		e.localLoad.Urgent++
	}
	e.peakInFlight = max(e.peakInFlight, e.localLoad.Count)
	if key := req.Prompt.SharedPrefixID(); key != 0 {
		b.cacheIndex.recordPlaced(now, key, e.Name)
	}
	return d
}

// RecordFirstResponse records that the first event of a stream, or the whole
// response to another request, has arrived: the prompt counts as prefilled and
// its shared prefix as cached, the failure domain is reachable, and the latency
// estimates are updated. Unknown IDs and repeated calls are ignored.
func (b *Balancer) RecordFirstResponse(now time.Time, id model.RequestID) {
	r := b.running[id]
	if r == nil || r.answered {
		return
	}
	r.endpoint.localLoad.add(r.priority, -r.pendingPrefill, 0, 0)
	r.pendingPrefill = 0
	r.prefill = 0
	if key := r.req.Prompt.SharedPrefixID(); key != 0 {
		b.cacheIndex.recordPrefilled(now, key, r.endpoint.Name)
	}
	r.answered = true
	b.recordServed(now, r)
	r.setOverdue(false)
	b.localLoadChanged = true
	if r.indirect {
		return
	}
	b.recordAnswer(now, r.endpoint, r.placedAt)
	b.recordReachable(now, b.domain(r.endpoint.Domain))
	if !b.wasWithoutPaths(r) {
		b.recordResponseTime(now, r)
	}
}

// Finish records the end of an attempt, removes its load from the endpoint, and
// updates the endpoint's failures and the reachability of its failure domain.
// Unknown IDs are ignored.
func (b *Balancer) Finish(now time.Time, id model.RequestID, res Result) {
	r := b.running[id]
	if r == nil {
		return
	}
	delete(b.running, id)
	r.endpoint.localLoad.add(r.priority, -r.pendingPrefill, -r.memory, -1)
	if r.req.isUrgent() {
		r.endpoint.localLoad.Urgent--
	}
	if res.Failure == FailureNone {
		b.pool(r.endpoint.Pool).urgentReserve.recordUrgent(r, now)
	}
	r.setOverdue(false)
	r.setStalled(false)
	b.recordResult(now, r, res.Failure)
	b.recordRejection(now, r.endpoint, res.Failure)
	if res.RetryAfter > 0 {
		r.endpoint.startBackoff(now, res.RetryAfter)
	} else if r.answered {
		r.endpoint.endBackoff(now)
	}
	b.localLoadChanged = true
}

// recordResult updates the failures of the endpoint and the reachability of its failure
// domain. What happens while this host has no paths shows nothing of the endpoint, and that
// no other host reaches it is recorded with the paths of that host.
func (b *Balancer) recordResult(now time.Time, r *runningRequest, failure Failure) {
	switch {
	case r.indirect:
		if failure != FailureUnreachable {
			r.endpoint.recordResult(now, failure)
		}
		return
	case failure == FailureBroken || failure == FailureUnreachable:
		if b.paths.lost {
			return
		}
		b.recordPathFailure(now, r.endpoint)
	}
	r.endpoint.recordResult(now, failure)
	b.recordReachability(now, r, failure)
}

// wasWithoutPaths reports whether this host had no paths at a time since a request was
// placed, so that the time of the response shows nothing of the endpoint.
func (b *Balancer) wasWithoutPaths(r *runningRequest) bool {
	return b.paths.lost || r.placedAt.Before(b.paths.changedAt)
}

// recordReachability updates the reachability of the endpoint's failure domain
// after an attempt.
func (b *Balancer) recordReachability(now time.Time, r *runningRequest, failure Failure) {
	d := b.domain(r.endpoint.Domain)
	switch failure {
	case FailureNone:
		// The caller may have disconnected before any response, so success
		// alone does not show that the domain is reachable.
		if r.answered {
			b.recordReachable(now, d)
		}
	case FailureRefused, FailureError, FailureReplaced:
		b.recordAnswer(now, r.endpoint, r.placedAt)
		b.recordReachable(now, d)
	case FailureUnreachable:
		d.lastConnectFailure = now
	}
}

// HasUsableEndpoint reports whether any endpoint is in service: not draining,
// unreachable or paused. The reachability of its failure domain does not count,
// and neither does a backoff, which ends by itself.
func (b *Balancer) HasUsableEndpoint(now time.Time) bool {
	for _, e := range b.endpoints {
		if e.isInService(now) {
			return true
		}
	}
	return false
}

// refuse returns a refusal with a retry time within minRetryAfter and
// maxRetryAfter. The time that endpoints have stated themselves is not limited:
// before it, no retry can succeed.
func refuse(reason Reason, after time.Duration) Decision {
	if reason != ReasonBackoff && reason != ReasonLimit {
		after = min(after, maxRetryAfter)
	}
	return Decision{Reason: reason, RetryAfter: max(after, minRetryAfter)}
}

const (
	// minRetryAfter and maxRetryAfter bound the retry time stated in a refusal.
	// Callers wait at most a third of their remaining time.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 4 * time.Second
	// unknownPoolRetryAfter is the time within which all hosts see a newly
	// listed endpoint.
	unknownPoolRetryAfter = time.Second
)

// String returns the reason for a refusal as used in logs and metrics.
func (r Reason) String() string { return string(r) }
