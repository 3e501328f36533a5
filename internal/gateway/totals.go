package gateway

import (
	"slices"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/port"
)

// The digests of a relay: the total load of its failure domain, and the totals
// received from relays of other domains.

// sendTotals sends the digests with domain totals that are due.
func (s *digestScheduler) sendTotals(now time.Time, c *control) {
	if s.relayLocal && now.Sub(s.localTotals.sentAt) >= localRelayInterval {
		s.localTotals = sendState{sentAt: now}
		s.sendLocalTotals(now, c)
	}
	if s.relayRemote && now.Sub(s.remoteTotals.sentAt) >= remoteRelayInterval {
		s.remoteTotals = sendState{sentAt: now}
		s.sendRemoteTotals(now, c)
	}
}

// sendLocalTotals sends each host of the local failure domain the total load of
// the others there, and the totals of other domains.
func (s *digestScheduler) sendLocalTotals(now time.Time, c *control) {
	d := c.digest(now)
	d.ViaRelay = true
	d.Demand = c.localDemand(now)
	d.AccountWork = c.accounts.local(now)
	remoteTotals := s.takeUnforwarded()
	own := port.DomainLoad{
		Domain: d.Domain, Hosts: c.balancer.CountLocalHosts(), Loads: c.balancer.LocalDomainLoad(now), Encoded: new(port.EncodedLoads),
	}
	own.CacheUpdates, s.nextLocalCacheUpdate = c.balancer.DomainCacheUpdatesSince(s.nextLocalCacheUpdate)
	for address, p := range s.table.peers {
		if !s.table.isLocal(p) || !now.Before(p.subscribedUntil) || slices.Contains(s.localRelays, address) {
			continue
		}
		d.Domains = append(slices.Clone(remoteTotals), c.totalFor(p, own))
		p.enqueue(d)
	}
	s.forwardTotals(s.localRelays, d, remoteTotals)
}

// forwardTotals sends the totals of other failure domains to hosts of the local
// one that receive the load there directly from its hosts.
func (s *digestScheduler) forwardTotals(addresses []string, d port.LoadDigest, totals []port.DomainLoad) {
	if len(totals) == 0 {
		return
	}
	d.Domains = totals
	d.LoadsUnchanged = true
	for _, address := range addresses {
		if p := s.table.peers[address]; p != nil {
			p.enqueue(d)
		}
	}
}

// takeUnforwarded removes and returns the totals of other failure domains that
// were not forwarded yet.
func (s *digestScheduler) takeUnforwarded() []port.DomainLoad {
	var out []port.DomainLoad
	for name, total := range s.unforwarded {
		out = append(out, total)
		delete(s.unforwarded, name)
	}
	return out
}

// sendRemoteTotals sends the total load of the local failure domain to other
// domains. If the hosts of the local domain exchange their load directly, it
// also forwards the totals received from other domains to them.
func (s *digestScheduler) sendRemoteTotals(now time.Time, c *control) {
	d := c.digest(now)
	d.ViaRelay = true
	d.Demand = c.remoteDemand(now)
	d.AccountWork = c.accounts.remote(now, d.Domain)
	total := port.DomainLoad{Domain: d.Domain, Hosts: c.balancer.CountLocalHosts(), Loads: c.balancer.LocalDomainLoad(now), Encoded: new(port.EncodedLoads)}
	total.CacheUpdates, s.nextRemoteCacheUpdate = c.balancer.DomainCacheUpdatesSince(s.nextRemoteCacheUpdate)
	d.Domains = []port.DomainLoad{total}
	d.Usage = c.usage.takeRemote(now)
	for address, p := range s.table.peers {
		subscribed := !s.table.isLocal(p) && now.Before(p.subscribedUntil)
		if subscribed || slices.Contains(s.remoteReceivers, address) {
			p.enqueue(d)
		}
	}
	if !s.relayLocal {
		d.Demand = c.localDemand(now)
		d.AccountWork = c.accounts.local(now)
		d.Usage = nil
		s.forwardTotals(s.localAddresses(), d, s.takeUnforwarded())
	}
}

// localAddresses returns the addresses of the hosts of the local failure
// domain.
func (s *digestScheduler) localAddresses() []string {
	var out []string
	for address, p := range s.table.peers {
		if s.table.isLocal(p) {
			out = append(out, address)
		}
	}
	return out
}

// queueTotal queues the total of another failure domain for the hosts of the
// local one.
func (s *digestScheduler) queueTotal(total port.DomainLoad) {
	total.Encoded = new(port.EncodedLoads)
	s.unforwarded[total.Domain] = mergeTotals(s.unforwarded[total.Domain], total)
}
