// Package load generates seeded traffic for running hosts and measures latency
// and errors as callers see them. It can also compare traffic sent directly to
// an endpoint with the same traffic sent through a host.
package load

import (
	"math/rand/v2"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// Kind is the kind of a request.
type Kind uint8

// The kinds of requests.
const (
	// KindStream is a chat completion whose answer is streamed.
	KindStream Kind = iota + 1
	// KindWhole is a chat completion whose answer is not streamed.
	KindWhole
	// KindService is a call to a plain service.
	KindService
)

// MixEntry describes one kind of request in the traffic mix.
type MixEntry struct {
	// Class is the request class that is sent with the request; empty for the
	// account's default class.
	Class model.ClassName
	Kind  Kind
	// Path is the URL path.
	Path string
	// Model is the model of chat completions.
	Model model.ModelName
	// Weight is the share of the requests, relative to the weights of the other
	// entries.
	Weight float64
	// Tokens is the mean length of answers in tokens.
	Tokens int
}

// Plan describes seeded arrivals.
type Plan struct {
	Seed uint64
	// Rate is the mean number of requests per second outside bursts.
	Rate float64
	// Duration is the time during which requests arrive.
	Duration time.Duration
	// BurstFactor multiplies the rate during bursts; 1 for none.
	BurstFactor float64
	// BurstEvery is the time from the start of one burst to the next; 0 for no
	// bursts. The first burst starts with the run. BurstLength is the length of
	// a burst.
	BurstEvery  time.Duration
	BurstLength time.Duration
	Mix         []MixEntry
}

// arrival is one request of a plan, with its time since the start of the run.
type arrival struct {
	at     time.Duration
	entry  *MixEntry
	number int
	tokens int
}

// arrivals draws the requests of the plan, with Poisson arrivals, in order of
// time. The same seed gives the same requests.
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
		entry := p.pickEntry(rng)
		out = append(out, arrival{at: at, entry: entry, number: number, tokens: drawTokens(rng, entry.Tokens)})
	}
}

// rateAt returns the number of requests per second at a time of the run.
func (p *Plan) rateAt(at time.Duration) float64 {
	if p.BurstEvery <= 0 || at%p.BurstEvery >= p.BurstLength {
		return p.Rate
	}
	return p.Rate * p.BurstFactor
}

// pickEntry draws an entry of the mix in proportion to the weights.
func (p *Plan) pickEntry(rng *rand.Rand) *MixEntry {
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

// drawTokens draws the length of an answer in tokens, from half to one and a
// half times the mean.
func drawTokens(rng *rand.Rand, mean int) int {
	return max(1, mean/2+rng.IntN(mean+1))
}
