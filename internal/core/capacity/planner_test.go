package capacity

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/goleak"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/core/routing"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func at(seconds float64) time.Time {
	return time.Unix(0, 0).Add(time.Duration(seconds * float64(time.Second)))
}

func steady(domain model.DomainName) Group { return Group{Pool: "p", Domain: domain} }

func reclaimable(domain model.DomainName) Group {
	return Group{Pool: "p", Domain: domain, Reclaimable: true}
}

// view returns a pool in the domains a and b with the endpoints and requests in flight, of
// which each endpoint runs four at the intended utilisation.
func view(endpoints map[Group]int, running int) PoolView {
	v := PoolView{
		Pool: "p", Engine: &routing.Engine{Slots: 10, CacheTokens: 100_000}, Domains: []model.DomainName{"a", "b"}, Current: true,
		Scaling:   routing.Scaling{Min: 1, Max: 50, BootTime: 4 * time.Second, ReclaimablePrice: 0.2},
		Endpoints: make(map[Group]Endpoints), Load: Load{Running: running}, Demand: Demand{Requests: float64(running)},
	}
	for id, n := range endpoints {
		v.Endpoints[id] = Endpoints{Serving: n}
	}
	return v
}

// plan observes and plans at a time, and accepts all orders.
func plan(p *Planner, now time.Time, v PoolView) map[Group]int {
	p.Observe(now, v)
	out := make(map[Group]int)
	for _, d := range p.Plan(now, v) {
		out[Group{Pool: d.Order.Pool, Domain: d.Order.Domain, Reclaimable: d.Order.Reclaimable}] = d.Order.Count
		p.Record(now, d.Order, OutcomeAccepted)
	}
	return out
}

// over plans every half second over a time and returns all counts that were ordered last.
func over(p *Planner, from, to float64, v PoolView) map[Group]int {
	out := make(map[Group]int)
	for s := from; s < to; s += 0.5 {
		for id, n := range plan(p, at(s), v) {
			out[id] = n
		}
	}
	return out
}

func TestSteadyEndpointsAreGivenUpAfterTheirReplacementsServe(t *testing.T) {
	p := NewPlanner()
	p.TakeOver(at(0))
	v := view(map[Group]int{steady("a"): 20, steady("b"): 20}, 0)
	must.Eq(t, map[Group]int{reclaimable("a"): 19, reclaimable("b"): 19}, over(p, 0, 4, v))
	v.Endpoints[reclaimable("a")] = Endpoints{Serving: 19}
	must.Eq(t, map[Group]int{steady("a"): 1}, plan(p, at(4), v))
}

func TestThePoolGrowsAtOnceAndShrinksOnlyOnCurrentKnowledge(t *testing.T) {
	p := NewPlanner()
	p.TakeOver(at(0))
	have := map[Group]int{steady("a"): 1, steady("b"): 1, reclaimable("a"): 10, reclaimable("b"): 10}
	grown := plan(p, at(0), view(have, 80))
	must.Eq(t, 19, grown[reclaimable("a")])
	have[reclaimable("a")], have[reclaimable("b")] = 19, 19
	stale := view(have, 20)
	stale.Current = false
	must.MapEmpty(t, over(p, 1, 40, stale))
	less := over(p, 40, 60, view(have, 20))
	must.Less(t, 15, less[reclaimable("a")])
	must.Eq(t, 0, less[steady("a")])
}

func TestAHostThatHasTakenOverDoesNotShrinkThePool(t *testing.T) {
	p := NewPlanner()
	have := map[Group]int{steady("a"): 1, steady("b"): 1, reclaimable("a"): 30, reclaimable("b"): 30}
	must.MapEmpty(t, over(p, 0, 30, view(have, 20)))
	p.TakeOver(at(30))
	must.MapEmpty(t, over(p, 30, 30+observeTime.Seconds(), view(have, 20)))
}

func TestARefusedOrderIsGivenElsewhereAndRepeatedAfterAPause(t *testing.T) {
	p := NewPlanner()
	p.TakeOver(at(0))
	have := map[Group]int{steady("a"): 1, steady("b"): 1, reclaimable("a"): 19, reclaimable("b"): 19}
	must.MapEmpty(t, over(p, 0, 2, view(have, 80)))
	delete(have, reclaimable("a"))
	lost := view(have, 80)
	p.Observe(at(2), lost)
	orders := p.Plan(at(2), lost)
	must.SliceLen(t, 1, orders)
	must.Eq(t, ReasonReclaimed, orders[0].Reason)
	p.Record(at(2), orders[0].Order, OutcomeUnavailable)
	elsewhere := plan(p, at(2.5), lost)
	must.Greater(t, 19, elsewhere[reclaimable("b")])
	must.MapNotContainsKey(t, elsewhere, reclaimable("a"))
	must.MapContainsKey(t, over(p, 3, 6, lost), reclaimable("a"))
}

