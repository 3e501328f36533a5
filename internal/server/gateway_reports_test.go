package server

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/standin/logstore"
	"github.com/wigeonsail/wigeonsail/internal/standin/replica"
	"github.com/wigeonsail/wigeonsail/internal/standin/users"
)

// These tests play failures that operators of similar systems have met.

// cutRequests sends requests on kept connections until the host accepts no new ones,
// and returns the IDs of those whose connection ended without a whole response.
func (f *fleet) cutRequests(g *Gateway, caller int) []string {
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	var cut []string
	for n := 0; ; n++ {
		id := fmt.Sprintf("caller-%d-%d", caller, n)
		req, err := users.NewRequest(f.t.Context(), http.MethodPost, g.Address("callers"), "/confirm/1", "referee", id, callerKey)
		if err != nil {
			return append(cut, err.Error())
		}
		res, err := client.Do(req)
		var dial *net.OpError
		if errors.As(err, &dial) && dial.Op == "dial" {
			return cut
		}
		if err == nil {
			_, err = io.ReadAll(res.Body)
			_ = res.Body.Close()
		}
		if err != nil {
			cut = append(cut, id)
		}
	}
}

// A host is stopped under load, while callers use their connections until they are
// closed. No request that has reached an endpoint loses its response.
func TestPlannedStopCutsNoAcceptedRequest(t *testing.T) {
	f := newFleet(t)
	f.publish(fleetConfig(1))
	r := f.startReplica(servicePool, replica.Options{Instance: "i-1", ServiceTime: 3 * time.Millisecond})
	g := f.startReadyHost("h1")
	var callers sync.WaitGroup
	cut := make(chan string, 1000)
	for caller := range 16 {
		callers.Go(func() {
			for _, id := range f.cutRequests(g, caller) {
				cut <- id
			}
		})
	}
	f.eventually(func() bool { return len(r.Executions()) > 200 })
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	must.NoError(t, g.Shutdown(ctx))
	callers.Wait()
	close(cut)
	executed := make(map[string]bool)
	for _, run := range r.Executions() {
		executed[run.ID] = true
	}
	for id := range cut {
		must.False(t, executed[id], must.Sprint(id))
	}
}

// The events of a sound stream are several times the route's longest gap apart. It
// is not cut, whether it can be resumed or not.
func TestSlowStreamsAreNotCut(t *testing.T) {
	for _, route := range []string{"draft", "brief"} {
		f := newFleet(t)
		f.publish(fleetConfig(1))
		f.startReplica(enginePool, replica.Options{Instance: "i-1", Events: 2, ServiceTime: 800 * time.Millisecond})
		f.startReplica(enginePool, replica.Options{Instance: "i-2", Events: 2, ServiceTime: 800 * time.Millisecond})
		g := f.startReadyHost("h1")
		got := f.postStream(g, route)
		must.Eq(t, replica.StreamBody(2), got.body)
		must.Eq(t, 1, f.totalRuns(), must.Sprint(route))
	}
}

// An endpoint sends single bytes of an event that never ends. A stream that can be
// resumed goes on at another endpoint, and any other one ends at its deadline.
func TestDrippingStreamsEnd(t *testing.T) {
	f := newFleet(t)
	f.publish(fleetConfig(1))
	stalled := f.startReplica(enginePool, replica.Options{Instance: "i-1", Events: 4})
	stalled.SetFaults(replica.Faults{DripAfter: 2})
	g := f.startReadyHost("h1")
	began := time.Now()
	got := f.postStream(g, "draft")
	must.True(t, got.truncated)
	must.Less(t, 4*time.Second, time.Since(began))

	resumed := make(chan fleetResponse, 1)
	go func() {
		resumed <- f.sendAs(g, "resumed", http.MethodPost, "/brief/1", "prompt", users.SetModelHeaders)
	}()
	f.eventually(func() bool { return len(stalled.Executions()) == 2 })
	f.startReplica(enginePool, replica.Options{Instance: "i-2", Events: 4})
	must.Eq(t, replica.StreamBody(4), (<-resumed).body)
}

// A host starts again while it cannot reach the store. One of its peers was cut off
// before a key was withdrawn and an endpoint left; another one knows of both. The
// host uses neither.
func TestRestartRevivesNoKeyAndNoEndpoint(t *testing.T) {
	f := newFleet(t)
	f.publish(fleetConfig(1, "withdrawn"))
	left := f.startReplica(servicePool, replica.Options{Instance: "i-1"})
	f.startReplica(servicePool, replica.Options{Instance: "i-2"})
	copied := f.store.Copy()
	f.publish(fleetConfig(2))
	f.register(servicePool, left, "draining")
	current := f.startReadyHost("h1")

	old := logstore.New()
	old.Restore(copied)
	f.storeURL = serveStore(t, old)
	stale := f.startReadyHost("h2")
	old.SetFault(logstore.FaultNoResponse)
	f.useSilentStore()
	for i := range 3 {
		restarted := f.startReadyHost(fmt.Sprint("h3-", i), stale.Address("peers"), current.Address("peers"))
		must.Eq(t, http.StatusUnauthorized, f.withKey(restarted, "withdrawn"))
	}
	must.SliceEmpty(t, left.Executions())
}

// The answer of an endpoint to a request that may run once is lost. The request is
// not sent again, and its caller is not told that it has not run.
func TestLostAnswerIsNeitherRepeatedNorDenied(t *testing.T) {
	f := newFleet(t)
	f.publish(fleetConfig(1))
	for _, instance := range []string{"i-1", "i-2", "i-3"} {
		f.startReplica(servicePool, replica.Options{Instance: instance}).SetFaults(replica.Faults{LoseResponse: true})
	}
	g := f.startReadyHost("h1")
	for n := 1; n <= 5; n++ {
		got := f.postConfirm(g)
		must.Eq(t, http.StatusBadGateway, got.status)
		must.StrContains(t, got.body, `"outcome":"unknown"`)
		must.Eq(t, n, f.totalRuns())
	}
}
