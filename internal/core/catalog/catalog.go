// Package catalog indexes a configuration for the requests that look things up
// in it. A Catalog is immutable; a new configuration makes a new one.
package catalog

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"slices"
	"strings"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/opconfig"
)

// Catalog is an indexed configuration.
type Catalog struct {
	version  model.Version
	cfg      *opconfig.Config
	classes  map[model.ClassName]*opconfig.Class
	accounts map[model.AccountName]*opconfig.Account
	pools    map[model.PoolName]*opconfig.Pool
	models   map[model.ModelName]*opconfig.Pool
	keys     map[keyPrefix][]accountKey
	routes   []*opconfig.Route
}

// keyPrefix is the part of a key's hash that finds candidates. The rest is
// compared in constant time.
type keyPrefix [4]byte

type accountKey struct {
	hash    [sha256.Size]byte
	account model.AccountName
}

// New indexes a checked configuration.
func New(version model.Version, cfg *opconfig.Config) *Catalog {
	c := &Catalog{
		version:  version,
		cfg:      cfg,
		classes:  make(map[model.ClassName]*opconfig.Class, len(cfg.Classes)),
		accounts: make(map[model.AccountName]*opconfig.Account, len(cfg.Accounts)),
		pools:    make(map[model.PoolName]*opconfig.Pool, len(cfg.Pools)),
		models:   make(map[model.ModelName]*opconfig.Pool),
		keys:     make(map[keyPrefix][]accountKey),
	}
	for i := range cfg.Classes {
		c.classes[cfg.Classes[i].Name] = &cfg.Classes[i]
	}
	for i := range cfg.Accounts {
		c.addAccount(&cfg.Accounts[i])
	}
	for i := range cfg.Pools {
		c.addPool(&cfg.Pools[i])
	}
	c.addRoutes()
	return c
}

func (c *Catalog) addAccount(account *opconfig.Account) {
	c.accounts[account.Name] = account
	for _, text := range account.KeyHashes {
		raw, err := hex.DecodeString(text)
		if err != nil || len(raw) != sha256.Size {
			continue
		}
		key := accountKey{hash: [sha256.Size]byte(raw), account: account.Name}
		prefix := keyPrefix(raw[:len(keyPrefix{})])
		c.keys[prefix] = append(c.keys[prefix], key)
	}
}

func (c *Catalog) addPool(pool *opconfig.Pool) {
	c.pools[pool.Name] = pool
	for _, name := range pool.Models {
		if _, taken := c.models[name]; !taken {
			c.models[name] = pool
		}
	}
}

// addRoutes sorts the routes so that the longest path comes first.
func (c *Catalog) addRoutes() {
	for i := range c.cfg.Routes {
		c.routes = append(c.routes, &c.cfg.Routes[i])
	}
	slices.SortStableFunc(c.routes, func(a, b *opconfig.Route) int {
		return len(b.Path) - len(a.Path)
	})
}

// Version returns the configuration's version.
func (c *Catalog) Version() model.Version { return c.version }

// Config returns the configuration. It must not be changed.
func (c *Catalog) Config() *opconfig.Config { return c.cfg }

// Domains counts the failure domains that have endpoints.
func (c *Catalog) Domains() int {
	seen := make(map[model.DomainName]bool)
	for i := range c.cfg.Endpoints {
		seen[c.cfg.Endpoints[i].Domain] = true
	}
	return len(seen)
}

// Class finds a class by name.
func (c *Catalog) Class(name model.ClassName) (*opconfig.Class, bool) {
	class, ok := c.classes[name]
	return class, ok
}

// Account finds a client account by name.
func (c *Catalog) Account(name model.AccountName) (*opconfig.Account, bool) {
	account, ok := c.accounts[name]
	return account, ok
}

// Pool finds a pool by name.
func (c *Catalog) Pool(name model.PoolName) (*opconfig.Pool, bool) {
	pool, ok := c.pools[name]
	return pool, ok
}

// PoolOf finds the pool that serves a model.
func (c *Catalog) PoolOf(name model.ModelName) (*opconfig.Pool, bool) {
	pool, ok := c.models[name]
	return pool, ok
}

// AccountOf finds the account that a key belongs to.
func (c *Catalog) AccountOf(key string) (model.AccountName, bool) {
	hash := sha256.Sum256([]byte(key))
	var found model.AccountName
	for _, candidate := range c.keys[keyPrefix(hash[:len(keyPrefix{})])] {
		if subtle.ConstantTimeCompare(candidate.hash[:], hash[:]) == 1 {
			found = candidate.account
		}
	}
	return found, found != ""
}

// Route finds the route with the longest path that leads a request.
func (c *Catalog) Route(method, path string) (*opconfig.Route, bool) {
	for _, route := range c.routes {
		if !strings.HasPrefix(path, route.Path) {
			continue
		}
		if len(route.Methods) == 0 || slices.Contains(route.Methods, method) {
			return route, true
		}
	}
	return nil, false
}

// Models lists the models of all pools in the order of the configuration.
func (c *Catalog) Models() []model.ModelName {
	var names []model.ModelName
	for i := range c.cfg.Pools {
		names = append(names, c.cfg.Pools[i].Models...)
	}
	return names
}

// ClassFor picks the class of a request: the route's, else the wished one,
// else the account's default. It returns false when there is none or when the
// account may not use it.
func (c *Catalog) ClassFor(route *opconfig.Route, wished model.ClassName, account *opconfig.Account) (*opconfig.Class, bool) {
	name := account.DefaultClass
	if wished != "" {
		name = wished
	}
	if route != nil && route.Class != "" {
		name = route.Class
	}
	class, ok := c.classes[name]
	if !ok {
		return nil, false
	}
	if len(account.Classes) > 0 && !slices.Contains(account.Classes, name) {
		return nil, false
	}
	return class, true
}
