// Package routing finds the route and the client account of a request. A Table
// is immutable; each accepted configuration gets a new one.
package routing

import (
	"slices"
	"strings"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// Kind is the kind of requests of a route. It decides which may be retried.
type Kind uint8

// The kinds of routes.
const (
	// NonIdempotent requests may run at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Streaming requests are answered by a stream of events. They may run at
	// most once, unless the route allows resuming them.
	Streaming
)

// String returns the kind as used in logs.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case Streaming:
		return "streaming"
	default:
		return "non_idempotent"
	}
}

// Target is one of the pools that a route sends requests to.
type Target struct {
	Pool model.PoolName
	// Weight is the share of the route's requests, relative to the other
	// targets.
	Weight int
}

// Route sends the requests for a host name and a path prefix to pools.
type Route struct {
	Name string
	// Host is the value of the Host header, without a port.
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	Kind       Kind
	// Timeout is the longest time until the end of a response.
	Timeout time.Duration
	// LatencyTarget is the time within which the response or its first event
	// should arrive.
	LatencyTarget time.Duration
	// MaxGap is the longest time between two events of a stream; 0 for none.
	MaxGap time.Duration
	// Tier is the priority tier; 0 is the most urgent.
	Tier    model.Tier
	Targets []Target
	// MaxAttempts is the largest number of endpoints that may run a request.
	MaxAttempts int
	// Public routes require no API key.
	Public bool
	// Resumable streams can continue at another endpoint after the last event.
	Resumable bool
}

// CanRetry reports whether a request may run again.
func (r *Route) CanRetry() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// PickPool returns the pool of one of the targets, chosen by weight. draw is a
// random number from 0 to 1. It returns an empty name if there are no targets.
func (r *Route) PickPool(draw float64) model.PoolName {
	sum := 0
	for _, t := range r.Targets {
		sum += t.Weight
	}
	left := draw * float64(sum)
	for _, t := range r.Targets {
		left -= float64(t.Weight)
		if left < 0 {
			return t.Pool
		}
	}
	if len(r.Targets) == 0 {
		return ""
	}
	return r.Targets[len(r.Targets)-1].Pool
}

// Pool is a set of interchangeable endpoints.
type Pool struct {
	Name model.PoolName
	// Engine describes the endpoints; nil for plain services.
	Engine *Engine
	// Scaling bounds the endpoints that may be ordered; nil if none can be.
	Scaling *Scaling
}

// Scaling describes how endpoints of a pool can be ordered from the platform.
type Scaling struct {
	// Min and Max bound the endpoints in a failure domain, of both kinds together.
	Min, Max int
	// BootTime is the time from an order until the endpoints serve.
	BootTime time.Duration
	// ReclaimablePrice is the price of a reclaimable endpoint as a share of that of the
	// others; 0 if there are no reclaimable ones.
	ReclaimablePrice float64
	// DomainPrices are the prices of an endpoint by failure domain.
	DomainPrices map[model.DomainName]float64
}

// Engine describes the endpoints of a pool that serves models.
type Engine struct {
	// Slots is the number of requests that an endpoint runs at once.
	Slots int
	// CacheTokens is the memory of an endpoint for running requests and cached
	// prompt prefixes, in tokens.
	CacheTokens int
	// CanMove reports that a running request can be moved to another engine with its
	// memory.
	CanMove bool
}

// Account is a client account.
type Account struct {
	Name model.AccountName
	Keys []string
	// Tier replaces the tier of the route if HasTier is set.
	Tier    model.Tier
	HasTier bool
}

// Limits bounds what callers may send.
type Limits struct {
	// HeaderBytes and BodyBytes bound a request's size.
	HeaderBytes int
	BodyBytes   int64
	// HeaderTimeout bounds the time to read the header of a request,
	// IdleTimeout that of an idle connection.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is a routing configuration as written by an operator.
type Config struct {
	Version  model.Version
	Routes   []Route
	Pools    []Pool
	Accounts []Account
	Limits   Limits
}

// Table indexes a Config. The Config must not be modified.
type Table struct {
	cfg    *Config
	byHost map[string][]*Route
	byKey  map[string]*Account
	pools  map[model.PoolName]*Pool
}

// NewTable indexes a configuration.
func NewTable(cfg *Config) *Table {
	t := &Table{
		cfg:    cfg,
		byHost: make(map[string][]*Route),
		byKey:  make(map[string]*Account),
		pools:  make(map[model.PoolName]*Pool, len(cfg.Pools)),
	}
	for i := range cfg.Routes {
		r := &cfg.Routes[i]
		t.byHost[r.Host] = append(t.byHost[r.Host], r)
	}
	for _, routes := range t.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int {
			return len(b.PathPrefix) - len(a.PathPrefix)
		})
	}
	for i := range cfg.Accounts {
		for _, key := range cfg.Accounts[i].Keys {
			t.byKey[key] = &cfg.Accounts[i]
		}
	}
	for i := range cfg.Pools {
		t.pools[cfg.Pools[i].Name] = &cfg.Pools[i]
	}
	return t
}

// Version returns the version of the configuration.
func (t *Table) Version() model.Version { return t.cfg.Version }

// Limits returns the limits on what callers may send.
func (t *Table) Limits() Limits { return t.cfg.Limits }

// Routes returns all routes. The slice must not be modified.
func (t *Table) Routes() []Route { return t.cfg.Routes }

// Accounts returns all client accounts. The slice must not be modified.
func (t *Table) Accounts() []Account { return t.cfg.Accounts }

// Pools returns all pools. The slice must not be modified.
func (t *Table) Pools() []Pool { return t.cfg.Pools }

// Pool returns the pool with the name and whether it exists.
func (t *Table) Pool(name model.PoolName) (*Pool, bool) {
	p, ok := t.pools[name]
	return p, ok
}

// Route returns the route for a host name with the longest prefix of the path,
// and whether there is one.
func (t *Table) Route(host, path string) (*Route, bool) {
	for _, r := range t.byHost[host] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r, true
		}
	}
	return nil, false
}

// RouteAt returns the route for exactly this host name and path prefix, and whether there
// is one.
func (t *Table) RouteAt(host, prefix string) (*Route, bool) {
	for _, r := range t.byHost[host] {
		if r.PathPrefix == prefix {
			return r, true
		}
	}
	return nil, false
}

// Account returns the client account of an API key and whether the key is
// valid. Without accounts in the configuration any key is valid and the account
// is nil.
func (t *Table) Account(key string) (account *Account, ok bool) {
	if len(t.cfg.Accounts) == 0 {
		return nil, true
	}
	account, ok = t.byKey[key]
	return account, ok
}
