// Package relay decides whom a host tells of its work. What hosts tell costs
// them processor time and bytes between failure domains, and grows with the
// square of their number when each tells all:
//
//  1. While few hosts are in its own domain a host tells each of them, and each
//     host of other domains while these are few.
//  2. Else it tells the relays of its domain. They tell the hosts of the domain
//     the sum of the others' work, and the relays of the other domains the sum of
//     their own, which those pass on.
//  3. Relays have the fastest links of their domain: what they pass on takes
//     some Mbit/s.
//  4. All hosts choose the same relays from the hosts that they hear, without a
//     message. A domain has two, so that one may vanish unnoticed for a while.
package relay

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

const (
	// nearPeers and farPeers are the largest numbers of hosts, in the own domain
	// and in others, that are told one by one: a digest takes about a tenth of a
	// millisecond at both ends.
	nearPeers = 6
	farPeers  = 16
	// perDomain is the number of relays of a domain.
	perDomain = 2
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

// NeededNear says that the hosts of a domain tell each other by relays, for a
// number of other hosts in it.
func NeededNear(others int) bool { return others > nearPeers }

// NeededFar says that domains tell each other by relays, for a number of hosts
// in other domains.
func NeededFar(others int) bool { return others > farPeers }

// Of returns the relays among the hosts of a domain.
func Of(hosts []Member) []Member {
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
	score := func(m Member) uint64 { return xxhash.Sum64String(string(m.Host)) }
	slices.SortFunc(out, func(a, b Member) int {
		return cmp.Or(cmp.Compare(score(a), score(b)), cmp.Compare(a.Host, b.Host))
	})
	return out[:min(perDomain, len(out))]
}

// Receivers returns the addresses of the hosts in other domains to which a host
// tells the sum of its own. The members are the other hosts that are heard.
func Receivers(self Member, members []Member) []string {
	byDomain := make(map[model.DomainName][]Member)
	for _, m := range members {
		byDomain[m.Domain] = append(byDomain[m.Domain], m)
	}
	own := Of(append(slices.Clone(byDomain[self.Domain]), self))
	delete(byDomain, self.Domain)
	at := slices.IndexFunc(own, func(m Member) bool { return m.Host == self.Host })
	if at < 0 {
		return nil
	}
	var out []string
	for _, others := range byDomain {
		relays := Of(others)
		out = append(out, relays[at%len(relays)].Address)
	}
	slices.Sort(out)
	return out
}
