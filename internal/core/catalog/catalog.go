// Package catalog indexes a configuration so that requests can look up accounts,
// classes, pools and routes. A Catalog is immutable; each new configuration gets
// a new one.
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
	version      model.Version
	cfg          *opconfig.Config
	classes      map[model.ClassName]*opconfig.Class
	accounts     map[model.AccountName]*opconfig.Account
	pools        map[model.PoolName]*opconfig.Pool
	models       map[model.ModelName]*opconfig.Pool
	keysByPrefix map[hashPrefix][]accountKey
	routes       []*opconfig.Route
}

// hashPrefix is the part of the hash of an API key by which candidate accounts
// are looked up. The whole hash is then compared in constant time.
type hashPrefix [4]byte

// accountKey is the hash of an API key and the account that it belongs to.
type accountKey struct {
	hash    [sha256.Size]byte
	account model.AccountName
}

// New indexes a configuration that has been validated.
func New(version model.Version, cfg *opconfig.Config) *Catalog {
	c := &Catalog{
		version:      version,
		cfg:          cfg,
		classes:      make(map[model.ClassName]*opconfig.Class, len(cfg.Classes)),
		accounts:     make(map[model.AccountName]*opconfig.Account, len(cfg.Accounts)),
		pools:        make(map[model.PoolName]*opconfig.Pool, len(cfg.Pools)),
		models:       make(map[model.ModelName]*opconfig.Pool),
		keysByPrefix: make(map[hashPrefix][]accountKey),
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

// addAccount indexes an account and its key hashes. It skips texts that are not
// SHA-256 hashes.
func (c *Catalog) addAccount(account *opconfig.Account) {
	c.accounts[account.Name] = account
	for _, text := range account.KeyHashes {
		raw, err := hex.DecodeString(text)
		if err != nil || len(raw) != sha256.Size {
			continue
		}
		key := accountKey{hash: [sha256.Size]byte(raw), account: account.Name}
		prefix := hashPrefix(raw[:len(hashPrefix{})])
		c.keysByPrefix[prefix] = append(c.keysByPrefix[prefix], key)
	}
}

// addPool indexes a pool and its models. If several pools list a model, the first
// one serves it.
func (c *Catalog) addPool(pool *opconfig.Pool) {
	c.pools[pool.Name] = pool
	for _, name := range pool.Models {
		if _, taken := c.models[name]; !taken {
			c.models[name] = pool
		}
	}
}

// addRoutes indexes the routes, those with the longest paths first.
func (c *Catalog) addRoutes() {
	for i := range c.cfg.Routes {
		c.routes = append(c.routes, &c.cfg.Routes[i])
	}
	slices.SortStableFunc(c.routes, func(a, b *opconfig.Route) int {
		return len(b.Path) - len(a.Path)
	})
}

// Version returns the version of the configuration.
func (c *Catalog) Version() model.Version { return c.version }

// Config returns the configuration. Callers must not modify it.
func (c *Catalog) Config() *opconfig.Config { return c.cfg }

// DomainCount returns the number of failure domains that have endpoints.
func (c *Catalog) DomainCount() int {
	seen := make(map[model.DomainName]bool)
	for i := range c.cfg.Endpoints {
		seen[c.cfg.Endpoints[i].Domain] = true
	}
	return len(seen)
}

// Class returns the class with the given name.
func (c *Catalog) Class(name model.ClassName) (*opconfig.Class, bool) {
	class, ok := c.classes[name]
	return class, ok
}

// Account returns the client account with the given name.
func (c *Catalog) Account(name model.AccountName) (*opconfig.Account, bool) {
	account, ok := c.accounts[name]
	return account, ok
}

// Pool returns the pool with the given name.
func (c *Catalog) Pool(name model.PoolName) (*opconfig.Pool, bool) {
	pool, ok := c.pools[name]
	return pool, ok
}

// PoolForModel returns the pool that serves the model.
func (c *Catalog) PoolForModel(name model.ModelName) (*opconfig.Pool, bool) {
	pool, ok := c.models[name]
	return pool, ok
}

// AccountForKey returns the client account that the API key belongs to.
func (c *Catalog) AccountForKey(key string) (model.AccountName, bool) {
	hash := sha256.Sum256([]byte(key))
	var found model.AccountName
	for _, candidate := range c.keysByPrefix[hashPrefix(hash[:len(hashPrefix{})])] {
		if subtle.ConstantTimeCompare(candidate.hash[:], hash[:]) == 1 {
			found = candidate.account
		}
	}
	return found, found != ""
}

// Route returns the route for a request: of the routes whose path is a prefix of
// the request's path and that allow its method, the one with the longest path.
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

// Models returns the models of all pools in the order of the configuration.
func (c *Catalog) Models() []model.ModelName {
	var names []model.ModelName
	for i := range c.cfg.Pools {
		names = append(names, c.cfg.Pools[i].Models...)
	}
	return names
}

// ClassFor returns the class of a request: the class of the route, else the
// requested class, else the account's default class. It returns false if there is
// no such class or the account may not use it.
func (c *Catalog) ClassFor(route *opconfig.Route, requested model.ClassName, account *opconfig.Account) (*opconfig.Class, bool) {
	name := account.DefaultClass
	if requested != "" {
		name = requested
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
