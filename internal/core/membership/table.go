package membership

import (
	"sort"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/dispatch"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// Table is the membership state machine. It is not safe for concurrent use.
type Table struct {
	opts     Options
	self     Heartbeat
	members  map[model.HostID]*member
	domains  map[model.DomainName]*domainState
	contacts map[string]*contact
	listed   map[model.HostID]ListedHost
	// selfListed reports that the list has shown this host as not leaving.
	// Until then, a leaving entry is that of its predecessor.
	selfListed bool
	round      uint64
	// ticks counts the calls of Round.
	ticks uint64
}

// member is the last heartbeat of another host of the local failure domain.
type member struct {
	heartbeat    Heartbeat
	lastSeen     time.Time
	versionSince time.Time
}

// domainState is the newest digest of another failure domain.
type domainState struct {
	digest     Digest
	receivedAt time.Time
}

// contact is an address that may belong to a host.
type contact struct {
	domain model.DomainName
	host   model.HostID
	// lastMentioned is when the address was last received from any source.
	lastMentioned time.Time
	// failedCalls counts the failed calls since the last response.
	failedCalls int
	seed        bool
}

// New returns a Table that contains only this host and its seeds.
func New(opts Options) *Table {
	t := &Table{
		opts:     opts,
		members:  make(map[model.HostID]*member),
		domains:  make(map[model.DomainName]*domainState),
		contacts: make(map[string]*contact),
		listed:   make(map[model.HostID]ListedHost),
	}
	t.self = Heartbeat{Host: opts.Host, Incarnation: opts.Incarnation, Domain: opts.Domain, Address: opts.Address}
	for _, address := range opts.Seeds {
		if address != opts.Address {
			t.contacts[address] = &contact{seed: true}
		}
	}
	return t
}

// UpdateSelf sets the content of this host's heartbeats.
func (t *Table) UpdateSelf(state State, version model.Version, work dispatch.PeerHost, leaving []model.EndpointName) {
	t.self.State = state
	t.self.Version = version
	t.updateWork(work)
	t.self.LeavingEndpoints = leaving[:min(len(leaving), maxLeavingPerHeartbeat)]
}

// Receive applies a heartbeat. It ignores heartbeats of an older incarnation
// and those that arrive out of order.
func (t *Table) Receive(now time.Time, beat Heartbeat) {
	if beat.Host == t.opts.Host {
		return
	}
	t.recordContact(now, beat.Address, beat.Domain, beat.Host)
	for i := range beat.Domains {
		t.receiveDigest(now, &beat.Domains[i])
	}
	if beat.Domain != t.opts.Domain {
		return
	}
	known := t.members[beat.Host]
	if known == nil {
		restoreOmittedWork(&beat, &Heartbeat{})
		t.members[beat.Host] = &member{heartbeat: beat, lastSeen: now, versionSince: now}
		return
	}
	if !supersedes(&beat, &known.heartbeat) {
		return
	}
	restoreOmittedWork(&beat, &known.heartbeat)
	if beat.Version != known.heartbeat.Version || beat.Incarnation != known.heartbeat.Incarnation {
		known.versionSince = now
	}
	known.heartbeat = beat
	known.lastSeen = now
}

// supersedes reports whether a heartbeat replaces another one of the same host.
// An incarnation that is leaving never returns to another state.
func supersedes(beat, than *Heartbeat) bool {
	if beat.Incarnation != than.Incarnation {
		return beat.Incarnation > than.Incarnation
	}
	if than.State == Leaving && beat.State != Leaving {
		return false
	}
	return beat.Sequence > than.Sequence
}

// receiveDigest keeps the addresses in a digest, and the digest itself if it is
// of another failure domain and the newest one.
func (t *Table) receiveDigest(now time.Time, digest *Digest) {
	for _, address := range digest.Gateways {
		if t.keepsContact(digest.Domain, address) {
			t.recordContact(now, address, digest.Domain, "")
		}
	}
	if digest.Domain == t.opts.Domain {
		return
	}
	known := t.domains[digest.Domain]
	if known != nil && digest.Sequence <= known.digest.Sequence {
		return
	}
	t.domains[digest.Domain] = &domainState{digest: *digest, receivedAt: now}
}

// recordContact records that an address was received. If a host sent its own
// address, host is its name, and earlier failed calls no longer count. Else host
// is "".
func (t *Table) recordContact(now time.Time, address string, domain model.DomainName, host model.HostID) {
	if address == "" || address == t.opts.Address {
		return
	}
	c := t.contacts[address]
	if c == nil {
		c = &contact{}
		t.contacts[address] = c
	}
	c.domain = domain
	c.lastMentioned = now
	if host != "" {
		c.host = host
		c.failedCalls = 0
	}
}

// RecordCallFailure records that a call to the address got no response.
func (t *Table) RecordCallFailure(address string) {
	if c := t.contacts[address]; c != nil {
		c.failedCalls++
	}
}

// SetHostList applies the platform's host list. It adds addresses to try, but
// makes no host live or gone.
func (t *Table) SetHostList(now time.Time, hosts []ListedHost) {
	t.listed = make(map[model.HostID]ListedHost, len(hosts))
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
		if t.keepsContact(h.Domain, h.Address) {
			t.recordContact(now, h.Address, h.Domain, "")
		}
	}
}

