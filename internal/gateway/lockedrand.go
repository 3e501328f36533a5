package gateway

import (
	"math/rand/v2"
	"sync"
)

// lockedRand is a seeded random number generator for concurrent use.
type lockedRand struct {
	mu  *sync.Mutex
	rng *rand.Rand
}

func newLockedRand(seed uint64) lockedRand {
	return lockedRand{mu: &sync.Mutex{}, rng: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15))}
}

// fraction returns a uniform random number in [0, 1).
func (d lockedRand) fraction() float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rng.Float64()
}
