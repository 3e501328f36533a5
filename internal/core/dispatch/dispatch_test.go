package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/core/dispatch"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/opconfig"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// at returns the time ms milliseconds after start.
func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// testConfig returns a configuration whose endpoints have room for one request
// each.
func testConfig(names ...model.EndpointName) *opconfig.Config {
	cfg := &opconfig.Config{
		Classes: []opconfig.Class{
			{Name: "order", Tier: 0, Protected: true, FirstToken: opconfig.Duration(time.Second), RetryBudget: 0.1},
			{Name: "question", Tier: 1, Idempotent: true, FirstToken: opconfig.Duration(2 * time.Second), RetryBudget: 0.1},
			{Name: "draft", Tier: 2, Idempotent: true, Preemptible: true, FirstToken: opconfig.Duration(time.Minute), MaxQueued: 8},
		},
		Accounts: []opconfig.Account{{Name: "big", Share: 3}, {Name: "small", Share: 1}},
		Pools:    []opconfig.Pool{{Name: "engines", Kind: opconfig.KindEngine}},
	}
	for _, name := range names {
		cfg.Endpoints = append(cfg.Endpoints, opconfig.Endpoint{
			Name: name, Pool: "engines", Domain: "a", Address: string(name) + ":1", Room: 1,
		})
	}
	return cfg
}

// fixture is a Dispatcher of the host h1 that numbers its requests.
type fixture struct {
	*dispatch.Dispatcher
	next int
}

func newFixture(cfg *opconfig.Config) *fixture {
	b := &fixture{Dispatcher: dispatch.New(dispatch.Options{Host: "h1", Domain: "a", Seed: 1})}
	b.SetConfig(start, cfg)
	return b
}

// submit submits a request of a class and returns its ID and the actions.
func (b *fixture) submit(now time.Time, class model.ClassName, account model.AccountName) (model.RequestID, []dispatch.Action) {
	b.next++
	id := model.RequestID(fmt.Sprintf("%s-%d", class, b.next))
	return id, b.Submit(now, model.Request{
		ID: id, Class: class, Account: account, Pool: "engines",
		Arrived: now, Deadline: now.Add(5 * time.Minute), Attempt: 1,
	})
}

var ran = dispatch.Result{Outcome: model.OutcomeRan, FirstToken: 100 * time.Millisecond, Elapsed: time.Second}

// kinds returns the kinds of the actions.
func kinds(acts []dispatch.Action) []dispatch.ActionKind {
	var out []dispatch.ActionKind
	for _, a := range acts {
		out = append(out, a.Kind)
	}
	return out
}

func TestFinishGrantsHighestTier(t *testing.T) {
	b := newFixture(testConfig("e1"))
	first, acts := b.submit(at(0), "draft", "big")
	must.Eq(t, []dispatch.ActionKind{dispatch.ActionGrant}, kinds(acts))
	_, acts = b.submit(at(1), "draft", "big")
	must.SliceEmpty(t, acts)
	question, acts := b.submit(at(2), "question", "small")
	must.SliceEmpty(t, acts)
	acts = b.Finish(at(3), first, 1, ran)
	must.Len(t, 1, acts)
	must.Eq(t, question, acts[0].Request)
	must.Eq(t, 1, acts[0].Priority)
}

func TestLateAndDuplicateFinishAreIgnored(t *testing.T) {
	b := newFixture(testConfig("e1"))
	first, _ := b.submit(at(0), "question", "big")
	b.submit(at(1), "question", "big")
	b.submit(at(2), "question", "big")
	must.SliceEmpty(t, b.Finish(at(3), first, 2, ran))
	must.Len(t, 1, b.Finish(at(4), first, 1, ran))
	must.SliceEmpty(t, b.Finish(at(5), first, 1, ran))
}

func TestCancelRemovesQueuedRequest(t *testing.T) {
	b := newFixture(testConfig("e1"))
	first, _ := b.submit(at(0), "question", "big")
	second, _ := b.submit(at(1), "question", "big")
	third, _ := b.submit(at(2), "question", "big")
	b.Cancel(at(3), second)
	acts := b.Finish(at(4), first, 1, ran)
	must.Len(t, 1, acts)
	must.Eq(t, third, acts[0].Request)
}

func TestAccountQueueIsBounded(t *testing.T) {
	b := newFixture(testConfig("e1"))
	for range 9 {
		b.submit(at(0), "draft", "big")
	}
	_, acts := b.submit(at(1), "draft", "big")
	must.Len(t, 1, acts)
	must.Eq(t, dispatch.ReasonQueueFull, acts[0].Reason)
	must.GreaterEq(t, time.Second, acts[0].RetryAfter)
	_, acts = b.submit(at(1), "draft", "small")
	must.SliceEmpty(t, acts)
}
