package membership

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeonsail/wigeonsail/internal/core/dispatch"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// Round returns the addresses that get a heartbeat now, and the heartbeat. The
// number of addresses does not depend on the number of hosts. In a large domain
// only some calls start a round; the others return no addresses.
func (t *Table) Round(now time.Time, room []dispatch.PoolRoom) ([]string, Heartbeat) {
	t.ticks++
	if t.ticks%t.ticksPerRound() != 0 {
		return nil, t.self
	}
	t.round++
	targets := t.pickInTurn(t.localAddresses(), localTargetsPerRound)
	if t.round%roundsPerRemoteHeartbeat == 0 {
		targets = append(targets, t.remoteTarget()...)
	}
	return targets, t.Heartbeat(now, room)
}

// Heartbeat returns this host's next heartbeat. room is the free capacity of
// its pools.
func (t *Table) Heartbeat(now time.Time, room []dispatch.PoolRoom) Heartbeat {
	t.self.Sequence++
	beat := t.self
	beat.Domains = append(t.localDigest(now, room), t.remoteDigests(now)...)
	return beat
}

// ticksPerRound returns the number of calls of Round per round. It is larger in
// a large domain, where heartbeats have more content. It does not increase
// further, since two hosts would then exchange heartbeats too rarely.
func (t *Table) ticksPerRound() uint64 {
	if len(t.members) < largeDomain {
		return 1
	}
	return ticksPerLargeRound
}

// UrgentTargets returns the addresses to notify at once of a leaving endpoint:
// all of the local failure domain if its rounds are too slow, else none.
func (t *Table) UrgentTargets() []string {
	if t.ticksPerRound() == 1 {
		return nil
	}
	return t.localAddresses()
}

// AnnouncementTargets returns the addresses to notify of this host's leaving:
// all of the local failure domain and one of each other domain.
func (t *Table) AnnouncementTargets() []string {
	out := t.localAddresses()
	for _, domain := range t.remoteDomains() {
		out = append(out, t.pickInTurn(t.addresses(domain), 1)...)
	}
	return out
}

// localAddresses returns the addresses of the local failure domain, and the
// seeds of unknown domain. Addresses with failed calls are included less often.
func (t *Table) localAddresses() []string {
	var out []string
	for address, c := range t.contacts {
		if c.domain != t.opts.Domain && (!c.seed || c.domain != "") {
			continue
		}
		if t.isBackedOff(address, c) {
			continue
		}
		out = append(out, address)
	}
	sort.Strings(out)
	return out
}

// maxBackoffRounds limits the rounds between two calls to an address whose
// calls fail.
const maxBackoffRounds = 16

// isBackedOff reports whether an address with failed calls is skipped in this
// round. The hash of the address spreads such calls over the rounds.
func (t *Table) isBackedOff(address string, c *contact) bool {
	if c.failedCalls == 0 {
		return false
	}
	backoff := min(uint64(c.failedCalls), maxBackoffRounds)
	return (t.round+xxhash.Sum64String(address))%backoff != 0
}

// pickInTurn returns n of the addresses, different ones in each round, so that
// all get their turn.
func (t *Table) pickInTurn(addresses []string, n int) []string {
	if len(addresses) <= n {
		return addresses
	}
	start := int((t.round*uint64(n) + xxhash.Sum64String(string(t.opts.Host))) % uint64(len(addresses)))
	picked := make([]string, 0, n)
	for i := range n {
		picked = append(picked, addresses[(start+i)%len(addresses)])
	}
	return picked
}

// remoteTarget returns the address of one host of another failure domain. The
// domains take turns.
func (t *Table) remoteTarget() []string {
	domains := t.remoteDomains()
	if len(domains) == 0 {
		return nil
	}
	turn := t.round/roundsPerRemoteHeartbeat + xxhash.Sum64String(string(t.opts.Host))
	return t.pickInTurn(t.addresses(domains[turn%uint64(len(domains))]), 1)
}

// remoteDomains returns the sorted names of the other failure domains.
func (t *Table) remoteDomains() []model.DomainName {
	seen := make(map[model.DomainName]bool)
	for _, c := range t.contacts {
		if c.domain != "" && c.domain != t.opts.Domain {
			seen[c.domain] = true
		}
	}
	domains := make([]model.DomainName, 0, len(seen))
	for domain := range seen {
		domains = append(domains, domain)
	}
	sort.Slice(domains, func(i, j int) bool { return domains[i] < domains[j] })
	return domains
}

// addresses returns the known addresses of a failure domain: those without
// failed calls, or all when there are none.
func (t *Table) addresses(domain model.DomainName) []string {
	var answering, failing []string
	for address, c := range t.contacts {
		switch {
		case c.domain != domain:
		case c.failedCalls == 0:
			answering = append(answering, address)
		default:
			failing = append(failing, address)
		}
	}
	if len(answering) == 0 {
		answering = failing
	}
	sort.Strings(answering)
	return answering
}

// localDigest returns a digest of the local failure domain, none while this
// host is starting. Each host of the domain makes digests. Their sequence is
// the clock, so that it keeps increasing when another host takes over.
func (t *Table) localDigest(now time.Time, room []dispatch.PoolRoom) []Digest {
	if t.self.State == Starting {
		return nil
	}
	return []Digest{{
		Domain:   t.opts.Domain,
		Sequence: uint64(now.UnixMilli()),
		FreeRoom: room,
		Gateways: t.gateways(now),
		Version:  t.self.Version,
	}}
}

// gateways returns the addresses of some live hosts of the local failure domain
// that are not leaving. This host comes first while it is ready.
func (t *Table) gateways(now time.Time) []string {
	var out []string
	for id, m := range t.members {
		state := t.describe(now, id, m)
		if state.Health == Live && state.State != Leaving {
			out = append(out, m.heartbeat.Address)
		}
	}
	sort.Strings(out)
	if t.self.State == Ready {
		return append([]string{t.opts.Address}, t.pickInTurn(out, gatewaysPerDigest-1)...)
	}
	return t.pickInTurn(out, gatewaysPerDigest)
}

// remoteDigests returns recent digests of other failure domains. If there are
// more than fit into a heartbeat, they take turns.
func (t *Table) remoteDigests(now time.Time) []Digest {
	var fresh []Digest
	for _, d := range t.domains {
		if now.Sub(d.receivedAt) < digestTTL {
			fresh = append(fresh, d.digest)
		}
	}
	sort.Slice(fresh, func(i, j int) bool { return fresh[i].Domain < fresh[j].Domain })
	if len(fresh) <= remoteDigestsPerHeartbeat {
		return fresh
	}
	start := int(t.self.Sequence*remoteDigestsPerHeartbeat) % len(fresh)
	out := make([]Digest, 0, remoteDigestsPerHeartbeat)
	for i := range remoteDigestsPerHeartbeat {
		out = append(out, fresh[(start+i)%len(fresh)])
	}
	return out
}
