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

// toldPeers passes on the addresses that hear of leaving endpoints.
type toldPeers struct {
	port.PeerTransport
	told chan string
}

func (p *toldPeers) Exchange(_ context.Context, address string, beat port.Heartbeat) (port.Heartbeat, error) {
	if len(beat.Endpoints) == 1 && beat.Endpoints[0].Leaving {
		p.told <- address
	}
	return port.Heartbeat{}, errors.New("no answer")
}

func TestLargeDomainHearsOfALeavingEndpointAtOnce(t *testing.T) {
	const others = 63
	peers := &toldPeers{told: make(chan string, 2*others)}
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
	h.control.leaving.report(now, h.control, "e", true)
	h.control.leaving.report(now, h.control, "e", true)
	h.workers.Wait()
	close(peers.told)
	told := map[string]int{}
	for address := range peers.told {
		told[address]++
	}
	must.MapLen(t, others, told)
	for address, times := range told {
		must.Eq(t, 1, times, must.Sprint(address))
	}
	must.NoError(t, counts.Close())
}
