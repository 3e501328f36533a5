package host

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/core/burn"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/metrics"
	"github.com/wigeonsail/wigeonsail/internal/port"
	"github.com/wigeonsail/wigeonsail/opconfig"
)

func TestBurnResultAndWasteCause(t *testing.T) {
	nonIdempotent := &request{class: &opconfig.Class{Name: "confirm"}}
	idempotent := &request{class: &opconfig.Class{Name: "draft", Idempotent: true}}
	problem := func(code port.Code, outcome model.Outcome) error {
		return &port.RequestError{Code: code, Outcome: outcome}
	}
	noWaste := burn.WasteCause(99)
	cases := []struct {
		name   string
		req    *request
		err    error
		result burn.Result
		waste  burn.WasteCause
	}{
		{"served", nonIdempotent, nil, burn.ResultServed, noWaste},
		{"refused", nonIdempotent, newNoEndpointError(), burn.ResultRefused, burn.WasteEndpoint},
		{"account limit", nonIdempotent, problem(port.CodeLimitReached, model.OutcomeNotRun), burn.ResultLimited, burn.WasteEndpoint},
		{"unknown effect", nonIdempotent, problem(port.CodeEndpointFailed, model.OutcomeUnknown), burn.ResultUnknown, burn.WasteEndpoint},
		{"idempotent failed", idempotent, problem(port.CodeEndpointFailed, model.OutcomeUnknown), burn.ResultFailed, burn.WasteEndpoint},
		{"deadline", idempotent, problem(port.CodeDeadlineExceeded, model.OutcomeUnknown), burn.ResultFailed, burn.WasteDeadline},
		{"caller left before start", nonIdempotent, problem(port.CodeCanceled, model.OutcomeNotRun), burn.ResultCanceled, burn.WasteCallerGone},
		{"caller left after start", nonIdempotent, problem(port.CodeCanceled, model.OutcomeUnknown), burn.ResultLost, burn.WasteCallerGone},
		{"caller left idempotent request", idempotent, attemptFailedError(&callerError{cause: errors.New("reset")}, model.OutcomeUnknown), burn.ResultCanceled, burn.WasteCallerGone},
		{"content refused", idempotent, problem(port.CodeServiceRefused, model.OutcomeNotRun), 0, burn.WasteEndpoint},
		{"untyped error", nonIdempotent, errors.New("broken"), burn.ResultFailed, burn.WasteEndpoint},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			result := burnResult(c.req, c.err)
			must.Eq(t, c.result, result)
			waste, wasted := wasteCause(result, c.err)
			if !wasted {
				waste = noWaste
			}
			must.Eq(t, c.waste, waste)
		})
	}
}

func newNoEndpointError() error {
	return &port.RequestError{Code: port.CodeNoEndpoint, Outcome: model.OutcomeNotRun}
}

// failingLog is a port.Log whose reads fail.
type failingLog struct{ port.Log }

func (failingLog) Read(context.Context, port.StreamName, model.Offset, int, time.Duration) (port.Batch, error) {
	return port.Batch{}, &port.PlatformError{Op: "read", Outcome: model.OutcomeNotRun}
}

// TestBurnCountsAndMetrics ends requests and checks the counts of the control loop
// and of the metrics handler.
func TestBurnCountsAndMetrics(t *testing.T) {
	counts, err := metrics.New(metrics.Options{})
	must.NoError(t, err)
	h := New(Options{Domain: "north", PlatformLog: failingLog{}, Metrics: counts})
	ctx, stop := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() {
		h.loop.run(ctx)
		close(stopped)
	}()
	req := &request{class: &opconfig.Class{Name: "draft", Idempotent: true}}
	req.model.Arrived = time.Now()
	h.observeTokens(req, 1)
	h.observeTokens(req, 4)
	h.observeEnd(req, nil)
	h.observeEnd(req, &port.RequestError{Code: port.CodeCanceled, Outcome: model.OutcomeUnknown})
	req.call.Forwarded = true
	h.observeEnd(req, nil)
	_, err = h.opts.PlatformLog.Read(ctx, ConfigStream, 0, 1, 0)
	must.Error(t, err)

	got, err := h.Burn(ctx, time.Hour)
	must.NoError(t, err)
	must.SliceLen(t, 1, got.Snapshot.Rows)
	sum := got.Snapshot.Rows[0].SumWindow(time.Now(), time.Hour)
	want := burn.Counts{Total: 1, Good: 1, Canceled: 1, Tokens: 5, GoodTokens: 5}
	want.Wasted[burn.WasteCallerGone] = 5
	must.Eq(t, want, sum)

	stop()
	<-stopped
	_, err = h.Burn(context.Background(), time.Hour)
	must.Error(t, err)
	must.NoError(t, counts.Close())
	rec := httptest.NewRecorder()
	counts.Handler().ServeHTTP(rec, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	for _, line := range []string{
		`wigeonsail_requests_total{class="draft",outcome="ran"} 2`,
		`wigeonsail_wasted_tokens_total{cause="caller_gone",class="draft"} 5`,
		`wigeonsail_platform_errors_total{op="read",outcome="not_run"} 1`,
		`wigeonsail_between_tokens_seconds_count{class="draft"} 1`,
	} {
		must.StrContains(t, rec.Body.String(), line+"\n")
	}
}
