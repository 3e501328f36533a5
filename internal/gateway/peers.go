package gateway

import (
	"context"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/clock"
	"github.com/wigeonsail/wigeonsail/internal/core/freshness"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/core/readers"
	"github.com/wigeonsail/wigeonsail/internal/core/relay"
	"github.com/wigeonsail/wigeonsail/internal/loop"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

const (
	// localPeerTimeout and remotePeerTimeout are the times without a digest
	// after which a linked host of the local failure domain, or of another one,
	// is no longer selected as a relay or as the source of a configuration. They
	// exceed the longest times between two digests.
	localPeerTimeout  = 2500 * time.Millisecond
	remotePeerTimeout = 4500 * time.Millisecond
	// reportedPeerTimeout is the corresponding time for a host of which only other
	// hosts have reported that they hear from it. They report every few seconds.
	reportedPeerTimeout = 9 * time.Second
	// leavingTimeout is how long a host counts as leaving after its last digest. It may
	// start again at the same address without a digest to this host.
	leavingTimeout = 10 * time.Second
	// forgetPeerAfter is how long an address that sends nothing is kept, unless
	// it is a seed.
	forgetPeerAfter = 20 * time.Second
	// minReconnectDelay and maxReconnectDelay bound the delay between attempts
	// to open a stream.
	minReconnectDelay = 100 * time.Millisecond
	maxReconnectDelay = 2 * time.Second
	// subscriptionTimeout is how long a host sends digests to one that has
	// requested them. Requests are repeated with each digest.
	subscriptionTimeout = 3500 * time.Millisecond
	// staleListAge is the age of the list of endpoints at which a host starts
	// to fetch it from a peer. listFetchInterval is the minimum time between
	// two fetches.
	staleListAge      = 2500 * time.Millisecond
	listFetchInterval = time.Second
	// maxReadAge is the read age reported by hosts that have never read the
	// list.
	maxReadAge = port.UnknownAge
	// readAgePerHop is added to the age of a read that another host has reported.
	// It exceeds the time that the report takes, so that a read does not seem the
	// newer the more often hosts report it to each other.
	readAgePerHop = 150 * time.Millisecond
)

// peerTable keeps the known addresses of other hosts, and a digest sender for each
// of those that this host sends digests to. The control loop owns it.
type peerTable struct {
	gateway *Gateway
	peers   map[string]*peer
	digests digestScheduler
	joiner  joiner
	// startSender starts a goroutine that sends the digests of a mailbox to an
	// address until the context ends.
	startSender func(ctx context.Context, address string, mailbox <-chan port.LoadDigest)
}

// peer is the state kept for another host's address.
type peer struct {
	seed bool
	// mailbox holds the digest that the sender sends next, stop ends the sender;
	// both are nil without a link. linkedAt is when the link was opened.
	mailbox  chan port.LoadDigest
	stop     context.CancelFunc
	linkedAt time.Time
	// subscribes reports whether digests to the host request its digests.
	// subscribedUntil is until when the host has requested digests.
	subscribes      bool
	subscribedUntil time.Time
	// lastSeen is when the host's last digest was received, added when the
	// address was added. reportedAt is when another host last heard from it, as
	// far as reported. silentAt is when a link to it was found silent.
	lastSeen   time.Time
	added      time.Time
	reportedAt time.Time
	silentAt   time.Time
	host       model.HostID
	domain     model.DomainName
	linkMbps   float64
	// leavingUntil is until when the host counts as leaving, since its last digest said
	// that it is; zero otherwise.
	leavingUntil time.Time
	// version is the version of the configuration in force at the host.
	version model.Version
	// readAge is the age of the host's last own read of the list, knownReadAge that
	// of the last read of any host that it knows of, as of its last digest. reading
	// reports whether it reads at regular times, failing whether its last read
	// failed.
	readAge      time.Duration
	knownReadAge time.Duration
	reading      bool
	failing      bool
	// late and clock bound how late the host's digests are.
	late  lateDigests
	clock peerClock
	build peerBuild
	// incarnation is that of the host, as of its last digest.
	incarnation model.Incarnation
	// statedAt is when this host last stated its build and an echo, as a time since its start.
	statedAt time.Duration
	// unpacks reports whether the host understands packed loads.
	unpacks bool
}

// isLinked reports whether this host sends digests to the peer.
func (p *peer) isLinked() bool { return p.stop != nil }

// heardAt returns when this host or another one last heard from the peer.
func (p *peer) heardAt() time.Time { return later(p.lastSeen, p.reportedAt) }

func newPeerTable(g *Gateway) *peerTable {
	t := &peerTable{gateway: g, peers: make(map[string]*peer)}
	t.digests = digestScheduler{table: t, unforwarded: make(map[model.DomainName]port.DomainLoad)}
	t.joiner = joiner{ask: t.askForHosts}
	t.startSender = func(ctx context.Context, address string, mailbox <-chan port.LoadDigest) {
		g.workers.Go(func() { g.sendDigests(ctx, address, mailbox) })
	}
	return t
}

// add adds an address unless it is known already. It returns the address's entry, or
// nil when the address is empty or this host's own, or this host sends no digests.
func (t *peerTable) add(now time.Time, address string, seed bool) *peer {
	if address == "" || address == t.gateway.opts.PeerAddress || t.gateway.opts.Peers == nil {
		return nil
	}
	if p := t.peers[address]; p != nil {
		p.seed = p.seed || seed
		return p
	}
	p := &peer{seed: seed, added: now}
	t.peers[address] = p
	t.digests.membersChanged()
	return p
}

// link starts to send digests to a peer.
func (t *peerTable) link(now time.Time, address string, p *peer) {
	ctx, stop := context.WithCancel(t.gateway.ctx)
	p.mailbox, p.stop, p.linkedAt = make(chan port.LoadDigest, 1), stop, now
	t.startSender(ctx, address, p.mailbox)
}

// unlink ends sending digests to a peer.
func (p *peer) unlink() {
	if p.isLinked() {
		p.stop()
		p.mailbox, p.stop = nil, nil
	}
}

// forgetSilent drops addresses that have been silent for too long.
func (t *peerTable) forgetSilent(now time.Time) {
	for address, p := range t.peers {
		if !p.seed && now.Sub(later(p.heardAt(), p.added)) > forgetPeerAfter {
			p.unlink()
			delete(t.peers, address)
			t.gateway.opts.Log.WithField("address", address).Info("peers: silent address dropped")
		}
	}
}

// tick finds more hosts and sends the digests that are due.
func (t *peerTable) tick(now time.Time, c *control) {
	t.joiner.tick(now, t)
	t.digests.tick(now, c)
}

// requestDigests requests digests to all peers because this host's state has
// changed.
func (t *peerTable) requestDigests() { t.digests.requestDigests() }

// isLocal reports whether a peer is in the local failure domain.
func (t *peerTable) isLocal(p *peer) bool { return p.domain == t.gateway.opts.Domain }

// isLive reports whether a peer counts as live: its digests arrive or, without a link
// to it, other hosts hear from it. A new link gets time for the first digest.
func (t *peerTable) isLive(now time.Time, p *peer) bool {
	if t.hearsFrom(now, p) {
		return true
	}
	if p.isLinked() && now.Sub(p.linkedAt) >= t.timeout(p) {
		return false
	}
	return p.reportedAt.After(p.silentAt) && now.Sub(p.reportedAt) < reportedPeerTimeout
}

// hearsFrom reports whether this host receives digests from a peer.
func (t *peerTable) hearsFrom(now time.Time, p *peer) bool {
	return now.Sub(p.lastSeen) < t.timeout(p)
}

// timeout returns the time without a digest after which a peer counts as silent.
func (t *peerTable) timeout(p *peer) time.Duration {
	if t.isLocal(p) {
		return localPeerTimeout
	}
	return remotePeerTimeout
}

// liveMembers returns the other hosts that count as live.
func (t *peerTable) liveMembers(now time.Time) []relay.Member {
	var out []relay.Member
	for address, p := range t.peers {
		if p.host != "" && t.isLive(now, p) {
			out = append(out, relay.Member{Host: p.host, Domain: p.domain, Address: address, LinkMbps: p.linkMbps})
		}
	}
	return out
}

// directAddresses returns the addresses of hosts that this host's streams are reported to
// and that it hears from, those of the local failure domain first, at most maxFindPeers.
func (t *peerTable) directAddresses(now time.Time) []string {
	var local, remote []string
	for address, p := range t.peers {
		switch {
		case !t.digests.isDirect(address, p) || !t.hearsFrom(now, p):
		case t.isLocal(p):
			local = append(local, address)
		default:
			remote = append(remote, address)
		}
	}
	out := append(local, remote...)
	return out[:min(len(out), maxFindPeers)]
}

// stayingMembers returns the live hosts that are not leaving, this one included, or all
// live ones if all are leaving.
func (t *peerTable) stayingMembers(now time.Time) []relay.Member {
	opts := &t.gateway.opts
	self := relay.Member{Host: opts.Host, Domain: opts.Domain, Address: opts.PeerAddress, LinkMbps: opts.LinkMbps}
	all := append([]relay.Member{self}, t.liveMembers(now)...)
	var staying []relay.Member
	for _, m := range all {
		p := t.peers[m.Address]
		leaves := p != nil && now.Before(p.leavingUntil)
		if m.Host == self.Host {
			leaves = t.gateway.Leaving()
		}
		if !leaves {
			staying = append(staying, m)
		}
	}
	if len(staying) == 0 {
		return all
	}
	return staying
}

// later returns the later one of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// HandleDigest queues a digest from another host for the control loop; it is
// dropped when the loop's queue is full. It implements port.LoadHandler.
func (g *Gateway) HandleDigest(d port.LoadDigest) {
	g.loop.TryPost(loop.Func(func(now time.Time) { g.control.receiveDigest(now, d) }))
}

// receiveDigest applies a digest from another host: its load reports, the state
// and the addresses of peers, and list changes. It ignores this host's own. It
// starts a fetch if a peer has a newer configuration.
func (c *control) receiveDigest(now time.Time, d port.LoadDigest) {
	if d.Host == c.gateway.opts.Host {
		return
	}
	c.noticeStandstill(now)
	c.recordLoads(now, d)
	p := c.peers.add(now, d.Address, false)
	if p == nil {
		return
	}
	if p.lastSeen.IsZero() {
		c.gateway.opts.Log.WithFields(fields{"host": d.Host, "address": d.Address, "domain": d.Domain}).Info("peers: first digest received")
	}
	if c.firstDigestAt.IsZero() {
		c.firstDigestAt = now
	}
	if p.host != d.Host || p.domain != d.Domain {
		c.peers.digests.membersChanged()
	}
	if p.lastSeen.IsZero() || d.Incarnation != p.incarnation {
		p.incarnation, p.clock, p.build = d.Incarnation, peerClock{}, peerBuild{since: now}
	}
	c.ageDigest(now, p, &d)
	p.lastSeen, p.host, p.domain, p.linkMbps = now, d.Host, d.Domain, d.LinkSpeedMbps
	p.readAge, p.reading, p.failing = d.ListReadAge, d.ReadsList, d.ListReadFailing
	p.unpacks = d.Unpacks
	p.build.learn(d.Build)
	p.knownReadAge = min(d.ListKnownAge, d.ListReadAge)
	if d.ListReadFailing {
		c.directory.RecordReadFailure()
	}
	if d.Subscribes {
		if !now.Before(p.subscribedUntil) {
			c.peers.digests.membersChanged()
		}
		p.subscribedUntil = now.Add(subscriptionTimeout)
	}
	for _, info := range d.Hosts {
		c.peers.learn(now, info)
	}
	p.leavingUntil = time.Time{}
	if d.Leaving {
		p.leavingUntil = now.Add(leavingTimeout)
	}
	p.version = d.Version
	c.learnFreshness(freshness.Claim{Version: d.Version, At: now.Add(-d.ConfigAge - readAgePerHop)})
	c.receivePaths(now, p, d)
	c.applyLeaving(now, d.LeavingEndpoints)
	c.receiveLimits(now, d)
	c.receiveBrittle(now, d)
	c.demand.receive(now, d)
	c.accounts.receive(now, d, c.gateway.opts.Domain)
	c.balancer.ApplyEngineSpeeds(now, d.EngineSpeeds)
	c.receiveCrashes(now, d)
	c.usage.receive(d)
	for _, begin := range d.StreamBegins {
		c.streams.RecordReport(now, begin)
	}
	for _, begun := range d.StreamSources {
		c.streams.RecordSourceReport(now, c.listView(now), begun)
	}
	if d.Version > c.version() {
		c.fetchNewerConfig(now)
	}
	c.receiveListChanges(now, d)
}

// updateReading decides whether this host reads the platform's lists. It also
// counts recent reads by other hosts as evidence that the store answers.
func (c *control) updateReading(now time.Time) {
	var peers []readers.Peer
	for _, p := range c.peers.peers {
		if !p.lastSeen.IsZero() && c.peers.digests.mayRead(now, p) {
			peers = append(peers, readers.Peer{
				Host: p.host, Domain: p.domain, LastSeen: p.lastSeen, ReadAge: p.readAge, Reading: p.reading, Failing: p.failing,
			})
		}
	}
	reading := readers.ShouldRead(now, c.gateway.opts.Host, c.gateway.opts.Domain, peers)
	if c.peers.digests.isMember(now) {
		// The relays read for the other hosts.
		reading = c.knownReadAge(now) > memberReadAge || c.peers.digests.areRelaysSilent(now)
	}
	if reading != c.gateway.reading.Swap(reading) {
		c.gateway.opts.Log.WithFields(fields{"reading": reading, "peers": len(peers)}).Info("lists: reader role changed")
		c.peers.requestDigests()
		if reading {
			c.gateway.requestListRead()
		}
	}
	if age := c.listAge(now); age < c.directory.Age(now) && !c.lastListRead.IsZero() {
		c.directory.RecordStoreRead(now.Add(-age), now.Add(-age))
	}
}

// listAge returns the age of the newest read of which this host has all changes, as far as
// it knows. While changes are missing, newer reads do not count.
func (c *control) listAge(now time.Time) time.Duration {
	if c.lacksChanges() {
		return max(c.knownReadAge(now), c.directory.Age(now))
	}
	return c.knownReadAge(now)
}

// knownReadAge returns the age of the newest read of the list by any host, as far as
// this host knows.
func (c *control) knownReadAge(now time.Time) time.Duration {
	age := min(now.Sub(c.lastListRead), maxReadAge)
	for _, p := range c.peers.peers {
		if !p.lastSeen.IsZero() {
			age = min(age, p.knownReadAge+readAgePerHop+now.Sub(p.lastSeen))
		}
	}
	return age
}

// HandleFetchConfig returns the configuration in force if it is newer than
// newerThan, else the zero record. It implements port.LoadHandler.
func (g *Gateway) HandleFetchConfig(_ context.Context, newerThan model.Version) (port.ConfigRecord, error) {
	rec := g.record.Load()
	if rec == nil || rec.Version <= newerThan {
		return port.ConfigRecord{}, nil
	}
	return *rec, nil
}

// sendDigests sends digests to a peer until ctx ends. It reopens a broken
// stream after a delay.
func (g *Gateway) sendDigests(ctx context.Context, address string, mailbox <-chan port.LoadDigest) {
	delay := time.Duration(0)
	failing := false
	for clock.Sleep(ctx, delay) {
		sent, err := g.streamDigests(ctx, address, mailbox)
		if ctx.Err() != nil {
			return
		}
		if sent > 0 {
			delay = 0
			failing = false
		}
		if err != nil && !failing {
			failing = true
			g.opts.Metrics.PeerError("share")
			g.opts.Log.WithError(err).WithField("address", address).Warn("peers: digest stream failed")
		}
		delay = min(max(2*delay, minReconnectDelay), maxReconnectDelay)
	}
}

// streamDigests opens a stream and sends digests until it breaks or ctx ends.
// It returns the number of digests sent.
func (g *Gateway) streamDigests(ctx context.Context, address string, mailbox <-chan port.LoadDigest) (int, error) {
	stream, err := g.opts.Peers.OpenLoadStream(ctx, address)
	if err != nil {
		return 0, err
	}
	defer stream.Close()
	for sent := 0; ; sent++ {
		select {
		case <-ctx.Done():
			return sent, nil
		case d := <-mailbox:
			if err := stream.Send(d); err != nil {
				return sent, err
			}
		}
	}
}
