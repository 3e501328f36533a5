package host

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/core/dispatch"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/metrics"
	"github.com/wigeonsail/wigeonsail/opconfig"
)

// TestEjectionIsCountedOnce makes one of three endpoints fail until it is ejected,
// and checks that the ejection is counted and logged once.
func TestEjectionIsCountedOnce(t *testing.T) {
	counts, err := metrics.New(metrics.Options{})
	must.NoError(t, err)
	logged := memory.New()
	h := New(Options{ID: "n1", Domain: "north", PlatformLog: failingLog{}, Metrics: counts, Log: &log.Logger{Handler: logged, Level: log.InfoLevel}})
	cfg := &opconfig.Config{
		Classes:  []opconfig.Class{{Name: "draft", Idempotent: true, MaxQueued: 10}},
		Accounts: []opconfig.Account{{Name: "club", Share: 1}},
		Pools:    []opconfig.Pool{{Name: "drafters", Kind: opconfig.KindEngine}},
	}
	for _, name := range []model.EndpointName{"e1", "e2", "e3"} {
		cfg.Endpoints = append(cfg.Endpoints, opconfig.Endpoint{Name: name, Pool: "drafters", Domain: "north", Room: 4})
	}
	now := time.Now()
	h.control.dispatch.SetConfig(now, cfg)
	for range 200 {
		id := model.RequestID(now.String())
		acts := h.control.dispatch.Submit(now, model.Request{ID: id, Class: "draft", Account: "club", Pool: "drafters", Arrived: now, Deadline: now.Add(time.Minute), Attempt: 1})
		must.SliceLen(t, 1, acts)
		must.Eq(t, dispatch.ActionGrant, acts[0].Kind)
		res := dispatch.Result{Outcome: model.OutcomeRan, FirstToken: time.Millisecond, Elapsed: time.Millisecond}
		if acts[0].Endpoint == "e1" {
			res = dispatch.Result{Outcome: model.OutcomeNotRun, Failed: true}
		}
		h.control.dispatch.Finish(now, id, 1, res)
		now = now.Add(20 * time.Millisecond)
		h.control.tick(now)
	}
	must.NoError(t, counts.Close())
	rec := httptest.NewRecorder()
	counts.Handler().ServeHTTP(rec, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	must.StrContains(t, rec.Body.String(), `wigeonsail_ejections_total{pool="drafters",reason="outlier"} 1`+"\n")
	must.SliceLen(t, 1, logged.Entries)
	must.Eq(t, "endpoints: e1 is ejected from pool drafters", logged.Entries[0].Message)
}
