package host

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/core/membership"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/metrics"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

// leavingPeers records the addresses that receive a heartbeat with a leaving
// endpoint.
type leavingPeers struct {
	port.PeerTransport
	notified chan string
}

func (p *leavingPeers) Exchange(_ context.Context, address string, heartbeat port.Heartbeat) (port.Heartbeat, error) {
	if len(heartbeat.Endpoints) == 1 && heartbeat.Endpoints[0].Leaving {
		p.notified <- address
	}
	return port.Heartbeat{}, errors.New("no answer")
}

func TestLeavingEndpointIsBroadcastAtOnceInLargeDomain(t *testing.T) {
	const others = 63
	peers := &leavingPeers{notified: make(chan string, 2*others)}
	counts, err := metrics.New(metrics.Options{})
	must.NoError(t, err)
	h := New(Options{ID: "n", Metrics: counts, Domain: "north", PlatformLog: failingLog{}, Peers: peers, HeartbeatEvery: 200 * time.Millisecond, Log: &log.Logger{Handler: discard.Default}})
	h.ctx = t.Context()
	now := time.Now()
	for i := range others {
		name := fmt.Sprint("n", i)
		h.control.members.Receive(now, membership.Heartbeat{
			Host: model.HostID(name), Domain: "north", Address: name, State: membership.Ready, Incarnation: 1, Sequence: 1,
		})
	}
	h.control.leaving.setReported(now, h.control, "e", true)
	h.control.leaving.setReported(now, h.control, "e", true)
	h.workers.Wait()
	close(peers.notified)
	received := map[string]int{}
	for address := range peers.notified {
		received[address]++
	}
	must.MapLen(t, others, received)
	for address, times := range received {
		must.Eq(t, 1, times, must.Sprint(address))
	}
	must.NoError(t, counts.Close())
}
