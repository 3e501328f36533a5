package membership

import (
	"sort"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/dispatch"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// Table is the state machine. It is not safe for concurrent use.
type Table struct {
	opts     Options
	self     Heartbeat
	members  map[model.HostID]*member
	domains  map[model.DomainName]*domainState
	contacts map[string]*contact
	listed   map[model.HostID]Listed
	// selfListed says that the list had this host as not leaving. Before, an
	// entry that leaves is that of its predecessor.
	selfListed bool
	round      uint64
	// ticks counts the calls of Round.
	ticks uint64
}

type member struct {
	beat         Heartbeat
	heard        time.Time
	versionSince time.Time
}

type domainState struct {
	digest Digest
	at     time.Time
}

// contact is an address that may lead to a host.
type contact struct {
	domain model.DomainName
	host   model.HostID
	// seen is when anything last named the address.
	seen time.Time
	// refused counts the failed calls since the last answer.
	refused int
	seed    bool
}

// New returns a Table that knows this host and its seeds only.
func New(opts Options) *Table {
	t := &Table{
		opts:     opts,
		members:  make(map[model.HostID]*member),
		domains:  make(map[model.DomainName]*domainState),
		contacts: make(map[string]*contact),
		listed:   make(map[model.HostID]Listed),
	}
	t.self = Heartbeat{Host: opts.Host, Incarnation: opts.Incarnation, Domain: opts.Domain, Address: opts.Address}
	for _, address := range opts.Seeds {
		if address != opts.Address {
			t.contacts[address] = &contact{seed: true}
		}
	}
	return t
}

// Update sets what this host tells of itself.
func (t *Table) Update(state State, version model.Version, work dispatch.PeerHost, leaving []model.EndpointName) {
	t.self.State = state
	t.self.Version = version
	t.setWork(work)
	t.self.Leaving = leaving[:min(len(leaving), maxLeavingPerBeat)]
}

// Receive takes a heartbeat. Those of an older incarnation, and those that came
// out of order, are ignored.
func (t *Table) Receive(now time.Time, beat Heartbeat) {
	if beat.Host == t.opts.Host {
		return
	}
	t.touch(now, beat.Address, beat.Domain, beat.Host)
	for i := range beat.Domains {
		t.receiveDigest(now, &beat.Domains[i])
	}
	if beat.Domain != t.opts.Domain {
		return
	}
	known := t.members[beat.Host]
	if known == nil {
		keepWork(&beat, &Heartbeat{})
		t.members[beat.Host] = &member{beat: beat, heard: now, versionSince: now}
		return
	}
	if !newer(&beat, &known.beat) {
		return
	}
	keepWork(&beat, &known.beat)
	if beat.Version != known.beat.Version || beat.Incarnation != known.beat.Incarnation {
		known.versionSince = now
	}
	known.beat = beat
	known.heard = now
}

// newer reports whether a beat follows the other. A leaving incarnation never
// comes back.
func newer(beat, than *Heartbeat) bool {
	if beat.Incarnation != than.Incarnation {
		return beat.Incarnation > than.Incarnation
	}
	if than.State == Leaving && beat.State != Leaving {
		return false
	}
	return beat.Sequence > than.Sequence
}

func (t *Table) receiveDigest(now time.Time, digest *Digest) {
	for _, address := range digest.Gateways {
		if t.wantsContact(digest.Domain, address) {
			t.touch(now, address, digest.Domain, "")
		}
	}
	if digest.Domain == t.opts.Domain {
		return
	}
	known := t.domains[digest.Domain]
	if known != nil && digest.Sequence <= known.digest.Sequence {
		return
	}
	t.domains[digest.Domain] = &domainState{digest: *digest, at: now}
}

func (t *Table) touch(now time.Time, address string, domain model.DomainName, host model.HostID) {
	if address == "" || address == t.opts.Address {
		return
	}
	c := t.contacts[address]
	if c == nil {
		c = &contact{}
		t.contacts[address] = c
	}
	c.domain = domain
	c.seen = now
	if host != "" {
		c.host = host
		c.refused = 0
	}
}

// Refused tells that a heartbeat to the address got no answer.
func (t *Table) Refused(address string) {
	if c := t.contacts[address]; c != nil {
		c.refused++
	}
}

// List takes the platform's host list. It adds addresses to try; it makes no
// host live and none gone.
func (t *Table) List(now time.Time, hosts []Listed) {
	t.listed = make(map[model.HostID]Listed, len(hosts))
	for _, h := range hosts {
		if h.Address == "" {
			continue
		}
		if h.Host == t.opts.Host || h.Domain == t.opts.Domain {
			t.listed[h.Host] = h
		}
		if h.Host == t.opts.Host && !h.Leaving {
			t.selfListed = true
		}
		if t.wantsContact(h.Domain, h.Address) {
			t.touch(now, h.Address, h.Domain, "")
		}
	}
}

// wantsContact reports whether an address is kept: all of the own domain, and
// of another one as many that answer as a digest carries. It bounds the state
// kept of other domains.
func (t *Table) wantsContact(domain model.DomainName, address string) bool {
	if domain == t.opts.Domain || t.contacts[address] != nil {
		return true
	}
	known := 0
	for _, c := range t.contacts {
		if c.domain == domain && c.refused == 0 {
			known++
		}
	}
	return known < gatewaysPerDigest
}

// ToldToLeave reports whether the platform's list says that this host leaves.
func (t *Table) ToldToLeave() bool { return t.selfListed && t.listed[t.opts.Host].Leaving }

// Members returns the hosts of the own domain, this one included, by name.
func (t *Table) Members(now time.Time) []Member {
	_, listed := t.listed[t.opts.Host]
	out := []Member{{
		Host: t.self.Host, Incarnation: t.self.Incarnation, Domain: t.self.Domain, Address: t.self.Address,
		State: t.self.State, Version: t.self.Version, Heard: now, Listed: listed,
	}}
	for id, m := range t.members {
		out = append(out, t.describe(now, id, m))
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Host < out[j].Host })
	return out
}

