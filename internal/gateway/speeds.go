package gateway

import (
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/balance"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// SpeedView is what a host knows of the speed of an engine.
type SpeedView struct {
	Endpoint model.EndpointName `json:"endpoint"`
	// PrefillMicros is the time to prefill a prompt token without much load, in
	// microseconds. Weight is the evidence in responses, which decays with their age.
	PrefillMicros float64 `json:"prefill_us"`
	Weight        float64 `json:"weight"`
}

// engineSpeeds returns the engines of known speed.
func (c *control) engineSpeeds(now time.Time) []SpeedView {
	var out []SpeedView
	for _, s := range c.balancer.KnownSpeeds(now) {
		out = append(out, SpeedView{Endpoint: s.Instance.Name, PrefillMicros: s.PrefillMS * 1000, Weight: s.Weight})
	}
	return out
}

// speedRange returns the number of engines, and the times that the fastest and the
// slowest of them take to prefill a token; 0 without any.
func speedRange(speeds []balance.EngineSpeed) (known int, fastest, slowest time.Duration) {
	for i, s := range speeds {
		took := time.Duration(s.PrefillMS * float64(time.Millisecond))
		if i == 0 || took < fastest {
			fastest = took
		}
		slowest = max(slowest, took)
	}
	return len(speeds), fastest, slowest
}
