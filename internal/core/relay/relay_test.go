package relay_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/core/relay"
)

// fleet returns hosts in several failure domains.
func fleet(domains, hostsPerDomain int) []relay.Member {
	var out []relay.Member
	for d := range domains {
		for i := range hostsPerDomain {
			name := fmt.Sprintf("host-%d-%d", d, i)
			out = append(out, relay.Member{
				Host: model.HostID(name), Domain: model.DomainName(fmt.Sprint("domain-", d)), Address: name,
			})
		}
	}
	return out
}

// receiversByHost returns the receivers of each host's domain total, by
// address, with all given hosts live.
func receiversByHost(live []relay.Member) map[string][]string {
	out := make(map[string][]string)
	for i, self := range live {
		others := slices.Delete(slices.Clone(live), i, i+1)
		out[self.Address] = relay.Receivers(self, others)
	}
	return out
}

func TestRelaysAreNeededAboveHostLimits(t *testing.T) {
	must.False(t, relay.NeededBetweenDomains(8))
	must.False(t, relay.NeededBetweenDomains(16))
	must.True(t, relay.NeededBetweenDomains(70))
	must.True(t, relay.NeededBetweenDomains(1600))
	must.False(t, relay.NeededWithinDomain(3))
	must.True(t, relay.NeededWithinDomain(17))
}

// For any number of hosts, each failure domain receives the total of each other
// domain from two relays, or from one where domains have one host.
func TestEachPairOfDomainsHasTwoRelayPaths(t *testing.T) {
	for _, size := range []int{1, 2, 18, 40} {
		live := fleet(5, size)
		byAddress := make(map[string]relay.Member)
		for _, m := range live {
			byAddress[m.Address] = m
		}
		pairs := make(map[[2]model.DomainName]int)
		for from, receivers := range receiversByHost(live) {
			for _, to := range receivers {
				pairs[[2]model.DomainName{byAddress[from].Domain, byAddress[to].Domain}]++
			}
		}
		must.MapLen(t, 5*4, pairs)
		for pair, n := range pairs {
			must.NotEq(t, pair[0], pair[1])
			must.Eq(t, min(size, 2), n, must.Sprint("hosts per domain: ", size))
		}
	}
}

// Two of a domain's hosts have links twenty times as fast as the others.
func TestRelaysHaveFastLinks(t *testing.T) {
	live := fleet(5, 18)
	fast := make(map[string]bool)
	for i := range live {
		live[i].LinkMbps = 10
		if i%18 < 2 {
			live[i].LinkMbps = 200
			fast[live[i].Address] = true
		}
	}
	for from, receivers := range receiversByHost(live) {
		for _, to := range receivers {
			must.True(t, fast[from])
			must.True(t, fast[to])
		}
	}
}

// A relay that vanishes is replaced, and the other one stays.
func TestLostRelaysAreReplaced(t *testing.T) {
	live := fleet(1, 18)
	before := relay.Select(live)
	must.Len(t, 2, before)
	for _, lost := range before {
		remaining := slices.DeleteFunc(slices.Clone(live), func(m relay.Member) bool { return m.Host == lost.Host })
		after := relay.Select(remaining)
		must.Len(t, 2, after)
		must.SliceNotContains(t, after, lost)
		for _, m := range before {
			must.True(t, m == lost || slices.Contains(after, m))
		}
	}
}

// Hosts that are no relays send nothing to other domains.
func TestOnlyRelaysSendToOtherDomains(t *testing.T) {
	live := fleet(5, 18)
	senders := 0
	for _, receivers := range receiversByHost(live) {
		if len(receivers) > 0 {
			must.Len(t, 4, receivers)
			senders++
		}
	}
	must.Eq(t, 5*2, senders)
}