// keepsContact reports whether an address is kept: any address of the local
// failure domain, and of another domain as many answering ones as fit into a
// digest. This bounds the state kept for other domains.
func (t *Table) keepsContact(domain model.DomainName, address string) bool {
	if domain == t.opts.Domain || t.contacts[address] != nil {
		return true
	}
	known := 0
	for _, c := range t.contacts {
		if c.domain == domain && c.failedCalls == 0 {
			known++
		}
	}
	return known < gatewaysPerDigest
}

// IsListedAsLeaving reports whether the platform's list shows this host as
// leaving.
func (t *Table) IsListedAsLeaving() bool { return t.selfListed && t.listed[t.opts.Host].Leaving }

// Members returns the hosts of the local failure domain including this one,
// ordered by name.
func (t *Table) Members(now time.Time) []Member {
	_, listed := t.listed[t.opts.Host]
	out := []Member{{
		Host: t.self.Host, Incarnation: t.self.Incarnation, Domain: t.self.Domain, Address: t.self.Address,
		State: t.self.State, Version: t.self.Version, LastSeen: now, Listed: listed,
	}}
	for id, m := range t.members {
		out = append(out, t.describe(now, id, m))
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Host < out[j].Host })
	return out
}

// describe returns the state of another host. The platform's list overrides a
// state that is not leaving.
func (t *Table) describe(now time.Time, id model.HostID, m *member) Member {
	entry, listed := t.listed[id]
	state := m.heartbeat.State
	if entry.Leaving {
		state = Leaving
	}
	return Member{
		Host: id, Incarnation: m.heartbeat.Incarnation, Domain: m.heartbeat.Domain, Address: m.heartbeat.Address,
		State: state, Health: t.health(now, m), Version: m.heartbeat.Version,
		LastSeen: m.lastSeen, VersionSince: m.versionSince, Listed: listed,
	}
}

// expectedGap returns the expected time between two heartbeats of the same pair
// of hosts.
func (t *Table) expectedGap() time.Duration {
	rounds := (len(t.members) + 2*localTargetsPerRound - 1) / (2 * localTargetsPerRound)
	return time.Duration(max(rounds, 1)) * time.Duration(t.ticksPerRound()) * t.opts.RoundInterval
}

// health returns the health of another host by the time since its last
// heartbeat.
func (t *Table) health(now time.Time, m *member) Health {
	suspectAfter := max(suspectAfterGaps*t.expectedGap(), minSuspectAfter)
	goneAfter := suspectAfter * goneAfterGaps / suspectAfterGaps
	silent := now.Sub(m.lastSeen)
	switch {
	case silent >= goneAfter:
		return Gone
	case silent >= suspectAfter:
		return Suspect
	default:
		return Live
	}
}

// Tick removes hosts and addresses that have been gone for long.
func (t *Table) Tick(now time.Time) {
	for id, m := range t.members {
		if t.health(now, m) == Gone && now.Sub(m.lastSeen) > forgetAfter {
			delete(t.members, id)
		}
	}
	for address, c := range t.contacts {
		if !c.seed && c.failedCalls > 0 && now.Sub(c.lastMentioned) > forgetAfter {
			delete(t.contacts, address)
		}
	}
}

// forgetAfter is how long a host that is gone stays in the tables.
const forgetAfter = time.Minute
