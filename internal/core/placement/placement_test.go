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

// at returns the time s seconds after start.
func at(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }

// newPool returns endpoints with the given room.
func newPool(count, room int) []*placement.Endpoint {
	var out []*placement.Endpoint
	for i := range count {
		e := placement.NewEndpoint(model.EndpointName(fmt.Sprintf("e%d", i)), "a:1", room)
		e.Index = i
		out = append(out, e)
	}
	return out
}

// newRand returns a random source with a fixed seed.
func newRand() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

func TestRoomGrowsAndShrinks(t *testing.T) {
	grow := func(r *placement.Room, count int) {
		for range count {
			r.RecordOnTime(r.Value())
		}
	}
	r := placement.NewRoom(10)
	r.RecordOnTime(3)
	must.Eq(t, 10, r.Value(), must.Sprint("unused room does not grow"))
	grow(&r, 30)
	must.Eq(t, 12, r.Value())
	r.RecordCongestion(at(0))
	r.RecordCongestion(at(0))
	must.Eq(t, 10, r.Value(), must.Sprint("one decrease per congestion"))
	r.RecordQueued(7)
	must.Eq(t, 7, r.Value())
	grow(&r, 30)
	must.Eq(t, 7, r.Value(), must.Sprint("slow growth above the ceiling"))
}

func TestRoomShrinksForUnseenLoad(t *testing.T) {
	r := placement.NewRoom(10)
	r.RecordUnseenLoad(at(0))
	for range 30 {
		r.RecordOnTime(r.Value())
	}
	must.Eq(t, 8, r.Value(), must.Sprint("slow growth"))
	for range 100 {
		r.RecordNoQueue()
	}
	for range 40 {
		r.RecordOnTime(r.Value())
	}
	must.Eq(t, 12, r.Value(), must.Sprint("fast growth after a while without a queue"))
}

func TestLateResponsesShrinkRoom(t *testing.T) {
	cases := []struct {
		name    string
		took    time.Duration
		target  time.Duration
		reports bool
		shrinks bool
	}{
		{"in time", 100 * time.Millisecond, time.Second, false, false},
		{"slow compared with the target", 500 * time.Millisecond, time.Second, true, true},
		{"slow compared with the base", 500 * time.Millisecond, time.Minute, false, true},
		{"the endpoint reports its queue", 500 * time.Millisecond, time.Minute, true, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e := placement.NewEndpoint("e", "a:1", 10)
			e.ReportsLoad = c.reports
			for range 40 {
				e.RecordFirstToken(at(0), 0, 100*time.Millisecond, c.target)
			}
			for range 100 {
				e.RecordFirstToken(at(1), 0, c.took, c.target)
			}
			must.Eq(t, c.shrinks, e.Room.Value() < 10)
		})
	}
}

func TestSharesAddUpToRoom(t *testing.T) {
	intervals := []placement.Interval{{From: 0, To: 0.37}, {From: 0.37, To: 0.41}, {From: 0.41, To: 1}}
	totals := make([]int, len(intervals))
	for _, e := range newPool(40, 7) {
		sum := 0
		for i, p := range intervals {
			e.Peers.Interval = p
			e.UpdateLimits(placement.SharingByDemand)
			sum += e.Limit
			totals[i] += e.Limit
		}
		must.Eq(t, 7, sum)
	}
	must.Between(t, 8, totals[1], 15, must.Sprint("a share of 0.04 of 280"))
}

func TestEjectionIsBoundedAndEndsWithTrial(t *testing.T) {
	pool := newPool(6, 4)
	fail := func(e *placement.Endpoint) {
		for range 3 {
			e.Health.RecordFailure(at(0))
		}
	}
	for _, e := range pool[:4] {
		fail(e)
	}
	placement.EjectOutliers(at(0), pool)
	ejected := 0
	for _, e := range pool {
		if e.Health.IsEjected() {
			ejected++
		}
	}
	must.Eq(t, 2, ejected, must.Sprint("a third of six"))
	must.Eq(t, 0, pool[0].FreeRoom(at(4), false))
	must.Eq(t, pool[0], placement.Choose(at(5), newRand(), pool, placement.Requirements{}))
	must.NotEq(t, pool[0], placement.Choose(at(5), newRand(), pool, placement.Requirements{Protected: true}))
	pool[0].Health.StartTrial()
	must.Eq(t, 0, pool[0].FreeRoom(at(5), false), must.Sprint("one trial at a time"))
	pool[0].Health.RecordFailure(at(6))
	must.Eq(t, 0, pool[0].FreeRoom(at(15), false), must.Sprint("a failed trial doubles the ejection"))
	must.Eq(t, 1, pool[0].FreeRoom(at(16), false))
	pool[0].Health.StartTrial()
	pool[0].Health.RecordSuccess()
	must.Eq(t, 4, pool[0].FreeRoom(at(17), false))
}

func TestSlowEndpointIsEjected(t *testing.T) {
	pool := newPool(4, 4)
	for i, e := range pool {
		took := 100 * time.Millisecond
		if i == 2 {
			took = 400 * time.Millisecond
		}
		for range 20 {
			e.RecordFirstToken(at(0), 0, took, time.Minute)
		}
	}
	placement.EjectOutliers(at(0), pool)
	for i, e := range pool {
		must.Eq(t, i == 2, e.Health.IsEjected())
	}
}

func TestBetterOfTwoSpreadsOverEndpoints(t *testing.T) {
	pool := newPool(8, 10)
	pool[7].LocalInFlight = 9
	rng := newRand()
	seen := map[model.EndpointName]int{}
	for range 200 {
		seen[placement.Choose(at(0), rng, pool, placement.Requirements{}).Name]++
	}
	must.Eq(t, 0, seen["e7"], must.Sprint("the worse of any two"))
	for _, e := range pool[:7] {
		must.Positive(t, seen[e.Name])
	}
}

func TestPrefixAffinityEndsBeforeOverload(t *testing.T) {
	pool := newPool(4, 10)
	rng := newRand()
	req := placement.Requirements{Prefix: 42}
	first := placement.Choose(at(0), rng, pool, req)
	for range 10 {
		must.Eq(t, first, placement.Choose(at(0), rng, pool, req))
	}
	for _, e := range pool {
		e.LocalInFlight = 2
	}
	first.LocalInFlight = 5
	// The mean load with this request is 0.3, the bound 0.5.
	must.NotEq(t, first, placement.Choose(at(0), rng, pool, req))
}

func TestRequirements(t *testing.T) {
	pool := newPool(2, 1)
	pool[0].Models = []model.ModelName{"m"}
	choose := func(r placement.Requirements) *placement.Endpoint { return placement.Choose(at(0), newRand(), pool, r) }
	must.Eq(t, pool[1], choose(placement.Requirements{Avoid: []model.EndpointName{"e0"}}))
	must.Nil(t, choose(placement.Requirements{Spare: 1}))
	pool[1].Models = []model.ModelName{"other"}
	must.Eq(t, pool[0], choose(placement.Requirements{Model: "m"}))
	must.Eq(t, pool[1], choose(placement.Requirements{Model: "other"}))
	must.NotNil(t, choose(placement.Requirements{Model: "nowhere"}))
	pool[1].LocalInFlight = 1
	must.Eq(t, pool[0], choose(placement.Requirements{Avoid: []model.EndpointName{"e0"}}), must.Sprint("avoided only while another endpoint has room"))
	pool[0].SetLeaving(placement.LeavingReport, true)
	must.Nil(t, choose(placement.Requirements{}))
}
