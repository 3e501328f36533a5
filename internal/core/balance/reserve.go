package balance

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// Room for urgent requests on engines that are busy with long prompts. An engine
// reads a prompt that it has begun to its end, and reading delays every token of
// its other requests, so that priorities alone do not keep answers to short
// questions quick:
//
//  1. While the engines of a pool have prompts of less urgent requests waiting,
//     some of them are kept for urgent requests, as many as these need.
//  2. All hosts keep the same engines, without a message: those first in the
//     order of their hashes that are in reach.
//  3. More engines are kept at once when they are needed; they are given back
//     slowly, since what they hold was moved elsewhere.

const (
	// reserveEvery is the time between two looks at the need.
	reserveEvery = 50 * time.Millisecond
	// reservePressure is the mean number of prompt tokens of less urgent requests
	// that wait at an engine from which on engines are kept: about a chunk.
	reservePressure = 1000.0
	// reserveUse is the part of a kept engine's time that urgent prompts may
	// take, reserveSlots the part of its slots that urgent requests may hold.
	reserveUse   = 0.45
	reserveSlots = 0.6
	// reservePart is the largest part of a pool that is kept.
	reservePart = 0.5
	// reserveGrowth and reserveDecay are the parts of the difference to the need
	// that are made up at each look.
	reserveGrowth = 0.3
	reserveDecay  = 0.01
	// onReserved is the cost of a less urgent request at a kept engine: more than
	// any it can have elsewhere. offReserved is that of an urgent request at
	// another: its events would come late.
	onReserved  = 4.0
	offReserved = 0.5
	// firstReadShare is the part of its time that an engine reads an urgent
	// request's prompt before any was seen, readShareWeight the weight of the
	// newest one in the mean.
	firstReadShare  = 0.02
	readShareWeight = 0.05
)

// reserve is how many engines of a pool are kept for urgent requests.
type reserve struct {
	looked time.Time
	kept   float64
	// readShare is the mean part of an urgent request's time at an engine in
	// which its prompt is read.
	readShare float64
}

// learn takes an urgent request that has ended.
func (s *reserve) learn(r *running, now time.Time) {
	took := now.Sub(r.granted).Seconds()
	if !r.req.urgent() || r.own == 0 || took <= 0 {
		return
	}
	share := min(float64(r.own)*readTime/1000/took, 1)
	s.readShare = s.share() + readShareWeight*(share-s.share())
}

func (s *reserve) share() float64 {
	if s.readShare == 0 {
		return firstReadShare
	}
	return s.readShare
}

// price is the cost of a request at an engine.
func (s *reserve) price(req *Request, e *endpoint) float64 {
	switch {
	case e.reserved && !req.urgent():
		return onReserved
	case !e.reserved && req.urgent() && s.count() > 0:
		return offReserved
	default:
		return 0
	}
}

func (s *reserve) count() int { return int(math.Round(s.kept)) }

// Kept returns the numbers of engines that are kept for urgent requests, by pool.
func (b *Balancer) Kept() map[model.PoolName]int {
	out := make(map[model.PoolName]int, len(b.pools))
	for name, p := range b.pools {
		out[name] = p.reserve.count()
	}
	return out
}

// add adds an endpoint in the order of the hashes.
func (p *pool) add(e *endpoint) {
	at, _ := slices.BinarySearchFunc(p.endpoints, e, func(a, b *endpoint) int { return cmp.Compare(a.hash, b.hash) })
	p.endpoints = slices.Insert(p.endpoints, at, e)
}

// updateReserve chooses the engines that are kept.
func (p *pool) updateReserve(now time.Time, b *Balancer) {
	s := &p.reserve
	if p.engine == nil || now.Sub(s.looked) < reserveEvery {
		return
	}
	s.looked = now
	need := p.urgentNeed(now, b)
	rate := reserveDecay
	if need > s.kept {
		rate = reserveGrowth
	}
	s.kept += rate * (need - s.kept)
	left := s.count()
	for _, e := range p.endpoints {
		e.reserved = left > 0 && b.inReach(now, e)
		if e.reserved {
			left--
		}
	}
}

// urgentNeed is the number of engines that urgent requests need for themselves.
func (p *pool) urgentNeed(now time.Time, b *Balancer) float64 {
	urgent, usable, waiting := 0, 0, 0.0
	for _, e := range p.endpoints {
		total := e.total()
		urgent += total.Urgent
		waiting += total.lessUrgent()
		if b.inReach(now, e) {
			usable++
		}
	}
	if urgent == 0 || waiting < reservePressure*float64(usable) {
		return 0
	}
	bySlots := float64(urgent) / (reserveSlots * float64(max(p.engine.Slots, 1)))
	byReading := float64(urgent) * p.reserve.share() / reserveUse
	return min(math.Ceil(max(bySlots, byReading)), math.Floor(reservePart*float64(usable)))
}

// lessUrgent is the number of prompt tokens of less urgent requests that are
// still to be read.
func (l *Load) lessUrgent() float64 {
	total := 0
	for priority, n := range l.Pending {
		if priority%ranksPerTier != 0 || priority == Priorities-1 {
			total += n
		}
	}
	return float64(total)
}