func (t *Table) describe(now time.Time, id model.HostID, m *member) Member {
	entry, listed := t.listed[id]
	state := m.beat.State
	if entry.Leaving {
		state = Leaving
	}
	return Member{
		Host: id, Incarnation: m.beat.Incarnation, Domain: m.beat.Domain, Address: m.beat.Address,
		State: state, Health: t.health(now, m), Version: m.beat.Version,
		Heard: m.heard, VersionSince: m.versionSince, Listed: listed,
	}
}

// expectedGap is the time between two heartbeats of the same pair of hosts.
func (t *Table) expectedGap() time.Duration {
	rounds := (len(t.members) + 2*ownPerRound - 1) / (2 * ownPerRound)
	return time.Duration(max(rounds, 1)) * time.Duration(t.ticksPerRound()) * t.opts.Every
}

func (t *Table) health(now time.Time, m *member) Health {
	suspectAfter := max(suspectGaps*t.expectedGap(), minSuspectAfter)
	goneAfter := suspectAfter * goneGaps / suspectGaps
	silent := now.Sub(m.heard)
	switch {
	case silent >= goneAfter:
		return Gone
	case silent >= suspectAfter:
		return Suspect
	default:
		return Live
	}
}

// Tick forgets hosts, digests' addresses and contacts that are long gone.
func (t *Table) Tick(now time.Time) {
	for id, m := range t.members {
		if t.health(now, m) == Gone && now.Sub(m.heard) > forgetAfter {
			delete(t.members, id)
		}
	}
	for address, c := range t.contacts {
		if !c.seed && c.refused > 0 && now.Sub(c.seen) > forgetAfter {
			delete(t.contacts, address)
		}
	}
}

// forgetAfter is how long a host that is gone stays in tables.
const forgetAfter = time.Minute
