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
//  2. The other hosts receive digests without load at regular times and after
//     other changes.
//  3. A relay sends the hosts of its failure domain the total load of the
//     others there and the totals of other domains. It sends its own domain's
//     total to the relays of other domains.
//  4. A digest that is still queued is replaced by the next one, which takes
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
	// addressInterval is the time between digests that contain the addresses of
	// the other hosts.
	addressInterval = 2 * time.Second
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
	unforwarded     map[model.DomainName]port.DomainLoad
	addressesSentAt time.Time
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
	if addresses := s.dueAddresses(now); addresses != nil {
		s.sendAddresses(now, c, addresses)
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
	local, remote := s.countPeers()
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

// countPeers returns the number of peers in the local failure domain and in
// other domains.
func (s *digestScheduler) countPeers() (local, remote int) {
	for _, p := range s.table.peers {
		if s.table.isLocal(p) {
			local++
		} else {
			remote++
		}
	}
	return local, remote
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

// dueAddresses returns the addresses of the other hosts when they are due to be
// sent, and counts them as sent; else nil.
func (s *digestScheduler) dueAddresses(now time.Time) []string {
	if now.Sub(s.addressesSentAt) < addressInterval {
		return nil
	}
	s.addressesSentAt = now
	return s.table.knownAddresses(now)
}

// sendAddresses sends the addresses of the other hosts to the peers of the
// local failure domain, to direct peers, to relays of other domains, and to
// addresses from which nothing was received yet.
func (s *digestScheduler) sendAddresses(now time.Time, c *control, addresses []string) {
	d := c.digest(now)
	d.ViaRelay = true
	d.LoadsUnchanged = true
	d.KnownAddresses = addresses
	for address, p := range s.table.peers {
		if s.table.isLocal(p) || s.isDirect(address, p) || slices.Contains(s.remoteReceivers, address) || p.lastSeen.IsZero() {
			p.enqueue(d)
		}
	}
}

// sendChanges sends the queued changes of the list of endpoints to all peers.
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
		ReadsList: c.gateway.reading.Load(), ListReadFailing: c.listReadFailing,
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
		if d.Domain != own {
			c.peers.digests.queueTotal(total)
		}
	}
}
