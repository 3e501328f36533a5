package balance_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/core/balance"
	"github.com/wigeonsail/wigeonsail/internal/core/directory"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// read returns a request to a plain service.
func read() balance.Request { return balance.Request{Pool: "services", Target: 300 * time.Millisecond} }

// refuseFor lets the chosen endpoint refuse the request with a time to stay away.
func (b *fixture) refuseFor(now time.Time, id model.RequestID, after time.Duration) {
	b.Finish(now, id, balance.Result{Failure: balance.FailureRefused, RetryAfter: after})
}

// An endpoint that refuses a request for 3 s gets none in that time, not even a
// connection check. Others get requests meanwhile.
func TestEndpointGetsNothingBeforeItsRetryAfter(t *testing.T) {
	b := newFixture(2)
	id, first := b.submit(at(0), read())
	b.refuseFor(at(0), id, 3*time.Second)
	for now := time.Duration(0); now < 3*time.Second; now += 50 * time.Millisecond {
		id, d := b.submit(at(now), read())
		must.NotEq(t, first.Endpoint, d.Endpoint, must.Sprint(now))
		b.RecordFirstResponse(at(now), id)
		b.Finish(at(now), id, balance.Result{})
		for _, check := range b.StartChecks(at(now)) {
			must.NotEq(t, first.Endpoint, check.Endpoint)
			b.RecordCheck(at(now), check.Endpoint, true)
		}
	}
}

// After its backoff an endpoint gets one request at a time until one is answered,
// and then as many as before.
func TestBackoffEndsWithOneRequest(t *testing.T) {
	b := newFixture(1)
	id, d := b.submit(at(0), read())
	b.refuseFor(at(0), id, time.Second)
	trial, d2 := b.submit(at(time.Second), read())
	must.Eq(t, d.Endpoint, d2.Endpoint)
	_, waiting := b.submit(at(time.Second), read())
	must.Eq(t, balance.ReasonBackoff, waiting.Reason)
	b.RecordFirstResponse(at(1100*time.Millisecond), trial)
	b.Finish(at(1100*time.Millisecond), trial, balance.Result{})
	for range 3 {
		_, next := b.submit(at(1200*time.Millisecond), read())
		must.False(t, next.IsRefused())
	}
}

// When every endpoint of a pool has asked for time, requests are refused at once
// with the shortest of these times, which may be long, and callers return at
// different times.
func TestPoolInBackoffRefusesWithItsTime(t *testing.T) {
	b := newFixture(3)
	for i, after := range []time.Duration{30 * time.Second, 12 * time.Second, 20 * time.Second} {
		id, d := b.submit(at(0), read())
		must.False(t, d.IsRefused(), must.Sprint(i))
		b.refuseFor(at(0), id, after)
	}
	seen := make(map[time.Duration]bool)
	for range 20 {
		_, d := b.submit(at(2*time.Second), read())
		must.Eq(t, balance.ReasonBackoff, d.Reason)
		must.Between(t, 10*time.Second, d.RetryAfter, 11*time.Second)
		seen[d.RetryAfter] = true
	}
	must.Greater(t, 10, len(seen))
	must.True(t, b.HasUsableEndpoint(at(2*time.Second)), must.Sprint("the host stays ready: it refuses truthfully"))
}

// A restarted endpoint has not asked for anything.
func TestRestartEndsBackoff(t *testing.T) {
	b := newFixture(1)
	id, d := b.submit(at(0), read())
	b.refuseFor(at(0), id, time.Hour)
	b.Apply(directory.Change{
		Entry:     directory.Entry{Name: d.Endpoint, Pool: "services", Address: d.Address, Domain: "north", Slots: 4, Started: 2},
		Restarted: true,
	})
	_, next := b.submit(at(time.Second), read())
	must.False(t, next.IsRefused())
}
