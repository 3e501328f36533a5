package balance

import (
	"slices"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

const (
	// cacheTTL is the time for which an endpoint is expected to keep the shared
	// prefix of a prompt after its last use.
	cacheTTL = 20 * time.Second
	// prefillTTL bounds the time for which an endpoint is expected to be
	// prefilling a shared prefix.
	prefillTTL = 5 * time.Second
	// maxHolders bounds the number of endpoints recorded per key.
	maxHolders = 6
	// maxKeys bounds the number of recorded keys.
	maxKeys = 8192
	// maxQueuedUpdates bounds the updates that are queued for sending.
	maxQueuedUpdates = 4096
)

// CacheUpdate announces to other hosts that an endpoint caches the shared
// prefix of a prompt, or has started to prefill it.
type CacheUpdate struct {
	// Key identifies the shared prefix.
	Key      model.PartID
	Endpoint model.EndpointName
	// Cached reports whether the prefix has been prefilled.
	Cached bool
}

// cacheIndex records which endpoints likely cache which shared prefixes, from
// this host's requests and the updates of other hosts.
type cacheIndex struct {
	byKey map[model.PartID][]cacheHolder
	// updates are the updates queued for sending; the first one has the
	// sequence number firstUpdate.
	updates     []queuedUpdate
	firstUpdate int
}

// cacheHolder is an endpoint that caches a shared prefix or is prefilling it.
type cacheHolder struct {
	endpoint model.EndpointName
	// cached reports whether the prefix has been prefilled. lastUsed is the
	// time of the last update for the endpoint.
	cached   bool
	lastUsed time.Time
}

// queuedUpdate is an update from this host, or from another host of its failure
// domain.
type queuedUpdate struct {
	CacheUpdate
	// local reports whether the update is from this host.
	local bool
}

// newCacheIndex returns an empty index.
func newCacheIndex() cacheIndex { return cacheIndex{byKey: make(map[model.PartID][]cacheHolder)} }

// isCurrent reports whether the endpoint likely still caches the prefix, or is
// still prefilling it.
func (h cacheHolder) isCurrent(now time.Time) bool {
	if h.cached {
		return now.Sub(h.lastUsed) < cacheTTL
	}
	return now.Sub(h.lastUsed) < prefillTTL
}

// lookup reports whether the endpoint likely caches the prefix with the key, or
// is prefilling it.
func (c *cacheIndex) lookup(now time.Time, key model.PartID, name model.EndpointName) (cached, prefilling bool) {
	for _, entry := range c.byKey[key] {
		if entry.endpoint == name && entry.isCurrent(now) {
			return entry.cached, !entry.cached
		}
	}
	return false, false
}

// recordPlaced records that a request with the key was placed on an endpoint,
// and queues an update for the other hosts.
func (c *cacheIndex) recordPlaced(now time.Time, key model.PartID, name model.EndpointName) {
	cached, _ := c.lookup(now, key, name)
	c.recordLocal(now, CacheUpdate{Key: key, Endpoint: name, Cached: cached})
}

// recordPrefilled records that an endpoint has prefilled the prefix, and queues
// an update for the other hosts.
func (c *cacheIndex) recordPrefilled(now time.Time, key model.PartID, name model.EndpointName) {
	c.recordLocal(now, CacheUpdate{Key: key, Endpoint: name, Cached: true})
}

// recordLocal applies an update from this host and queues it for the other
// hosts.
func (c *cacheIndex) recordLocal(now time.Time, u CacheUpdate) {
	c.apply(now, u)
	c.queueUpdate(u, true)
}

// queueUpdate queues an update for other hosts; local reports whether it is from
// this host. When the queue is full, the older half is dropped.
func (c *cacheIndex) queueUpdate(u CacheUpdate, local bool) {
	c.updates = append(c.updates, queuedUpdate{CacheUpdate: u, local: local})
	if len(c.updates) > maxQueuedUpdates {
		over := len(c.updates) - maxQueuedUpdates/2
		c.updates = append(c.updates[:0], c.updates[over:]...)
		c.firstUpdate += over
	}
}

// updatesSince returns the queued updates from a sequence number on, and the
// next sequence number. With localOnly, updates from other hosts are left out.
func (c *cacheIndex) updatesSince(from int, localOnly bool) ([]CacheUpdate, int) {
	var out []CacheUpdate
	for _, u := range c.updates[min(max(from-c.firstUpdate, 0), len(c.updates)):] {
		if u.local || !localOnly {
			out = append(out, u.CacheUpdate)
		}
	}
	return out, c.firstUpdate + len(c.updates)
}

// apply applies an update. An update without Cached does not clear an entry
// that is cached and current. If all holders of the key are taken, the least
// recently used one is replaced.
func (c *cacheIndex) apply(now time.Time, u CacheUpdate) {
	list := c.byKey[u.Key]
	for i := range list {
		if list[i].endpoint == u.Endpoint {
			list[i].cached = u.Cached || list[i].cached && list[i].isCurrent(now)
			list[i].lastUsed = now
			return
		}
	}
	entry := cacheHolder{endpoint: u.Endpoint, cached: u.Cached, lastUsed: now}
	if len(list) < maxHolders {
		c.evictStale(now)
		c.byKey[u.Key] = append(list, entry)
		return
	}
	oldest := 0
	for i := range list {
		if list[i].lastUsed.Before(list[oldest].lastUsed) {
			oldest = i
		}
	}
	list[oldest] = entry
}

// evictStale drops the keys without a current holder, once maxKeys is reached.
func (c *cacheIndex) evictStale(now time.Time) {
	if len(c.byKey) < maxKeys {
		return
	}
	for key, list := range c.byKey {
		if !slices.ContainsFunc(list, func(h cacheHolder) bool { return h.isCurrent(now) }) {
			delete(c.byKey, key)
		}
	}
}

// dropEndpoint removes an endpoint from all keys.
func (c *cacheIndex) dropEndpoint(name model.EndpointName) {
	for key, list := range c.byKey {
		c.byKey[key] = slices.DeleteFunc(list, func(entry cacheHolder) bool { return entry.endpoint == name })
	}
}

// cacheLocation is where the shared prefix of a prompt is likely cached.
type cacheLocation struct {
	// tokens is the length of the shared prefix.
	tokens int
	// home is the endpoint that rendezvous hashing assigns to the prefix, so
	// that all hosts agree without exchanging messages.
	home *endpoint
	// source is the most recently used endpoint that caches the prefix and can
	// transfer it, secondSource the next most recently used; nil for none.
	source, secondSource *endpoint
	// prefilling reports whether an endpoint is prefilling the prefix.
	prefilling bool
	// assumedAtHome reports whether the home is assumed to cache the prefix
	// although no host has announced it.
	assumedAtHome bool
}

// locateSharedPrefix returns where the shared prefix of a prompt is likely
// cached; the zero value if it has none or the pool serves no models.
func (b *Balancer) locateSharedPrefix(now time.Time, p *pool, prompt *model.Prompt) cacheLocation {
	key := prompt.SharedPrefixID()
	if key == 0 || p.engine == nil {
		return cacheLocation{}
	}
	loc := cacheLocation{tokens: prompt.SharedPrefixTokens()}
	var best uint64
	for _, e := range p.endpoints {
		// A limited endpoint is no home: few hosts may use it, and not always.
		if score := rendezvous(key, e); e.isUsable(now) && !e.isLimited() && (loc.home == nil || score > best) {
			loc.home, best = e, score
		}
	}
	loc.assumedAtHome = b.opts.WarmCaches && now.Sub(b.startedAt) < cacheTTL
	var lastUsed, secondLastUsed time.Time
	for _, entry := range b.cacheIndex.byKey[key] {
		e := b.endpoints[entry.endpoint]
		if e == nil || now.Before(e.pausedUntil) || !entry.isCurrent(now) {
			continue
		}
		if !entry.cached {
			loc.prefilling = true
			continue
		}
		// A draining endpoint still transfers what it caches.
		switch {
		case loc.source == nil || entry.lastUsed.After(lastUsed):
			loc.secondSource, secondLastUsed = loc.source, lastUsed
			loc.source, lastUsed = e, entry.lastUsed
		case loc.secondSource == nil || entry.lastUsed.After(secondLastUsed):
			loc.secondSource, secondLastUsed = e, entry.lastUsed
		}
	}
	return loc
}

// sourceOtherThan returns an endpoint other than e that likely caches the
// prefix, or the home if no other is known. It returns nil for none.
func (loc *cacheLocation) sourceOtherThan(e *endpoint) *endpoint {
	for _, other := range []*endpoint{loc.source, loc.secondSource, loc.home} {
		if other != nil && other != e {
			return other
		}
	}
	return nil
}

// rendezvous returns the rendezvous hashing score of an endpoint for a key; the
// highest score wins.
func rendezvous(key model.PartID, e *endpoint) uint64 {
	x := uint64(key) ^ e.hash
	// The finalizer of splitmix64 spreads the bits.
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
