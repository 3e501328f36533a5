package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/clock"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/core/readers"
	"github.com/wigeonsail/wigeonsail/internal/core/relay"
	"github.com/wigeonsail/wigeonsail/internal/loop"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

const (
	// nearMemberFor and farMemberFor are the silences after which a host of the own
	// failure domain, or of another one, is no relay and is not asked: above the
	// longest times between two digests.
	nearMemberFor = 2500 * time.Millisecond
	farMemberFor  = 4500 * time.Millisecond
	// forgetPeerAfter is how long a silent address that is no seed is tried.
	forgetPeerAfter = 20 * time.Second
	// firstReconnect and maxReconnect bound the time between tries to open a
	// stream.
	firstReconnect = 100 * time.Millisecond
	maxReconnect   = 2 * time.Second
	// staleList is the age from which on a host asks its peers for the list of
	// endpoints, and askListEvery the time between two such questions.
	staleList    = 2500 * time.Millisecond
	askListEvery = time.Second
	// maxReadAge is told by hosts that have never read the list.
	maxReadAge = time.Hour
)

// peerTable keeps the addresses of the other hosts and a sender for each. The
// control loop owns it.
type peerTable struct {
	gateway *Gateway
	peers   map[string]*peer
	digests digests
}

// peer is another host's address.
type peer struct {
	seed bool
	// mailbox holds the newest digest that the sender has not taken yet.
	mailbox chan port.LoadDigest
	stop    context.CancelFunc
	// heard is when the host last told something, added when the address was
	// learned.
	heard  time.Time
	added  time.Time
	host   model.HostID
	domain model.DomainName
	link   float64
	// version is that of the configuration in force there.
	version model.Version
	readAge time.Duration
	// reading and failing are what the host tells of its reads.
	reading bool
	failing bool
}

func newPeerTable(g *Gateway) *peerTable {
	t := &peerTable{gateway: g, peers: make(map[string]*peer)}
	t.digests = digests{table: t, received: make(map[model.DomainName]port.DomainLoad)}
	return t
}

// learn adds an address.
func (t *peerTable) learn(now time.Time, address string, seed bool) *peer {
	if address == "" || address == t.gateway.opts.PeerAddress || t.gateway.opts.Peers == nil {
		return nil
	}
	if p := t.peers[address]; p != nil {
		return p
	}
	ctx, stop := context.WithCancel(t.gateway.ctx)
	p := &peer{seed: seed, mailbox: make(chan port.LoadDigest, 1), stop: stop, added: now}
	t.peers[address] = p
	t.note()
	t.digests.toldKnown = time.Time{}
	t.gateway.workers.Go(func() { t.gateway.sendDigests(ctx, address, p.mailbox) })
	return p
}

// tick forgets silent addresses and tells the others what is due.
func (t *peerTable) tick(now time.Time, c *control) {
	for address, p := range t.peers {
		if !p.seed && now.Sub(later(p.heard, p.added)) > forgetPeerAfter {
			p.stop()
			delete(t.peers, address)
			t.gateway.opts.Log.WithField("address", address).Info("peers: forgotten")
		}
	}
	t.digests.tick(now, c)
}

// note asks for digests to all peers, since this host knows something new.
func (t *peerTable) note() { t.digests.note() }

// isNear says that a peer is of the own failure domain, or not known yet.
func (t *peerTable) isNear(p *peer) bool {
	return p.domain == "" || p.domain == t.gateway.opts.Domain
}

// isLive says that a peer was heard of late.
func (t *peerTable) isLive(now time.Time, p *peer) bool {
	if t.isNear(p) {
		return now.Sub(p.heard) < nearMemberFor
	}
	return now.Sub(p.heard) < farMemberFor
}

// members lists the hosts that were heard of late.
func (t *peerTable) members(now time.Time) []relay.Member {
	var out []relay.Member
	for address, p := range t.peers {
		if p.host != "" && t.isLive(now, p) {
			out = append(out, relay.Member{Host: p.host, Domain: p.domain, Address: address, Link: p.link})
		}
	}
	return out
}

