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
