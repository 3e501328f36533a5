package gateway

import (
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
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
	// statementInterval is the least time between two digests to a peer that echo one of its
	// own and state the build of this host.
	statementInterval = time.Second
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
	// maxEngineSpeeds is the largest number of engines whose speed a digest reports.
	maxEngineSpeeds = 8
	// hostsInterval is the time between digests that list other hosts. It is
	// minHostsInterval after the known hosts have changed.
	hostsInterval    = 3 * time.Second
	minHostsInterval = 500 * time.Millisecond
	// memberReadAge is the age of the newest known read of the list at which a
	// host that is no relay reads the store itself.
	memberReadAge = 3 * time.Second
	// relaySilence is the time without a digest of any relay after which such a host
	// reads the store itself. Relays send digests many times a second, and a change of
	// the list must take effect within 2 s.
	relaySilence = 1200 * time.Millisecond
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
	// directPeers is the number of direct peers when relays were last selected.
	directPeers int
	// reports are this host's newest load reports.
	reports sentReports
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
	if c.balancer.LocalLoadChanged() || c.usage.isDue(now) {
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

// directInterval returns the minimum time between two digests to direct peers.
func (s *digestScheduler) directInterval() time.Duration {
	return max(s.table.gateway.opts.MinDigestInterval, time.Duration(s.directPeers)*time.Second/maxDirectDigestsPerSecond)
}

// countDirect returns the number of direct peers.
func (s *digestScheduler) countDirect() int {
	count := 0
	for address, p := range s.table.peers {
		if s.isDirect(address, p) {
			count++
		}
	}
	return count
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
	d.Demand = c.directDemand(now)
	d.AccountWork = c.accounts.direct(now)
	d.Report = s.reports.record(now, d.Loads)
	d.StreamBegins = c.streams.TakeUnsent(now, c.isListCurrent(now))
	d.StreamSources = c.streams.TakeUnsentSources(now, c.isListCurrent(now))
	d.Usage = c.usage.takeDirect(now)
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
	d := port.LoadDigest{
		Host: opts.Host, Incarnation: opts.Incarnation, Domain: opts.Domain, Address: opts.PeerAddress,
		LinkSpeedMbps: opts.LinkMbps, Leaving: c.gateway.leaving.Load(), Version: c.version(),
		ListReadAge: min(now.Sub(c.lastListRead), maxReadAge), ListChange: c.lastListChange, LeavingEndpoints: c.directory.Leaving(),
		ListKnownAge: c.listAge(now), ConfigAge: c.gateway.configAge(now),
		Limits: c.knownLimits(now), Brittle: c.knownBrittle(now), Unpacks: true,
		EngineSpeeds: c.balancer.EngineSpeeds(now, c.peers.digests.isRelay, maxEngineSpeeds),
		ReadsList:    c.gateway.reading.Load(), ListReadFailing: c.listReadFailing, SentAt: c.sinceStart(now), Build: opts.Build,
	}
	c.reportPaths(&d)
	c.reportCrashes(now, &d)
	c.usage.fill(&d)
	return d
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
		c.balancer.SetPeerReport(d.Host, d.Report)
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
		if loads, known := c.othersLoad(total); known {
			c.balancer.SetDomainLoad(now, total.Domain, loads, total.CacheUpdates)
		} else {
			c.balancer.RecordDomainUpdates(now, total.Domain, total.CacheUpdates)
		}
		c.balancer.SetDomainHosts(now, total.Domain, total.Hosts)
		if d.Domain != own {
			c.peers.digests.queueTotal(total)
		}
	}
}
