package placement

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// maxAffinityLoadRatio is the largest ratio of an endpoint's load to the mean
// load of the pool up to which prefix affinity applies.
const maxAffinityLoadRatio = 1.25

// alwaysAffineLoad is the load up to which prefix affinity applies regardless
// of the mean load.
const alwaysAffineLoad = 0.5

// Requirements is what a request needs from its endpoint.
type Requirements struct {
	// Prefix is a hash of the start of the prompt; 0 for none.
	Prefix uint64
	// Model is the requested model; empty for plain services.
	Model model.ModelName
	// Protected reports whether the request's class is protected.
	Protected bool
	// Spare is the room that must be left in addition to the request.
	Spare int
	// Avoid lists the endpoints that failed an earlier attempt. They are used
	// only if no other endpoint has room.
	Avoid []model.EndpointName
}

// Choose returns the endpoint for a request, or nil if none has room. In order
// of preference these are an ejected endpoint whose trial is due, the endpoint
// that likely caches the prefix, and the better of two random endpoints.
func Choose(now time.Time, rng *rand.Rand, pool []*Endpoint, r Requirements) *Endpoint {
	if !isModelLoaded(now, pool, r.Model) {
		r.Model = ""
	}
	if e := trialEndpoint(now, pool, r); e != nil {
		return e
	}
	if e := prefixEndpoint(now, pool, r); e != nil {
		return e
	}
	e := betterOfTwo(now, rng, pool, r)
	if e == nil && len(r.Avoid) > 0 {
		r.Avoid = nil
		return betterOfTwo(now, rng, pool, r)
	}
	return e
}

// isModelLoaded reports whether a usable endpoint has reported the model as
// loaded.
func isModelLoaded(now time.Time, pool []*Endpoint, name model.ModelName) bool {
	if name == "" {
		return false
	}
	for _, e := range pool {
		if e.IsUsable(now) && slices.Contains(e.Models, name) {
			return true
		}
	}
	return false
}

// trialEndpoint returns an ejected endpoint whose trial is due, or nil.
// Protected requests and those that have failed before are not used for trials.
func trialEndpoint(now time.Time, pool []*Endpoint, r Requirements) *Endpoint {
	if len(r.Avoid) > 0 || r.Protected {
		return nil
	}
	for _, e := range pool {
		if !e.IsLeaving() && e.Health.IsTrialDue(now) {
			return e
		}
	}
	return nil
}

// prefixEndpoint returns the endpoint that likely caches the prefix, or nil. It
// is found by rendezvous hashing, so that all hosts prefer the same one without
// exchanging state, and is skipped before it is overloaded.
func prefixEndpoint(now time.Time, pool []*Endpoint, r Requirements) *Endpoint {
	if r.Prefix == 0 {
		return nil
	}
	var best *Endpoint
	var bestScore uint64
	used, room := 0, 0
	for _, e := range pool {
		if !e.IsUsable(now) || e.Health.IsEjected() {
			continue
		}
		used += e.LocalInFlight + e.Peers.InFlight
		room += e.Room.Value()
		if score := mix(e.hash ^ r.Prefix); best == nil || score > bestScore {
			best, bestScore = e, score
		}
	}
	if best == nil || best.FreeRoom(now, r.Protected) <= r.Spare || !r.accepts(best) {
		return nil
	}
	mean := float64(used+1) / float64(room)
	load := float64(best.LocalInFlight+best.Peers.InFlight+1) / float64(best.Room.Value())
	if load > max(maxAffinityLoadRatio*mean, alwaysAffineLoad) {
		return nil
	}
	return best
}

// betterOfTwo returns the better-scored of two random endpoints with room, or
// nil. Always choosing the best would send all hosts to the same endpoint until
// the next load report.
func betterOfTwo(now time.Time, rng *rand.Rand, pool []*Endpoint, r Requirements) *Endpoint {
	var first, second *Endpoint
	seen := 0
	for _, e := range pool {
		if e.FreeRoom(now, r.Protected) <= r.Spare || !r.accepts(e) {
			continue
		}
		seen++
		switch {
		case first == nil:
			first = e
		case second == nil:
			second = e
		default:
			first, second = sampleTwo(rng, seen, first, second, e)
		}
	}
	if second != nil && second.score() < first.score() {
		return second
	}
	return first
}

// sampleTwo is one step of reservoir sampling: it keeps two of the endpoints
// seen so far, with equal probability for each pair.
func sampleTwo(rng *rand.Rand, seen int, first, second, next *Endpoint) (*Endpoint, *Endpoint) {
	switch rng.IntN(seen) {
	case 0:
		return next, second
	case 1:
		return first, next
	default:
		return first, second
	}
}

// accepts reports whether the endpoint is not avoided and may have the model.
// An endpoint that has reported no models may have any.
func (r Requirements) accepts(e *Endpoint) bool {
	if slices.Contains(r.Avoid, e.Name) {
		return false
	}
	if r.Model == "" || len(e.Models) == 0 {
		return true
	}
	return slices.Contains(e.Models, r.Model)
}

// mix is the finalizer of splitmix64, which spreads the bits of a hash.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
