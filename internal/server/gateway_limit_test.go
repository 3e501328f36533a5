package server

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/standin/replica"
)

// Hosts that have not seen the statement keep a limit too, until it ends.
func TestLimitedEndpointGetsLittleFromAllHosts(t *testing.T) {
	f := newFleet(t)
	f.publish(fleetConfig(1))
	limited := f.startReplica(servicePool, replica.Options{Instance: "i-1"})
	limited.SetLimit("1")
	g := f.startReadyHost("h1")
	other := f.startReadyHost("h2", g.Address("peers"))
	must.Eq(t, http.StatusOK, f.postConfirm(g).status)
	f.startReplica(servicePool, replica.Options{Instance: "i-2"})
	f.eventually(func() bool { return f.postConfirm(g).status == http.StatusOK })
	f.eventually(func() bool {
		before := len(limited.Executions())
		for range 5 {
			if f.postConfirm(other).status != http.StatusOK {
				return false
			}
		}
		return len(limited.Executions()) == before
	})
	before := len(limited.Executions())
	for range 100 {
		must.Eq(t, http.StatusOK, f.postConfirm(g).status)
		must.Eq(t, http.StatusOK, f.postConfirm(other).status)
	}
	must.LessEq(t, before+5, len(limited.Executions()))

	limited.SetLimit("")
	must.Len(t, 1, f.peers(g).LimitedEndpoints)
	f.within(15*time.Second, func() bool {
		f.postConfirm(g)
		f.postConfirm(other)
		return len(f.peers(g).LimitedEndpoints)+len(f.peers(other).LimitedEndpoints) == 0
	})
}

// A value that is no rate stops no requests.
func TestLimitsWithoutMeaningAreIgnored(t *testing.T) {
	f := newFleet(t)
	f.publish(fleetConfig(1))
	r := f.startReplica(servicePool, replica.Options{Instance: "i-1"})
	g := f.startReadyHost("h1")
	for _, value := range []string{"-1", "NaN", "few", "+Inf", "1e300"} {
		r.SetLimit(value)
		for range 5 {
			must.Eq(t, http.StatusOK, f.postConfirm(g).status, must.Sprint(value))
		}
	}
}
