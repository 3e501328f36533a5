package gateway

import (
	"slices"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/balance"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/core/relay"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

// What a host tells the others, and when:
//
//  1. The hosts of its failure domain hear of its work soon after each change.
//  2. The hosts of other domains do too while they are few. Else they hear from
//     it at regular times and of news, and of its work by relays.
//  3. A digest that was not sent yet is replaced by the next one, which takes
//     over what must not be lost.

const (
	// heartbeatEvery is the longest time between two digests to a peer.
	heartbeatEvery = time.Second
	// nearDigests and farDigests bound the digests that a host sends in a second
	// to its own failure domain and to the others: with many peers each hears
	// from it less often.
	nearDigests = 400
	farDigests  = 400
	// relayEvery is the time between two sums of a domain's work that a relay
	// tells, newsEvery the least time between two digests to hosts that hear of
	// the work by relays.
	relayEvery = 100 * time.Millisecond
	newsEvery  = 250 * time.Millisecond
	// chooseRelaysEvery is the time between two choices of relays.
	chooseRelaysEvery = 500 * time.Millisecond
	// knownEvery is the time between digests that name the other hosts.
	knownEvery = 2 * time.Second
	// maxWaitingMarks bounds the marks in a digest that waits for its receiver.
	maxWaitingMarks = 2048
)

// digests decides which digests are due. The control loop owns it.
type digests struct {
	table *peerTable
	// near and far are the rounds of digests to the own failure domain and to the
	// others, relayed that of the sums of the own domain.
	near, far, relayed round
	// receivers are the addresses to which this host is a relay.
	receivers []string
	chosen    time.Time
	// received are the sums of other domains to be passed on in the own one.
	received  map[model.DomainName]port.DomainLoad
	toldKnown time.Time
	// nearChanges and farChanges are changes of the list of endpoints that were
	// not told yet.
	nearChanges, farChanges port.ListChanges
	// nearMarks, farMarks and relayMarks number the next marks to be told.
	nearMarks, farMarks, relayMarks int
}

// round is the state of the digests to some peers.
type round struct {
	// changed asks for a digest when the least time has passed.
	changed bool
	told    time.Time
}

// due says that a digest is to be sent.
func (r *round) due(now time.Time, interval time.Duration) bool {
	passed := now.Sub(r.told)
	return passed >= interval && r.changed || passed >= heartbeatEvery
}

// note asks for digests to all peers.
func (s *digests) note() {
	s.near.changed = true
	s.far.changed = true
}

// tellChanges tells all peers of changes of the list of endpoints.
func (s *digests) tellChanges(c port.ListChanges) {
	s.nearChanges = joinChanges(s.nearChanges, c)
	s.farChanges = joinChanges(s.farChanges, c)
	s.note()
}

// tick sends the digests that are due.
func (s *digests) tick(now time.Time, c *control) {
	near, far := s.count()
	byRelay := relay.Needed(far)
	if c.balancer.Changed() {
		s.near.changed = true
		s.far.changed = s.far.changed || !byRelay
	}
	farEvery := max(s.table.gateway.opts.ShareEvery, time.Duration(far)*time.Second/farDigests)
	if byRelay {
		farEvery = newsEvery
		c.balancer.SetFarInterval(relayEvery)
	} else {
		c.balancer.SetFarInterval(farEvery)
	}
	if near+far == 0 {
		return
	}
	known := s.known(now)
	if s.near.due(now, max(s.table.gateway.opts.ShareEvery, time.Duration(near)*time.Second/nearDigests)) {
		s.tellNear(now, c, known)
	}
	if s.far.due(now, farEvery) {
		s.tellFar(now, c, byRelay, known)
	}
	if byRelay && now.Sub(s.relayed.told) >= relayEvery {
		s.tellSums(now, c, known)
	}
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

// known lists the other hosts when they are to be told again.
func (s *digests) known(now time.Time) []string {
	if now.Sub(s.toldKnown) < knownEvery {
		return nil
	}
	s.toldKnown = now
	s.near.told, s.far.told, s.relayed.told = time.Time{}, time.Time{}, time.Time{}
	return s.table.live(now)
}

// tellNear tells the hosts of the own failure domain of this host's work, and of
// other domains for which this host is a relay.
func (s *digests) tellNear(now time.Time, c *control, known []string) {
	s.near = round{told: now}
	d := c.digest(now)
	d.Loads = c.balancer.OwnLoad(now)
	d.Marks, s.nearMarks = c.balancer.MarksSince(s.nearMarks)
	d.Known = known
	d.Changes, s.nearChanges = s.nearChanges, port.ListChanges{}
	for name, sum := range s.received {
		d.Domains = append(d.Domains, sum)
		delete(s.received, name)
	}
	for _, p := range s.table.peers {
		if s.table.isNear(p) {
			p.tell(d)
		}
	}
}

// tellFar tells the hosts of other domains of this host.
func (s *digests) tellFar(now time.Time, c *control, byRelay bool, known []string) {
	s.far = round{told: now}
	d := c.digest(now)
	d.ByRelay = byRelay
	d.Changes, s.farChanges = s.farChanges, port.ListChanges{}
	if !byRelay {
		d.Known = known
		d.Loads = c.balancer.OwnLoad(now)
		d.Marks, s.farMarks = c.balancer.MarksSince(s.farMarks)
	}
	for _, p := range s.table.peers {
		if !s.table.isNear(p) {
			p.tell(d)
		}
	}
}

// tellSums tells other domains of the work in the own one, if this host is a
// relay.
func (s *digests) tellSums(now time.Time, c *control, known []string) {
	s.relayed = round{told: now}
	if now.Sub(s.chosen) >= chooseRelaysEvery {
		s.chosen = now
		opts := &s.table.gateway.opts
		self := relay.Member{Host: opts.Host, Domain: opts.Domain, Address: opts.PeerAddress, Link: opts.Link}
		s.receivers = relay.Receivers(self, s.table.members(now))
	}
	if len(s.receivers) == 0 {
		_, s.relayMarks = c.balancer.DomainMarksSince(s.relayMarks)
		return
	}
	sum := port.DomainLoad{Domain: s.table.gateway.opts.Domain, Loads: c.balancer.DomainLoad(now)}
	sum.Marks, s.relayMarks = c.balancer.DomainMarksSince(s.relayMarks)
	d := c.digest(now)
	d.ByRelay = true
	d.Known = known
	d.Domains = []port.DomainLoad{sum}
	for _, address := range s.receivers {
		if p := s.table.peers[address]; p != nil {
			p.tell(d)
		}
	}
}

// passOn keeps the sum of another domain for the hosts of the own one.
func (s *digests) passOn(sum port.DomainLoad) {
	s.received[sum.Domain] = mergeSums(s.received[sum.Domain], sum)
	s.near.changed = true
}

// digest is what this host tells of itself.
func (c *control) digest(now time.Time) port.LoadDigest {
	opts := &c.gateway.opts
	return port.LoadDigest{
		Host: opts.Host, Incarnation: opts.Incarnation, Domain: opts.Domain, Address: opts.PeerAddress,
		Link: opts.Link, Leaving: c.gateway.leaving.Load(), Version: c.version(),
		ReadAge: min(now.Sub(c.listRead), maxReadAge), ListChange: c.listChange,
		Reading: c.gateway.reading.Load(), ReadFailing: c.listFailing,
	}
}

// tell puts a digest into the mailbox, in place of one that was not sent.
func (p *peer) tell(d port.LoadDigest) {
	select {
	case before := <-p.mailbox:
		d = mergeDigests(before, d)
	default:
	}
	p.mailbox <- d
}

// mergeDigests returns the newer digest with what must not be lost of the older.
func mergeDigests(older, newer port.LoadDigest) port.LoadDigest {
	newer.Marks = joinMarks(older.Marks, newer.Marks)
	newer.Changes = joinChanges(older.Changes, newer.Changes)
	if len(newer.Known) == 0 {
		newer.Known = older.Known
	}
	sums := make(map[model.DomainName]port.DomainLoad)
	for _, sum := range older.Domains {
		sums[sum.Domain] = sum
	}
	for _, sum := range newer.Domains {
		sums[sum.Domain] = mergeSums(sums[sum.Domain], sum)
	}
	newer.Domains = nil
	for _, sum := range sums {
		newer.Domains = append(newer.Domains, sum)
	}
	return newer
}

// joinChanges returns the changes of both, or the newer ones when others are
// missing between them: receivers ask for the list then.
func joinChanges(older, newer port.ListChanges) port.ListChanges {
	switch {
	case len(newer.Records) == 0:
		return older
	case len(older.Records) == 0 || older.Upto != newer.After:
		return newer
	}
	records := append(slices.Clone(older.Records), newer.Records...)
	return port.ListChanges{After: older.After, Upto: newer.Upto, Records: records}
}

// mergeSums returns the newer sum of a domain with the marks of both.
func mergeSums(older, newer port.DomainLoad) port.DomainLoad {
	newer.Marks = joinMarks(older.Marks, newer.Marks)
	return newer
}

// joinMarks returns the newest marks of both lists. It changes neither, since
// several mailboxes hold them.
func joinMarks(older, newer []balance.Mark) []balance.Mark {
	if len(older) == 0 {
		return newer
	}
	out := make([]balance.Mark, 0, len(older)+len(newer))
	out = append(out, older...)
	out = append(out, newer...)
	return out[max(len(out)-maxWaitingMarks, 0):]
}

// takeLoads takes what a digest says of the work of others.
func (c *control) takeLoads(now time.Time, d port.LoadDigest) {
	if d.ByRelay {
		c.balancer.HeardPeer(now, d.Host, d.Domain)
	} else {
		c.balancer.SetPeer(now, d.Host, d.Domain, d.Loads, d.Marks)
	}
	own := c.gateway.opts.Domain
	for _, sum := range d.Domains {
		if sum.Domain == own {
			continue
		}
		c.balancer.SetDomain(now, sum.Domain, sum.Loads, sum.Marks)
		if d.Domain != own {
			c.peers.digests.passOn(sum)
		}
	}
}