func TestAnOrderThatTakesEffectLateIsOrderedAnew(t *testing.T) {
	p := NewPlanner()
	p.TakeOver(at(0))
	have := map[Group]int{steady("a"): 1, steady("b"): 1, reclaimable("a"): 10, reclaimable("b"): 10}
	must.Eq(t, 19, plan(p, at(0), view(have, 80))[reclaimable("a")])
	// An older order of 10 takes effect after the one of 19.
	have[reclaimable("b")] = 19
	must.Eq(t, map[Group]int{reclaimable("a"): 19}, over(p, 1, 10, view(have, 80)))
}

func TestOrdersStayWithinTheBoundsOfBothKinds(t *testing.T) {
	p := NewPlanner()
	p.TakeOver(at(0))
	for id, n := range plan(p, at(0), view(map[Group]int{steady("a"): 40, steady("b"): 40}, 1000)) {
		must.True(t, id.Reclaimable)
		must.Eq(t, 10, n)
	}
}

func TestAPoolWithoutReclaimableEndpointsIsScaledToo(t *testing.T) {
	p := NewPlanner()
	p.TakeOver(at(0))
	v := view(map[Group]int{steady("a"): 10, steady("b"): 10}, 80)
	v.Scaling.ReclaimablePrice = 0
	must.Eq(t, map[Group]int{steady("a"): 20, steady("b"): 20}, plan(p, at(0), v))
}

func TestANewTermKeepsThePauseAfterARefusal(t *testing.T) {
	p := NewPlanner()
	p.TakeOver(at(0))
	v := view(map[Group]int{steady("a"): 20, steady("b"): 20}, 0)
	p.Observe(at(0), v)
	for _, d := range p.Plan(at(0), v) {
		p.Record(at(0), d.Order, OutcomeUnavailable)
	}
	p.Stop()
	p.TakeOver(at(1))
	must.MapEmpty(t, plan(p, at(1), v))
	must.Eq(t, map[Group]int{reclaimable("a"): 19, reclaimable("b"): 19}, plan(p, at(2), v))
}

func TestEndpointsOfFullPriceAreOrderedOnlyAsFarAsTheLoadIsNotCarried(t *testing.T) {
	p := NewPlanner()
	p.TakeOver(at(0))
	have := map[Group]int{steady("a"): 1, steady("b"): 1, reclaimable("a"): 20, reclaimable("b"): 20}
	must.MapEmpty(t, over(p, 0, 2, view(have, 80)))
	delete(have, reclaimable("a"))
	delete(have, reclaimable("b"))
	v := view(have, 80)
	for s := 2.0; s < 4; s += 0.5 {
		p.Observe(at(s), v)
		for _, d := range p.Plan(at(s), v) {
			if !d.Order.Reclaimable {
				must.Eq(t, 9, d.Order.Count)
			}
			p.Record(at(s), d.Order, OutcomeUnavailable)
		}
	}
	must.Eq(t, 9, p.group(steady("a")).ordered)
}

func TestEndpointsThatVanishOneAfterTheOtherAreOrderedOnce(t *testing.T) {
	p := NewPlanner()
	p.TakeOver(at(0))
	have := map[Group]int{steady("a"): 1, steady("b"): 1, reclaimable("a"): 19, reclaimable("b"): 19}
	must.MapEmpty(t, over(p, 0, 2, view(have, 80)))
	orders := 0
	for s := 2.0; s < 3; s += 0.25 {
		have[reclaimable("a")] = int(9 - 8*(s-2))
		orders += len(plan(p, at(s), view(have, 80)))
	}
	must.Eq(t, 1, orders)
}

func TestTheFirstRankIsOrderedWithinTheBounds(t *testing.T) {
	p := NewPlanner()
	p.TakeOver(at(0))
	v := view(map[Group]int{steady("a"): 5, steady("b"): 5, reclaimable("a"): 40, reclaimable("b"): 40}, 1000)
	v.Load.Urgent = 1000
	for id, n := range plan(p, at(0), v) {
		other := Group{Pool: id.Pool, Domain: id.Domain, Reclaimable: !id.Reclaimable}
		must.LessEq(t, v.Scaling.Max, n+p.group(other).count(), must.Sprint(id))
	}
}

func TestAReclaimDoesNotShrinkThePoolWithoutKnowledgeOfTheLoad(t *testing.T) {
	p := NewPlanner()
	p.TakeOver(at(0))
	have := map[Group]int{steady("a"): 3, steady("b"): 3}
	ordered := plan(p, at(0), view(have, 0))[reclaimable("a")]
	have[reclaimable("a")], have[reclaimable("b")] = ordered, ordered
	v := view(have, 0)
	v.Current = false
	must.MapEmpty(t, over(p, 1, 3, v))
	p.groups[reclaimable("a")].ordered = 30
	delete(v.Endpoints, reclaimable("a"))
	must.Eq(t, map[Group]int{reclaimable("a"): 30}, plan(p, at(3), v))
}

func TestAHostThatHasTakenOverGivesUpNothingYet(t *testing.T) {
	p := NewPlanner()
	p.TakeOver(at(0))
	v := view(map[Group]int{steady("a"): 10, steady("b"): 10, reclaimable("a"): 10, reclaimable("b"): 10}, 0)
	must.MapEmpty(t, over(p, 0, observeTime.Seconds(), v))
	must.MapContainsKey(t, over(p, observeTime.Seconds(), observeTime.Seconds()+1, v), steady("a"))
}
