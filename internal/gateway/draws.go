package gateway

import (
	"math/rand/v2"
	"sync"
)

// draws are random numbers from a seed for all traffic goroutines.
type draws struct {
	mu  *sync.Mutex
	rng *rand.Rand
}

func newDraws(seed uint64) draws {
	return draws{mu: &sync.Mutex{}, rng: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15))}
}

// next returns a number from 0 to 1.
func (d draws) next() float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rng.Float64()
}
