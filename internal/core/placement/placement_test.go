package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/core/placement"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func at(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }

func newPool(count, room int) []*placement.Endpoint {
	var out []*placement.Endpoint
	for i := range count {
		e := placement.NewEndpoint(model.EndpointName(fmt.Sprintf("e%d", i)), "a:1", room)
		e.Index = i
		out = append(out, e)
	}
	return out
}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

func TestRoomIsLearned(t *testing.T) {
	grow := func(r *placement.Room, count int) {
		for range count {
			r.Good(r.Value())
		}
	}
	r := placement.NewRoom(10)
	r.Good(3)
	must.Eq(t, 10, r.Value(), must.Sprint("room that is not in use does not grow"))
	grow(&r, 30)
	must.Eq(t, 12, r.Value())
	r.Congested(at(0))
	r.Congested(at(0))
	must.Eq(t, 10, r.Value(), must.Sprint("one decrease for one congestion"))
	r.Queued(7)
	must.Eq(t, 7, r.Value())
	grow(&r, 30)
	must.Eq(t, 7, r.Value(), must.Sprint("slow growth above what the endpoint has shown"))
}

func TestRoomGivesWayToUnseenWork(t *testing.T) {
	r := placement.NewRoom(10)
	r.Crowded(at(0))
	for range 30 {
		r.Good(r.Value())
	}
	must.Eq(t, 8, r.Value(), must.Sprint("slow growth"))
	for range 100 {
		r.Clear()
	}
	for range 40 {
		r.Good(r.Value())
	}
	must.Eq(t, 12, r.Value(), must.Sprint("fast growth once nothing has waited for a while"))
}

func TestLateAnswersShrinkTheRoom(t *testing.T) {
	cases := []struct {
		name    string
		took    time.Duration
		target  time.Duration
		reports bool
		shrinks bool
	}{
		{"in time", 100 * time.Millisecond, time.Second, false, false},
		{"late against the target", 500 * time.Millisecond, time.Second, true, true},
		{"late against the base", 500 * time.Millisecond, time.Minute, false, true},
		{"the endpoint reports its queue", 500 * time.Millisecond, time.Minute, true, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e := placement.NewEndpoint("e", "a:1", 10)
			e.Reports = c.reports
			for range 40 {
				e.FirstToken(at(0), 0, 100*time.Millisecond, c.target)
			}
			for range 100 {
				e.FirstToken(at(1), 0, c.took, c.target)
			}
			must.Eq(t, c.shrinks, e.Room.Value() < 10)
		})
	}
}

func TestPartsAddUpToTheRoom(t *testing.T) {
	parts := []placement.Part{{From: 0, To: 0.37}, {From: 0.37, To: 0.41}, {From: 0.41, To: 1}}
	totals := make([]int, len(parts))
	for _, e := range newPool(40, 7) {
		sum := 0
		for i, p := range parts {
			e.Peers.Part = p
			e.Refresh(placement.SharingParts)
			sum += e.Limit
			totals[i] += e.Limit
		}
		must.Eq(t, 7, sum)
	}
	must.Between(t, 8, totals[1], 15, must.Sprint("a part of 0.04 of 280"))
}

func TestEjectionIsCappedAndTried(t *testing.T) {
	pool := newPool(6, 4)
	fail := func(e *placement.Endpoint) {
		for range 3 {
			e.Health.Failed(at(0))
		}
	}
	for _, e := range pool[:4] {
		fail(e)
	}
	placement.EjectOutliers(at(0), pool)
	ejected := 0
	for _, e := range pool {
		if e.Health.Ejected() {
			ejected++
		}
	}
	must.Eq(t, 2, ejected, must.Sprint("a third of six"))
	must.Eq(t, 0, pool[0].Free(at(4), false))
	must.Eq(t, pool[0], placement.Choose(at(5), newRand(), pool, placement.Wish{}))
	must.NotEq(t, pool[0], placement.Choose(at(5), newRand(), pool, placement.Wish{Protected: true}))
	pool[0].Health.StartTrial()
	must.Eq(t, 0, pool[0].Free(at(5), false), must.Sprint("one trial at a time"))
	pool[0].Health.Failed(at(6))
	must.Eq(t, 0, pool[0].Free(at(15), false), must.Sprint("a failed trial doubles the ejection"))
	must.Eq(t, 1, pool[0].Free(at(16), false))
	pool[0].Health.StartTrial()
	pool[0].Health.Succeeded()
	must.Eq(t, 4, pool[0].Free(at(17), false))
}

func TestSlowEndpointIsEjected(t *testing.T) {
	pool := newPool(4, 4)
	for i, e := range pool {
		took := 100 * time.Millisecond
		if i == 2 {
			took = 400 * time.Millisecond
		}
		for range 20 {
			e.FirstToken(at(0), 0, took, time.Minute)
		}
	}
	placement.EjectOutliers(at(0), pool)
	for i, e := range pool {
		must.Eq(t, i == 2, e.Health.Ejected())
	}
}

func TestTwoChoicesSpreadOverSeveralEndpoints(t *testing.T) {
	pool := newPool(8, 10)
	pool[7].Own = 9
	rng := newRand()
	seen := map[model.EndpointName]int{}
	for range 200 {
		seen[placement.Choose(at(0), rng, pool, placement.Wish{}).Name]++
	}
	must.Eq(t, 0, seen["e7"], must.Sprint("the worse of any two"))
	for _, e := range pool[:7] {
		must.Positive(t, seen[e.Name])
	}
}

func TestAffinityGivesWayBeforeTheEndpointIsHot(t *testing.T) {
	pool := newPool(4, 10)
	rng := newRand()
	wish := placement.Wish{Prefix: 42}
	first := placement.Choose(at(0), rng, pool, wish)
	for range 10 {
		must.Eq(t, first, placement.Choose(at(0), rng, pool, wish))
	}
	for _, e := range pool {
		e.Own = 2
	}
	first.Own = 5
	// The mean load with this request is 0.3, the bound 0.5.
	must.NotEq(t, first, placement.Choose(at(0), rng, pool, wish))
}

func TestWishes(t *testing.T) {
	pool := newPool(2, 1)
	pool[0].Models = []model.ModelName{"m"}
	choose := func(w placement.Wish) *placement.Endpoint { return placement.Choose(at(0), newRand(), pool, w) }
	must.Eq(t, pool[1], choose(placement.Wish{Avoid: []model.EndpointName{"e0"}}))
	must.Nil(t, choose(placement.Wish{Spare: 1}))
	pool[1].Models = []model.ModelName{"other"}
	must.Eq(t, pool[0], choose(placement.Wish{Model: "m"}))
	must.Eq(t, pool[1], choose(placement.Wish{Model: "other"}))
	must.NotNil(t, choose(placement.Wish{Model: "nowhere"}))
	pool[1].Own = 1
	must.Eq(t, pool[0], choose(placement.Wish{Avoid: []model.EndpointName{"e0"}}), must.Sprint("avoided only while others have room"))
	pool[0].SetLeaving(placement.LeavingReport, true)
	must.Nil(t, choose(placement.Wish{}))
}
