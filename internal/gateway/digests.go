package gateway

import (
	"slices"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/core/relay"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

// When a host sends which load digests:
//
//  1. Direct peers receive this host's load soon after each change. These are
//     all hosts while there are few, else the relays of its failure domain.
//  2. A host has links only to direct peers, and to hosts that have requested its
//     digests. A relay also has one to a relay of each other domain. So the number
//     of links depends on the size of a failure domain and the number of domains,
//     and for most hosts on neither.
//  3. Linked hosts that receive no load receive digests without it at regular times
//     and after other changes.
//  4. A relay sends the hosts of its failure domain that request it the total load
//     of the others there and the totals of other domains. It sends its own
//     domain's total to the relays of other domains. It passes on changes of the
//     list of endpoints.
//  5. A digest that is still queued is replaced by the next one, which takes
//     over the content that is sent only once.

const (
	// heartbeatInterval is the longest time between two digests to a peer.
	// remoteHeartbeatInterval is that to a host of another failure domain that
	// receives load through relays, for a sender that does not read the
	// platform's lists.
	heartbeatInterval       = time.Second
	remoteHeartbeatInterval = 3 * time.Second
	// maxDirectDigestsPerSecond limits the digests that a host sends to its
	// direct peers. The more direct peers there are, the less often each
	// receives a digest.
	maxDirectDigestsPerSecond = 400
	// localRelayInterval and remoteRelayInterval are the times between two
	// digests with domain totals from a relay, to the hosts of its failure
	// domain and to other domains.
	localRelayInterval  = 60 * time.Millisecond
	remoteRelayInterval = 100 * time.Millisecond
	// minStatusInterval is the minimum time between two digests to hosts that
	// receive load through relays.
	minStatusInterval = 250 * time.Millisecond
	// relaySelectionInterval is the time between two selections of relays.
	relaySelectionInterval = 500 * time.Millisecond
	// hostsInterval is the time between digests that list other hosts. It is
	// minHostsInterval after the known hosts have changed.
	hostsInterval    = 3 * time.Second
	minHostsInterval = 500 * time.Millisecond
	// memberReadAge is the age of the newest known read of the list at which a
	// host that is no relay reads the store itself.
	memberReadAge = 3 * time.Second
)

// digestScheduler decides when to send which digest to which peer. The control
// loop owns it.
type digestScheduler struct {
	table *peerTable
	// direct is the state of the digests with load to direct peers. localStatus
	// and remoteStatus are those of the digests to the other hosts of the local
	// failure domain and of other domains, localTotals and remoteTotals those
	// of a relay's digests with domain totals.
	direct, localStatus, remoteStatus, localTotals, remoteTotals sendState
	// relayLocal and relayRemote report whether load is distributed through
	// relays within the local failure domain, and between domains.
	relayLocal, relayRemote bool
	relaysSelectedAt        time.Time
	// localRelays are the addresses of the local failure domain's relays
	// without this host, and isRelay reports whether this host is one.
	// remoteReceivers are the addresses in other domains to which it sends its
	// domain's total.
	localRelays     []string
	isRelay         bool
	remoteReceivers []string
	// unforwarded are the totals of other failure domains that are still to be
	// forwarded in the local one.
	unforwarded map[model.DomainName]port.DomainLoad
	// hosts is the state of the digests that list hosts.
	hosts sendState
	// unsentChanges are the changes of the list of endpoints still to be sent.
	unsentChanges port.ListChanges
	// nextDirectCacheUpdate, nextLocalCacheUpdate and nextRemoteCacheUpdate are
	// the numbers of the next prefix cache updates to send to direct peers, and
	// as a relay to the local failure domain and to other domains.
	nextDirectCacheUpdate, nextLocalCacheUpdate, nextRemoteCacheUpdate int
}

// sendState is the state of the digests to a group of peers.
type sendState struct {
	// requested asks for a digest as soon as the minimum interval has passed.
	requested bool
	sentAt    time.Time
}

// isDue reports whether a digest is due: one was requested and minInterval has
// passed since the last one, or maxInterval has passed.
func (r *sendState) isDue(now time.Time, minInterval, maxInterval time.Duration) bool {
	elapsed := now.Sub(r.sentAt)
	return elapsed >= minInterval && r.requested || elapsed >= maxInterval
}

// requestDigests requests digests to all peers.
func (s *digestScheduler) requestDigests() {
	s.direct.requested = true
	s.localStatus.requested = true
	s.remoteStatus.requested = true
}

// queueChanges queues changes of the list of endpoints for all peers.
func (s *digestScheduler) queueChanges(c port.ListChanges) {
	s.unsentChanges = mergeChanges(s.unsentChanges, c)
	s.requestDigests()
}

// tick sends the digests that are due.
func (s *digestScheduler) tick(now time.Time, c *control) {
	s.selectRelays(now, c)
	if len(s.table.peers) == 0 {
		return
	}
	if c.balancer.LocalLoadChanged() {
		s.direct.requested = true
	}
	if s.hosts.isDue(now, minHostsInterval, hostsInterval) {
		s.sendHosts(now, c)
	}
	if len(s.unsentChanges.Records) > 0 {
		s.sendChanges(now, c)
	}
	if s.direct.isDue(now, s.directInterval(), heartbeatInterval) {
		s.sendLoad(now, c)
	}
	if s.localStatus.isDue(now, minStatusInterval, heartbeatInterval) {
		s.localStatus = sendState{sentAt: now}
		s.sendStatus(c.digest(now), true)
	}
	if s.remoteStatus.isDue(now, minStatusInterval, s.remoteHeartbeat()) {
		s.remoteStatus = sendState{sentAt: now}
		s.sendStatus(c.digest(now), false)
	}
	if s.isRelay {
		s.sendTotals(now, c)
	}
}

// remoteHeartbeat returns the longest time between two digests to hosts of
// other failure domains that receive load through relays. It is short for a
// host that reads the platform's lists, so that its loss is noticed soon.
func (s *digestScheduler) remoteHeartbeat() time.Duration {
	if s.table.gateway.reading.Load() {
		return heartbeatInterval
	}
	return remoteHeartbeatInterval
}

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
	opts := &s.table.gateway.opts
	self := relay.Member{Host: opts.Host, Domain: opts.Domain, Address: opts.PeerAddress, LinkMbps: opts.LinkMbps}
	members := s.table.liveMembers(now)
	localHosts := []relay.Member{self}
	for _, m := range members {
		if m.Domain == self.Domain {
			localHosts = append(localHosts, m)
		}
	}
	wasRelay := s.isRelay
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
		s.remoteReceivers = relay.Receivers(self, members)
	}
	// Hosts that have selected this one rely on it, although it may know others.
	s.isRelay = s.isRelay || s.relayLocal && s.hasLocalSubscriber(now)
	if s.isRelay != wasRelay {
		logRelay(opts.Log, s.isRelay, s.localRelays, s.remoteReceivers)
	}
	s.updateLinks(now)
	if s.isRelay || !s.relayLocal {
		c.balancer.DropDomainLoad(self.Domain)
	}
	c.balancer.SetCrossDomainInterval(s.remoteLoadInterval())
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

