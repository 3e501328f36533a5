package balance

import (
	"maps"
	"slices"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// PoolLoad returns the load of all hosts at the endpoints of a pool, as far as known, and the
// largest number of requests that one of its endpoints runs at once.
func (b *Balancer) PoolLoad(name model.PoolName) (Load, int) {
	var sum Load
	slots := 0
	if p := b.pools[name]; p != nil {
		for _, e := range p.endpoints {
			sum.addLoad(e.totalLoad())
			slots = max(slots, e.Slots)
		}
	}
	return sum, slots
}

// HostDomains returns the failure domains that have had hosts of late, as far as known.
func (b *Balancer) HostDomains(now time.Time) []model.DomainName {
	seen := make(map[model.DomainName]bool)
	for domain, hosts := range b.DomainHosts(now) {
		seen[domain] = hosts > 0
	}
	for _, contact := range b.lastHeard {
		seen[contact.domain] = true
	}
	maps.DeleteFunc(seen, func(_ model.DomainName, has bool) bool { return !has })
	return slices.Collect(maps.Keys(seen))
}
