package dispatch_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/core/dispatch"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/opconfig"
)

// engines returns a configuration whose endpoints have the given room.
func engines(room int, names ...model.EndpointName) *opconfig.Config {
	cfg := testConfig(names...)
	for i := range cfg.Endpoints {
		cfg.Endpoints[i].Room = room
	}
	return cfg
}

// resumable reports that the endpoints can resume streams.
func (b *fixture) resumable(now time.Time, names ...model.EndpointName) {
	for _, name := range names {
		b.HandleLoadReport(now, dispatch.LoadReport{Endpoint: name, CanResume: true})
	}
}

func TestHeadroomIsReservedForProtectedClasses(t *testing.T) {
	cfg := engines(4, "e1")
	cfg.Classes[0].Headroom = 0.25
	b := newFixture(cfg)
	first, _ := b.submit(at(0), "order", "big")
	b.Finish(at(1), first, 1, ran)
	for range 3 {
		_, acts := b.submit(at(2), "draft", "big")
		must.Eq(t, []dispatch.ActionKind{dispatch.ActionGrant}, kinds(acts))
	}
	_, acts := b.submit(at(3), "question", "big")
	must.SliceEmpty(t, acts)
	_, acts = b.submit(at(4), "order", "small")
	must.Eq(t, []dispatch.ActionKind{dispatch.ActionGrant}, kinds(acts))
}

func TestPreemptionRequiresResumableEndpoint(t *testing.T) {
	for _, resumes := range []bool{false, true} {
		b := newFixture(engines(2, "e1"))
		if resumes {
			b.resumable(at(0), "e1")
		}
		older, _ := b.submit(at(0), "draft", "big")
		newer, _ := b.submit(at(1), "draft", "big")
		order, acts := b.submit(at(2), "order", "big")
		if !resumes {
			must.SliceEmpty(t, acts)
			continue
		}
		must.Eq(t, []dispatch.ActionKind{dispatch.ActionPreempt, dispatch.ActionGrant}, kinds(acts))
		must.Eq(t, newer, acts[0].Request)
		must.Eq(t, order, acts[1].Request)
		b.submit(at(3), "draft", "big")
		acts = b.Finish(at(4), older, 1, ran)
		must.Eq(t, newer, acts[0].Request, must.Sprint("preempted requests are served first"))
		must.Eq(t, 2, acts[0].Attempt)
	}
}

func TestProtectedAndNonIdempotentRequestsAreNotPreempted(t *testing.T) {
	for _, change := range []func(c *opconfig.Class){
		func(c *opconfig.Class) { c.Protected = true },
		func(c *opconfig.Class) { c.Idempotent = false },
	} {
		cfg := engines(1, "e1")
		change(&cfg.Classes[2])
		b := newFixture(cfg)
		b.resumable(at(0), "e1")
		b.submit(at(0), "draft", "big")
		_, acts := b.submit(at(1), "order", "big")
		must.SliceEmpty(t, acts)
	}
}

func TestPreemptionStopsAtFloor(t *testing.T) {
	cfg := engines(4, "e1")
	cfg.Classes[2].Floor = 0.5
	b := newFixture(cfg)
	b.resumable(at(0), "e1")
	for range 4 {
		b.submit(at(0), "draft", "big")
	}
	for _, want := range []int{2, 2, 0} {
		_, acts := b.submit(at(1), "question", "big")
		must.Len(t, want, acts)
	}
}

func TestFinishOfPreemptedAttempt(t *testing.T) {
	cases := []struct {
		name    string
		res     dispatch.Result
		resumed bool
	}{
		{"response was complete before the cancellation", ran, false},
		{"caller has disconnected", dispatch.Result{Canceled: true}, false},
		{"response was cut off by the cancellation", dispatch.Result{Failed: true}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newFixture(engines(1, "e1"))
			b.resumable(at(0), "e1")
			draft, _ := b.submit(at(0), "draft", "big")
			order, _ := b.submit(at(1), "order", "big")
			b.Finish(at(2), draft, 1, c.res)
			acts := b.Finish(at(3), order, 1, ran)
			must.Eq(t, c.resumed, len(acts) == 1)
		})
	}
}

