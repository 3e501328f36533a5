// Package balance places requests on endpoints. It knows what this host has
// sent where, what the other hosts say they have sent, which endpoint likely
// caches which part of a prompt, and how fast and sound each endpoint has been.
// From that it expects the time to the first answer at each endpoint and picks
// the cheapest, or refuses. It is a state machine: no I/O, no clock.
package balance

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/attempt"
	"github.com/wigeonsail/wigeonsail/internal/core/directory"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/core/routing"
)

// Options configures a Balancer.
type Options struct {
	// Domain is this host's failure domain.
	Domain model.DomainName
	// Budget bounds the retries of all hosts together, for each pool.
	Budget attempt.WindowOptions
	// Warm says that the endpoints have served other hosts before, so that a host
	// that knows nothing yet expects them to hold shared parts.
	Warm bool
	// Seed starts the draws among many endpoints.
	Seed uint64
}

// Request is a request that needs an endpoint.
type Request struct {
	ID     model.RequestID
	Pool   model.PoolName
	Prompt model.Prompt
	// Tier is the caller's or the route's, Rank the route's own, which orders the
	// requests of one tier.
	Tier model.Tier
	Rank model.Tier
	// Target is the time in which the answer or its first event should come.
	Target time.Duration
	// Arrived is when the caller sent it.
	Arrived time.Time
	// Avoid lists the endpoints that failed or refused it.
	Avoid []model.EndpointName
	// Repeat says that an endpoint has received the request before, so that
	// sending it again takes from the retry budget.
	Repeat bool
}

// ranksPerTier is the number of ranks that are told apart within a tier.
const ranksPerTier = 3

// priority is by tier first, by rank within a tier.
func (r *Request) priority() int {
	return min(max(int(r.Tier), 0)*ranksPerTier+r.rank(), Priorities-1)
}

// urgent says that the request is of the first rank, the one that callers wait
// for moment by moment.
func (r *Request) urgent() bool { return r.rank() == 0 }

func (r *Request) rank() int { return min(max(int(r.Rank), 0), ranksPerTier-1) }

// Reason tells why a request was refused.
type Reason string

// The reasons of a refusal.
const (
	// ReasonNoEndpoint means that no endpoint can take the request.
	ReasonNoEndpoint Reason = "no_endpoint"
	// ReasonRetryBudget means that the hosts have no retries left.
	ReasonRetryBudget Reason = "retry_budget"
	// ReasonTooLarge means that the prompt fits into no endpoint's memory.
	ReasonTooLarge Reason = "too_large"
)

// Decision says where a request goes, or why nowhere.
type Decision struct {
	// Endpoint and Address are empty for a refusal.
	Endpoint model.EndpointName
	Address  string
	// Priority is the engine's: smaller is served first.
	Priority int
	// FetchFrom is the address of an endpoint that likely caches the shared
	// parts of the prompt; empty for none.
	FetchFrom string
	// Expected is the expected time to the first answer.
	Expected time.Duration
	// InFlight is the known work at the endpoint, PeersAge the age of the
	// oldest peer's share in it.
	InFlight int
	PeersAge time.Duration
	// Pending are the prompt tokens to be read at the endpoint before, by
	// priority, and Own those that the request adds.
	Pending [Priorities]int
	Own     int
	// Reason and RetryAfter belong to a refusal.
	Reason     Reason
	RetryAfter time.Duration
}

// Refused says that the request goes nowhere.
func (d Decision) Refused() bool { return d.Endpoint == "" }

// Result is the end of an attempt.
type Result struct {
	// Failure is what went wrong at the endpoint.
	Failure Failure
}

// Failure is what an endpoint did wrong.
type Failure uint8

// The failures.
const (
	// FailureNone means that the endpoint did its part.
	FailureNone Failure = iota
	// FailureRefused means that the endpoint had no room.
	FailureRefused
	// FailureError means that the endpoint answered with an error of its own.
	FailureError
	// FailureBroken means that the answer broke off or never came.
	FailureBroken
	// FailureUnreachable means that no connection could be opened.
	FailureUnreachable
	// FailureReplaced means that another endpoint has the address now.
	FailureReplaced
)

