// Package load drives real hosts with seeded traffic and measures what their
// callers see. It compares the same work sent straight to an endpoint and
// through a host within one run.
package load

import (
	"math/rand/v2"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// Kind tells how a request is sent.
type Kind uint8

// The kinds of requests.
const (
	// KindStream is a streamed chat call.
	KindStream Kind = iota + 1
	// KindWhole is a chat call answered as a whole.
	KindWhole
	// KindService is a call to a plain service with an idempotency key.
	KindService
)

// Mix is a part of the traffic.
type Mix struct {
	// Class is the request class that callers name; empty for the default.
	Class model.ClassName
	Kind  Kind
	// Path is the called path.
	Path string
	// Model is the model of chat calls.
	Model model.ModelName
	// Weight is the part's share among all parts.
	Weight float64
	// Tokens is the mean length of answers.
	Tokens int
}

// Plan describes seeded arrivals.
type Plan struct {
	Seed uint64
	// Rate is the mean number of requests a second.
	Rate float64
	// Duration is the time during which requests arrive.
	Duration time.Duration
	// BurstFactor multiplies the rate during bursts; 1 for none.
	BurstFactor float64
	// BurstEvery and BurstLength place the bursts.
	BurstEvery  time.Duration
	BurstLength time.Duration
	Mix         []Mix
}

// arrival is one request of a plan.
type arrival struct {
	at     time.Duration
	mix    *Mix
	number int
	tokens int
}

// arrivals lists the requests of the plan in order. The same seed gives the
// same list.
func (p *Plan) arrivals() []arrival {
	rng := rand.New(rand.NewPCG(p.Seed, 0))
	var out []arrival
	at := time.Duration(0)
	for number := 0; ; number++ {
		gap := rng.ExpFloat64() / p.rateAt(at)
		at += time.Duration(gap * float64(time.Second))
		if at >= p.Duration {
			return out
		}
		mix := p.pick(rng)
		out = append(out, arrival{at: at, mix: mix, number: number, tokens: length(rng, mix.Tokens)})
	}
}

func (p *Plan) rateAt(at time.Duration) float64 {
	if p.BurstEvery <= 0 || at%p.BurstEvery >= p.BurstLength {
		return p.Rate
	}
	return p.Rate * p.BurstFactor
}

func (p *Plan) pick(rng *rand.Rand) *Mix {
	total := 0.0
	for i := range p.Mix {
		total += p.Mix[i].Weight
	}
	x := rng.Float64() * total
	for i := range p.Mix {
		x -= p.Mix[i].Weight
		if x < 0 {
			return &p.Mix[i]
		}
	}
	return &p.Mix[len(p.Mix)-1]
}

// length draws the length of an answer, from half to one and a half times the
// mean.
func length(rng *rand.Rand, mean int) int {
	return max(1, mean/2+rng.IntN(mean+1))
}
