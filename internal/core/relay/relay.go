// Package relay decides to which hosts a host sends its load. Sending costs
// processor time and bytes between failure domains. If every host sent to all
// others, the cost would grow with the square of the number of hosts:
//
//  1. While there are few hosts in its own domain, a host sends its load
//     directly to each of them, and directly to each host of other domains
//     while those are few.
//  2. Otherwise it sends to the relays of its domain. Relays send the hosts of
//     their domain the total load of the others there, and send their domain's
//     total to the relays of the other domains, which forward it in theirs.
//  3. Relays are hosts with fast links, of at least minLinkFraction of the
//     fastest in their domain, because the data that they forward takes some
//     Mbit/s.
//  4. All hosts select the same relays from the live hosts, without
//     coordination. A domain has two relays, so that the loss of one may go
//     unnoticed for a while.
package relay

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

const (
	// maxDirectLocal and maxDirectRemote are the largest numbers of other hosts
	// in the local failure domain, and in other domains, that are sent to
	// directly. A digest takes about a tenth of a millisecond at both ends.
	maxDirectLocal  = 6
	maxDirectRemote = 16
	// relaysPerDomain is the number of relays of a failure domain.
	relaysPerDomain = 2
	// minLinkFraction is the minimum link speed of a relay, as a fraction of
	// the fastest link of its domain.
	minLinkFraction = 0.5
)

// Member is a live host.
type Member struct {
	Host    model.HostID
	Domain  model.DomainName
	Address string
	// LinkMbps is the speed of the host's network link in Mbit/s.
	LinkMbps float64
}

// NeededWithinDomain reports whether the hosts of a failure domain exchange
// load through relays, given the number of other hosts in it.
func NeededWithinDomain(others int) bool { return others > maxDirectLocal }

// NeededBetweenDomains reports whether failure domains exchange load through
// relays, given the number of hosts in other domains.
func NeededBetweenDomains(others int) bool { return others > maxDirectRemote }

// Select returns the relays among the hosts of a failure domain. The result
// does not depend on the order of hosts.
func Select(hosts []Member) []Member {
	selected := SelectN(hosts, relaysPerDomain)
	for len(selected) > 0 && !isFast(selected[len(selected)-1], selected[0]) {
		selected = selected[:len(selected)-1]
	}
	return selected
}

// SelectN returns the first count hosts of a failure domain in the order in which
// they become relays: those with fast links first.
func SelectN(hosts []Member, count int) []Member {
	var fastest Member
	for _, m := range hosts {
		if m.LinkMbps > fastest.LinkMbps {
			fastest = m
		}
	}
	out := slices.Clone(hosts)
	slow := func(m Member) int {
		if isFast(m, fastest) {
			return 0
		}
		return 1
	}
	score := func(m Member) uint64 { return xxhash.Sum64String(string(m.Host)) }
	slices.SortFunc(out, func(a, b Member) int {
		return cmp.Or(cmp.Compare(slow(a), slow(b)), cmp.Compare(score(a), score(b)), cmp.Compare(a.Host, b.Host))
	})
	return out[:min(count, len(out))]
}

// isFast reports whether a host's link is fast enough for a relay, given the fastest
// link or that of another relay.
func isFast(m, fastest Member) bool { return m.LinkMbps >= minLinkFraction*fastest.LinkMbps }

// Receivers returns the sorted addresses of the hosts in other failure domains
// to which self sends the total of its own domain, one per domain. It returns
// nil if self is no relay. members are the other live hosts.
func Receivers(self Member, members []Member) []string {
	byDomain := make(map[model.DomainName][]Member)
	for _, m := range members {
		byDomain[m.Domain] = append(byDomain[m.Domain], m)
	}
	ownRelays := Select(append(slices.Clone(byDomain[self.Domain]), self))
	delete(byDomain, self.Domain)
	index := slices.IndexFunc(ownRelays, func(m Member) bool { return m.Host == self.Host })
	if index < 0 {
		return nil
	}
	var out []string
	for _, others := range byDomain {
		relays := Select(others)
		out = append(out, relays[index%len(relays)].Address)
	}
	slices.Sort(out)
	return out
}
