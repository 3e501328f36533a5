package server

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/standin/engine"
	"github.com/wigeonsail/wigeonsail/internal/standin/service"
)

const fixturePath = "/services/appointments/fixtures/12"

// idempotencyKey returns a header with an idempotency key.
func idempotencyKey(text string) http.Header { return http.Header{"Idempotency-Key": {text}} }

func TestNonIdempotentRequestIsNotRetriedWhenItMayHaveRun(t *testing.T) {
	f := newFixture(t, fixtureOptions{services: 2})
	// The first calls leave idle connections, on which net/http would resend a
	// request with an Idempotency-Key automatically.
	for _, k := range []string{"warm-1", "warm-2", "warm-3", "warm-4"} {
		must.Eq(t, http.StatusOK, f.post(fixturePath, "{}", idempotencyKey(k)).status)
	}
	for _, srv := range f.services {
		f.setFaults(srv, service.Faults{CloseAfter: true})
	}
	for _, k := range []string{"a", "b", "c"} {
		r := f.post(fixturePath, `{"referee":"R. Santos"}`, idempotencyKey(k))
		must.Eq(t, http.StatusBadGateway, r.status)
		must.StrContains(t, r.body, `"outcome":"unknown"`)
		must.Eq(t, 1, f.store.Effects()[k].Count)
	}
}

func TestUnreachableServiceIsRetriedOnAnotherReplica(t *testing.T) {
	f := newFixture(t, fixtureOptions{services: 2})
	f.services[0].Close()
	for _, k := range []string{"a", "b", "c", "d"} {
		r := f.post(fixturePath, "{}", idempotencyKey(k))
		must.Eq(t, http.StatusOK, r.status, must.Sprint(r.body))
		must.Eq(t, 1, f.store.Effects()[k].Count)
	}
}

func TestUnreachableServiceReportsNotRun(t *testing.T) {
	f := newFixture(t, fixtureOptions{services: 1})
	f.services[0].Close()
	r := f.post(fixturePath, "{}", idempotencyKey("a"))
	must.GreaterEq(t, http.StatusInternalServerError, r.status)
	must.StrContains(t, r.body, `"outcome":"not_run"`)
	must.NotEq(t, "", r.header.Get("Retry-After"))
	must.MapEmpty(t, f.store.Effects())
}

func TestDrainWaitsForStreams(t *testing.T) {
	f := newFixture(t, fixtureOptions{engines: []engine.Options{{BetweenTokens: 10 * time.Millisecond}}})
	answer := make(chan response, 1)
	go func() { answer <- f.post(chatPath, chatBody("long", 40, true), nil) }()
	f.eventually(func() bool { return f.stats(f.engines[0]).Started == 1 })
	must.NoError(t, f.server.host.Drain(context.Background()))
	r := <-answer
	must.NoError(t, r.err)
	must.Eq(t, expectedText("long", 40), streamedText(r.body))
	refused := f.post(chatPath, chatBody("new", 1, true), nil)
	must.Eq(t, http.StatusServiceUnavailable, refused.status)
	must.StrContains(t, refused.body, `"code":"leaving"`)
}
