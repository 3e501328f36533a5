package enginespeed_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/core/enginespeed"
)

var start = time.Unix(1000, 0)

// engine answers with the given time for a token, and is 2.5 times slower in 15 %
// of all intervals of 600 ms.
type engine struct {
	enginespeed.Engine
	perToken float64
	rng      *rand.Rand
	slow     map[int64]bool
}

func newEngine(perToken float64, seed uint64) *engine {
	return &engine{perToken: perToken, rng: rand.New(rand.NewPCG(seed, 1)), slow: make(map[int64]bool)}
}

func (e *engine) answer(now time.Time, p *enginespeed.Pool, tokens float64) {
	interval := now.UnixMilli() / 600
	if _, known := e.slow[interval]; !known {
		e.slow[interval] = e.rng.Float64() < 0.15
	}
	ms := 70 + tokens*e.perToken
	if e.slow[interval] {
		ms *= 2.5
	}
	e.Observe(now, p, enginespeed.Observation{Took: time.Duration(ms * float64(time.Millisecond)), OwnTokens: tokens})
}

// Engines of 0.55 and of 1.2 times the usual speed are told apart despite noise, and
// the time of short prompts is attributed to the base.
func TestLearnsSpeedsDespiteNoise(t *testing.T) {
	pool := enginespeed.NewPool()
	engines := []*engine{newEngine(0.036, 1), newEngine(0.0167, 2), newEngine(0.0167, 3), newEngine(0.0167, 4)}
	now := start
	logRatios, samples := 0.0, 0.0
	all := func(yield func(*enginespeed.Engine) bool) {
		for _, e := range engines {
			yield(&e.Engine)
		}
	}
	for i := range 4000 {
		now = now.Add(50 * time.Millisecond)
		e := engines[i%len(engines)]
		e.answer(now, pool, []float64{800, 3700, 17000}[e.rng.IntN(3)])
		pool.Refresh(now, all)
		if i > 1000 {
			logRatios += math.Log(engines[0].PrefillMS(now, pool) / engines[1+i%3].PrefillMS(now, pool))
			samples++
		}
	}
	must.Between(t, 1.7, math.Exp(logRatios/samples), 2.4)
	must.Between(t, 55, pool.BaseMS(), 110)
	for _, e := range engines {
		must.True(t, e.IsTrusted(now))
	}
}

// An engine that turns five times slower shows within 15 responses, and is sound
// again after as many.
func TestFindsSlowEngineQuickly(t *testing.T) {
	pool := enginespeed.NewPool()
	e := newEngine(0.02, 1)
	now := start
	answer := func(count int) float64 {
		for range count {
			now = now.Add(250 * time.Millisecond)
			e.answer(now, pool, 8000)
		}
		return e.PrefillMS(now, pool)
	}
	usual := answer(60)
	e.perToken *= 5
	must.Greater(t, 2*usual, answer(15))
	e.perToken /= 5
	must.Less(t, 2*usual, answer(15))
}

// Evidence is forgotten, and the estimate returns to that of the pool.
func TestForgetsOldEvidence(t *testing.T) {
	pool := enginespeed.NewPool()
	e := newEngine(0.1, 1)
	for i := range 20 {
		e.answer(start.Add(time.Duration(i)*100*time.Millisecond), pool, 8000)
	}
	must.True(t, e.IsTrusted(start.Add(2*time.Second)))
	later := start.Add(5 * time.Minute)
	must.False(t, e.IsTrusted(later))
	var unknown enginespeed.Engine
	must.InDelta(t, unknown.PrefillMS(later, pool), e.PrefillMS(later, pool), 0.001)
}

// The estimate with more evidence wins. Estimates that come back never raise the
// evidence, and worthless ones are ignored.
func TestAdoptsOnlyMoreEvidence(t *testing.T) {
	pool := enginespeed.NewPool()
	var a, b enginespeed.Engine
	observe := func(e *enginespeed.Engine) {
		e.Observe(start, pool, enginespeed.Observation{Took: 400 * time.Millisecond, OwnTokens: 8000})
	}
	observe(&a)
	observe(&a)
	observe(&b)
	must.False(t, a.Adopt(start, b.Estimate(start)))
	must.True(t, b.Adopt(start, a.Estimate(start)))
	before := a.Estimate(start)
	for range 10 {
		a.Adopt(start, b.Estimate(start))
		b.Adopt(start, a.Estimate(start))
	}
	must.Eq(t, before, a.Estimate(start))
	for _, ms := range []float64{0, -1, math.NaN(), math.Inf(1)} {
		must.False(t, a.Adopt(start, enginespeed.Estimate{PrefillMS: ms, Weight: 100}))
	}
	must.False(t, a.Adopt(start, enginespeed.Estimate{PrefillMS: 1, Weight: math.NaN()}))
}

// No response moves an estimate beyond its bounds.
func TestEstimatesAreBounded(t *testing.T) {
	pool := enginespeed.NewPool()
	var e enginespeed.Engine
	for range 1000 {
		e.Observe(start, pool, enginespeed.Observation{Took: time.Hour, OwnTokens: 20000})
	}
	must.LessEq(t, 16.1*enginespeed.DefaultPrefillMS, e.PrefillMS(start, pool))
	must.LessEq(t, 16.1*enginespeed.DefaultBaseMS, pool.BaseMS())
}

// The engines of a pool that are all slower or faster than the default count as such, but
// not once more as slower or faster than their pool, however few they are.
func TestSmallPoolDiffersFromTheDefault(t *testing.T) {
	const tokens = 100_000
	for _, factor := range []float64{0.25, 4} {
		for _, count := range []int{1, 3} {
			pool := enginespeed.NewPool()
			engines := make([]enginespeed.Engine, count)
			now := start
			for i := range 1000 {
				now = now.Add(50 * time.Millisecond)
				ms := enginespeed.DefaultBaseMS + tokens*factor*enginespeed.DefaultPrefillMS
				took := time.Duration(ms * float64(time.Millisecond))
				engines[i%count].Observe(now, pool, enginespeed.Observation{Took: took, OwnTokens: tokens})
				pool.Refresh(now, func(yield func(*enginespeed.Engine) bool) {
					for i := range engines {
						if !yield(&engines[i]) {
							return
						}
					}
				})
			}
			must.InDelta(t, 1, engines[0].PrefillMS(now, pool)/(factor*enginespeed.DefaultPrefillMS), 0.1)
		}
	}
}
