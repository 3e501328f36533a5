package fleet

import (
	"math/rand/v2"
	"time"
)

// Slowdowns are short times during which an engine is slow: in each interval of
// the length Every, a Share of the engines takes Factor times as long for its
// steps.
type Slowdowns struct {
	Share, Factor float64
	Every         time.Duration
}

// Uneven returns a fleet whose engines differ in speed. With 90 engines it has
// 61 hosts in three failure domains, a base load of 299 prompts per second, and
// surges of drafts and questions.
func Uneven(engines int) Options {
	scale := float64(engines) / 90
	scaled := func(n float64) int { return max(int(n*scale), 4) }
	second := time.Second
	return Options{
		Seed: 1, Domains: 3, Hosts: max(int(61*scale), 3), Engines: engines,
		Engine: EngineSpec{
			Slots: 64, Queue: 134, CacheTokens: 664_242,
			StepBase: 5.61, StepPerSlot: 0.121, StepPerThousandTokens: 0.00192,
			PrefillRate: 54.6, PrefillPerMillionPairs: 0.248, PrefillChunk: 1024,
			FirstEventDelay: 61, TokensPerEvent: 4, FetchBase: 5, FetchPerThousandTokens: 0.4,
		},
		Speeds:    []float64{0.55, 1.2, 1.2, 1.2},
		Slowdowns: Slowdowns{Share: 0.15, Factor: 2.5, Every: 600 * time.Millisecond},
		Duration:  20 * second,
		Sharing:   Sharing{LocalInterval: relayedLocalInterval, CrossDomainInterval: relayedCrossDomainInterval},
		Classes: []Class{
			{
				Name: "draft", Rate: 127 * scale, Rank: 2, Target: 2 * second, Patience: 12 * second, Worth: 1.3, LateWorth: 0.41, MaxGap: 600 * time.Millisecond,
				Shared: Size{13300, 0.7, 39900}, Unshared: Size{3720, 1.1, 53200}, Output: Size{120, 1.6, 480}, SharedParts: scaled(1190), Skew: 0.3,
			},
			{
				Name: "review", Rate: 71 * scale, Rank: 1, Target: 600 * time.Millisecond, Patience: 6 * second, Worth: 2.1, LateWorth: 0.62, MaxGap: 250 * time.Millisecond,
				Shared: Size{6300, 0.6, 17600}, Unshared: Size{2890, 1, 39600}, Output: Size{52, 1.6, 208}, SharedParts: scaled(384), Skew: 0.3,
			},
			{
				Name: "question", Rate: 101 * scale, Rank: 0, Target: 400 * time.Millisecond, Patience: 15 * second, Worth: 2.3, LateWorth: 0.2, MaxGap: 150 * time.Millisecond,
				Shared: Size{350, 0.5, 943}, Unshared: Size{1110, 1, 3790}, Output: Size{172, 1.5, 600}, SharedParts: scaled(1221), Skew: 0.3,
			},
		},
		Surges: []Surge{
			{Class: "draft", From: second / 2, Until: 9500 * time.Millisecond, Factor: 2.4},
			{Class: "question", From: 11 * second, Until: 16 * second, Factor: 2.4},
			{Class: "draft", From: 17500 * time.Millisecond, Until: 21 * second, Factor: 2.4},
		},
	}
}

// speed returns the factor on the speed of an engine; 1 without Speeds.
func (o *Options) speed(index int) float64 {
	if len(o.Speeds) == 0 {
		return 1
	}
	return o.Speeds[index%len(o.Speeds)]
}

// factor returns the factor on the time of an engine's steps at a time of the
// run.
func (s *Slowdowns) factor(seed uint64, index int, at time.Duration) float64 {
	if s.Every <= 0 {
		return 1
	}
	interval := uint64(at / s.Every)
	if rand.New(rand.NewPCG(seed^interval<<20, uint64(index))).Float64() < s.Share {
		return s.Factor
	}
	return 1
}
