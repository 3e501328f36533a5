package gateway

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/core/routing"
)

// crashesPerRequest is the number of crashes by one request after which, settling
// crashSettling later, no more than maxLateArrivals repeats of it may reach endpoints.
const crashesPerRequest = 3

// playRequests sends sound requests every 20 ms, one in five of them the same, and at an
// interval a number of copies of the request that crashes endpoints, for some time.
func (f *crashFleet) playRequests(d, crashInterval time.Duration, copies int, prompt func() model.Prompt) {
	nextCrash := time.Now()
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		body := "popular"
		if f.next%5 > 0 {
			body = fmt.Sprint("body ", f.next)
		}
		f.send(body, prompt())
		if time.Now().Before(nextCrash) {
			continue
		}
		for range copies {
			f.send(crashBody, prompt())
		}
		nextCrash = nextCrash.Add(crashInterval)
	}
	f.callers.Wait()
}

// A request that crashes each endpoint that runs it must not crash one after the other.
func TestRequestThatCrashesEndpointsIsNotSentOn(t *testing.T) {
	for _, c := range []struct {
		name             string
		kind             routing.Kind
		hosts, endpoints int
		interval         time.Duration
		copies           int
		prefill          time.Duration
		eventsFirst      int
	}{
		{"lookups", routing.Idempotent, 7, 4, 300 * time.Millisecond, 1, shortPrefill, 0},
		{"lookups, slow", routing.Idempotent, 7, 4, 5 * time.Second, 1, shortPrefill, 0},
		{"lookups, all hosts at once", routing.Idempotent, 7, 4, 2 * time.Second, 7, shortPrefill, 0},
		{"lookups, all hosts at once, many endpoints", routing.Idempotent, 7, 12, 700 * time.Millisecond, 7, shortPrefill, 0},
		{"orders", routing.NonIdempotent, 7, 4, 300 * time.Millisecond, 1, shortPrefill, 0},
		{"orders, all hosts at once", routing.NonIdempotent, 7, 4, 5 * time.Second, 7, shortPrefill, 0},
		{"streams", routing.Streaming, 7, 12, 400 * time.Millisecond, 1, shortPrefill, 0},
		{"streams, long prefill", routing.Streaming, 7, 30, 500 * time.Millisecond, 1, longPrefill, 0},
		{"streams, after some events", routing.Streaming, 7, 12, 400 * time.Millisecond, 1, shortPrefill, 5},
		{"one host", routing.Idempotent, 1, 4, 300 * time.Millisecond, 1, shortPrefill, 0},
		{"with relays", routing.Idempotent, 24, 30, 400 * time.Millisecond, 1, shortPrefill, 0},
		{"with relays, all hosts at once", routing.Idempotent, 24, 30, 4 * time.Second, 24, shortPrefill, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newCrashFleetOf(c.kind, c.hosts, c.endpoints)
				defer f.close()
				f.endpoints.prefill, f.endpoints.eventsFirst = c.prefill, c.eventsFirst
				f.playRequests(30*time.Second, c.interval, c.copies, func() model.Prompt { return f.promptOf(c.kind) })
				must.LessEq(t, maxLateArrivals, f.lateArrivals(crashesPerRequest))
				must.SliceNotEmpty(t, f.refusals)
				last := f.endpoints.crashes[len(f.endpoints.crashes)-1]
				must.GreaterEq(t, minSoundShare, f.soundShare(last.Add(soundAfter)))
			})
		})
	}
}

// An endpoint that starts again before its connection is checked has crashed all the same.
func TestEndpointThatStartsAgainAtOnceHasCrashed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCrashFleetOf(routing.Idempotent, 3, 4)
		defer f.close()
		started := byte(1)
		f.endpoints.downtime = 0
		f.endpoints.onCrash = func(name model.EndpointName) {
			started++
			f.store.restart(string(name), started)
		}
		f.playRequests(20*time.Second, 700*time.Millisecond, 1, func() model.Prompt { return model.Prompt{} })
		must.LessEq(t, maxLateArrivals, f.lateArrivals(crashesPerRequest))
		must.SliceNotEmpty(t, f.refusals)
	})
}

// All hosts are lost after many copies of a request have crashed endpoints at once.
func TestSuspensionOutlivesAllHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCrashFleetOf(routing.NonIdempotent, 7, 4)
		defer f.close()
		none := func() model.Prompt { return model.Prompt{} }
		for f.gateways[0].countSuspects() == 0 {
			f.playRequests(time.Second, time.Hour, 7, none)
		}
		for i := range f.gateways {
			f.restart(i)
		}
		time.Sleep(crashSettling)
		f.playRequests(30*time.Second, 5*time.Second, 7, none)
		must.LessEq(t, maxLateArrivals, f.lateArrivals(crashesPerRequest))
		must.SliceNotEmpty(t, f.refusals)
	})
}

// Without the store no host may send a suspended request.
func TestSuspendedRequestWaitsWhileTheStoreIsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCrashFleetOf(routing.NonIdempotent, 7, 4)
		defer f.close()
		none := func() model.Prompt { return model.Prompt{} }
		f.saved.mu.Lock()
		f.saved.failures = 1e6
		f.saved.mu.Unlock()
		f.playRequests(30*time.Second, 5*time.Second, 7, none)
		must.Zero(t, f.lateArrivals(crashesPerRequest))
		f.saved.mu.Lock()
		f.saved.failures = 0
		f.saved.mu.Unlock()
		f.playRequests(30*time.Second, 5*time.Second, 7, none)
		must.LessEq(t, maxLateArrivals, f.lateArrivals(crashesPerRequest))
	})
}

// promptOf returns a prompt without shared parts, or none for a plain service.
func (f *crashFleet) promptOf(kind routing.Kind) model.Prompt {
	if kind != routing.Streaming {
		return model.Prompt{}
	}
	return model.Prompt{Model: "m", InputTokens: 1000, MaxOutputTokens: 100, Parts: []model.Part{{ID: model.PartID(1e6 + f.next), Tokens: 1000}}}
}
