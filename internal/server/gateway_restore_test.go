package server

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/standin/replica"
)

// withKey returns the status of a request with a key.
func (f *fleet) withKey(g *Gateway, key string) int {
	return f.send(g, http.MethodGet, "/read/1", "", func(r *http.Request) { r.Header.Set("X-Wigeonsail-Key", key) }).status
}

// The store is restored from a copy that lists an endpoint as ready which is
// leaving, and holds a key that was withdrawn. Neither is in use again, at a host
// that reads the store and at one that gets its list from it. What changes after
// the restoration is seen, although it gets offsets that the hosts have read before.
func TestRestoredStoreRevivesNothing(t *testing.T) {
	f := newFleet(t)
	f.publish(fleetConfig(1, "withdrawn"))
	leaving := f.startReplica(servicePool, replica.Options{Instance: "i-1"})
	kept := f.startReplica(servicePool, replica.Options{Instance: "i-2"})
	copied := f.store.Copy()
	f.publish(fleetConfig(2))
	f.register(servicePool, leaving, "draining")
	first := f.startReadyHost("h1")
	second := f.startReadyHost("h2", first.Address("peers"))
	third := f.startReadyHost("h3", first.Address("peers"))
	hosts := []*Gateway{first, second, third}
	f.store.Restore(copied)
	f.eventually(func() bool { return first.store.Era() == 2 })
	until := time.Now().Add(500 * time.Millisecond)
	for time.Now().Before(until) {
		for _, g := range hosts {
			must.Eq(t, http.StatusUnauthorized, f.withKey(g, "withdrawn"))
			must.Eq(t, http.StatusOK, f.postConfirm(g).status)
		}
	}
	must.SliceEmpty(t, leaving.Executions())
	f.register(servicePool, leaving, "draining")
	f.publish(fleetConfig(3, "added"))
	f.startReplica(servicePool, replica.Options{Instance: "i-3"})
	kept.SetFaults(replica.Faults{QueueFull: true})
	for _, g := range hosts {
		f.eventually(func() bool { return f.withKey(g, "added") == http.StatusOK })
		f.eventually(func() bool { return f.postConfirm(g).status == http.StatusOK })
	}
	must.SliceEmpty(t, leaving.Executions())
}

// The store is restored twice in a row, and hosts that hear of it from a peer only
// follow.
func TestRepeatedRestorationsAreFollowed(t *testing.T) {
	f := newFleet(t)
	f.publish(fleetConfig(1))
	full := f.startReplica(servicePool, replica.Options{Instance: "i-1"})
	copied := f.store.Copy()
	first := f.startReadyHost("h1")
	f.useSilentStore()
	cutOff := f.startReadyHost("h2", first.Address("peers"))
	for range 2 {
		f.store.Restore(copied)
	}
	f.startReplica(servicePool, replica.Options{Instance: "i-2"})
	full.SetFaults(replica.Faults{QueueFull: true})
	f.eventually(func() bool { return f.postConfirm(cutOff).status == http.StatusOK })
}

// An endpoint reports in an answer that it is leaving, while its entry still says
// that it is ready. The host that saw the answer sends nothing more to it, and the
// others soon do not either.
func TestEndpointThatReportsLeavingGetsNoMoreRequests(t *testing.T) {
	f := newFleet(t)
	f.publish(fleetConfig(1))
	leaving := f.startReplica(servicePool, replica.Options{Instance: "i-1"})
	g := f.startReadyHost("h1")
	other := f.startReadyHost("h2", g.Address("peers"))
	leaving.SetFaults(replica.Faults{Leaving: true})
	must.Eq(t, http.StatusOK, f.postConfirm(g).status)
	f.startReplica(servicePool, replica.Options{Instance: "i-2"})
	runs := len(leaving.Executions())
	f.eventually(func() bool { return f.postConfirm(g).status == http.StatusOK })
	must.Len(t, runs, leaving.Executions())
	f.register(servicePool, leaving, "ready")
	f.eventually(func() bool {
		before := len(leaving.Executions())
		for range 5 {
			f.postConfirm(other)
		}
		return len(leaving.Executions()) == before
	})
	before := len(leaving.Executions())
	for range 10 {
		must.Eq(t, http.StatusOK, f.postConfirm(g).status)
	}
	must.Len(t, before, leaving.Executions())
}

// A refusal with the header Server-Leaving counts as well as an answer.
func TestRefusalMayReportLeaving(t *testing.T) {
	f := newFleet(t)
	f.publish(fleetConfig(1))
	leaving := f.startReplica(servicePool, replica.Options{Instance: "i-1"})
	g := f.startReadyHost("h1")
	leaving.SetFaults(replica.Faults{Leaving: true, QueueFull: true})
	must.Eq(t, http.StatusServiceUnavailable, f.postConfirm(g).status)
	refusals := leaving.Refusals()
	for range 5 {
		must.Eq(t, http.StatusServiceUnavailable, f.postConfirm(g).status)
	}
	must.Eq(t, refusals, leaving.Refusals())
}

// A replica refuses with a Retry-After. Until then it gets no request from this
// host, and callers are refused at once with a time that is not shorter. Absurd or
// malformed values do not stop the host.
func TestReplicaRetryAfterIsRespected(t *testing.T) {
	for value, wantStatus := range map[string]int{"2.5": 503, "1e300": 503, "+Inf": 503, "-3": 200, "NaN": 200, "soon": 200} {
		f := newFleet(t)
		f.publish(fleetConfig(1))
		r := f.startReplica(servicePool, replica.Options{Instance: "i-1"})
		g := f.startReadyHost("h1")
		r.SetFaults(replica.Faults{QueueFull: true, RetryAfter: value})
		must.Eq(t, 503, f.postConfirm(g).status)
		refusals := r.Refusals()
		r.SetFaults(replica.Faults{})
		got := f.postConfirm(g)
		must.Eq(t, wantStatus, got.status, must.Sprint(value))
		if wantStatus == 503 {
			must.Eq(t, refusals, r.Refusals())
			must.SliceEmpty(t, r.Executions())
			must.GreaterEq(t, 1.0, retryAfterSeconds(t, got))
			must.True(t, g.Ready())
		}
	}
}