// live lists the addresses that were heard of late.
func (t *peerTable) live(now time.Time) []string {
	var out []string
	for address, p := range t.peers {
		if now.Sub(p.heard) < forgetPeerAfter {
			out = append(out, address)
		}
	}
	slices.Sort(out)
	return out
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// HandleLoad implements port.LoadHandler.
func (g *Gateway) HandleLoad(d port.LoadDigest) {
	g.loop.Offer(loop.Func(func(now time.Time) { g.control.digestCame(now, d) }))
}

func (c *control) digestCame(now time.Time, d port.LoadDigest) {
	if d.Host == c.gateway.opts.Host {
		return
	}
	c.takeLoads(now, d)
	p := c.peers.learn(now, d.Address, false)
	if p == nil {
		return
	}
	if p.heard.IsZero() {
		c.gateway.opts.Log.WithFields(fields{"host": d.Host, "address": d.Address, "domain": d.Domain}).Info("peers: heard")
	}
	p.heard, p.host, p.domain, p.link = now, d.Host, d.Domain, d.LinkBandwidth
	p.readAge, p.reading, p.failing = d.ListReadAge, d.ReadsList, d.ListReadFailing
	for _, address := range d.KnownAddresses {
		c.peers.learn(now, address, false)
	}
	p.version = d.Version
	c.seekConfig(now)
	c.listNewsCame(now, d)
}

// chooseReaders decides whether this host reads the platform's lists, and takes
// the reads of the others as a sign that the store answers.
func (c *control) chooseReaders(now time.Time) {
	var peers []readers.Peer
	for _, p := range c.peers.peers {
		if !p.heard.IsZero() {
			peers = append(peers, readers.Peer{
				Host: p.host, Heard: p.heard, ReadAge: p.readAge, Reading: p.reading, Failing: p.failing,
			})
		}
	}
	reading := readers.ShouldRead(now, c.gateway.opts.Host, peers)
	if reading != c.gateway.reading.Swap(reading) {
		c.gateway.opts.Log.WithFields(fields{"reading": reading, "peers": len(peers)}).Info("lists: turn changed")
		c.peers.note()
		if reading {
			c.gateway.askForListNews()
		}
	}
	if age := readers.Age(now, now.Sub(c.listRead), peers); age < c.directory.Age(now) && !c.listRead.IsZero() {
		c.directory.Answered(now.Add(-age))
	}
}

// askPeersForList fetches the list of endpoints from the peer with the newest
// one while the platform does not answer this host.
func (c *control) askPeersForList(now time.Time) {
	if c.fetchingList || c.directory.Age(now) < staleList {
		return
	}
	best := ""
	for address, p := range c.peers.peers {
		if p.heard.IsZero() || now.Sub(p.heard) > heartbeatEvery*2 {
			continue
		}
		if best == "" || p.readAge < c.peers.peers[best].readAge {
			best = address
		}
	}
	if best == "" || c.directory.Len() > 0 && c.peers.peers[best].readAge > staleList {
		return
	}
	c.askPeerForList(now, best)
}

// askPeerForList fetches a peer's list of endpoints.
func (c *control) askPeerForList(now time.Time, address string) {
	if c.fetchingList || now.Sub(c.listAsked) < askListEvery {
		return
	}
	c.fetchingList = true
	c.listAsked = now
	g := c.gateway
	g.background(func(ctx context.Context) {
		list, err := g.opts.Peers.FetchEndpoints(ctx, address)
		if err != nil {
			g.opts.Log.WithError(err).WithField("address", address).Warn("peers: list of endpoints not fetched")
		}
		g.loop.Post(loop.Func(func(now time.Time) {
			c.fetchingList = false
			if err == nil {
				c.takeList(now, list)
			}
		}))
	})
}

// takeList takes a peer's list when it is newer than what this host knows.
func (c *control) takeList(now time.Time, list port.EndpointList) {
	if list.NextOffset <= c.listNext {
		return
	}
	c.listNext = list.NextOffset
	// What this host tells from now on begins after the list.
	c.listChange = list.NextOffset
	c.apply(now, c.directory.Replace(now, list.Entries))
}

// HandleFetchConfig implements port.LoadHandler.
func (g *Gateway) HandleFetchConfig(_ context.Context, newerThan model.Version) (port.ConfigRecord, error) {
	rec := g.record.Load()
	if rec == nil || rec.Version <= newerThan {
		return port.ConfigRecord{}, nil
	}
	return *rec, nil
}

// HandleFetchEndpoints implements port.LoadHandler.
func (g *Gateway) HandleFetchEndpoints(ctx context.Context) (port.EndpointList, error) {
	list, ok := ask(ctx, g, func(time.Time) port.EndpointList {
		return port.EndpointList{Entries: g.control.directory.Entries(), NextOffset: g.control.listNext}
	})
	if !ok {
		return port.EndpointList{}, errStopped
	}
	return list, nil
}

// sendDigests passes digests on to a peer until ctx ends. A broken stream is
// opened again.
func (g *Gateway) sendDigests(ctx context.Context, address string, mailbox <-chan port.LoadDigest) {
	wait := time.Duration(0)
	lost := false
	for clock.Sleep(ctx, wait) {
		sent, err := g.shareWith(ctx, address, mailbox)
		if ctx.Err() != nil {
			return
		}
		if sent > 0 {
			wait = 0
			lost = false
		}
		if err != nil && !lost {
			lost = true
			g.opts.Metrics.PeerError("share")
			g.opts.Log.WithError(err).WithField("address", address).Warn("peers: lost")
		}
		wait = min(max(2*wait, firstReconnect), maxReconnect)
	}
}

// shareWith opens a stream and sends digests until it breaks. It returns the
// number sent.
func (g *Gateway) shareWith(ctx context.Context, address string, mailbox <-chan port.LoadDigest) (int, error) {
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
