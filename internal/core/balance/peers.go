package balance

import (
	"slices"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

const (
	// peerLoadTTL is the age after which a load report is dropped: most of its
	// requests have ended by then.
	peerLoadTTL = 2 * time.Second
	// hostTTL is how long a silent host still counts towards the number of
	// hosts that share a budget: it may be partitioned and still be serving.
	hostTTL = 30 * time.Second
)

// peerLoad is a load report from another host, or from a relay for its domain.
type peerLoad struct {
	receivedAt time.Time
	// domain is the failure domain of the host; empty for the total of a
	// domain.
	domain model.DomainName
	// loads are sorted by key. endpoints are the endpoints of loads, as of listing; nil
	// for those that are not listed.
	loads     []EndpointLoad
	endpoints []*endpoint
	listing   int
	// report is the number by which the host knows the report.
	report int64
}

// LocalLoad returns this host's load by endpoint, sorted by key, with refreshed estimates, and
// clears LocalLoadChanged.
func (b *Balancer) LocalLoad(now time.Time) []EndpointLoad {
	b.refreshEstimates(now)
	b.localLoadChanged = false
	out := b.localLoads()
	slices.SortFunc(out, compareKeys)
	return out
}

// localLoads returns this host's load by endpoint in no particular order.
func (b *Balancer) localLoads() []EndpointLoad {
	out := make([]EndpointLoad, 0, len(b.inUse))
	for e := range b.inUse {
		if b.endpoints[e.Name] != e || e.localLoad.Count == 0 {
			delete(b.inUse, e)
			continue
		}
		out = append(out, EndpointLoad{Endpoint: e.Name, Key: EndpointKey(e.hash), Load: e.localLoad})
	}
	return out
}

// LocalLoadChanged reports whether requests have started, been answered or
// ended since the last LocalLoad.
func (b *Balancer) LocalLoadChanged() bool { return b.localLoadChanged }

// LocalCacheUpdatesSince returns the queued cache updates of this host's
// requests that have the sequence number from or a later one, and the number to
// pass next time. The first number is 0.
func (b *Balancer) LocalCacheUpdatesSince(from int) ([]CacheUpdate, int) {
	return b.cacheIndex.updatesSince(from, true)
}

// DomainCacheUpdatesSince is like LocalCacheUpdatesSince, but includes the
// updates received from other hosts of this host's failure domain.
func (b *Balancer) DomainCacheUpdatesSince(from int) ([]CacheUpdate, int) {
	return b.cacheIndex.updatesSince(from, false)
}

// SetPeerLoad replaces the load report of another host and applies its cache
// updates. The slices must not be modified afterwards.
func (b *Balancer) SetPeerLoad(now time.Time, host model.HostID, domain model.DomainName, loads []EndpointLoad, updates []CacheUpdate) {
	b.applyCacheUpdates(now, updates, domain == b.opts.Domain)
	b.lastHeard[host] = hostContact{at: now, domain: domain}
	b.domain(domain).recordContact(now)
	b.replaceLoad(now, host, domain, loads)
}

// SetPeerReport sets the number by which another host knows its latest load report.
func (b *Balancer) SetPeerReport(host model.HostID, report int64) {
	if p := b.peers[host]; p != nil {
		p.report = report
	}
}

// PeerReport returns the number by which another host knows its latest load report; 0 for
// no report.
func (b *Balancer) PeerReport(host model.HostID) int64 {
	if p := b.peers[host]; p != nil {
		return p.report
	}
	return 0
}

// RecordPeerHeartbeat records that another host sent a message without a load
// report, and applies its cache updates: the host still shares the retry budget, and
// its failure domain is in contact.
func (b *Balancer) RecordPeerHeartbeat(now time.Time, host model.HostID, domain model.DomainName, updates []CacheUpdate) {
	b.applyCacheUpdates(now, updates, domain == b.opts.Domain)
	b.lastHeard[host] = hostContact{at: now, domain: domain}
	b.domain(domain).recordContact(now)
}

// DropPeerLoad drops the load report of another host, whose load a relay reports
// from now on.
func (b *Balancer) DropPeerLoad(host model.HostID) { b.dropLoad(host) }

// SetDomainLoad replaces the total load of another failure domain, as reported
// by its relay, and applies the cache updates. The slices must not be modified
// afterwards.
func (b *Balancer) SetDomainLoad(now time.Time, domain model.DomainName, loads []EndpointLoad, updates []CacheUpdate) {
	b.applyCacheUpdates(now, updates, false)
	b.domain(domain).recordContact(now)
	b.replaceLoad(now, domainLoadID(domain), "", loads)
}

// RecordDomainUpdates records that a relay of a failure domain sent a total that cannot be
// used, and applies its cache updates.
func (b *Balancer) RecordDomainUpdates(now time.Time, domain model.DomainName, updates []CacheUpdate) {
	b.applyCacheUpdates(now, updates, false)
	b.domain(domain).recordContact(now)
}

// domainLoadID returns the key in peers for the total load of a domain. Host
// IDs never have this form.
func domainLoadID(domain model.DomainName) model.HostID { return model.HostID("/" + string(domain)) }

// applyCacheUpdates applies cache updates from other hosts. Updates from this
// host's failure domain are also queued, so that a relay forwards them.
func (b *Balancer) applyCacheUpdates(now time.Time, updates []CacheUpdate, sameDomain bool) {
	for _, u := range updates {
		b.cacheIndex.apply(now, u)
		if sameDomain {
			b.cacheIndex.queueUpdate(u, false)
		}
	}
}

// replaceLoad replaces the load report kept under a host ID or domainLoadID, and
// updates the remote load of the endpoints.
func (b *Balancer) replaceLoad(now time.Time, name model.HostID, domain model.DomainName, loads []EndpointLoad) {
	p := b.peers[name]
	if p == nil {
		p = &peerLoad{listing: b.listing}
		b.peers[name] = p
	}
	p.receivedAt, p.domain, p.report = now, domain, 0
	b.setLoads(p, loads)
}

// dropLoad removes the load report kept under a host ID or domainLoadID, if there
// is one, and subtracts it from the remote load of the endpoints.
func (b *Balancer) dropLoad(name model.HostID) {
	if old := b.peers[name]; old != nil {
		b.setLoads(old, nil)
		delete(b.peers, name)
	}
}

// DropDomainLoad drops the total load of a failure domain, whose hosts report
// their load themselves from now on.
func (b *Balancer) DropDomainLoad(domain model.DomainName) { b.dropLoad(domainLoadID(domain)) }

// PeerLoad returns the latest load report of another host; nil for none.
func (b *Balancer) PeerLoad(host model.HostID) []EndpointLoad {
	if p := b.peers[host]; p != nil {
		return p.loads
	}
	return nil
}

// LocalDomainLoad returns the total load of this host's failure domain by
// endpoint, sorted by key: this host's load, with refreshed estimates, and the load reports of
// the other hosts there.
func (b *Balancer) LocalDomainLoad(now time.Time) []EndpointLoad {
	b.refreshEstimates(now)
	sums := make(map[EndpointKey]*EndpointLoad, len(b.endpoints))
	add := func(loads []EndpointLoad) {
		for i := range loads {
			sum := sums[loads[i].Key]
			if sum == nil {
				sum = &EndpointLoad{Key: loads[i].Key}
				sums[sum.Key] = sum
			}
			sum.addLoad(loads[i].Load)
		}
	}
	add(b.localLoads())
	for _, p := range b.peers {
		if p.domain == b.opts.Domain {
			add(p.loads)
		}
	}
	out := make([]EndpointLoad, 0, len(sums))
	for key, sum := range sums {
		if e := b.byKey[key]; e != nil {
			sum.Endpoint = e.Name
		}
		if sum.Load != (Load{}) {
			out = append(out, *sum)
		}
	}
	slices.SortFunc(out, compareKeys)
	return out
}

// SetCrossDomainInterval sets the time between two digests that hosts of
// different failure domains send to each other.
func (b *Balancer) SetCrossDomainInterval(d time.Duration) { b.crossDomainInterval = d }

// ExpirePeers drops the load reports older than peerLoadTTL, and the hosts that
// have been silent for hostTTL.
func (b *Balancer) ExpirePeers(now time.Time) {
	for host, p := range b.peers {
		if now.Sub(p.receivedAt) > peerLoadTTL {
			b.dropLoad(host)
		}
	}
	for host, heard := range b.lastHeard {
		if now.Sub(heard.at) > hostTTL {
			delete(b.lastHeard, host)
		}
	}
	for domain, count := range b.domainHosts {
		if now.Sub(count.at) > hostTTL {
			delete(b.domainHosts, domain)
		}
	}
}

// hostContact is when a host was last heard from, and its failure domain.
type hostContact struct {
	at     time.Time
	domain model.DomainName
}

// hostCount is a reported number of hosts and the time of the report.
type hostCount struct {
	hosts int
	at    time.Time
}

// SetDomainHosts records the number of hosts of a failure domain, as reported by a
// relay. 0 means that it reported none.
func (b *Balancer) SetDomainHosts(now time.Time, domain model.DomainName, hosts int) {
	if hosts > 0 {
		b.domainHosts[domain] = hostCount{hosts: hosts, at: now}
	}
}

// CountLocalHosts returns the number of hosts of this host's failure domain that were
// heard from within hostTTL, including this one.
func (b *Balancer) CountLocalHosts() int {
	count := 1
	for _, heard := range b.lastHeard {
		if heard.domain == b.opts.Domain {
			count++
		}
	}
	return count
}

// DomainHosts returns the number of hosts of each failure domain as reported by
// relays within hostTTL.
func (b *Balancer) DomainHosts(now time.Time) map[model.DomainName]int {
	out := make(map[model.DomainName]int, len(b.domainHosts))
	for domain, count := range b.domainHosts {
		if now.Sub(count.at) <= hostTTL {
			out[domain] = count.hosts
		}
	}
	return out
}

// CountHosts returns the number of hosts that share the retry budgets, including this
// one: of each failure domain those heard from, or as many as a relay has reported.
func (b *Balancer) CountHosts(now time.Time) int {
	byDomain := b.DomainHosts(now)
	heard := map[model.DomainName]int{b.opts.Domain: 1}
	for _, contact := range b.lastHeard {
		heard[contact.domain]++
	}
	total := 0
	for domain, count := range heard {
		byDomain[domain] = max(byDomain[domain], count)
	}
	for _, count := range byDomain {
		total += count
	}
	return total
}

// CountPeers returns the number of load reports in use, from hosts and for
// whole domains.
func (b *Balancer) CountPeers() int { return len(b.peers) }

// sumRemoteLoad adds up all load reports for a newly listed endpoint.
func (b *Balancer) sumRemoteLoad(e *endpoint) {
	for _, p := range b.peers {
		for _, l := range p.loads {
			if l.Key == EndpointKey(e.hash) {
				e.remoteLoad.addLoad(l.Load)
			}
		}
	}
}

// oldestPeerLoadAge returns the age of the oldest load report in use; 0 without
// any.
func (b *Balancer) oldestPeerLoadAge(now time.Time) time.Duration {
	oldest := time.Duration(0)
	for _, p := range b.peers {
		oldest = max(oldest, now.Sub(p.receivedAt))
	}
	return oldest
}