// directInterval returns the minimum time between two digests to direct peers.
func (s *digestScheduler) directInterval() time.Duration {
	count := 0
	for address, p := range s.table.peers {
		if s.isDirect(address, p) {
			count++
		}
	}
	return max(s.table.gateway.opts.MinDigestInterval, time.Duration(count)*time.Second/maxDirectDigestsPerSecond)
}

// sendHosts lists the hosts that this host knows to the linked peers. A host that
// relies on relays knows nothing that they do not.
func (s *digestScheduler) sendHosts(now time.Time, c *control) {
	s.hosts = sendState{sentAt: now}
	if s.isMember(now) {
		return
	}
	d := c.digest(now)
	d.ViaRelay = true
	d.LoadsUnchanged = true
	byDomain := make(map[model.DomainName][]port.HostInfo)
	for _, p := range s.table.peers {
		if !p.isLinked() {
			continue
		}
		if byDomain[p.domain] == nil {
			byDomain[p.domain] = s.table.hostsFor(now, p.domain)
		}
		d.Hosts = byDomain[p.domain]
		p.enqueue(d)
	}
}

// sendChanges sends the queued changes of the list of endpoints to all linked
// peers.
func (s *digestScheduler) sendChanges(now time.Time, c *control) {
	d := c.digest(now)
	d.ViaRelay = true
	d.LoadsUnchanged = true
	d.Changes, s.unsentChanges = s.unsentChanges, port.ListChanges{}
	for _, p := range s.table.peers {
		p.enqueue(d)
	}
}

