package balance_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/wigeonsail/wigeonsail/internal/core/balance"
	"github.com/wigeonsail/wigeonsail/internal/core/directory"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// step changes the state of a fixture at random, by the same draws for each fixture.
func step(t *rapid.T, now time.Time, started []model.RequestID, fixtures ...*fixture) {
	name := model.EndpointName(fmt.Sprintf("engines-%d", rapid.IntRange(0, 5).Draw(t, "endpoint")))
	kind, failure := rapid.IntRange(0, 5).Draw(t, "kind"), balance.Failure(rapid.IntRange(0, 5).Draw(t, "failure"))
	retryAfter := time.Duration(rapid.IntRange(0, 1).Draw(t, "retry")) * time.Second
	var id model.RequestID
	if len(started) > 0 {
		id = rapid.SampledFrom(started).Draw(t, "id")
	}
	for _, b := range fixtures {
		switch kind {
		case 0:
			b.RecordFirstResponse(now, id)
		case 1:
			b.Finish(now, id, balance.Result{Failure: failure, RetryAfter: retryAfter})
		case 2:
			b.SetPeerLoad(now, "peer", "south", []balance.EndpointLoad{{Endpoint: name, Load: balance.Load{Count: 5, Memory: 90_000}}},
				[]balance.CacheUpdate{{Key: 3, Endpoint: name, Cached: true}})
		case 3:
			b.RecordLimit(now, id, true, 2)
		case 4:
			b.SetStalled(id, true)
		default:
			b.Apply(directory.Change{Entry: directory.Entry{Name: name, Pool: "engines", Address: string(name), Domain: "south", Slots: 4, Draining: failure > 3}})
		}
	}
}

// Submit takes the decision that Explain named just before, and the same one as a host that
// explains nothing. 300 endpoints are more than are compared, so that the sample counts too.
func TestExplainNamesTheDecisionAndChangesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.SampledFrom([]int{6, 300}).Draw(t, "size")
		explained, plain := newFixtureWith(size, true), newFixtureWith(size, true)
		now, started := at(0), []model.RequestID(nil)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 800).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "change") {
				step(t, now, started, explained, plain)
				continue
			}
			req := rapid.SampledFrom([]func(model.PartID) balance.Request{draft, question}).Draw(t, "request")(model.PartID(rapid.IntRange(1, 4).Draw(t, "key")))
			req.Avoid = rapid.SampledFrom([][]model.EndpointName{nil, {"engines-1", "engines-2"}}).Draw(t, "avoid")
			req.Retry = len(req.Avoid) > 0
			req.Arrived = now
			req.Account = rapid.SampledFrom([]model.AccountName{"", "club", "desk"}).Draw(t, "account")
			before := explained.Explain(now, req)
			must.Eq(t, before, explained.Explain(now, req))
			id, d := explained.submit(now, req)
			_, same := plain.submit(now, req)
			must.Eq(t, d, before.Decision)
			must.Eq(t, same, d)
			checkCandidates(t, before)
			must.SliceContainsAll(t, plain.LocalLoad(now), explained.LocalLoad(now))
			must.Eq(t, plain.Accounts().OwnWork(now), explained.Accounts().OwnWork(now))
			started = append(started, id)
		}
	})
}

// checkCandidates checks that the chosen endpoint has the lowest cost, and that the terms
// add up to the costs.
func checkCandidates(t *rapid.T, e balance.Explanation) {
	for i, c := range e.Candidates {
		must.True(t, c.Excluded == "" || c.Endpoint != e.Endpoint)
		if c.Excluded != "" {
			continue
		}
		must.GreaterEq(t, e.Candidates[0].Cost, c.Cost)
		if i == 0 && !e.IsRefused() {
			must.True(t, slices.ContainsFunc(e.Candidates, func(o balance.Candidate) bool { return o.Endpoint == e.Endpoint && o.Cost == c.Cost }))
		}
		sum := 0.0
		for _, cost := range c.Terms {
			sum += cost
		}
		must.InDelta(t, c.Cost, sum, 1e-9)
	}
}

// Each endpoint that is left out is shown with its reason.
func TestExplainNamesWhatExcludesAnEndpoint(t *testing.T) {
	b := newFixture(7)
	fail := func(res balance.Result) model.EndpointName {
		id, d := b.submit(at(0), read())
		b.Finish(at(0), id, res)
		return d.Endpoint
	}
	want := map[model.EndpointName]balance.Exclusion{
		fail(balance.Result{Failure: balance.FailureUnreachable}):                      balance.ExclusionUnreachable,
		fail(balance.Result{Failure: balance.FailureReplaced}):                         balance.ExclusionPaused,
		fail(balance.Result{Failure: balance.FailureRefused, RetryAfter: time.Second}): balance.ExclusionBackoff,
	}
	id, limited := b.submit(at(0), read())
	b.RecordLimit(at(0), id, true, 2)
	want[limited.Endpoint] = balance.ExclusionLimit
	_, draining := b.submit(at(0), read())
	b.Apply(directory.Change{Entry: directory.Entry{Name: draining.Endpoint, Pool: "services", Domain: "north", Draining: true}})
	want[draining.Endpoint] = balance.ExclusionDraining
	req := read()
	_, avoided := b.submit(at(0), read())
	req.Avoid = append(req.Avoid, avoided.Endpoint)
	want[avoided.Endpoint] = balance.ExclusionAvoided
	e := b.Explain(at(0), req)
	must.Eq(t, e.Endpoint, e.Candidates[0].Endpoint)
	for _, c := range e.Candidates[1:] {
		must.Eq(t, want[c.Endpoint], c.Excluded, must.Sprint(c.Endpoint))
	}
	must.Len(t, len(want)+1, e.Candidates)

	req.Pool = "unknown"
	must.Eq(t, balance.ReasonNoEndpoint, b.Explain(at(0), req).Reason)
	long := balance.Request{Pool: "engines", Prompt: prompt(1, 100_000, 1)}
	refused := b.Explain(at(0), long)
	must.Eq(t, balance.ReasonTooLarge, refused.Reason)
	must.Eq(t, balance.ExclusionNotCompared, refused.Candidates[0].Excluded)
}