func TestBurstIsRefusedWithRetryAfter(t *testing.T) {
	b := newFixture(testConfig("e1"))
	running, _ := b.submit(at(0), "question", "big")
	refused := 0
	for i := 1; i < 400; i++ {
		now := at(i * 100)
		_, acts := b.submit(now, "question", "big")
		for _, a := range acts {
			if a.Kind == dispatch.ActionRefuse {
				refused++
				must.Eq(t, dispatch.ReasonDeadline, a.Reason)
				must.Between(t, time.Second, a.RetryAfter, time.Minute)
			}
		}
		if i%10 == 0 {
			for _, a := range b.Finish(now, running, 1, ran) {
				running = a.Request
			}
		}
	}
	must.Between(t, 330, refused, 370, must.Sprint("ten times the served load"))
	_, acts := b.submit(at(40000), "order", "small")
	must.SliceEmpty(t, acts, must.Sprint("orders are never shed for questions"))
}

func TestProtectedRequestsAreNotRefusedForExpectedWait(t *testing.T) {
	b := newFixture(testConfig("e1"))
	running, _ := b.submit(at(0), "order", "big")
	for i := 1; i <= 20; i++ {
		now := at(i * 10000)
		_, acts := b.submit(now, "order", "big")
		must.SliceEmpty(t, acts)
		_, acts = b.submit(now, "order", "big")
		must.SliceEmpty(t, acts)
		for _, a := range b.Finish(now, running, 1, ran) {
			running = a.Request
		}
	}
}

func TestExpiredRequestIsRefused(t *testing.T) {
	b := newFixture(testConfig("e1"))
	b.submit(at(0), "question", "big")
	waiting := model.Request{ID: "w", Class: "question", Account: "big", Pool: "engines", Arrived: at(0), Deadline: at(3000)}
	must.SliceEmpty(t, b.Submit(at(0), waiting))
	must.SliceEmpty(t, b.Tick(at(2999)))
	acts := b.Tick(at(3000))
	must.Len(t, 1, acts)
	must.Eq(t, dispatch.ReasonDeadline, acts[0].Reason)
	waiting.ID = "late"
	must.Eq(t, dispatch.ActionRefuse, b.Submit(at(3000), waiting)[0].Kind)
}

func TestSetDrainingRefusesQueuedRequests(t *testing.T) {
	b := newFixture(testConfig("e1"))
	running, _ := b.submit(at(0), "question", "big")
	b.submit(at(0), "question", "big")
	acts := b.SetDraining(at(1))
	must.Len(t, 1, acts)
	must.Eq(t, dispatch.ReasonLeaving, acts[0].Reason)
	_, acts = b.submit(at(2), "question", "big")
	must.Eq(t, dispatch.ReasonLeaving, acts[0].Reason)
	must.SliceEmpty(t, b.Finish(at(3), running, 1, ran))
}

func TestRetryStormStaysWithinBudget(t *testing.T) {
	b := newFixture(engines(50, "bad1", "bad2", "good1", "good2"))
	granted, refused := 0, 0
	for i := range 1000 {
		now := at(i * 10)
		id, acts := b.submit(now, "question", "big")
		for n := model.Attempt(1); len(acts) == 1 && acts[0].Kind == dispatch.ActionGrant; n++ {
			if n > 1 {
				granted++
			}
			e := acts[0].Endpoint
			if e == "good1" || e == "good2" {
				b.Finish(now, id, n, ran)
				break
			}
			b.Finish(now, id, n, dispatch.Result{Failed: true})
			acts = b.Submit(now, model.Request{
				ID: id, Class: "question", Account: "big", Pool: "engines", Attempt: n + 1,
				Arrived: now, Deadline: now.Add(time.Minute), Avoid: []model.EndpointName{e},
			})
		}
		if len(acts) == 1 && acts[0].Reason == dispatch.ReasonRetryBudget {
			refused++
		}
	}
	must.Between(t, 50, granted, 101, must.Sprint("a tenth of the first attempts"))
	must.Positive(t, refused)
}

func TestSetConfigKeepsQueuedRequests(t *testing.T) {
	b := newFixture(testConfig("e1"))
	running, _ := b.submit(at(0), "question", "big")
	waiting, _ := b.submit(at(0), "question", "big")
	draft, _ := b.submit(at(0), "draft", "big")
	cfg := testConfig("e1")
	cfg.Classes = cfg.Classes[:2]
	acts := b.SetConfig(at(1), cfg)
	must.Len(t, 1, acts)
	must.Eq(t, draft, acts[0].Request)
	must.Eq(t, dispatch.ReasonNoEndpoint, acts[0].Reason)
	acts = b.Finish(at(2), running, 1, ran)
	must.Len(t, 1, acts)
	must.Eq(t, waiting, acts[0].Request)
}
