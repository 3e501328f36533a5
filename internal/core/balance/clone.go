package balance

import (
	"maps"
	"math/rand/v2"
	"slices"

	"github.com/wigeonsail/wigeonsail/internal/core/attempt"
	"github.com/wigeonsail/wigeonsail/internal/core/enginespeed"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// cloner copies the endpoints that several parts of a Balancer refer to, each once.
type cloner map[*endpoint]*endpoint

// endpoint returns the copy of an endpoint.
func (c cloner) endpoint(e *endpoint) *endpoint {
	if c[e] == nil {
		state := *e
		c[e] = &state
	}
	return c[e]
}

// byName returns copies of endpoints.
func (c cloner) byName(endpoints map[model.EndpointName]*endpoint) map[model.EndpointName]*endpoint {
	out := make(map[model.EndpointName]*endpoint, len(endpoints))
	for name, e := range endpoints {
		out[name] = c.endpoint(e)
	}
	return out
}

// pool returns the copy of a pool. Its engine is part of the configuration, which nobody
// changes.
func (c cloner) pool(p *pool) *pool {
	out := *p
	out.budget, out.speed = new(attempt.SharedBudget), new(enginespeed.Pool)
	*out.budget, *out.speed = *p.budget, *p.speed
	out.endpoints = make([]*endpoint, len(p.endpoints))
	for i, e := range p.endpoints {
		out.endpoints[i] = c.endpoint(e)
	}
	return &out
}

// clone returns a copy of the Balancer on which Submit can be called for the request
// without an effect on the original. What Submit only reads is shared. It takes time in
// proportion to the endpoints, the requests in flight and the cached prefixes.
func (b *Balancer) clone(req *Request) *Balancer {
	out, c := *b, make(cloner, len(b.endpoints))
	source := *b.source
	out.source, out.rng = &source, rand.New(&source)
	out.endpoints, out.limitReports = c.byName(b.endpoints), c.byName(b.limitReports)
	out.brittleReports = c.byName(b.brittleReports)
	out.pools = make(map[model.PoolName]*pool, len(b.pools))
	for name, p := range b.pools {
		out.pools[name] = c.pool(p)
	}
	out.running = make(map[model.RequestID]*runningRequest, len(b.running))
	for id, r := range b.running {
		running := *r
		running.endpoint = c.endpoint(r.endpoint)
		out.running[id] = &running
	}
	out.domains = make(map[model.DomainName]*domain, len(b.domains))
	for name, d := range b.domains {
		state := *d
		out.domains[name] = &state
	}
	out.accounts = b.accounts.Clone()
	out.cacheIndex = b.cacheIndex.cloneFor(req.Prompt.SharedPrefixID())
	return &out
}

// cloneFor returns a copy in which the entries of one prefix can be changed, and updates
// be queued.
func (c *cacheIndex) cloneFor(key model.PartID) cacheIndex {
	out := cacheIndex{byKey: maps.Clone(c.byKey), updates: slices.Clone(c.updates), firstUpdate: c.firstUpdate}
	if holders, found := out.byKey[key]; found {
		out.byKey[key] = slices.Clone(holders)
	}
	return out
}
