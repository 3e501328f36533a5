package gateway

import (
	"slices"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/core/relay"
)

// Which hosts are relays, and to which hosts this one has links.

// selectRelays determines which hosts are relays and which peers receive what, at
// most once per relaySelectionInterval. It passes the resulting interval between
// load reports from other failure domains to the balancer, and drops the total
// of the local one if this host receives the load there directly.
func (s *digestScheduler) selectRelays(now time.Time, c *control) {
	if now.Sub(s.relaysSelectedAt) < relaySelectionInterval {
		return
	}
	s.relaysSelectedAt = now
	s.markSilentLinks(now)
	local, remote := s.countPeers(now, c)
	s.relayLocal = relay.NeededWithinDomain(local)
	s.relayRemote = relay.NeededBetweenDomains(remote)
	wasRelay := s.isRelay
	s.assignRelays(now)
	if s.isRelay != wasRelay {
		logRelay(s.table.gateway.opts.Log, s.isRelay, s.localRelays, s.remoteReceivers)
	}
	s.updateLinks(now)
	s.directPeers = s.countDirect()
	if s.isRelay || !s.relayLocal {
		c.balancer.DropDomainLoad(s.table.gateway.opts.Domain)
	}
	c.balancer.SetCrossDomainInterval(s.remoteLoadInterval())
}

// assignRelays determines the relays of the local failure domain and, if this host is
// one of them, those of other domains that it sends totals to.
func (s *digestScheduler) assignRelays(now time.Time) {
	opts := &s.table.gateway.opts
	self := relay.Member{Host: opts.Host, Domain: opts.Domain, Address: opts.PeerAddress, LinkMbps: opts.LinkMbps}
	var localHosts, others []relay.Member
	for _, m := range s.table.stayingMembers(now) {
		if m.Domain == self.Domain {
			localHosts = append(localHosts, m)
		}
		if m.Host != self.Host {
			others = append(others, m)
		}
	}
	s.localRelays, s.isRelay = nil, false
	for _, m := range relay.Select(localHosts) {
		if m.Host == self.Host {
			s.isRelay = s.relayLocal || s.relayRemote
		} else {
			s.localRelays = append(s.localRelays, m.Address)
		}
	}
	s.remoteReceivers = nil
	if s.relayRemote {
		s.remoteReceivers = relay.Receivers(self, others)
	}
	// Hosts that have selected this one rely on it, although it may know others.
	s.isRelay = s.isRelay || s.relayLocal && s.hasLocalSubscriber(now)
}

// remoteLoadInterval returns the expected time between two load reports from
// another failure domain.
func (s *digestScheduler) remoteLoadInterval() time.Duration {
	if s.relayRemote {
		return remoteRelayInterval
	}
	return s.directInterval()
}

// countPeers returns the number of other hosts in the local failure domain and in
// other domains: those known, or as many as relays have reported.
func (s *digestScheduler) countPeers(now time.Time, c *control) (local, remote int) {
	known := make(map[model.DomainName]int)
	for _, p := range s.table.peers {
		if p.host != "" {
			known[p.domain]++
		}
	}
	own := s.table.gateway.opts.Domain
	for domain, count := range c.balancer.DomainHosts(now) {
		if domain == own {
			count--
		}
		known[domain] = max(known[domain], count)
	}
	for domain, count := range known {
		if domain == own {
			local += count
		} else {
			remote += count
		}
	}
	return local, remote
}

// membersChanged makes the relays and links be determined anew, and the known hosts
// be listed soon.
func (s *digestScheduler) membersChanged() {
	s.relaysSelectedAt = time.Time{}
	s.hosts.requested = true
}

// markSilentLinks records which linked hosts send nothing.
func (s *digestScheduler) markSilentLinks(now time.Time) {
	for _, p := range s.table.peers {
		if p.isLinked() && !s.table.isLive(now, p) {
			p.silentAt = now
		}
	}
}

// hasLocalSubscriber reports whether a host of the local failure domain requests this
// host's digests.
func (s *digestScheduler) hasLocalSubscriber(now time.Time) bool {
	for _, p := range s.table.peers {
		if s.table.isLocal(p) && now.Before(p.subscribedUntil) {
			return true
		}
	}
	return false
}

// mayRead reports whether a peer is one of those that may read the platform's lists:
// any one while all hosts exchange digests directly, else the relays.
func (s *digestScheduler) mayRead(now time.Time, p *peer) bool {
	if !s.relayLocal && !s.relayRemote {
		return true
	}
	return p.subscribes || !s.table.isLocal(p) && now.Before(p.subscribedUntil)
}

// isMember reports whether this host relies on relays of its failure domain and hears
// from one.
func (s *digestScheduler) isMember(now time.Time) bool {
	if !s.relayLocal && !s.relayRemote || s.isRelay {
		return false
	}
	return slices.ContainsFunc(s.localRelays, func(address string) bool {
		p := s.table.peers[address]
		return p != nil && s.table.hearsFrom(now, p)
	})
}

// areRelaysSilent reports whether no relay that this host relies on has sent a digest
// for relaySilence.
func (s *digestScheduler) areRelaysSilent(now time.Time) bool {
	return !slices.ContainsFunc(s.localRelays, func(address string) bool {
		p := s.table.peers[address]
		return p != nil && now.Sub(p.lastSeen) < relaySilence
	})
}

// updateLinks opens and closes links, so that there is one to each host that should
// receive digests, and requests digests from those that this host relies on.
func (s *digestScheduler) updateLinks(now time.Time) {
	for address, p := range s.table.peers {
		viaRelay := s.relayLocal || s.relayRemote
		p.subscribes = viaRelay && slices.Contains(s.localRelays, address) || slices.Contains(s.remoteReceivers, address)
		wanted := p.host != "" && (s.isDirect(address, p) || p.subscribes || now.Before(p.subscribedUntil))
		switch {
		case wanted && !p.isLinked():
			s.table.link(now, address, p)
			s.requestDigests()
		case !wanted && p.isLinked() && now.Sub(p.linkedAt) >= localPeerTimeout:
			p.unlink()
		}
	}
}

// isDirect reports whether this host sends its load directly to a peer.
func (s *digestScheduler) isDirect(address string, p *peer) bool {
	switch {
	case !s.table.isLocal(p):
		return !s.relayRemote
	case s.relayLocal:
		return slices.Contains(s.localRelays, address)
	default:
		return true
	}
}
