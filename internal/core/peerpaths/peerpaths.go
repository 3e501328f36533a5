// Package peerpaths keeps which endpoints other hosts reach, and chooses the host through
// which an attempt is sent to an endpoint that this host cannot reach.
package peerpaths

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/balance"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

const (
	// refusalPause is how long a host gets no attempts after it has refused one or the path
	// to it has broken.
	refusalPause = 500 * time.Millisecond
	// unreachedTime is how long an endpoint counts as not reached by a host whose attempt
	// there has failed for that.
	unreachedTime = time.Second
	// detourFactor is the factor on the load of a host in neither the domain of the sender
	// nor that of the endpoint: the bytes pass between domains twice.
	detourFactor = 2
)

// Report is what another host has reported of itself and of its paths.
type Report struct {
	Host    model.HostID
	Domain  model.DomainName
	Address string
	// LinkMbps is the speed of its network link; 0 if it is not known.
	LinkMbps float64
	// Takes reports that the host sends attempts for others.
	Takes bool
	// Endpoints is the number of endpoints in its list that are in service, Unreached the
	// number of those that it cannot reach, Keys those of them that it names.
	Endpoints, Unreached int
	Keys                 []balance.EndpointKey
	// At is when the report was received, Until when it is too old to rely on.
	At, Until time.Time
}

// IsLost reports whether the host reaches no endpoint.
func (r *Report) IsLost() bool { return r.Endpoints > 0 && r.Unreached >= r.Endpoints }

// reachesMost reports whether the host reaches most endpoints.
func (r *Report) reachesMost() bool { return r.Endpoints > 0 && 2*r.Unreached <= r.Endpoints }

// peer is the state of another host.
type peer struct {
	Report
	unreached map[balance.EndpointKey]bool
	// failed are the endpoints that it was found not to reach, with the times.
	failed map[balance.EndpointKey]time.Time
	// pausedUntil is until when the host gets no attempts.
	pausedUntil time.Time
	// reachingSince is since when it has reported that it reaches most endpoints; zero if it
	// does not.
	reachingSince time.Time
	// attempts is the number of attempts of this host that it carries.
	attempts int
}

// Table holds what is known of other hosts. It is not safe for concurrent use.
type Table struct {
	own   model.DomainName
	rng   *rand.Rand
	peers map[model.HostID]*peer
}

// New returns an empty table of a host in a failure domain.
func New(own model.DomainName, seed uint64) *Table {
	return &Table{own: own, rng: rand.New(rand.NewPCG(seed, ^seed)), peers: make(map[model.HostID]*peer)}
}

// Set records the newest report of a host.
func (t *Table) Set(r Report) {
	p := t.peers[r.Host]
	if p == nil {
		p = &peer{failed: make(map[balance.EndpointKey]time.Time)}
		t.peers[r.Host] = p
	}
	p.Report = r
	switch {
	case !r.reachesMost():
		p.reachingSince = time.Time{}
	case p.reachingSince.IsZero():
		p.reachingSince = r.At
	}
	p.unreached = make(map[balance.EndpointKey]bool, len(r.Keys))
	for _, key := range r.Keys {
		p.unreached[key] = true
	}
}

// Expire forgets the hosts whose reports are too old and that carry no attempt.
func (t *Table) Expire(now time.Time) {
	for host, p := range t.peers {
		if !now.Before(p.Until) && p.attempts == 0 {
			delete(t.peers, host)
		}
	}
}

// takes reports whether a host may get attempts now.
func (p *peer) takes(now time.Time) bool {
	return p.Takes && !p.IsLost() && now.Before(p.Until) && !now.Before(p.pausedUntil)
}

// reaches reports whether a host may get attempts for an endpoint now.
func (p *peer) reaches(now time.Time, key balance.EndpointKey) bool {
	if failedAt, failed := p.failed[key]; failed && now.Sub(failedAt) < unreachedTime {
		return false
	}
	return p.takes(now) && !p.unreached[key]
}

