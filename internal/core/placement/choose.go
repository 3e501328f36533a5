package placement

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// affinityBound is how far above the pool's mean load an endpoint may be for
// prefix affinity to hold.
const affinityBound = 1.25

// coolLoad is the load up to which prefix affinity holds whatever the others
// do.
const coolLoad = 0.5

// Wish is what a request asks of its endpoint.
type Wish struct {
	// Prefix is a hash of the prompt's start; 0 for none.
	Prefix uint64
	// Model is the wanted model; empty for plain services.
	Model model.ModelName
	// Protected says that the request's class is protected.
	Protected bool
	// Spare is the room that must be left beside the request.
	Spare int
	// Avoid lists endpoints that failed an earlier try. They are used only
	// when no other has room.
	Avoid []model.EndpointName
}

// Choose returns the endpoint for a request, or nil when none has room.
func Choose(now time.Time, rng *rand.Rand, pool []*Endpoint, w Wish) *Endpoint {
	if !anyHas(now, pool, w.Model) {
		w.Model = ""
	}
	if e := dueTrial(now, pool, w); e != nil {
		return e
	}
	if e := preferred(now, pool, w); e != nil {
		return e
	}
	e := betterOfTwo(now, rng, pool, w)
	if e == nil && len(w.Avoid) > 0 {
		w.Avoid = nil
		return betterOfTwo(now, rng, pool, w)
	}
	return e
}

// anyHas says that a usable endpoint reported the model as loaded.
func anyHas(now time.Time, pool []*Endpoint, name model.ModelName) bool {
	if name == "" {
		return false
	}
	for _, e := range pool {
		if e.Usable(now) && slices.Contains(e.Models, name) {
			return true
		}
	}
	return false
}

// dueTrial returns an ejected endpoint whose trial is due. A request that has
// failed before or is protected is not risked.
func dueTrial(now time.Time, pool []*Endpoint, w Wish) *Endpoint {
	if len(w.Avoid) > 0 || w.Protected {
		return nil
	}
	for _, e := range pool {
		if !e.Leaving() && e.Health.TrialDue(now) {
			return e
		}
	}
	return nil
}

// preferred returns the endpoint that likely caches the prefix, by rendezvous
// hashing, so that all hosts prefer the same without exchanging state. It gives
// way before the endpoint is hot.
func preferred(now time.Time, pool []*Endpoint, w Wish) *Endpoint {
	if w.Prefix == 0 {
		return nil
	}
	var best *Endpoint
	var bestScore uint64
	used, room := 0, 0
	for _, e := range pool {
		if !e.Usable(now) || e.Health.Ejected() {
			continue
		}
		used += e.Own + e.Peers.InFlight
		room += e.Room.Value()
		if score := mix(e.hash ^ w.Prefix); best == nil || score > bestScore {
			best, bestScore = e, score
		}
	}
	if best == nil || best.Free(now, w.Protected) <= w.Spare || !w.accepts(best) {
		return nil
	}
	mean := float64(used+1) / float64(room)
	load := float64(best.Own+best.Peers.InFlight+1) / float64(best.Room.Value())
	if load > max(affinityBound*mean, coolLoad) {
		return nil
	}
	return best
}

// betterOfTwo draws two endpoints with room and returns the one with the better
// score. Always taking the best would send all hosts to the same endpoint until
// the next load report.
func betterOfTwo(now time.Time, rng *rand.Rand, pool []*Endpoint, w Wish) *Endpoint {
	var first, second *Endpoint
	seen := 0
	for _, e := range pool {
		if e.Free(now, w.Protected) <= w.Spare || !w.accepts(e) {
			continue
		}
		seen++
		switch {
		case first == nil:
			first = e
		case second == nil:
			second = e
		default:
			first, second = reservoir(rng, seen, first, second, e)
		}
	}
	if second != nil && second.score() < first.score() {
		return second
	}
	return first
}

// reservoir keeps two of the endpoints seen so far, each pair as likely.
func reservoir(rng *rand.Rand, seen int, first, second, next *Endpoint) (*Endpoint, *Endpoint) {
	switch rng.IntN(seen) {
	case 0:
		return next, second
	case 1:
		return first, next
	default:
		return first, second
	}
}

func (w Wish) accepts(e *Endpoint) bool {
	if slices.Contains(w.Avoid, e.Name) {
		return false
	}
	if w.Model == "" || len(e.Models) == 0 {
		return true
	}
	return slices.Contains(e.Models, w.Model)
}

// mix spreads the bits of a hash (the finalizer of splitmix64).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
