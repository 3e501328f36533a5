package server

import (
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/standin/replica"
)

// What the responses to one host state is known to others. The first responses without it end it.
func TestBrittleEndpointIsKnownToAllHosts(t *testing.T) {
	f := newFleet(t)
	f.publish(fleetConfig(1))
	r := f.startReplica(servicePool, replica.Options{Instance: "i-1"})
	g := f.startReadyHost("h1")
	other := f.startReadyHost("h2", g.Address("peers"))
	for _, value := range []string{"-1", "NaN", "few"} {
		r.SetBrittle(value)
		must.Eq(t, http.StatusOK, f.postConfirm(g).status, must.Sprint(value))
	}
	must.Len(t, 0, f.peers(g).BrittleEndpoints)
	r.SetBrittle("3")
	must.Eq(t, http.StatusOK, f.postConfirm(g).status)
	f.eventually(func() bool {
		return len(f.peers(g).BrittleEndpoints) == 1 && len(f.peers(other).BrittleEndpoints) == 1
	})
	must.Eq(t, 3, f.peers(other).BrittleEndpoints[0].Rejections)
	r.SetBrittle("")
	f.eventually(func() bool {
		f.postConfirm(g)
		f.postConfirm(other)
		return len(f.peers(g).BrittleEndpoints)+len(f.peers(other).BrittleEndpoints) == 0
	})
}
