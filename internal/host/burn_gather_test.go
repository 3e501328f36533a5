package host

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/core/burn"
	"github.com/wigeonsail/wigeonsail/internal/core/catalog"
	"github.com/wigeonsail/wigeonsail/internal/core/dispatch"
	"github.com/wigeonsail/wigeonsail/internal/core/membership"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/metrics"
	"github.com/wigeonsail/wigeonsail/internal/port"
	"github.com/wigeonsail/wigeonsail/opconfig"
)

// burnPeers answers burn queries by address; queries to other addresses fail. It
// records which addresses were queried for a whole failure domain.
type burnPeers struct {
	port.PeerTransport
	responses   map[string]burn.Aggregate
	mu          sync.Mutex
	wholeDomain map[string]bool
}

func (p *burnPeers) Burn(_ context.Context, address string, query port.BurnQuery) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.wholeDomain[address] = query.WholeDomain
	response, ok := p.responses[address]
	if !ok {
		return nil, &port.PeerError{Op: "burn", Address: address, Cause: errors.New("refused")}
	}
	return response.Encode()
}

// newAggregate returns the counts of a host that has served one request.
func newAggregate(host model.HostID, domain model.DomainName) burn.Aggregate {
	r := burn.NewRecorder(domain)
	r.Record(time.Now(), burn.Event{Class: "draft", Result: burn.ResultServed})
	return burn.Aggregate{Snapshot: r.Snapshot(time.Now(), time.Hour), Answered: []model.HostID{host}}
}

// TestGatherBurn gathers counts from a local failure domain with a live host, one
// that refuses the call, one that left and one that stopped sending heartbeats,
// from a remote failure domain whose first gateway is unreachable, and from one
// that only the configuration names.
func TestGatherBurn(t *testing.T) {
	peers := &burnPeers{wholeDomain: map[string]bool{}, responses: map[string]burn.Aggregate{
		"n2:1": newAggregate("n2", "north"),
		"s2:1": newAggregate("s2", "south"),
	}}
	counts, err := metrics.New(metrics.Options{})
	must.NoError(t, err)
	h := New(Options{ID: "n1", Metrics: counts, Domain: "north", PlatformLog: failingLog{}, Peers: peers, HeartbeatEvery: 200 * time.Millisecond})
	h.catalog.Store(catalog.New(1, &opconfig.Config{Endpoints: []opconfig.Endpoint{{Name: "e", Domain: "east"}, {Name: "n", Domain: "north"}}}))
	now := time.Now()
	for _, name := range []model.HostID{"n2", "n3"} {
		h.control.members.Receive(now, membership.Heartbeat{Host: name, Domain: "north", Address: string(name) + ":1", State: membership.Ready, Incarnation: 1, Sequence: 1})
	}
	h.control.members.Receive(now, membership.Heartbeat{Host: "n2", Domain: "north", Address: "n2:1", State: membership.Ready, Incarnation: 1, Sequence: 2,
		Domains: []membership.Digest{{Domain: "south", Sequence: 1, Gateways: []string{"s1:1", "s2:1"}, FreeRoom: []dispatch.PoolRoom{}}}})
	past := now.Add(-30 * time.Second)
	h.control.members.Receive(past, membership.Heartbeat{Host: "n4", Domain: "north", Address: "n4:1", State: membership.Leaving, Incarnation: 1, Sequence: 1})
	h.control.members.Receive(past, membership.Heartbeat{Host: "n5", Domain: "north", Address: "n5:1", State: membership.Ready, Incarnation: 1, Sequence: 1})
	ctx, stop := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() {
		h.loop.run(ctx)
		close(stopped)
	}()
	got, err := h.GatherBurn(ctx, time.Hour)
	stop()
	<-stopped
	must.NoError(t, err)
	must.SliceContainsAll(t, []model.HostID{"n1", "n2", "s2"}, got.Answered)
	must.SliceLen(t, 3, got.Missing)
	must.Eq(t, []string{"host n3", "host n5"}, []string{got.Missing[0].Name(), got.Missing[1].Name()})
	must.StrContains(t, got.Missing[0].Reason, "refused")
	must.Eq(t, burn.Missing{Domain: "east", Reason: "no host of it is known"}, got.Missing[2])
	must.SliceLen(t, 2, got.Snapshot.Rows)
	must.Eq(t, map[string]bool{"n2:1": false, "n3:1": false, "n5:1": false, "s1:1": true, "s2:1": true}, peers.wholeDomain)

	must.NoError(t, counts.Close())
	rec := httptest.NewRecorder()
	counts.Handler().ServeHTTP(rec, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	must.StrContains(t, rec.Body.String(), `wigeonsail_peer_errors_total{op="burn"} 3`+"\n")
}
