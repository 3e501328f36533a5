package virtual

import (
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/dispatch"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// baseline is a policy that forwards each request immediately. Requests then
// queue at the endpoints, first in, first out.
type baseline struct {
	engines []*engine
	// choose selects an engine of a pool.
	choose    func(b *baseline, pool []*engine) *engine
	inFlight  map[*engine]int
	placedAt  map[model.RequestID]*engine
	nextIndex map[model.PoolName]int
}

func newBaseline(engines []*engine, choose func(*baseline, []*engine) *engine) *baseline {
	return &baseline{
		engines: engines, choose: choose,
		inFlight:  map[*engine]int{},
		placedAt:  map[model.RequestID]*engine{},
		nextIndex: map[model.PoolName]int{},
	}
}

// roundRobin selects the engines of a pool in turn.
func roundRobin(b *baseline, pool []*engine) *engine {
	n := b.nextIndex[pool[0].pool]
	b.nextIndex[pool[0].pool] = n + 1
	return pool[n%len(pool)]
}

// leastInFlight selects the engine with the fewest requests in flight from this
// host. Ties go to the engine whose turn it is, then to the first one.
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
	b.placedAt[req.ID] = e
	return []dispatch.Action{{Kind: dispatch.ActionGrant, Request: req.ID, Attempt: req.Attempt, Endpoint: e.name}}
}

// Cancel implements policy. A baseline has no queue to remove the request from.
func (b *baseline) Cancel(time.Time, model.RequestID) []dispatch.Action { return nil }

// Finish implements policy.
func (b *baseline) Finish(_ time.Time, id model.RequestID, _ model.Attempt, _ dispatch.Result) []dispatch.Action {
	if e := b.placedAt[id]; e != nil {
		b.inFlight[e]--
		delete(b.placedAt, id)
	}
	return nil
}

// RecordTokens implements policy. Baselines ignore the number of generated
// tokens.
func (b *baseline) RecordTokens(time.Time, model.RequestID, int) {}
