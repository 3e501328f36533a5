package membership

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeonsail/wigeonsail/internal/core/dispatch"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// Round returns the addresses to send the next heartbeat to, and the
// heartbeat. Their number does not depend on the number of hosts. In a large
// domain only some calls start a round; the others return no address.
func (t *Table) Round(now time.Time, room []dispatch.PoolRoom) ([]string, Heartbeat) {
	t.ticks++
	if t.ticks%t.ticksPerRound() != 0 {
		return nil, t.self
	}
	t.round++
	targets := t.pick(t.ownAddresses(), ownPerRound)
	if t.round%crossEvery == 0 {
		targets = append(targets, t.crossTarget()...)
	}
	return targets, t.Heartbeat(now, room)
}

// Heartbeat returns this host's heartbeat.
func (t *Table) Heartbeat(now time.Time, room []dispatch.PoolRoom) Heartbeat {
	t.self.Sequence++
	beat := t.self
	beat.Domains = append(t.ownDigest(now, room), t.otherDigests(now)...)
	return beat
}

// ticksPerRound is larger in a large domain, where heartbeats have more to
// tell. It does not grow on, since a pair of hosts then meets too seldom.
func (t *Table) ticksPerRound() uint64 {
	if len(t.members) < largeDomain {
		return 1
	}
	return ticksPerLargeRound
}

// Urgent returns the addresses that must hear at once of an endpoint that
// leaves: all of the own domain when the rounds are too slow for it.
func (t *Table) Urgent() []string {
	if t.ticksPerRound() == 1 {
		return nil
	}
	return t.ownAddresses()
}

// Announce returns every address that should hear of this host's leaving.
func (t *Table) Announce() []string {
	out := t.ownAddresses()
	for _, domain := range t.otherDomains() {
		out = append(out, t.pick(t.addresses(domain), 1)...)
	}
	return out
}

// ownAddresses are those of the own domain that may answer, and the seeds.
// Addresses that refused are tried less often.
func (t *Table) ownAddresses() []string {
	var out []string
	for address, c := range t.contacts {
		if c.domain != t.opts.Domain && (!c.seed || c.domain != "") {
			continue
		}
		if t.skips(address, c) {
			continue
		}
		out = append(out, address)
	}
	sort.Strings(out)
	return out
}

// maxBackoffRounds bounds the rounds between tries of a silent address.
const maxBackoffRounds = 16

// skips spreads the tries of an address that refused over the rounds.
func (t *Table) skips(address string, c *contact) bool {
	if c.refused == 0 {
		return false
	}
	backoff := min(uint64(c.refused), maxBackoffRounds)
	return (t.round+xxhash.Sum64String(address))%backoff != 0
}

// pick returns n of the addresses, others in each round, all of them in turn.
func (t *Table) pick(addresses []string, n int) []string {
	if len(addresses) <= n {
		return addresses
	}
	start := int((t.round*uint64(n) + xxhash.Sum64String(string(t.opts.Host))) % uint64(len(addresses)))
	out := make([]string, 0, n)
	for i := range n {
		out = append(out, addresses[(start+i)%len(addresses)])
	}
	return out
}

// crossTarget is one host of one other domain, the domains taking turns.
func (t *Table) crossTarget() []string {
	domains := t.otherDomains()
	if len(domains) == 0 {
		return nil
	}
	turn := t.round/crossEvery + xxhash.Sum64String(string(t.opts.Host))
	return t.pick(t.addresses(domains[turn%uint64(len(domains))]), 1)
}

func (t *Table) otherDomains() []model.DomainName {
	seen := make(map[model.DomainName]bool)
	for _, c := range t.contacts {
		if c.domain != "" && c.domain != t.opts.Domain {
			seen[c.domain] = true
		}
	}
	out := make([]model.DomainName, 0, len(seen))
	for domain := range seen {
		out = append(out, domain)
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}

// addresses are the known ones of a domain: those that answer, or all when
// none does.
func (t *Table) addresses(domain model.DomainName) []string {
	var answering, silent []string
	for address, c := range t.contacts {
		switch {
		case c.domain != domain:
		case c.refused == 0:
			answering = append(answering, address)
		default:
			silent = append(silent, address)
		}
	}
	if len(answering) == 0 {
		answering = silent
	}
	sort.Strings(answering)
	return answering
}

// ownDigest sums up the own domain. Each host of the domain makes one; the
// sequence follows the clock so that a successor's digests go on rising.
func (t *Table) ownDigest(now time.Time, room []dispatch.PoolRoom) []Digest {
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

func (t *Table) gateways(now time.Time) []string {
	var out []string
	for id, m := range t.members {
		state := t.describe(now, id, m)
		if state.Health == Live && state.State != Leaving {
			out = append(out, m.beat.Address)
		}
	}
	sort.Strings(out)
	if t.self.State == Ready {
		return append([]string{t.opts.Address}, t.pick(out, gatewaysPerDigest-1)...)
	}
	return t.pick(out, gatewaysPerDigest)
}

// otherDigests are some fresh digests of other domains, taking turns.
func (t *Table) otherDigests(now time.Time) []Digest {
	var fresh []Digest
	for _, d := range t.domains {
		if now.Sub(d.at) < digestTTL {
			fresh = append(fresh, d.digest)
		}
	}
	sort.Slice(fresh, func(i, j int) bool { return fresh[i].Domain < fresh[j].Domain })
	if len(fresh) <= digestsPerBeat {
		return fresh
	}
	start := int(t.self.Sequence*digestsPerBeat) % len(fresh)
	out := make([]Digest, 0, digestsPerBeat)
	for i := range digestsPerBeat {
		out = append(out, fresh[(start+i)%len(fresh)])
	}
	return out
}
