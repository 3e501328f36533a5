package balance

import (
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// Reachability of endpoints and failure domains. It is checked by connections
// that are opened in the background, so that callers do not wait for endpoints
// that cannot be reached:
//
//  1. An endpoint to which no connection could be opened gets no requests until a
//     check has succeeded.
//  2. A domain is suspect when a connection there has failed, when requests there
//     are overdue, or when nothing has been received from it for a while. A round
//     of checks of some of its endpoints is started then.
//  3. A domain becomes unreachable when no check of a round has succeeded and
//     failuresToUnreachable have failed, or fewer if it has fewer endpoints left,
//     and none of its endpoints has answered for minSuspectSilence. Its endpoints are the
//     last resort until a check has succeeded.

const (
	// minSilence is the shortest silence of a domain after which it is checked,
	// in addition to twice the interval between digests of its hosts.
	minSilence = 250 * time.Millisecond
	// silenceFactor is that silence as a multiple of the usual time between two
	// messages from the domain. They arrive at random: one interval in some
	// hundred is longer.
	silenceFactor = 3
	// longerIntervalWeight and shorterIntervalWeight are the weights of the
	// newest time between two messages in the usual one, by whether it is
	// longer or shorter. When hosts have no more requests and send a digest
	// only every second, this soon stops causing checks.
	longerIntervalWeight  = 0.5
	shorterIntervalWeight = 0.05
	// maxContactInterval bounds a single time between two messages.
	maxContactInterval = 1500 * time.Millisecond
	// minSuspectSilence is like minSilence, for a domain with overdue requests
	// or failed connections.
	minSuspectSilence = 100 * time.Millisecond
	// roundInterval is the shortest time between two rounds of checks of a
	// domain. It doubles up to maxRoundDoublings times while the endpoints are
	// reachable and requests stay overdue: the endpoints hang then.
	// unreachableRoundInterval is the time between two rounds of checks of an
	// unreachable domain.
	roundInterval            = time.Second
	maxRoundDoublings        = 4
	unreachableRoundInterval = 300 * time.Millisecond
	// requestedRoundInterval is the shortest time between two rounds if the second one is
	// requested.
	requestedRoundInterval = 100 * time.Millisecond
	// checksPerRound is the number of endpoints of a domain that are checked at
	// once: one or two may have failed on their own.
	checksPerRound = 3
	// checksPerRequestedRound is that number if the round is to show whether this host has
	// paths to the domain.
	checksPerRequestedRound = 8
	// failuresToUnreachable is the least number of failed checks that make a
	// domain unreachable, so that one lost packet does not.
	failuresToUnreachable = 2
	// maxCheckedSilence is the silence of a domain after which silence alone no
	// longer starts checks.
	maxCheckedSilence = 10 * time.Second
)

// Check is a connectivity check: a connection to open to an endpoint.
type Check struct {
	Endpoint model.EndpointName
	Address  string
}

// DomainChange reports that a failure domain became unreachable or reachable
// again.
type DomainChange struct {
	Domain      model.DomainName
	Unreachable bool
}

// domain is the reachability of a failure domain.
type domain struct {
	name model.DomainName
	// lastContact is the time of the last response or digest from the domain.
	lastContact time.Time
	// lastAnswer is the time of the last answer of an endpoint there.
	lastAnswer time.Time
	// contactInterval is the usual time between two messages from the domain.
	contactInterval time.Duration
	// roundStarted is when the last round of checks started. openChecks is the
	// number of its checks without a result, failedChecks the number of those
	// that failed.
	roundStarted time.Time
	openChecks   int
	failedChecks int
	// roundReached reports whether any check of the round has succeeded.
	roundReached bool
	// hangingRounds counts the rounds in which all checks succeeded while
	// requests were overdue.
	hangingRounds int
	// checksRequested requests a round of checks as soon as the last one is over.
	checksRequested bool
	// lastConnectFailure is when a connection last failed.
	lastConnectFailure time.Time
	unreachable        bool
}

// isSuspect reports whether the domain may be unreachable: a round of checks
// has no result yet.
func (d *domain) isSuspect() bool { return d.openChecks > 0 && !d.unreachable }

// domain returns the state of a failure domain and creates it if needed.
func (b *Balancer) domain(name model.DomainName) *domain {
	d := b.domains[name]
	if d == nil {
		d = &domain{name: name}
		b.domains[name] = d
	}
	return d
}

// recordContact records that a message was received from the domain and updates
// its usual interval.
func (d *domain) recordContact(now time.Time) {
	if !d.lastContact.IsZero() {
		interval := min(now.Sub(d.lastContact), maxContactInterval)
		weight := shorterIntervalWeight
		if interval > d.contactInterval {
			weight = longerIntervalWeight
		}
		d.contactInterval += time.Duration(weight * float64(interval-d.contactInterval))
	}
	d.lastContact = now
}

// StartChecks starts the connectivity checks that are due and returns the
// connections to open. Each result is passed to RecordCheck.
func (b *Balancer) StartChecks(now time.Time) []Check {
	b.reviewPaths(now)
	overdue := make(map[*domain]bool)
	out := b.dueChecks(now, overdue, nil)
	for _, d := range b.domains {
		if b.isRoundDue(now, d, overdue[d]) {
			out = b.startRound(now, d, out)
		}
	}
	return out
}

// isRoundDue reports whether a round of checks of a domain is due: no round is
// in progress, roundInterval with its doublings (unreachableRoundInterval for an
// unreachable domain) has passed since the last one started, and a reachable
// domain has been silent for long enough. overdue reports whether requests there
// are stalled or overdue; if not, a reachable domain's hangingRounds is reset.
func (b *Balancer) isRoundDue(now time.Time, d *domain, overdue bool) bool {
	if d.openChecks > 0 {
		return false
	}
	if d.checksRequested && now.Sub(d.roundStarted) >= requestedRoundInterval {
		return true
	}
	if d.unreachable {
		return now.Sub(d.roundStarted) >= unreachableRoundInterval
	}
	if b.ArePathsSuspect(now) && now.Sub(d.roundStarted) >= unreachableRoundInterval {
		return true
	}
	if !overdue {
		d.hangingRounds = 0
	}
	if now.Sub(d.roundStarted) < roundInterval<<min(d.hangingRounds, maxRoundDoublings) {
		return false
	}
	silence := now.Sub(d.lastContact)
	switch {
	case overdue:
		return now.Sub(d.lastAnswer) >= minSuspectSilence
	case now.Sub(d.lastConnectFailure) < roundInterval:
		return silence >= minSuspectSilence
	case silence >= maxCheckedSilence:
		return false
	default:
		return silence >= max(minSilence+2*b.crossDomainInterval, silenceFactor*d.contactInterval)
	}
}

// startRound starts a round of checks of a domain and appends them to out. Of
// an unreachable domain, one endpoint at a time is checked.
func (b *Balancer) startRound(now time.Time, d *domain, out []Check) []Check {
	wanted := checksPerRound
	switch {
	case d.checksRequested || b.ArePathsSuspect(now):
		wanted = checksPerRequestedRound
	case d.unreachable:
		wanted = 1
	}
	d.roundStarted = now
	d.checksRequested = false
	d.failedChecks = 0
	d.roundReached = false
	for _, e := range b.shuffledEndpoints(d) {
		if d.openChecks >= wanted {
			break
		}
		if !e.Draining && !e.checkOpen && !e.isBackingOff(now) && (d.unreachable || !e.unreachable) {
			e.inDomainRound = true
			d.openChecks++
			out = e.appendCheck(now, out)
		}
	}
	return out
}

// shuffledEndpoints returns the endpoints of a domain in random order.
func (b *Balancer) shuffledEndpoints(d *domain) []*endpoint {
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

// appendCheck appends a check of the endpoint to out unless one is in progress.
func (e *endpoint) appendCheck(now time.Time, out []Check) []Check {
	if e.checkOpen {
		return out
	}
	e.checkOpen = true
	e.checkStarted = now
	return append(out, Check{Endpoint: e.Name, Address: e.Address})
}

// RecordCheck records the result of a connectivity check: the endpoint becomes
// reachable or unreachable. A success makes its failure domain reachable; the
// last result of a round may make it unreachable. A result without a check in
// progress is ignored.
func (b *Balancer) RecordCheck(now time.Time, name model.EndpointName, reached bool) {
	e := b.endpoints[name]
	if e == nil || !e.checkOpen {
		return
	}
	e.checkOpen = false
	d := b.domain(e.Domain)
	inRound := e.inDomainRound
	e.inDomainRound = false
	if inRound {
		d.openChecks--
	}
	if reached {
		b.recordAnswer(now, e, e.checkStarted)
		e.unreachable, e.unproven = false, false
		e.consecutiveFailures = 0
		d.roundReached = d.roundReached || inRound
		if inRound && d.openChecks == 0 && d.failedChecks == 0 {
			d.hangingRounds++
		}
		b.recordReachable(now, d)
		return
	}
	b.recordConnectFailure(now, e)
	if !inRound {
		return
	}
	d.failedChecks++
	quiet := now.Sub(d.lastAnswer) >= minSuspectSilence || b.ArePathsSuspect(now)
	if d.openChecks == 0 && b.isRoundFailed(d) && quiet {
		b.setDomainUnreachable(d, true)
		b.reviewPaths(now)
	}
}

// recordConnectFailure records that no connection to the endpoint could be opened. While
// this host has no paths, that shows nothing of the endpoint.
func (b *Balancer) recordConnectFailure(now time.Time, e *endpoint) {
	e.recordConnectFailure(now)
	if b.paths.lost {
		e.unreached = downtime{}
		return
	}
	b.recordPathFailure(now, e)
}

// isRoundFailed reports whether the checks of the last round suggest that the domain
// is unreachable: none has succeeded, and enough have failed.
func (b *Balancer) isRoundFailed(d *domain) bool {
	return !d.roundReached && d.failedChecks >= min(failuresToUnreachable, b.countReachable(d)+d.failedChecks)
}

// countReachable returns the number of endpoints of a domain that are neither
// unreachable nor draining, paused ones included.
func (b *Balancer) countReachable(d *domain) int {
	count := 0
	for _, e := range b.endpoints {
		if e.Domain == d.name && !e.unreachable && !e.Draining {
			count++
		}
	}
	return count
}

// recordReachable records evidence that a domain is reachable. If it was
// unreachable, its unreachable endpoints are checked at once.
func (b *Balancer) recordReachable(now time.Time, d *domain) {
	d.recordContact(now)
	if !d.unreachable {
		return
	}
	b.setDomainUnreachable(d, false)
	for _, e := range b.endpoints {
		if e.Domain == d.name && (e.unreachable || e.unproven) {
			e.nextCheck = now
		}
	}
}

// isAvailable reports whether the endpoint is usable without a limit and its failure
// domain is reachable.
func (b *Balancer) isAvailable(now time.Time, e *endpoint) bool {
	return e.isUsable(now) && !e.isLimited() && !b.domain(e.Domain).unreachable
}

// setDomainUnreachable sets whether a domain is unreachable, and queues a
// DomainChange if that differs.
func (b *Balancer) setDomainUnreachable(d *domain, unreachable bool) {
	if d.unreachable == unreachable {
		return
	}
	d.unreachable = unreachable
	b.domainChanges = append(b.domainChanges, DomainChange{Domain: d.name, Unreachable: unreachable})
}

// TakeDomainChanges returns the changes in reachability since the last call.
func (b *Balancer) TakeDomainChanges() []DomainChange {
	out := b.domainChanges
	b.domainChanges = nil
	return out
}

// recordConnectFailure marks the endpoint unreachable and schedules the next
// check.
func (e *endpoint) recordConnectFailure(now time.Time) {
	e.unreachable = true
	e.recordFailing(now)
	e.watched.watch(e)
	e.nextCheck = now.Add(pauseLength(e.consecutiveFailures))
	e.consecutiveFailures++
	e.unreached.add(downtime{first: now, last: now})
}
