// Package relay decides whom a host tells of its work. What hosts tell costs
// them processor time and bytes between failure domains, and grows with the
// square of their number when each tells all:
//
//  1. Each host tells those of its own domain.
//  2. While few hosts are in other domains, it tells each of them too.
//  3. Else some hosts of a domain, its relays, tell hosts of the other domains
//     the sum of the domain's work, and those pass it on in their own domain.
//  4. Relays have the fastest links of their domain: what they pass on takes
//     some Mbit/s.
//  5. All hosts choose the same relays from the hosts that they hear, without a
//     message. There are several for each pair of domains, so that one may
//     vanish unnoticed for a while.
package relay

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

const (
	// directPeers is the largest number of hosts in other domains that are told
	// one by one: their digests take about a tenth of a millisecond each.
	directPeers = 16
	// relaysPerPair is the number of relays from one domain to another.
	relaysPerPair = 2
	// fastPart is the part of the speed of a domain's fastest link that a relay
	// must have.
	fastPart = 0.5
)

// Member is a host that is heard.
type Member struct {
	Host    model.HostID
	Domain  model.DomainName
	Address string
	// Link is the speed of the host's link in Mbit/s.
	Link float64
}

// Needed says that domains tell each other by relays, for a number of hosts in
// other domains.
func Needed(others int) bool { return others > directPeers }

// Receivers returns the addresses of the hosts in other domains to which a host
// is a relay. The members are the other hosts that are heard.
func Receivers(self Member, members []Member) []string {
	byDomain := make(map[model.DomainName][]Member)
	for _, m := range members {
		byDomain[m.Domain] = append(byDomain[m.Domain], m)
	}
	own := append(slices.Clone(byDomain[self.Domain]), self)
	delete(byDomain, self.Domain)
	var out []string
	for domain, others := range byDomain {
		senders := ranked(own, domain)
		receivers := ranked(others, self.Domain)
		for i := range min(relaysPerPair, len(senders)) {
			if senders[i].Host == self.Host {
				out = append(out, receivers[i%len(receivers)].Address)
			}
		}
	}
	slices.Sort(out)
	return out
}

// ranked orders the hosts of a domain with fast links for what they exchange
// with another, so that the work is spread over them.
func ranked(hosts []Member, other model.DomainName) []Member {
	fastest := 0.0
	for _, m := range hosts {
		fastest = max(fastest, m.Link)
	}
	var out []Member
	for _, m := range hosts {
		if m.Link >= fastPart*fastest {
			out = append(out, m)
		}
	}
	score := func(m Member) uint64 { return xxhash.Sum64String(string(m.Host) + "|" + string(other)) }
	slices.SortFunc(out, func(a, b Member) int {
		return cmp.Or(cmp.Compare(score(a), score(b)), cmp.Compare(a.Host, b.Host))
	})
	return out
}
