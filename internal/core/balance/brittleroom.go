package balance

import (
	"math"
	"time"
)

// Requests are placed at a brittle endpoint only if they fit its slots, of all hosts
// together, without a message for each request:
//
//  1. A slot is free if the load of all hosts, as far as known, leaves it.
//  2. Hosts that see the same free slots at the same time fill them over about the age of
//     what they know of each other: each host takes its part of that rate.
//  3. A host that knows nothing recent of the others uses its part of the slots.
//  4. After rejections, hosts wait, each so long that the rejections of all hosts together
//     stay below what the endpoint bears.
//  5. Endpoints that have not responded since their start count as brittle while another
//     one of their pool is.

const (
	// reportDelay is the time that a load report takes beyond the time between two of them.
	reportDelay = 20 * time.Millisecond
	// viewInterval is the time between two counts of the hosts.
	viewInterval = 100 * time.Millisecond
	// maxViewAge is the age from which on the loads of other hosts are not used.
	maxViewAge = 1500 * time.Millisecond
	// rejectionShare is the share of the rejections that an endpoint bears from which on
	// hosts that know of them send no requests there.
	rejectionShare = 0.5
	// borrowShare is the share of the free slots that hosts fill beyond their own slots. They
	// leave one free for each slotsPerMargin slots.
	borrowShare    = 0.5
	slotsPerMargin = 32
	// urgentSlotShare is the share of the slots that is kept for urgent requests while
	// there are some, which is for urgentMemory after the last one. It is doubled while some
	// find no room.
	urgentSlotShare = 0.1
	urgentMemory    = time.Second
	// urgentCredit is the number of requests that a host sends ahead of its rate for urgent
	// ones.
	urgentCredit = 1.0
	// brittleRetryAfter is the mean time after which a request without room is worth
	// another try. It varies by half of itself.
	brittleRetryAfter = time.Second
)

// brittleShare is the part of an endpoint's free slots that this host fills.
type brittleShare struct {
	// credit is at most 0; the host may send a request while it is 0. It grows to that with
	// the host's rate since grownAt.
	credit  float64
	grownAt time.Time
	// heldUntil is when the host sends requests again after a rejection.
	heldUntil time.Time
	// own is the number of slots that are this host's, as of ownAt.
	own   int
	ownAt time.Time
}

// brittleView is what this host knows of the other hosts.
type brittleView struct {
	// hosts is the number of hosts, age the time after which each knows the load of others.
	hosts int
	age   time.Duration
	// alone reports that this host knows nothing recent of others that exist.
	alone bool
	// at is when it was taken.
	at time.Time
}

// viewOfHosts returns what this host knows of the others, as of up to viewInterval before.
func (b *Balancer) viewOfHosts(now time.Time) brittleView {
	if b.brittleView.at.IsZero() || now.Sub(b.brittleView.at) >= viewInterval {
		b.brittleView = b.takeView(now)
	}
	return b.brittleView
}

// takeView returns what this host knows of the others now.
func (b *Balancer) takeView(now time.Time) brittleView {
	out := brittleView{at: now, hosts: b.CountHosts(now), age: reportDelay + b.crossDomainInterval}
	if out.hosts == 1 {
		return out
	}
	out.alone = true
	for _, p := range b.peers {
		if now.Sub(p.receivedAt) <= maxViewAge {
			out.alone = false
		}
	}
	return out
}

// brittleState returns whether an endpoint counts as brittle and how many rejections in a
// second it bears.
func (b *Balancer) brittleState(e *endpoint) (bool, float64) {
	if !e.brittle.report.At.IsZero() || len(b.brittleReports) == 0 {
		return e.brittle.report.Brittle, e.brittle.report.Rejections
	}
	least, found := math.Inf(1), false
	for _, other := range b.brittleReports {
		if other.Pool == e.Pool && other.brittle.report.Brittle {
			least, found = min(least, other.brittle.report.Rejections), true
		}
	}
	return found, least
}

