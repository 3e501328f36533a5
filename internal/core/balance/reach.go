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
	// quietFor is the least silence of a domain after which it is checked, besides
	// two of the intervals at which its hosts tell of themselves.
	quietFor = 250 * time.Millisecond
	// quietFactor is that silence in usual times between two signs of the domain,
	// which come at random: one in some hundred pauses is longer.
	quietFactor = 3
	// longerPause and shorterPause are the weights of the newest time between two
	// signs in the usual one: when hosts have no requests any more, and tell every
	// second only, that is no reason for checks for long.
	longerPause  = 0.5
	shorterPause = 0.05
	maxSignPause = 1500 * time.Millisecond
	// briefQuietFor is the same for a domain with overdue requests or failed
	// connections.
	briefQuietFor = 100 * time.Millisecond
	// recheckEvery is the least time between two rounds of checks of a domain. It
	// doubles maxDoublings times when endpoints are in reach and requests stay
	// overdue: endpoints hang then. cutCheckEvery is that for a domain that is cut
	// off.
	recheckEvery  = time.Second
	maxDoublings  = 4
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
	// pause is the usual time between two signs.
	pause time.Duration
	// checked is the time of the last round of checks, open the number of its
	// checks without a result, and failed that of those that failed.
	checked time.Time
	open    int
	failed  int
	// hanging counts the rounds in which all were in reach while requests were
	// overdue.
	hanging int
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

// sign notes that something came from the domain.
func (d *domain) sign(now time.Time) {
	if !d.heard.IsZero() {
		pause := min(now.Sub(d.heard), maxSignPause)
		weight := shorterPause
		if pause > d.pause {
			weight = longerPause
		}
		d.pause += time.Duration(weight * float64(pause-d.pause))
	}
	d.heard = now
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
	if !overdue {
		d.hanging = 0
	}
	if now.Sub(d.checked) < recheckEvery<<min(d.hanging, maxDoublings) {
		return false
	}
	silence := now.Sub(d.heard)
	overdue = overdue || now.Sub(d.suspect) < recheckEvery
	switch {
	case overdue:
		return silence >= briefQuietFor
	case silence >= forgetDomain:
		return false
	default:
		return silence >= max(quietFor+2*b.farInterval, quietFactor*d.pause)
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
		if inRound && d.open == 0 && d.failed == 0 {
			d.hanging++
		}
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
	d.sign(now)
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

// inReach says that an endpoint may get requests and is not behind a cut.
func (b *Balancer) inReach(now time.Time, e *endpoint) bool {
	return e.usable(now) && !b.domain(e.Domain).cutOff
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
