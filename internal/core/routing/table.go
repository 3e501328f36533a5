// Package routing finds the route and the client account of a request. A Table
// is immutable; each accepted configuration makes a new one.
package routing

import (
	"slices"
	"strings"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// Kind says what may be repeated.
type Kind uint8

// The kinds of routes.
const (
	// NonIdempotent requests may run once.
	NonIdempotent Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Streaming requests are answered by events. They may run once, unless the
	// route allows to resume them.
	Streaming
)

// String returns the kind as it stands in logs.
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

// Target is one of the pools that a route leads to.
type Target struct {
	Pool model.PoolName
	// Weight is the share of the route's requests, relative to the other
	// targets.
	Weight int
}

// Route leads requests of a host name and a path to pools.
type Route struct {
	Name string
	// Host is the value of the Host header, without a port.
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	Kind       Kind
	// Timeout is the longest time until the end of an answer.
	Timeout time.Duration
	// Target is the time until the answer or its first event.
	Target time.Duration
	// MaxGap is the longest pause between two events; 0 for none.
	MaxGap time.Duration
	// Tier is 0 for the most urgent requests.
	Tier    model.Tier
	Targets []Target
	// MaxAttempts is the number of endpoints that may run a request.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// Resumable streams go on at another endpoint after the last event.
	Resumable bool
}

// Repeatable says that a request may run again.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// PoolFor picks one of the targets by their weights. The draw is from 0 to 1.
func (r *Route) PoolFor(draw float64) model.PoolName {
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
	// Engine is nil for plain services.
	Engine *Engine
}

// Engine describes the endpoints of a pool that serves models.
type Engine struct {
	// Slots is the number of requests that run at once.
	Slots int
	// CacheTokens is the memory for running requests and cached parts.
	CacheTokens int
}

// Account is a client account.
type Account struct {
	Name model.AccountName
	Keys []string
	// Tier takes precedence over the route's when HasTier is set.
	Tier    model.Tier
	HasTier bool
}

// Limits bounds what callers may send.
type Limits struct {
	// HeaderBytes and BodyBytes bound a request's size.
	HeaderBytes int
	BodyBytes   int64
	// HeaderTimeout bounds reading a request's header, IdleTimeout an idle
	// connection.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is a routing configuration as an operator wrote it.
type Config struct {
	Version  model.Version
	Routes   []Route
	Pools    []Pool
	Accounts []Account
	Limits   Limits
}

// Table indexes a Config. It must not be changed.
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

// Version returns the configuration's version.
func (t *Table) Version() model.Version { return t.cfg.Version }

// Limits returns the bounds on what callers may send.
func (t *Table) Limits() Limits { return t.cfg.Limits }

// Pools lists the pools. The list must not be changed.
func (t *Table) Pools() []Pool { return t.cfg.Pools }

// Pool finds a pool.
func (t *Table) Pool(name model.PoolName) (*Pool, bool) {
	p, ok := t.pools[name]
	return p, ok
}

// Route finds the route with the longest prefix of the path.
func (t *Table) Route(host, path string) (*Route, bool) {
	for _, r := range t.byHost[host] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r, true
		}
	}
	return nil, false
}

// Account finds the client account of a key. Configurations without accounts
// need no keys: ok is then true for any key.
func (t *Table) Account(key string) (account *Account, ok bool) {
	if len(t.cfg.Accounts) == 0 {
		return nil, true
	}
	account, ok = t.byKey[key]
	return account, ok
}
