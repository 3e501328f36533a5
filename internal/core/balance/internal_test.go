package balance

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/core/directory"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/core/routing"
)

// A full index drops only prefixes that no endpoint caches any more: the first known
// holder may be outdated while another one still caches the prefix.
func TestFullCacheIndexKeepsPrefixesWithCurrentHolder(t *testing.T) {
	start := time.Unix(1000, 0)
	c := newCacheIndex()
	c.apply(start, CacheUpdate{Key: 1, Endpoint: "outdated", Cached: true})
	later := start.Add(2 * cacheTTL)
	c.apply(later, CacheUpdate{Key: 1, Endpoint: "current", Cached: true})
	for key := model.PartID(2); len(c.byKey) < maxKeys; key++ {
		c.apply(start, CacheUpdate{Key: key, Endpoint: "outdated", Cached: true})
	}
	c.apply(later, CacheUpdate{Key: 1 << 40, Endpoint: "current", Cached: true})
	must.MapLen(t, 2, c.byKey)
	cached, _ := c.lookup(later, 1, "current")
	must.True(t, cached)
}

// A slow endpoint takes longer for the request itself. That is no time in the queue.
func TestQueueWaitExcludesSlowEndpoint(t *testing.T) {
	c := choice{endpoint: &endpoint{latencyRatio: 3}, unqueuedMS: 200, expected: 600 * time.Millisecond}
	must.Eq(t, 0, c.queueWait())
	c.expected = 900 * time.Millisecond
	must.Eq(t, 300*time.Millisecond, c.queueWait())
}

// Pools that the configuration no longer has do not pile up over many changes.
func TestPoolsOutsideTheConfigurationAreDropped(t *testing.T) {
	b := New(Options{Domain: "north"})
	engine := &routing.Engine{Slots: 4, CacheTokens: 1000}
	b.SetPools([]routing.Pool{{Name: "kept", Engine: engine}, {Name: "listed", Engine: engine}, {Name: "gone", Engine: engine}})
	b.Apply(directory.Change{Entry: directory.Entry{Name: "e", Pool: "listed", Address: "a", Domain: "north", Slots: 1}})
	b.SetPools([]routing.Pool{{Name: "kept", Engine: engine}})
	must.MapLen(t, 2, b.pools)
	must.Eq(t, engine, b.pools["kept"].engine)
	must.Nil(t, b.pools["listed"].engine)
}

// Requests that are served behind others of their rank take longer than expected. That is
// no reason to take their engines for slow.
func TestDeferredRequestsTeachNothing(t *testing.T) {
	r := &runningRequest{req: Request{Tier: 1, Rank: 1}, priority: 4}
	must.False(t, r.isDelayedOnPurpose())
	r.priority = r.req.priorityAboveShare(r.priority)
	must.True(t, r.isDelayedOnPurpose())
}
