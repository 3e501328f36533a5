package balance

import (
	"cmp"
	"slices"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/enginespeed"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// Engines of one pool may differ in speed. Each host sees few responses of each
// of many engines, so that hosts share what they learn:
//
//  1. A host reports the engines that it has last observed, and a relay also those
//     of which it has last adopted a report.
//  2. Of two estimates for an engine, the one with more evidence is kept. It becomes
//     the start of the receiver's own observations.

const (
	// loadSlowdown is the share by which each request in flight prolongs the prefill
	// of a token, since their decode steps run in between.
	loadSlowdown = 0.021
	// speedReportAge is the age of the last change of an estimate from which on it is
	// no longer reported.
	speedReportAge = 3 * time.Second
)

// EngineSpeed is a report on the speed of an engine.
type EngineSpeed struct {
	Instance model.Instance
	enginespeed.Estimate
}

// engineSpeed is what is known of the speed of an endpoint that is an engine.
type engineSpeed struct {
	enginespeed.Engine
	// prefillMS is the time to prefill a token in milliseconds, as of the last
	// refresh.
	prefillMS float64
	// observedAt is when this host last observed a response, changedAt when it did or
	// adopted a report.
	observedAt, changedAt time.Time
}

// refreshSpeeds updates the speeds of the pool's engines.
func (p *pool) refreshSpeeds(now time.Time) {
	if p.engine == nil {
		return
	}
	p.speed.Refresh(now, func(yield func(*enginespeed.Engine) bool) {
		for _, e := range p.endpoints {
			if !yield(&e.speed.Engine) {
				return
			}
		}
	})
	for _, e := range p.endpoints {
		e.speed.prefillMS = e.speed.PrefillMS(now, p.speed)
	}
}

// perTokenMS returns the time to prefill a token beside the given number of requests,
// in milliseconds.
func (s *engineSpeed) perTokenMS(requests int) float64 {
	prefillMS := s.prefillMS
	if prefillMS == 0 {
		prefillMS = enginespeed.DefaultPrefillMS
	}
	return prefillMS * slowdown(requests)
}

// slowdown returns the factor on the time of prefill beside a number of requests.
func slowdown(requests int) float64 { return 1 + loadSlowdown*float64(requests) }

// observeSpeed updates the speed of an engine with the time to a first event.
func (b *Balancer) observeSpeed(now time.Time, r *runningRequest, took time.Duration) {
	p := b.pool(r.endpoint.Pool)
	if p.engine == nil || r.speedSample.OwnTokens <= 0 {
		return
	}
	r.speedSample.Took = took
	r.endpoint.speed.Observe(now, p.speed, r.speedSample)
	r.endpoint.speed.observedAt, r.endpoint.speed.changedAt = now, now
}

// EngineSpeeds returns at most limit reports for other hosts, the newest first: on the
// engines that this host has observed of late, or with relayed also on those of which
// it has adopted a report.
func (b *Balancer) EngineSpeeds(now time.Time, relayed bool, limit int) []EngineSpeed {
	changedAt := func(e *endpoint) time.Time {
		if relayed {
			return e.speed.changedAt
		}
		return e.speed.observedAt
	}
	var recent []*endpoint
	for _, e := range b.endpoints {
		if at := changedAt(e); !at.IsZero() && now.Sub(at) < speedReportAge {
			recent = append(recent, e)
		}
	}
	slices.SortFunc(recent, func(x, y *endpoint) int {
		return cmp.Or(changedAt(y).Compare(changedAt(x)), cmp.Compare(x.Name, y.Name))
	})
	out := make([]EngineSpeed, 0, min(limit, len(recent)))
	for _, e := range recent[:min(limit, len(recent))] {
		out = append(out, EngineSpeed{Instance: model.Instance{Name: e.Name, Started: e.Started}, Estimate: e.speed.Estimate(now)})
	}
	return out
}

// ApplyEngineSpeeds applies the reports of another host. Those on an earlier start of
// an endpoint are ignored.
func (b *Balancer) ApplyEngineSpeeds(now time.Time, reports []EngineSpeed) {
	for _, report := range reports {
		e := b.endpoints[report.Instance.Name]
		if e != nil && e.Started == report.Instance.Started && e.speed.Adopt(now, report.Estimate) {
			e.speed.changedAt = now
		}
	}
}
