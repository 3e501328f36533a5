package balance

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// Engines reserved for urgent requests while long prompts are queued. An engine
// finishes the prefill of a prompt that it has started, and prefill delays
// every token of its other requests, so that priorities alone do not keep short
// requests fast:
//
//  1. While prompts of non-urgent requests are queued at the engines of a pool,
//     some engines are reserved for urgent requests, as many as these need.
//  2. All hosts reserve the same engines without exchanging messages: the first
//     available ones in the order of their hashes.
//  3. The reservation grows quickly when more engines are needed and shrinks
//     slowly, since what the engines had cached was moved elsewhere.

const (
	// reserveInterval is the shortest time between two updates of a
	// reservation.
	reserveInterval = 50 * time.Millisecond
	// reservePressure is the mean number of queued prompt tokens of non-urgent
	// requests per engine from which engines are reserved: about one prefill
	// chunk.
	reservePressure = 1000.0
	// reservePrefillShare is the share of a reserved engine's time that urgent
	// prefill may take, reserveSlotShare the share of its slots that urgent
	// requests may occupy.
	reservePrefillShare = 0.45
	reserveSlotShare    = 0.6
	// reservePoolShare is the largest share of a pool that is reserved.
	reservePoolShare = 0.5
	// reserveGrowth and reserveDecay are the shares of the difference to the
	// needed number of engines by which the reservation grows or shrinks at
	// each update.
	reserveGrowth = 0.3
	reserveDecay  = 0.01
	// nonUrgentOnReservedCost is the cost of a non-urgent request at a reserved
	// engine: higher than any cost that it can have elsewhere.
	// urgentOffReservedCost is the cost of an urgent request at another engine:
	// its events would be late.
	nonUrgentOnReservedCost = 4.0
	urgentOffReservedCost   = 0.5
	// initialPrefillShare is the share of an urgent request's duration that its
	// prefill is assumed to take before any has been measured.
	// prefillShareWeight is the weight of the newest sample in the moving
	// average.
	initialPrefillShare = 0.02
	prefillShareWeight  = 0.05
)

// urgentReserve is the reservation of a pool's engines for urgent requests.
type urgentReserve struct {
	updatedAt time.Time
	// size is the smoothed number of reserved engines.
	size float64
	// prefillShare is the moving average of the share of an urgent request's
	// duration at an engine that its prefill takes; 0 without samples.
	prefillShare float64
}

// recordUrgent updates the prefill share with a request that has ended.
// Requests that are not urgent are ignored.
func (s *urgentReserve) recordUrgent(r *runningRequest, now time.Time) {
	took := now.Sub(r.placedAt).Seconds()
	if !r.req.isUrgent() || r.initialPrefill == 0 || took <= 0 {
		return
	}
	share := min(float64(r.initialPrefill)*r.endpoint.speed.perTokenMS(0)/1000/took, 1)
	s.prefillShare = s.expectedPrefillShare() + prefillShareWeight*(share-s.expectedPrefillShare())
}

// expectedPrefillShare returns the learned prefill share, or
// initialPrefillShare without samples.
func (s *urgentReserve) expectedPrefillShare() float64 {
	if s.prefillShare == 0 {
		return initialPrefillShare
	}
	return s.prefillShare
}

// reservationCost returns the cost of placing a request at an engine against the
// reservation: a non-urgent request at a reserved engine, or an urgent one at
// another. It is 0 otherwise.
func (s *urgentReserve) reservationCost(req *Request, e *endpoint) float64 {
	switch {
	case e.reserved && !req.isUrgent():
		return nonUrgentOnReservedCost
	case !e.reserved && req.isUrgent() && s.engines() > 0:
		return urgentOffReservedCost
	default:
		return 0
	}
}

// engines returns the number of engines to reserve: the rounded size.
func (s *urgentReserve) engines() int { return int(math.Round(s.size)) }

// ReservedEngines returns the number of engines to reserve for urgent requests
// in each pool, 0 included. Fewer are reserved while fewer are available.
func (b *Balancer) ReservedEngines() map[model.PoolName]int {
	out := make(map[model.PoolName]int, len(b.pools))
	for name, p := range b.pools {
		out[name] = p.urgentReserve.engines()
	}
	return out
}

// insertByHash adds an endpoint and keeps the endpoints sorted by hash.
func (p *pool) insertByHash(e *endpoint) {
	at, _ := slices.BinarySearchFunc(p.endpoints, e, func(a, b *endpoint) int { return cmp.Compare(a.hash, b.hash) })
	p.endpoints = slices.Insert(p.endpoints, at, e)
}

// updateUrgentReserve adjusts the size of the reservation and selects the
// reserved engines, at most once per reserveInterval. It does nothing in a pool
// of plain services.
func (p *pool) updateUrgentReserve(now time.Time, b *Balancer) {
	s := &p.urgentReserve
	if p.engine == nil || now.Sub(s.updatedAt) < reserveInterval {
		return
	}
	s.updatedAt = now
	needed := p.urgentEnginesNeeded(now, b)
	rate := reserveDecay
	if needed > s.size {
		rate = reserveGrowth
	}
	s.size += rate * (needed - s.size)
	left := s.engines()
	for _, e := range p.endpoints {
		e.reserved = left > 0 && b.isAvailable(now, e)
		if e.reserved {
			left--
		}
	}
}

// urgentEnginesNeeded returns the number of engines that the urgent requests of
// all hosts need, a whole number of at most reservePoolShare of the available
// engines. It is 0 without urgent requests, or if the other prefill queued per
// available engine is below reservePressure.
func (p *pool) urgentEnginesNeeded(now time.Time, b *Balancer) float64 {
	urgent, available, queued := 0, 0, 0.0
	for _, e := range p.endpoints {
		total := e.totalLoad()
		urgent += total.Urgent
		queued += total.nonUrgentPrefill()
		if b.isAvailable(now, e) {
			available++
		}
	}
	if urgent == 0 || queued < reservePressure*float64(available) {
		return 0
	}
	bySlots := float64(urgent) / (reserveSlotShare * float64(max(p.engine.Slots, 1)))
	byPrefill := float64(urgent) * p.urgentReserve.expectedPrefillShare() / reservePrefillShare
	return min(math.Ceil(max(bySlots, byPrefill)), math.Floor(reservePoolShare*float64(available)))
}

// nonUrgentPrefill returns the number of prompt tokens of non-urgent requests
// that are still to be prefilled.
func (l *Load) nonUrgentPrefill() float64 {
	total := 0
	for priority, n := range l.PendingPrefill {
		if priority%ranksPerTier != 0 || priority == NumPriorities-1 {
			total += n
		}
	}
	return float64(total)
}
