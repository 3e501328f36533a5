package balance

import (
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// Which endpoints and failure domains can be reached. Doubt is settled by
// connections that are opened in the background, so that callers do not wait
// for endpoints behind a cut:
//
//  1. An endpoint to which no connection could be opened gets no requests until
//     a check has succeeded.
//  2. A domain is in doubt when a connection there failed, when requests there
//     are overdue, or when nothing has come from it for a while. Some of its
//     endpoints are checked then.
//  3. A domain of which all checked endpoints failed is cut off. Its endpoints
//     are the last resort until a check has succeeded.

const (
	// quietFor is the silence of a domain after which it is checked, besides two
	// of the intervals at which its hosts tell of themselves: hosts under load
	// tell several times in that time. Others tell every second.
	quietFor     = 250 * time.Millisecond
	idleQuietFor = 1500 * time.Millisecond
	// busyHost is the number of requests from which on a host is under load.
	busyHost = 2
	// briefQuietFor is the same for a domain with overdue requests or failed
	// connections.
	briefQuietFor = 100 * time.Millisecond
	// recheckEvery is the least time between two rounds of checks of a domain,
	// cutCheckEvery that for a domain that is cut off.
	recheckEvery  = time.Second
	cutCheckEvery = 300 * time.Millisecond
	// checksPerRound is the number of endpoints of a domain that are checked at
	// once: one or two may be dead by themselves.
	checksPerRound = 3
	// failuresToCut is the least number of failed checks for a cut, so that one
	// lost packet does not make one.
	failuresToCut = 2
	// forgetDomain is the time after which nothing is expected of a silent domain.
	forgetDomain = 10 * time.Second
)

// Check asks for a connection to an endpoint.
type Check struct {
	Endpoint model.EndpointName
	Address  string
}

// DomainChange says that a failure domain was cut off or came back.
type DomainChange struct {
	Domain model.DomainName
	CutOff bool
}

// domain is what is known of the way to a failure domain.
type domain struct {
	name model.DomainName
	// heard is the time of the last answer or word from there.
	heard time.Time
	// busy says that the host that was heard last is under load.
	busy bool
	// checked is the time of the last round of checks, open the number of its
	// checks without a result, and failed that of those that failed.
	checked time.Time
	open    int
	failed  int
	// suspect is when a connection last failed.
	suspect time.Time
	cutOff  bool
}

// inDoubt says that checks of the domain have no result yet.
func (d *domain) inDoubt() bool { return d.open > 0 && !d.cutOff }

func (b *Balancer) domain(name model.DomainName) *domain {
	d := b.domains[name]
	if d == nil {
		d = &domain{name: name}
		b.domains[name] = d
	}
	return d
}

// heardWith notes that a host of the domain was heard, or its relay, and its
// work.
func (d *domain) heardWith(now time.Time, loads []EndpointLoad) {
	count := 0
	for _, l := range loads {
		count += l.Count
	}
	d.heard = now
	d.busy = count >= busyHost
}

// Checks returns the connections to open now. Each is answered by Checked.
func (b *Balancer) Checks(now time.Time) []Check {
	var out []Check
	overdue := make(map[*domain]bool)
	for _, e := range b.endpoints {
		d := b.domain(e.Domain)
		if e.stalled > 0 || e.overdue > 0 {
			overdue[d] = true
		}
		if e.unreachable && !e.Draining && !d.cutOff && !now.Before(e.checkAt) {
			out = e.appendCheck(out)
		}
	}
	for _, d := range b.domains {
		if b.roundDue(now, d, overdue[d]) {
			out = b.checkDomain(now, d, out)
		}
	}
	return out
}

// roundDue says that endpoints of a domain are to be checked.
func (b *Balancer) roundDue(now time.Time, d *domain, overdue bool) bool {
	if d.open > 0 {
		return false
	}
	if d.cutOff {
		return now.Sub(d.checked) >= cutCheckEvery
	}
	if now.Sub(d.checked) < recheckEvery {
		return false
	}
	silence := now.Sub(d.heard)
	overdue = overdue || now.Sub(d.suspect) < recheckEvery
	switch {
	case overdue:
		return silence >= briefQuietFor
	case silence >= forgetDomain:
		return false
	case d.busy:
		return silence >= quietFor+2*b.farInterval
	default:
		return silence >= idleQuietFor+2*b.farInterval
	}
}

// checkDomain begins a round of checks. A domain that is cut off is checked by
// one endpoint at a time.
func (b *Balancer) checkDomain(now time.Time, d *domain, out []Check) []Check {
	d.checked = now
	d.failed = 0
	wanted := checksPerRound
	if d.cutOff {
		wanted = 1
	}
	for _, e := range b.membersOf(d) {
		if d.open >= wanted {
			break
		}
		if !e.Draining && !e.checking && (d.cutOff || !e.unreachable) {
			e.inRound = true
			d.open++
			out = e.appendCheck(out)
		}
	}
	return out
}

// membersOf returns the endpoints of a domain, beginning with a random one.
func (b *Balancer) membersOf(d *domain) []*endpoint {
	var out []*endpoint
	for _, p := range b.pools {
		for _, e := range p.endpoints {
			if e.Domain == d.name {
				out = append(out, e)
			}
		}
	}
	b.rng.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

func (e *endpoint) appendCheck(out []Check) []Check {
	if e.checking {
		return out
	}
	e.checking = true
	return append(out, Check{Endpoint: e.Name, Address: e.Address})
}

// Checked tells the result of a check.
func (b *Balancer) Checked(now time.Time, name model.EndpointName, reached bool) {
	e := b.endpoints[name]
	if e == nil || !e.checking {
		return
	}
	e.checking = false
	d := b.domain(e.Domain)
	inRound := e.inRound
	e.inRound = false
	if inRound {
		d.open--
	}
	if reached {
		e.unreachable = false
		e.breaks = 0
		b.reached(now, d)
		return
	}
	e.lose(now)
	if !inRound {
		return
	}
	d.failed++
	if d.open == 0 && d.failed >= min(failuresToCut, b.reachable(d)+d.failed) && now.Sub(d.heard) >= briefQuietFor {
		b.setCutOff(d, true)
	}
}

// reachable counts the endpoints of a domain that seem to be in reach.
func (b *Balancer) reachable(d *domain) int {
	count := 0
	for _, e := range b.endpoints {
		if e.Domain == d.name && !e.unreachable && !e.Draining {
			count++
		}
	}
	return count
}

// reached notes a sign that the domain is in reach. Its endpoints that were not
// are checked at once.
func (b *Balancer) reached(now time.Time, d *domain) {
	d.heard = now
	if !d.cutOff {
		return
	}
	b.setCutOff(d, false)
	for _, e := range b.endpoints {
		if e.Domain == d.name && e.unreachable {
			e.checkAt = now
		}
	}
}

func (b *Balancer) setCutOff(d *domain, cutOff bool) {
	if d.cutOff == cutOff {
		return
	}
	d.cutOff = cutOff
	b.domainChanges = append(b.domainChanges, DomainChange{Domain: d.name, CutOff: cutOff})
}

// DomainChanges returns the domains that were cut off or came back since the
// last call.
func (b *Balancer) DomainChanges() []DomainChange {
	out := b.domainChanges
	b.domainChanges = nil
	return out
}

// lose notes that no connection could be opened.
func (e *endpoint) lose(now time.Time) {
	e.unreachable = true
	e.checkAt = now.Add(pauseAfter(e.breaks))
	e.breaks++
}
