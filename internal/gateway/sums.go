package gateway

import (
	"slices"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/balance"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

// What a relay tells: the sum of the work in its failure domain, and the sums
// that relays of other domains told it.

// relay tells the sums that are due.
func (s *digests) relay(now time.Time, c *control) {
	if s.nearByRelay && now.Sub(s.sums.told) >= sumsEvery {
		s.sums = round{told: now}
		s.tellSums(now, c)
	}
	if s.farByRelay && now.Sub(s.farSums.told) >= farSumsEvery {
		s.farSums = round{told: now}
		s.tellFarSums(now, c)
	}
}

// tellSums tells the hosts of the own domain of the others' work there, and of
// other domains.
func (s *digests) tellSums(now time.Time, c *control) {
	d := c.digest(now)
	d.ViaRelay = true
	others := s.takeReceived()
	sum := c.balancer.DomainSum(now)
	var marks []balance.Mark
	marks, s.sumMarks = c.balancer.DomainMarksSince(s.sumMarks)
	for address, p := range s.table.peers {
		if !s.table.isNear(p) || p.host == "" || slices.Contains(s.relays, address) {
			continue
		}
		own := port.DomainLoad{Domain: d.Domain, Loads: sum.Without(c.balancer.PeerLoad(p.host)), CachedPrefixes: marks}
		d.Domains = append(slices.Clone(others), own)
		p.tell(d)
	}
	s.passOnTo(s.relays, d, others)
}

// passOnTo tells hosts of the own domain, which hear of the work there from its
// hosts, the sums of other domains.
func (s *digests) passOnTo(addresses []string, d port.LoadDigest, sums []port.DomainLoad) {
	if len(sums) == 0 {
		return
	}
	d.Domains = sums
	d.LoadsUnchanged = true
	for _, address := range addresses {
		if p := s.table.peers[address]; p != nil {
			p.tell(d)
		}
	}
}

// takeReceived returns the sums of other domains that were not passed on yet.
func (s *digests) takeReceived() []port.DomainLoad {
	var out []port.DomainLoad
	for name, sum := range s.received {
		out = append(out, sum)
		delete(s.received, name)
	}
	return out
}

// tellFarSums tells other domains of the work in the own one. Where the hosts of
// the own domain hear each other directly, it passes on what it received.
func (s *digests) tellFarSums(now time.Time, c *control) {
	d := c.digest(now)
	d.ViaRelay = true
	own := port.DomainLoad{Domain: d.Domain, Loads: c.balancer.DomainSum(now).Loads()}
	own.CachedPrefixes, s.farSumMarks = c.balancer.DomainMarksSince(s.farSumMarks)
	d.Domains = []port.DomainLoad{own}
	for _, address := range s.receivers {
		if p := s.table.peers[address]; p != nil {
			p.tell(d)
		}
	}
	if !s.nearByRelay {
		s.passOnTo(s.nearAddresses(), d, s.takeReceived())
	}
}

// nearAddresses returns the addresses of the hosts of the own domain.
func (s *digests) nearAddresses() []string {
	var out []string
	for address, p := range s.table.peers {
		if s.table.isNear(p) {
			out = append(out, address)
		}
	}
	return out
}

// passOn keeps the sum of another domain for the hosts of the own one.
func (s *digests) passOn(sum port.DomainLoad) {
	s.received[sum.Domain] = mergeSums(s.received[sum.Domain], sum)
}