// Balancer is the state machine. The control loop owns it.
type Balancer struct {
	opts      Options
	pools     map[model.PoolName]*pool
	endpoints map[model.EndpointName]*endpoint
	running   map[model.RequestID]*running
	peers     map[model.HostID]*peerLoad
	// hosts are the other hosts with the time of their last word.
	hosts   map[model.HostID]time.Time
	holders holders
	// farInterval is the time between two digests of a host of another domain.
	farInterval time.Duration
	// changed says that the own load differs from the last OwnLoad.
	changed bool
	// refreshed is when the pending tokens were last worked out.
	refreshed time.Time
	// started is the time of the first request.
	started time.Time
	rng     *rand.Rand
	// domains are the failure domains, domainChanges those that were cut off or
	// came back since they were last asked for.
	domains       map[model.DomainName]*domain
	domainChanges []DomainChange
}

type pool struct {
	engine    *routing.Engine
	endpoints []*endpoint
	budget    *attempt.Window
	reserve   reserve
	queues    queues
}

// running is a request at an endpoint.
type running struct {
	req      Request
	endpoint *endpoint
	granted  time.Time
	expected time.Duration
	// read are the prompt tokens that the endpoint had to read, pending those
	// that it has likely still to read.
	read    int
	pending int
	memory  int
	// own are the prompt tokens that the endpoint had to read at first, priority
	// is the engine's.
	own      int
	priority int
	// unqueued and queued are the parts of the expected time at first.
	unqueued, queued float64
	// answered says that the first answer has come.
	answered bool
	// stalled says that the stream has stopped for longer than usual, overdue
	// that the first answer should have come long ago.
	stalled bool
	overdue bool
}

// New returns a Balancer without pools and endpoints.
func New(opts Options) *Balancer {
	return &Balancer{
		opts:      opts,
		pools:     make(map[model.PoolName]*pool),
		endpoints: make(map[model.EndpointName]*endpoint),
		running:   make(map[model.RequestID]*running),
		peers:     make(map[model.HostID]*peerLoad),
		hosts:     make(map[model.HostID]time.Time),
		holders:   newHolders(),
		domains:   make(map[model.DomainName]*domain),
		rng:       rand.New(rand.NewPCG(opts.Seed, opts.Seed^0x9e3779b97f4a7c15)),
	}
}

// SetPools takes the pools of a new configuration.
func (b *Balancer) SetPools(pools []routing.Pool) {
	for _, cfg := range pools {
		b.pool(cfg.Name).engine = cfg.Engine
	}
}

// SetBudget changes the budget of retries. What was taken stays taken.
func (b *Balancer) SetBudget(opts attempt.WindowOptions) {
	b.opts.Budget = opts
	for _, p := range b.pools {
		p.budget.SetOptions(opts)
	}
}

// pool returns a pool. Endpoints may be listed before the configuration names
// their pool.
func (b *Balancer) pool(name model.PoolName) *pool {
	p := b.pools[name]
	if p == nil {
		p = &pool{budget: attempt.NewWindow(b.opts.Budget)}
		b.pools[name] = p
	}
	return p
}

// Apply takes a change of the directory.
func (b *Balancer) Apply(c directory.Change) {
	e := b.endpoints[c.Entry.Name]
	if c.Gone {
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
		b.endpoints[e.Name] = e
		b.pool(e.Pool).add(e)
		b.countPeers(e)
		return
	}
	e.Entry = c.Entry
}

// remove forgets an endpoint. Requests that run there end on their own.
func (b *Balancer) remove(e *endpoint) {
	delete(b.endpoints, e.Name)
	b.holders.forget(e.Name)
	if e.inRound {
		b.domain(e.Domain).open--
	}
	p := b.pool(e.Pool)
	p.endpoints = slices.DeleteFunc(p.endpoints, func(other *endpoint) bool { return other == e })
}

