package balance_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/core/attempt"
	"github.com/wigeonsail/wigeonsail/internal/core/balance"
	"github.com/wigeonsail/wigeonsail/internal/core/directory"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/core/routing"
)

// at returns the simulated time after d.
func at(d time.Duration) time.Time { return time.Unix(1000, 0).Add(d) }

// fixture is a Balancer with n engines and n services.
type fixture struct {
	*balance.Balancer
	next int
}

// newFixture returns a fixture with n engines and n services that have never
// served a request.
func newFixture(n int) *fixture { return newFixtureWith(n, false) }

// newFixtureWith returns a fixture with the given Options.WarmCaches.
func newFixtureWith(n int, warmCaches bool) *fixture {
	b := &fixture{Balancer: balance.New(balance.Options{
		Domain:     "north",
		WarmCaches: warmCaches,
		FairShares: true,
		Budget:     attempt.SharedBudgetOptions{Ratio: 0.2, Slack: 20, Window: 10 * time.Second},
	})}
	b.SetPools([]routing.Pool{{Name: "engines", Engine: &routing.Engine{Slots: 4, CacheTokens: 100_000}}, {Name: "services"}})
	for i := range n {
		for _, pool := range []model.PoolName{"engines", "services"} {
			name := model.EndpointName(fmt.Sprintf("%s-%d", pool, i))
			b.Apply(directory.Change{Entry: directory.Entry{
				Name: name, Pool: pool, Address: string(name), Domain: "north", Slots: 4,
			}})
		}
	}
	return b
}

// prompt returns a prompt with a shared prefix of the key and tokens of its
// own.
func prompt(key model.PartID, shared, own int) model.Prompt {
	return model.Prompt{
		Model: "m", InputTokens: shared + own, MaxOutputTokens: 100,
		Parts: []model.Part{{ID: key, Tokens: shared}, {ID: key + 1_000_000, Tokens: own}},
	}
}

// submit submits a request that has just arrived and returns its ID and the
// decision.
func (b *fixture) submit(now time.Time, req balance.Request) (model.RequestID, balance.Decision) {
	b.next++
	req.ID = model.RequestID(fmt.Sprint(b.next))
	req.Arrived = now
	return req.ID, b.Submit(now, req)
}

// draft returns a request of the last rank with a long prompt.
func draft(key model.PartID) balance.Request {
	return balance.Request{Pool: "engines", Prompt: prompt(key, 13_000, 3000), Rank: 2, Target: 2500 * time.Millisecond}
}

// question returns an urgent request with a short prompt.
func question(key model.PartID) balance.Request {
	return balance.Request{Pool: "engines", Prompt: prompt(key, 300, 1000), Rank: 0, Target: 400 * time.Millisecond}
}

func TestRequestsWithCachedPrefixGoToItsHolder(t *testing.T) {
	b := newFixture(6)
	id, first := b.submit(at(0), draft(7))
	b.RecordFirstResponse(at(time.Second), id)
	b.Finish(at(2*time.Second), id, balance.Result{})
	for i := range 4 {
		now := at(time.Duration(3+i) * time.Second)
		id, d := b.submit(now, draft(7))
		b.RecordFirstResponse(now.Add(d.Expected), id)
		must.Eq(t, first.Endpoint, d.Endpoint)
		must.Eq(t, "", d.FetchFrom)
		must.Eq(t, 3000, d.OwnPrefill, must.Sprint("the cached prefix is not prefilled again"))
	}
}

// Guards against prefilling every shared prefix again after all hosts were
// replaced at once while the endpoints kept running: new hosts must send
// prompts where the old hosts had sent them, by hashing.
func TestReplacedHostsAssumePrefixesCachedAtHome(t *testing.T) {
	oldHost, newHost := newFixture(6), newFixtureWith(6, true)
	for key := model.PartID(1); key < 20; key++ {
		id, first := oldHost.submit(at(0), draft(key))
		oldHost.RecordFirstResponse(at(first.Expected), id)
		oldHost.Finish(at(first.Expected), id, balance.Result{})
		id, d := newHost.submit(at(0), draft(key))
		newHost.Finish(at(0), id, balance.Result{})
		must.Eq(t, first.Endpoint, d.Endpoint)
		must.Eq(t, 3000, d.OwnPrefill)
	}
}

