package fleet

import "time"

// largeEngine returns the published figures of Brittany's engines: a large
// mixture-of-experts model on eight accelerators.
func largeEngine() EngineSpec {
	return EngineSpec{
		Slots: 64, Queue: 192, CacheTokens: 464_919,
		StepBase: 6.45, StepPerSlot: 0.0967, StepPerThousandTokens: 0.00293,
		PrefillRate: 56.1, PrefillPerMillionPairs: 0.309, PrefillChunk: 1024,
		FirstEventDelay: 93, TokensPerEvent: 4, FetchBase: 3.3, FetchPerThousandTokens: 0.51,
	}
}

// Brittany returns the feed ordering service scaled to a number of engines. With
// 90 engines it has 88 hosts in five failure domains, a base load of 360 prompts
// per second, and surges of drafts and questions that exceed the engines'
// prefill capacity.
func Brittany(engines int) Options {
	scale := float64(engines) / 90
	scaled := func(n float64) int { return max(int(n*scale), 4) }
	second := time.Second
	return Options{
		Seed: 1, Domains: 5, Hosts: max(int(88*scale), 5), Engines: engines, Engine: largeEngine(),
		Duration: 20 * second,
		Sharing:  Sharing{LocalInterval: 45 * time.Millisecond, CrossDomainInterval: 470 * time.Millisecond},
		Classes: []Class{
			{
				Name: "draft", Rate: 191 * scale, Rank: 2, Target: 2 * second, Patience: 12 * second, Worth: 1.4, LateWorth: 0.41, MaxGap: 600 * time.Millisecond,
				Shared: Size{13300, 0.7, 39900}, Unshared: Size{3720, 1.1, 53200}, Output: Size{120, 1.4, 480}, SharedParts: scaled(784), Skew: 0.3,
			},
			{
				Name: "review", Rate: 51.6 * scale, Rank: 1, Target: 800 * time.Millisecond, Patience: 6 * second, Worth: 2.1, LateWorth: 0.62, MaxGap: 250 * time.Millisecond,
				Shared: Size{6300, 0.6, 17000}, Unshared: Size{2890, 1, 39600}, Output: Size{52, 1.4, 200}, SharedParts: scaled(220), Skew: 0.3,
			},
			{
				Name: "question", Rate: 117 * scale, Rank: 0, Target: 400 * time.Millisecond, Patience: 15 * second, Worth: 2.1, LateWorth: 0.19, MaxGap: 150 * time.Millisecond,
				Shared: Size{350, 0.5, 900}, Unshared: Size{1110, 1, 3790}, Output: Size{172, 0.89, 600}, SharedParts: scaled(1151), Skew: 0.3,
			},
		},
		Surges: []Surge{
			{Class: "draft", From: second / 2, Until: 9500 * time.Millisecond, Factor: 2.6},
			{Class: "question", From: 7 * second, Until: 10 * second, Factor: 1.6},
			{Class: "question", From: 11 * second, Until: 20 * second, Factor: 3},
			{Class: "draft", From: 17500 * time.Millisecond, Until: 20 * second, Factor: 2.9},
		},
	}
}
