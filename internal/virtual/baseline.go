package virtual

import (
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/dispatch"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// baseline sends each request on at once; the endpoints queue in the order of
// arrival.
type baseline struct {
	engines  []*engine
	choose   func(b *baseline, pool []*engine) *engine
	inFlight map[*engine]int
	at       map[model.RequestID]*engine
	turns    map[model.PoolName]int
}

func newBaseline(engines []*engine, choose func(*baseline, []*engine) *engine) *baseline {
	return &baseline{
		engines: engines, choose: choose,
		inFlight: map[*engine]int{},
		at:       map[model.RequestID]*engine{},
		turns:    map[model.PoolName]int{},
	}
}

func roundRobin(b *baseline, pool []*engine) *engine {
	n := b.turns[pool[0].pool]
	b.turns[pool[0].pool] = n + 1
	return pool[n%len(pool)]
}

func leastInFlight(b *baseline, pool []*engine) *engine {
	best := roundRobin(b, pool)
	for _, e := range pool {
		if b.inFlight[e] < b.inFlight[best] {
			best = e
		}
	}
	return best
}

// Submit implements policy.
func (b *baseline) Submit(_ time.Time, req model.Request) []dispatch.Action {
	var pool []*engine
	for _, e := range b.engines {
		if e.pool == req.Pool {
			pool = append(pool, e)
		}
	}
	e := b.choose(b, pool)
	b.inFlight[e]++
	b.at[req.ID] = e
	return []dispatch.Action{{Kind: dispatch.ActionGrant, Request: req.ID, Attempt: req.Attempt, Endpoint: e.name}}
}

// Cancel implements policy.
func (b *baseline) Cancel(time.Time, model.RequestID) []dispatch.Action { return nil }

// Finish implements policy.
func (b *baseline) Finish(_ time.Time, id model.RequestID, _ model.Attempt, _ dispatch.Result) []dispatch.Action {
	if e := b.at[id]; e != nil {
		b.inFlight[e]--
		delete(b.at, id)
	}
	return nil
}

// Progress implements policy.
func (b *baseline) RecordTokens(time.Time, model.RequestID, int) {}