// sendLoad sends this host's load to its direct peers.
func (s *digestScheduler) sendLoad(now time.Time, c *control) {
	s.direct = sendState{sentAt: now}
	d := c.digest(now)
	d.Loads = c.balancer.LocalLoad(now)
	d.CacheUpdates, s.nextDirectCacheUpdate = c.balancer.LocalCacheUpdatesSince(s.nextDirectCacheUpdate)
	for address, p := range s.table.peers {
		if s.isDirect(address, p) {
			p.enqueue(d)
		}
	}
}

// sendStatus sends a digest without load to the local or the remote peers that
// receive this host's load through relays.
func (s *digestScheduler) sendStatus(d port.LoadDigest, local bool) {
	d.ViaRelay = true
	for address, p := range s.table.peers {
		if s.table.isLocal(p) == local && !s.isDirect(address, p) {
			p.enqueue(d)
		}
	}
}

// digest returns a digest of this host's status, without load.
func (c *control) digest(now time.Time) port.LoadDigest {
	opts := &c.gateway.opts
	return port.LoadDigest{
		Host: opts.Host, Incarnation: opts.Incarnation, Domain: opts.Domain, Address: opts.PeerAddress,
		LinkSpeedMbps: opts.LinkMbps, Leaving: c.gateway.leaving.Load(), Version: c.version(),
		ListReadAge: min(now.Sub(c.lastListRead), maxReadAge), ListChange: c.lastListChange, LeavingEndpoints: c.directory.Leaving(),
		ListKnownAge: c.knownReadAge(now),
		ReadsList:    c.gateway.reading.Load(), ListReadFailing: c.listReadFailing,
	}
}

// recordLoads passes the load reports and prefix cache updates in a digest to the
// balancer. It drops the earlier report of a host that now reports through a
// relay. The total of the local failure domain counts only from a host there,
// and not at a relay. Totals received from a host of another domain are queued
// for forwarding.
func (c *control) recordLoads(now time.Time, d port.LoadDigest) {
	switch {
	case !d.ViaRelay:
		c.balancer.SetPeerLoad(now, d.Host, d.Domain, d.Loads, d.CacheUpdates)
	default:
		// A digest that withdraws loads may have been merged with an earlier one
		// that has cache updates.
		c.balancer.RecordPeerHeartbeat(now, d.Host, d.Domain, d.CacheUpdates)
		if !d.LoadsUnchanged {
			c.balancer.DropPeerLoad(d.Host)
		}
	}
	own := c.gateway.opts.Domain
	for _, total := range d.Domains {
		if total.Domain == own && (c.peers.digests.isRelay || d.Domain != own) {
			continue
		}
		c.balancer.SetDomainLoad(now, total.Domain, total.Loads, total.CacheUpdates)
		c.balancer.SetDomainHosts(now, total.Domain, total.Hosts)
		if d.Domain != own {
			c.peers.digests.queueTotal(total)
		}
	}
}