// brittleAllows reports whether an endpoint that is brittle has room for one more request
// of this host. It is true for other endpoints.
func (b *Balancer) brittleAllows(now time.Time, p *pool, req *Request, e *endpoint) bool {
	isBrittle, bears := b.brittleState(e)
	if !isBrittle {
		return true
	}
	if req.isUrgent() {
		p.urgentAt = now
	}
	rejections := e.brittle.countRejections(now)
	if now.Before(e.room.heldUntil) || float64(rejections) >= max(1, rejectionShare*bears) {
		return false
	}
	view := b.viewOfHosts(now)
	if !e.room.ownAt.Equal(view.at) {
		e.room.own, e.room.ownAt = b.ownSlots(e, view.hosts), view.at
	}
	own := e.localLoad.Count < e.room.own
	if view.alone {
		return own
	}
	total := e.totalLoad()
	free := e.Slots - total.Count
	if e.room.grownAt.IsZero() {
		e.room.credit, e.room.grownAt = -b.rng.ExpFloat64(), now
	}
	e.room.grow(now, borrowShare*float64(free)/(float64(view.hosts)*view.age.Seconds()))
	free -= p.keptSlots(now, req, e)
	hasCredit := e.room.credit >= 0 || req.isUrgent() && e.room.credit >= -urgentCredit
	if own && (hasCredit || free > min(view.hosts, e.Slots/8)) {
		return free > 0
	}
	return free > rejections+e.Slots/slotsPerMargin && hasCredit
}

// ownSlots returns the number of slots of an endpoint that are this host's: an equal part,
// and of the rest one for each of the first hosts by rendezvous hashing.
func (b *Balancer) ownSlots(e *endpoint, hosts int) int {
	rank, self := 0, limitScore(b.liveHosts.self, e)
	for _, domain := range b.liveHosts.byDomain {
		for _, host := range domain {
			if limitScore(host, e) > self {
				rank++
			}
		}
	}
	own := e.Slots / hosts
	if rank < e.Slots%hosts {
		own++
	}
	return own
}

// keptSlots returns the number of free slots that a request must leave: those for urgent
// requests, and one if another endpoint has rejected it.
func (p *pool) keptSlots(now time.Time, req *Request, e *endpoint) int {
	kept := 0
	if !req.isUrgent() && now.Sub(p.urgentAt) < urgentMemory {
		kept = int(math.Ceil(urgentSlotShare * float64(e.Slots)))
		if now.Sub(p.urgentRefusedAt) < urgentMemory {
			kept *= 2
		}
	}
	if req.Retry {
		kept++
	}
	return kept
}

// grow adds what the host may send at a rate, in requests per second.
func (s *brittleShare) grow(now time.Time, rate float64) {
	if elapsed := now.Sub(s.grownAt); elapsed > 0 {
		s.credit = min(s.credit+max(rate, 0)*min(elapsed, maxViewAge).Seconds(), 0)
		s.grownAt = now
	}
}

// takeRoom charges a request to this host's share. The time until the next one varies, so
// that hosts do not send at the same moments.
func (b *Balancer) takeRoom(e *endpoint) bool {
	isBrittle, _ := b.brittleState(e)
	if isBrittle {
		e.room.credit -= b.rng.ExpFloat64()
	}
	return isBrittle
}

// holdAfterRejection lets this host wait after a rejection.
func (b *Balancer) holdAfterRejection(now time.Time, e *endpoint) {
	isBrittle, bears := b.brittleState(e)
	if !isBrittle {
		return
	}
	length := rejectionWindow.Seconds() * max(1, float64(b.CountHosts(now))/max(1, rejectionShare*bears))
	e.room.heldUntil = now.Add(b.spread(length))
}

// spread returns a time that varies by half around a number of seconds.
func (b *Balancer) spread(seconds float64) time.Duration {
	return time.Duration((0.5 + b.rng.Float64()) * seconds * float64(time.Second))
}

// timeToBrittleRoom returns the time after which a request may find room at a brittle
// endpoint of the pool, which is spread, and records that it found none. It returns false if
// no endpoint that could take the request is brittle.
func (b *Balancer) timeToBrittleRoom(now time.Time, p *pool, req *Request) (time.Duration, bool) {
	for _, e := range p.endpoints {
		if isBrittle, _ := b.brittleState(e); isBrittle && e.isUsable(now) {
			if req.isUrgent() {
				p.urgentRefusedAt = now
			}
			return b.spread(brittleRetryAfter.Seconds()), true
		}
	}
	return 0, false
}
