package server

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/gateway"
	"github.com/wigeonsail/wigeonsail/internal/standin/replica"
)

// peers returns what a host says of the others at its metrics address.
func (f *fleet) peers(g *Gateway) gateway.PeerStatus {
	f.t.Helper()
	res, err := http.Get("http://" + g.Address("metrics") + "/peers")
	must.NoError(f.t, err)
	defer res.Body.Close()
	var status gateway.PeerStatus
	must.NoError(f.t, json.NewDecoder(res.Body).Decode(&status))
	return status
}

// countLinks returns the number of relays, and whether no other host has links to
// more than the relays.
func (f *fleet) countLinks(hosts []*Gateway) (relays int, few bool) {
	few = true
	for _, g := range hosts {
		status := f.peers(g)
		links := 0
		for _, p := range status.Peers {
			if p.Linked {
				links++
			}
		}
		if status.Relay {
			relays++
		} else {
			few = few && links == len(status.LocalRelays)
		}
		few = few && status.FleetHosts == len(hosts)
	}
	return relays, few
}

// Twelve hosts of one failure domain know one seed. They settle on two relays, to
// which the others have their only links. A configuration and a change of the list
// reach hosts that do not read the store, and a lost relay is replaced.
func TestTwelveHostsExchangeThroughRelays(t *testing.T) {
	f := newFleet(t)
	f.publish(fleetConfig(1))
	f.startReplica(servicePool, replica.Options{Instance: "i-1"})
	seed := f.startReadyHost("h0")
	hosts := []*Gateway{seed}
	for i := 1; i < 12; i++ {
		hosts = append(hosts, f.startHost(fmt.Sprint("h", i), seed.Address("peers")))
	}
	f.within(time.Minute, func() bool {
		relays, few := f.countLinks(hosts)
		return relays == 2 && few
	})
	f.publish(fleetConfig(2, "added"))
	added := f.startReplica(servicePool, replica.Options{Instance: "i-2"})
	for _, g := range hosts {
		f.eventually(func() bool { return f.withKey(g, "added") == http.StatusOK })
	}
	f.replicas["i-1"].SetFaults(replica.Faults{QueueFull: true})
	for _, g := range hosts {
		f.eventually(func() bool { return f.postConfirm(g).status == http.StatusOK })
	}
	must.Positive(t, len(added.Executions()))
}