// When more drafts share a prefix than its endpoint can prefill in time, some
// must go to other endpoints and fetch the prefix instead of prefilling it
// again.
func TestHotPrefixSpreadsByFetching(t *testing.T) {
	b := newFixture(6)
	id, first := b.submit(at(0), draft(7))
	b.RecordFirstResponse(at(time.Second), id)
	b.Finish(at(time.Second), id, balance.Result{})
	spread := map[model.EndpointName]int{}
	for range 40 {
		_, d := b.submit(at(time.Second), draft(7))
		spread[d.Endpoint]++
		must.Eq(t, 3000, d.OwnPrefill)
		if d.Endpoint != first.Endpoint && spread[d.Endpoint] == 1 {
			must.Eq(t, first.Address, d.FetchFrom)
		}
	}
	must.Greater(t, 3, len(spread))
}

// Engines under load evict prefixes sooner than hosts expect. If a second
// engine caches the prefix too, the decision must name it as the source to
// fetch from.
func TestPossiblyEvictedPrefixIsFetchedFromSecondHolder(t *testing.T) {
	b := newFixture(6)
	updates := []balance.CacheUpdate{{Key: 7, Endpoint: "engines-1", Cached: true}, {Key: 7, Endpoint: "engines-4", Cached: true}}
	b.SetPeerLoad(at(0), "h2", "north", nil, updates)
	_, d := b.submit(at(0), draft(7))
	other := map[model.EndpointName]string{"engines-1": "engines-4", "engines-4": "engines-1"}
	must.MapContainsKey(t, other, d.Endpoint)
	must.Eq(t, other[d.Endpoint], d.FetchFrom)
	must.Eq(t, 3000, d.OwnPrefill)
}

// When drafts fill the engines unevenly, a question must go to an idle engine,
// where it is answered in time and ahead of the drafts.
func TestQuestionsAvoidBusyEngines(t *testing.T) {
	b := newFixture(3)
	busy := map[model.EndpointName]bool{}
	for key := model.PartID(1); len(busy) < 2; key++ {
		_, d := b.submit(at(0), draft(key))
		busy[d.Endpoint] = true
	}
	_, d := b.submit(at(0), question(99))
	must.False(t, busy[d.Endpoint])
	must.Less(t, 400*time.Millisecond, d.Expected)
}

func TestPriorityOrdersByTierThenRank(t *testing.T) {
	b := newFixture(1)
	var previous int
	for i, c := range []struct{ tier, rank model.Tier }{{0, 0}, {0, 2}, {1, 0}, {1, 1}, {2, 0}, {9, 9}} {
		req := question(5)
		req.Tier, req.Rank = c.tier, c.rank
		_, d := b.submit(at(0), req)
		must.Between(t, 0, d.Priority, 9)
		if i > 0 {
			must.Greater(t, previous, d.Priority)
		}
		previous = d.Priority
	}
}

func TestPeerLoadIsCounted(t *testing.T) {
	b := newFixture(2)
	loads := []balance.EndpointLoad{{Endpoint: "services-0", Load: balance.Load{Count: 8}}}
	b.SetPeerLoad(at(0), "h2", "north", loads, nil)
	for range 2 {
		_, d := b.submit(at(0), balance.Request{Pool: "services", Target: 300 * time.Millisecond})
		must.Eq(t, "services-1", d.Endpoint)
	}
	b.ExpirePeers(at(3 * time.Second))
	must.Eq(t, 0, b.CountPeers(), must.Sprint("load reports of silent peers expire"))
}