// Submit decides where a request goes. A granted request is accounted until
// Finish.
func (b *Balancer) Submit(now time.Time, req Request) Decision {
	if b.started.IsZero() {
		b.started = now
	}
	p := b.pools[req.Pool]
	if p == nil {
		return refuse(ReasonNoEndpoint, unknownPoolRetryAfter)
	}
	if len(req.Avoid) == 0 {
		p.budget.First(now)
	}
	choice, reason := b.choose(now, p, &req)
	if choice.endpoint == nil {
		return refuse(reason, choice.retryAfter)
	}
	if req.Repeat && !p.budget.Retry(now, len(b.hosts)+1) {
		return refuse(ReasonRetryBudget, choice.expected)
	}
	return b.grant(now, &req, choice)
}

func (b *Balancer) grant(now time.Time, req *Request, c choice) Decision {
	e := c.endpoint
	r := &running{
		req:      *req,
		endpoint: e,
		granted:  now,
		expected: c.expected,
		read:     c.read,
		pending:  c.read,
		memory:   memoryOf(&req.Prompt),
		own:      c.read,
		unqueued: c.unqueued * e.slowness,
		queued:   c.queued * e.slowness,
		priority: c.priority,
	}
	b.running[req.ID] = r
	b.changed = true
	total := e.total()
	d := Decision{
		Endpoint:  e.Name,
		Address:   e.Address,
		Priority:  c.priority,
		FetchFrom: c.fetchFrom,
		Expected:  c.expected,
		InFlight:  total.Count,
		PeersAge:  b.peersAge(now),
		Pending:   total.Pending,
		Own:       c.read,
	}
	e.own.add(c.priority, r.pending, r.memory, 1)
	if req.urgent() {
		e.own.Urgent++
	}
	e.opened = max(e.opened, e.own.Count)
	if key := req.Prompt.SharedPrefixID(); key != 0 {
		b.holders.granted(now, key, e.Name)
	}
	return d
}

// FirstAnswer tells that the first event of a stream, or the whole answer of
// another request, has come.
func (b *Balancer) FirstAnswer(now time.Time, id model.RequestID) {
	r := b.running[id]
	if r == nil || r.answered {
		return
	}
	r.endpoint.own.add(r.priority, -r.pending, 0, 0)
	r.pending = 0
	r.read = 0
	if key := r.req.Prompt.SharedPrefixID(); key != 0 {
		b.holders.read(now, key, r.endpoint.Name)
	}
	r.answered = true
	b.reached(now, b.domain(r.endpoint.Domain))
	r.setOverdue(false)
	b.learn(now, r)
	b.changed = true
}

// Finish ends an attempt.
func (b *Balancer) Finish(now time.Time, id model.RequestID, res Result) {
	r := b.running[id]
	if r == nil {
		return
	}
	delete(b.running, id)
	r.endpoint.own.add(r.priority, -r.pending, -r.memory, -1)
	if r.req.urgent() {
		r.endpoint.own.Urgent--
	}
	if res.Failure == FailureNone {
		b.pool(r.endpoint.Pool).reserve.learn(r, now)
	}
	r.setOverdue(false)
	r.setStalled(false)
	r.endpoint.ended(now, res.Failure)
	b.noteWay(now, r, res.Failure)
	b.changed = true
}

// noteWay notes what the end of an attempt says of the way to its domain.
func (b *Balancer) noteWay(now time.Time, r *running, failure Failure) {
	d := b.domain(r.endpoint.Domain)
	switch failure {
	case FailureNone:
		// The caller may have left.
		if r.answered {
			b.reached(now, d)
		}
	case FailureRefused, FailureError, FailureReplaced:
		b.reached(now, d)
	case FailureUnreachable:
		d.suspect = now
	}
}

// Usable says whether any endpoint takes requests.
func (b *Balancer) Usable(now time.Time) bool {
	for _, e := range b.endpoints {
		if e.usable(now) {
			return true
		}
	}
	return false
}

func refuse(reason Reason, after time.Duration) Decision {
	return Decision{Reason: reason, RetryAfter: min(max(after, minRetryAfter), maxRetryAfter)}
}

const (
	// minRetryAfter and maxRetryAfter bound the time to come back that a refusal
	// states. Callers wait a third of the time they have left at most.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 4 * time.Second
	// unknownPoolRetryAfter is the time in which a listed endpoint is seen by all
	// hosts.
	unknownPoolRetryAfter = time.Second
)

// String returns the reason as it stands in logs and metrics.
func (r Reason) String() string { return string(r) }
