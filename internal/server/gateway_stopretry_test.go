package server

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/standin/replica"
)

// startFailing returns a ready host that knows how long the requests of a route last, and sends
// a request that fails at the first replica while the second is sound.
func (f *fleet) startFailing(path string) (g *Gateway, answer <-chan fleetResponse) {
	f.publish(fleetConfig(1))
	options := replica.Options{Instance: "i-1", ServiceTime: 400 * time.Millisecond}
	failing := f.startReplica(servicePool, options)
	g = f.startReadyHost("h1")
	var known sync.WaitGroup
	for range 20 {
		known.Go(func() { f.post(g, path) })
	}
	known.Wait()
	failing.SetFaults(replica.Faults{Status: http.StatusInternalServerError})
	out := make(chan fleetResponse, 1)
	go func() { out <- f.dialAndPost(g, path) }()
	f.eventually(func() bool { return len(failing.Executions()) == 21 })
	f.startReplica(servicePool, replica.Options{Instance: "i-2"})
	return g, out
}

func TestLeavingHostRepeatsAcceptedRequestsThatEndInTime(t *testing.T) {
	f := newFleet(t)
	g, answer := f.startFailing("/read/1")
	ended := f.stop(g, 1800*time.Millisecond)
	must.Eq(t, http.StatusOK, (<-answer).status)
	<-ended
}

func TestLeavingHostContinuesStreamsThatBreakOff(t *testing.T) {
	f := newFleet(t)
	f.publish(fleetConfig(1))
	options := replica.Options{Instance: "e-1", Events: 6, ServiceTime: 100 * time.Millisecond}
	breaking := f.startReplica(enginePool, options)
	breaking.SetFaults(replica.Faults{TruncateStreamAfter: 4})
	g := f.startReadyHost("h1")
	answer := make(chan fleetResponse, 1)
	go func() { answer <- f.dialAndPost(g, "/brief/1") }()
	f.eventually(func() bool { return len(breaking.Executions()) == 1 })
	options.Instance = "e-2"
	f.startReplica(enginePool, options)
	ended := f.stop(g, 1800*time.Millisecond)
	got := <-answer
	must.False(t, got.truncated)
	must.Eq(t, replica.StreamBody(6), got.body)
	<-ended
}