func TestCacheUpdatesOfPeersLocatePrefix(t *testing.T) {
	b := newFixture(6)
	b.SetPeerLoad(at(0), "h2", "north", nil, []balance.CacheUpdate{{Key: 7, Endpoint: "engines-4", Cached: true}})
	_, d := b.submit(at(0), draft(7))
	must.Eq(t, "engines-4", d.Endpoint)
	must.Eq(t, 3000, d.OwnPrefill)
	update := balance.CacheUpdate{Key: 7, Endpoint: "engines-4", Cached: true}
	own, next := b.LocalCacheUpdatesSince(0)
	must.Eq(t, []balance.CacheUpdate{update}, own, must.Sprint("this host's own request is announced"))
	own, _ = b.LocalCacheUpdatesSince(next)
	must.SliceEmpty(t, own, must.Sprint("updates are returned once"))
	both, _ := b.DomainCacheUpdatesSince(0)
	must.Eq(t, []balance.CacheUpdate{update, update}, both, must.Sprint("a relay forwards the updates of its domain"))
}

func TestDrainingAndRemovedEndpointsGetNoRequests(t *testing.T) {
	b := newFixture(2)
	leaving := directory.Entry{Name: "services-0", Pool: "services", Address: "services-0", Domain: "north", Slots: 4, Draining: true}
	b.Apply(directory.Change{Entry: leaving})
	for range 10 {
		_, d := b.submit(at(0), balance.Request{Pool: "services", Target: time.Second})
		must.Eq(t, "services-1", d.Endpoint)
	}
	leaving.Name = "services-1"
	b.Apply(directory.Change{Entry: leaving, Removed: true})
	_, d := b.submit(at(0), balance.Request{Pool: "services", Target: time.Second})
	must.True(t, d.IsRefused())
	must.Eq(t, balance.ReasonNoEndpoint, d.Reason)
	must.Positive(t, d.RetryAfter)
}

// One of two services takes eight times as long as expected and must get far
// fewer requests.
func TestSlowEndpointGetsFewerRequests(t *testing.T) {
	b := newFixture(2)
	counts := map[model.EndpointName]int{}
	now := at(0)
	for range 200 {
		id, d := b.submit(now, balance.Request{Pool: "services", Target: 300 * time.Millisecond})
		counts[d.Endpoint]++
		took := 45 * time.Millisecond
		if d.Endpoint == "services-0" {
			took *= 8
		}
		now = now.Add(20 * time.Millisecond)
		b.RecordFirstResponse(now.Add(took-20*time.Millisecond), id)
		b.Finish(now.Add(took-20*time.Millisecond), id, balance.Result{})
	}
	must.Greater(t, 5*counts["services-0"], counts["services-1"])
}

func TestRetriesAreChargedToBudget(t *testing.T) {
	b := newFixture(2)
	refused := 0
	for range 100 {
		_, d := b.submit(at(0), balance.Request{Pool: "services", Target: time.Second, Retry: true, Avoid: []model.EndpointName{"services-0"}})
		if d.IsRefused() {
			must.Eq(t, balance.ReasonRetryBudget, d.Reason)
			refused++
		}
	}
	must.Eq(t, 84, refused, must.Sprint("four fifths of a slack of 20 are placed"))
}

// A request whose first endpoints were unreachable must count once as a first
// attempt in the retry budget.
func TestRequestCountsOnceInBudget(t *testing.T) {
	b := newFixture(2)
	for range 10 {
		b.submit(at(0), balance.Request{Pool: "services", Target: time.Second})
		for range 10 {
			b.submit(at(0), balance.Request{Pool: "services", Target: time.Second, Avoid: []model.EndpointName{"services-0"}})
		}
	}
	granted := 0
	for range 100 {
		_, d := b.submit(at(0), balance.Request{Pool: "services", Target: time.Second, Retry: true, Avoid: []model.EndpointName{"services-0"}})
		if !d.IsRefused() {
			granted++
		}
	}
	must.Eq(t, 17, granted, must.Sprint("four fifths of a slack of 20 and a fifth of 10"))
}

func TestPromptLargerThanCacheIsRefused(t *testing.T) {
	b := newFixture(1)
	req := draft(1)
	req.Prompt.InputTokens = 200_000
	_, d := b.submit(at(0), req)
	must.Eq(t, balance.ReasonTooLarge, d.Reason)
}

func TestAvoidedEndpointsAreUsedLast(t *testing.T) {
	b := newFixture(2)
	req := balance.Request{Pool: "services", Target: time.Second, Avoid: []model.EndpointName{"services-0"}}
	_, d := b.submit(at(0), req)
	must.Eq(t, "services-1", d.Endpoint)
	req.Avoid = append(req.Avoid, "services-1")
	_, d = b.submit(at(0), req)
	must.False(t, d.IsRefused())
}