// Reaches implements balance.OtherPaths.
func (t *Table) Reaches(now time.Time, key balance.EndpointKey) bool {
	for _, p := range t.peers {
		if p.reaches(now, key) {
			return true
		}
	}
	return false
}

// Receiver is a host through which an attempt is sent.
type Receiver struct {
	Host    model.HostID
	Address string
}

// Choose returns the host through which to send an attempt to an endpoint in a failure
// domain: the one with the lower load of two random ones that reach it. It returns false
// if there is none.
func (t *Table) Choose(now time.Time, key balance.EndpointKey, domain model.DomainName) (Receiver, bool) {
	var able []*peer
	for _, p := range t.peers {
		if p.reaches(now, key) {
			able = append(able, p)
		}
	}
	if len(able) == 0 {
		return Receiver{}, false
	}
	slices.SortFunc(able, func(a, b *peer) int { return cmp.Compare(a.Host, b.Host) })
	t.rng.Shuffle(len(able), func(i, j int) { able[i], able[j] = able[j], able[i] })
	best := able[0]
	if len(able) > 1 && t.load(able[1], domain) < t.load(best, domain) {
		best = able[1]
	}
	return Receiver{Host: best.Host, Address: best.Address}, true
}

// load is the load that an attempt would find at a host, in attempts by the speed of its
// link.
func (t *Table) load(p *peer, domain model.DomainName) float64 {
	out := float64(p.attempts+1) / max(p.LinkMbps, 1)
	if p.Domain != t.own && p.Domain != domain {
		out *= detourFactor
	}
	return out
}

// Begin records that an attempt is sent through a host, End that it has ended.
func (t *Table) Begin(host model.HostID) {
	if p := t.peers[host]; p != nil {
		p.attempts++
	}
}

// End is the counterpart of Begin.
func (t *Table) End(host model.HostID) {
	if p := t.peers[host]; p != nil {
		p.attempts = max(p.attempts-1, 0)
	}
}

// RecordRefused records that a host has refused an attempt or that the path to it has
// broken.
func (t *Table) RecordRefused(now time.Time, host model.HostID) {
	if p := t.peers[host]; p != nil {
		p.pausedUntil = now.Add(refusalPause)
	}
}

// RecordUnreached records that a host could not connect to an endpoint.
func (t *Table) RecordUnreached(now time.Time, host model.HostID, key balance.EndpointKey) {
	p := t.peers[host]
	if p == nil {
		return
	}
	for old, at := range p.failed {
		if now.Sub(at) >= unreachedTime {
			delete(p.failed, old)
		}
	}
	p.failed[key] = now
}

// IsUnreachedAt reports whether a host of a failure domain that reaches most endpoints has
// reported since a time that it does not reach one.
func (t *Table) IsUnreachedAt(domain model.DomainName, key balance.EndpointKey, since time.Time) bool {
	for _, p := range t.peers {
		if p.Domain == domain && p.At.After(since) && p.reachesMost() && p.unreached[key] {
			return true
		}
	}
	return false
}

// HavePathsSince reports whether a host has reached most endpoints from a time until now.
func (t *Table) HavePathsSince(now, since time.Time) bool {
	for _, p := range t.peers {
		if now.Before(p.Until) && !p.reachingSince.IsZero() && p.reachingSince.Before(since) {
			return true
		}
	}
	return false
}

// CountDomain returns the number of hosts of a failure domain that report their paths, and
// the number of those that reach endpoints.
func (t *Table) CountDomain(now time.Time, domain model.DomainName) (known, reaching int) {
	for _, p := range t.peers {
		if p.Domain != domain || p.Endpoints == 0 || !now.Before(p.Until) {
			continue
		}
		known++
		if !p.IsLost() {
			reaching++
		}
	}
	return known, reaching
}

// CountReceivers returns the number of hosts that send attempts for this one.
func (t *Table) CountReceivers(now time.Time) int {
	count := 0
	for _, p := range t.peers {
		if p.takes(now) {
			count++
		}
	}
	return count
}
