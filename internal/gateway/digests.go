package gateway

import (
	"slices"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/core/relay"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

// What a host tells the others, and when:
//
//  1. Those that are told one by one hear of its work soon after each change:
//     all hosts while they are few, else the relays of its failure domain.
//  2. The others hear from it at regular times and of news.
//  3. A relay tells the hosts of its domain the sum of the others' work and what
//     other domains tell it, and the relays of other domains the sum of its own.
//  4. A digest that was not sent yet is replaced by the next one, which takes
//     over what must not be lost.

const (
	// heartbeatEvery is the longest time between two digests to a peer,
	// farHeartbeatEvery that to a host of another domain that hears of the work by
	// relays, from a host that does not read the platform's lists.
	heartbeatEvery    = time.Second
	farHeartbeatEvery = 3 * time.Second
	// directDigests bounds the digests that a host sends in a second to the hosts
	// that it tells one by one: with many each hears from it less often.
	directDigests = 400
	// sumsEvery and farSumsEvery are the times between two sums that a relay tells
	// the hosts of its domain, and other domains.
	sumsEvery    = 60 * time.Millisecond
	farSumsEvery = 100 * time.Millisecond
	// newsEvery is the least time between two digests to hosts that hear of the
	// work by relays.
	newsEvery = 250 * time.Millisecond
	// chooseRelaysEvery is the time between two choices of relays.
	chooseRelaysEvery = 500 * time.Millisecond
	// knownEvery is the time between digests that name the other hosts.
	knownEvery = 2 * time.Second
)

// digests decides which digests are due. The control loop owns it.
type digests struct {
	table *peerTable
	// direct, near and far are the rounds of digests to those that are told of the
	// work, and to the other hosts of the own domain and of others. sums and
	// farSums are those of a relay.
	direct, near, far, sums, farSums round
	// nearByRelay and farByRelay say that relays tell the hosts of the own domain,
	// and of others.
	nearByRelay, farByRelay bool
	chosen                  time.Time
	// relays are the addresses of the own domain's relays but this host, relaying
	// says that this host is one. receivers are the addresses in other domains
	// that it tells.
	relays    []string
	relaying  bool
	receivers []string
	// received are the sums of other domains to be passed on in the own one.
	received  map[model.DomainName]port.DomainLoad
	toldKnown time.Time
	// changes are those of the list of endpoints that were not told yet.
	changes port.ListChanges
	// directMarks, sumMarks and farSumMarks number the next marks to be told.
	directMarks, sumMarks, farSumMarks int
}

// round is the state of the digests to some peers.
type round struct {
	// changed asks for a digest when the least time has passed.
	changed bool
	told    time.Time
}

// due says that a digest is to be sent.
func (r *round) due(now time.Time, interval, longest time.Duration) bool {
	passed := now.Sub(r.told)
	return passed >= interval && r.changed || passed >= longest
}

// note asks for digests to all peers.
func (s *digests) note() {
	s.direct.changed = true
	s.near.changed = true
	s.far.changed = true
}

// tellChanges tells all peers of changes of the list of endpoints.
func (s *digests) tellChanges(c port.ListChanges) {
	s.changes = joinChanges(s.changes, c)
	s.note()
}

// tick sends the digests that are due.
func (s *digests) tick(now time.Time, c *control) {
	s.choose(now, c)
	if len(s.table.peers) == 0 {
		return
	}
	if c.balancer.Changed() {
		s.direct.changed = true
	}
	if known := s.known(now); known != nil {
		s.tellKnown(now, c, known)
	}
	if len(s.changes.Records) > 0 {
		s.tellAll(now, c)
	}
	if s.direct.due(now, s.directEvery(), heartbeatEvery) {
		s.tellWork(now, c)
	}
	if s.near.due(now, newsEvery, heartbeatEvery) {
		s.near = round{told: now}
		s.tellOthers(c.digest(now), true)
	}
	if s.far.due(now, newsEvery, s.farHeartbeat()) {
		s.far = round{told: now}
		s.tellOthers(c.digest(now), false)
	}
	if s.relaying {
		s.relay(now, c)
	}
}

// farHeartbeat is the longest time between two digests to hosts of other domains
// that hear of the work by relays. Those that read are to be missed soon.
func (s *digests) farHeartbeat() time.Duration {
	if s.table.gateway.reading.Load() {
		return heartbeatEvery
	}
	return farHeartbeatEvery
}

// choose finds out who is told what.
func (s *digests) choose(now time.Time, c *control) {
	if now.Sub(s.chosen) < chooseRelaysEvery {
		return
	}
	s.chosen = now
	near, far := s.count()
	s.nearByRelay = relay.NeededNear(near)
	s.farByRelay = relay.NeededFar(far)
	opts := &s.table.gateway.opts
	self := relay.Member{Host: opts.Host, Domain: opts.Domain, Address: opts.PeerAddress, Link: opts.Link}
	members := s.table.members(now)
	own := []relay.Member{self}
	for _, m := range members {
		if m.Domain == self.Domain {
			own = append(own, m)
		}
	}
	s.relays, s.relaying = nil, false
	for _, m := range relay.Of(own) {
		if m.Host == self.Host {
			s.relaying = s.nearByRelay || s.farByRelay
		} else {
			s.relays = append(s.relays, m.Address)
		}
	}
	s.receivers = nil
	if s.farByRelay {
		s.receivers = relay.Receivers(self, members)
	}
	if s.relaying || !s.nearByRelay {
		c.balancer.ForgetDomain(self.Domain)
	}
	c.balancer.SetFarInterval(s.farInterval())
}

// farInterval is the time between two words of another domain on its work.
func (s *digests) farInterval() time.Duration {
	if s.farByRelay {
		return farSumsEvery
	}
	return s.directEvery()
}

// count returns the number of peers in the own failure domain and in others.
func (s *digests) count() (near, far int) {
	for _, p := range s.table.peers {
		if s.table.isNear(p) {
			near++
		} else {
			far++
		}
	}
	return near, far
}

// isDirect says that a peer is told of this host's work.
func (s *digests) isDirect(address string, p *peer) bool {
	switch {
	case !s.table.isNear(p):
		return !s.farByRelay
	case s.nearByRelay:
		return slices.Contains(s.relays, address)
	default:
		return true
	}
}

// directEvery is the least time between two digests to those that are told of
// this host's work.
func (s *digests) directEvery() time.Duration {
	count := 0
	for address, p := range s.table.peers {
		if s.isDirect(address, p) {
			count++
		}
	}
	return max(s.table.gateway.opts.ShareEvery, time.Duration(count)*time.Second/directDigests)
}

// known lists the other hosts when they are to be told again.
func (s *digests) known(now time.Time) []string {
	if now.Sub(s.toldKnown) < knownEvery {
		return nil
	}
	s.toldKnown = now
	return s.table.live(now)
}

// tellKnown names the other hosts to those of the own domain, to those that are
// told one by one, and to relays of other domains.
func (s *digests) tellKnown(now time.Time, c *control, known []string) {
	d := c.digest(now)
	d.ViaRelay = true
	d.LoadsUnchanged = true
	d.KnownAddresses = known
	for address, p := range s.table.peers {
		if s.table.isNear(p) || s.isDirect(address, p) || slices.Contains(s.receivers, address) || p.heard.IsZero() {
			p.tell(d)
		}
	}
}

// tellAll tells all peers of changes of the list of endpoints.
func (s *digests) tellAll(now time.Time, c *control) {
	d := c.digest(now)
	d.ViaRelay = true
	d.LoadsUnchanged = true
	d.Changes, s.changes = s.changes, port.ListChanges{}
	for _, p := range s.table.peers {
		p.tell(d)
	}
}

// tellWork tells of this host's work.
func (s *digests) tellWork(now time.Time, c *control) {
	s.direct = round{told: now}
	d := c.digest(now)
	d.Loads = c.balancer.OwnLoad(now)
	d.CachedPrefixes, s.directMarks = c.balancer.MarksSince(s.directMarks)
	for address, p := range s.table.peers {
		if s.isDirect(address, p) {
			p.tell(d)
		}
	}
}

// tellOthers tells those that hear of this host's work by relays of the rest.
func (s *digests) tellOthers(d port.LoadDigest, near bool) {
	d.ViaRelay = true
	for address, p := range s.table.peers {
		if s.table.isNear(p) == near && !s.isDirect(address, p) {
			p.tell(d)
		}
	}
}

// digest is what this host tells of itself.
func (c *control) digest(now time.Time) port.LoadDigest {
	opts := &c.gateway.opts
	return port.LoadDigest{
		Host: opts.Host, Incarnation: opts.Incarnation, Domain: opts.Domain, Address: opts.PeerAddress,
		LinkBandwidth: opts.Link, Leaving: c.gateway.leaving.Load(), Version: c.version(),
		ListReadAge: min(now.Sub(c.listRead), maxReadAge), ListChangeOffset: c.listChange,
		ReadsList: c.gateway.reading.Load(), ListReadFailing: c.listFailing,
	}
}

// takeLoads takes what a digest says of the work of others.
func (c *control) takeLoads(now time.Time, d port.LoadDigest) {
	switch {
	case !d.ViaRelay:
		c.balancer.SetPeer(now, d.Host, d.Domain, d.Loads, d.CachedPrefixes)
	case d.LoadsUnchanged:
		c.balancer.HeardPeer(now, d.Host, d.Domain)
	default:
		c.balancer.HeardPeer(now, d.Host, d.Domain)
		c.balancer.ForgetPeer(d.Host)
	}
	own := c.gateway.opts.Domain
	for _, sum := range d.Domains {
		if sum.Domain == own && (c.peers.digests.relaying || d.Domain != own) {
			continue
		}
		c.balancer.SetDomain(now, sum.Domain, sum.Loads, sum.CachedPrefixes)
		if d.Domain != own {
			c.peers.digests.passOn(sum)
		}
	}
}