// An endpoint whose streams have stalled must get no requests until they
// resume.
func TestEndpointsWithStalledStreamsAreAvoided(t *testing.T) {
	b := newFixture(4)
	id, first := b.submit(at(0), draft(7))
	b.RecordFirstResponse(at(first.Expected), id)
	b.SetStalled(id, true)
	_, d := b.submit(at(time.Second), question(8))
	must.NotEq(t, first.Endpoint, d.Endpoint)
	b.SetStalled(id, false)
	_, d = b.submit(at(time.Second), draft(7))
	must.Eq(t, first.Endpoint, d.Endpoint)
}

// The remote load must equal the sum of the peers' latest reports while reports
// are replaced or expire and endpoints restart.
func TestRemoteLoadIsSumOfLatestReports(t *testing.T) {
	b := newFixture(2)
	load := func(n int) []balance.EndpointLoad {
		return []balance.EndpointLoad{{Endpoint: "services-0", Load: balance.Load{Count: n}}}
	}
	inFlight := func() int {
		_, d := b.submit(at(0), balance.Request{Pool: "services", Target: time.Second, Avoid: []model.EndpointName{"services-1"}})
		b.Finish(at(0), model.RequestID(fmt.Sprint(b.next)), balance.Result{})
		return d.InFlight
	}
	b.SetPeerLoad(at(0), "h2", "north", load(3), nil)
	b.SetPeerLoad(at(0), "h3", "north", load(4), nil)
	must.Eq(t, 7, inFlight())
	b.SetPeerLoad(at(time.Second), "h2", "north", load(1), nil)
	must.Eq(t, 5, inFlight())
	restarted := directory.Entry{Name: "services-0", Pool: "services", Address: "services-0", Domain: "north", Slots: 4, Started: 2}
	b.Apply(directory.Change{Entry: restarted, Restarted: true})
	must.Eq(t, 5, inFlight())
	b.ExpirePeers(at(2500 * time.Millisecond))
	must.Eq(t, 1, inFlight())
	b.SetPeerLoad(at(2500*time.Millisecond), "h2", "north", nil, nil)
	must.Eq(t, 0, inFlight())
}

// In a pool of thousands of endpoints, only a sample is compared; a prompt must
// still go where its shared prefix is cached.
func TestLargePoolKeepsPrefixAffinity(t *testing.T) {
	b := newFixture(2000)
	for key := model.PartID(1); key < 20; key++ {
		id, first := b.submit(at(0), draft(key))
		b.RecordFirstResponse(at(first.Expected), id)
		b.Finish(at(first.Expected), id, balance.Result{})
		_, d := b.submit(at(first.Expected), draft(key))
		must.Eq(t, first.Endpoint, d.Endpoint)
	}
}

// The load that a request adds to an endpoint must be removed once, however the
// request ends.
func TestFinishRemovesLoadOnce(t *testing.T) {
	b := newFixture(2)
	for i, failure := range []balance.Failure{balance.FailureNone, balance.FailureBroken, balance.FailureRefused} {
		id, _ := b.submit(at(0), draft(model.PartID(i+1)))
		must.Len(t, 1, b.LocalLoad(at(0)))
		if failure == balance.FailureNone {
			b.RecordFirstResponse(at(time.Millisecond), id)
		}
		b.Finish(at(time.Second), id, balance.Result{Failure: failure})
		b.Finish(at(time.Second), id, balance.Result{Failure: failure})
		must.SliceEmpty(t, b.LocalLoad(at(time.Second)))
	}
}

func BenchmarkSubmit(b *testing.B) {
	for _, n := range []int{20, 140, 2000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := newFixture(n)
			now := at(0)
			for b.Loop() {
				now = now.Add(time.Millisecond)
				id, _ := f.submit(now, draft(model.PartID(f.next%200)))
				f.RecordFirstResponse(now, id)
				f.Finish(now, id, balance.Result{})
			}
		})
	}
}
