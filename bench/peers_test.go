package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/adapter/peergrpc"
	"github.com/wigeonsail/wigeonsail/internal/core/dispatch"
	"github.com/wigeonsail/wigeonsail/internal/core/membership"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

// fixedHandler is a port.PeerHandler that answers with fixed values.
type fixedHandler struct {
	port.PeerHandler
	heartbeat port.Heartbeat
	config    port.ConfigRecord
}

func (h *fixedHandler) HandleExchange(context.Context, port.Heartbeat) (port.Heartbeat, error) {
	return h.heartbeat, nil
}

func (h *fixedHandler) HandleFetchConfig(context.Context, model.Version) (port.ConfigRecord, error) {
	return h.config, nil
}

// servePeers starts a peer server with a handler, and returns a client of it and
// the listener of the server.
func servePeers(b *testing.B, h port.PeerHandler) (*peergrpc.Client, *countingListener) {
	auth := peergrpc.Auth{Secret: "bench"}
	server, err := peergrpc.NewServer(auth, h)
	must.NoError(b, err)
	client, err := peergrpc.NewClient(auth)
	must.NoError(b, err)
	l := listen(b)
	go func() { _ = server.Serve(l) }()
	b.Cleanup(func() {
		client.Close()
		server.Shutdown(context.Background())
	})
	return client, l
}

// newHeartbeat returns a heartbeat with the given number of endpoints, as many
// demand entries, and the digests of four failure domains.
func newHeartbeat(entries int) port.Heartbeat {
	random := rand.New(rand.NewPCG(1, 1))
	beat := port.Heartbeat{
		Host: "host-0001", Incarnation: 1767323045000000000, Domain: domainName(1),
		PeerAddress: "10.1.1.1:7000", State: port.HostReady, Sequence: 123456, Version: 15000,
	}
	for range entries {
		beat.Endpoints = append(beat.Endpoints, port.EndpointDigest{
			Name: model.EndpointName(fmt.Sprintf("engine-%05d", random.IntN(12_000))), InFlight: random.IntN(64),
		})
		beat.Demand = append(beat.Demand, port.DemandDigest{
			Account: model.AccountName(fmt.Sprintf("account-%03d", random.IntN(450))),
			Class:   model.ClassName(fmt.Sprintf("class-%d", random.IntN(6))),
			Rate:    random.Float64() * 20, TokensInFlight: random.IntN(8000), Queued: random.IntN(20),
		})
	}
	for i := range 4 {
		digest := port.DomainDigest{
			Domain: domainName(i), Sequence: 1767323045000, Version: 15000,
			Gateways: []string{"10.1.1.1:7000", "10.1.1.2:7000", "10.1.1.3:7000"},
		}
		for p := range poolsPerDomain {
			digest.FreeRoom = append(digest.FreeRoom, port.PoolRoom{Pool: model.PoolName(fmt.Sprintf("pool-%02d", p)), Room: random.IntN(2000)})
		}
		beat.Domains = append(beat.Domains, digest)
	}
	return beat
}

// BenchmarkHeartbeat measures exchanging heartbeats over loopback, by the number
// of endpoints in a heartbeat. The CPU time includes both sides.
func BenchmarkHeartbeat(b *testing.B) {
	for _, entries := range []int{0, 16, 64} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			beat := newHeartbeat(entries)
			client, l := servePeers(b, &fixedHandler{heartbeat: beat})
			reportCPUAndBytes(b, l, func() {
				_, err := client.Exchange(b.Context(), l.Addr().String(), beat)
				must.NoError(b, err)
			})
		})
	}
}

// BenchmarkMembership measures the work of a host's control loop in one round of
// heartbeats, two sent and two received, by the number of hosts in its failure
// domain.
func BenchmarkMembership(b *testing.B) {
	for _, hosts := range []int{8, 64, 256} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			table, heap := measureHeap(func() *membership.Table { return newFullTable(hosts) })
			d := dispatch.New(dispatch.Options{Host: "host-0000", Domain: domainName(0), Seed: 1})
			d.SetConfig(start, config(domains*endpointsPerDomain))
			now := start
			b.ResetTimer()
			reportCPUTime(b, func() {
				now = now.Add(200 * time.Millisecond)
				for i := range 4 {
					table.Receive(now, heartbeatOfHost(now, 1+i%(hosts-1)))
				}
				table.Tick(now)
				table.UpdateSelf(membership.Ready, 1, d.Digest(now), nil)
				table.Round(now, nil)
				d.SetPeers(now, table.View(now))
			})
			b.ReportMetric(heap, "heap-B")
		})
	}
}

// newFullTable returns a table with heartbeats of all hosts of the failure
// domain, the list of all hosts, and a digest of each other failure domain.
func newFullTable(hosts int) *membership.Table {
	table := membership.New(membership.Options{
		Host: "host-0000", Incarnation: 1, Domain: domainName(0), Address: "10.0.0.0:7000", RoundInterval: 200 * time.Millisecond,
	})
	var list []membership.ListedHost
	for d := range domains {
		for i := range hosts {
			list = append(list, membership.ListedHost{
				Host: model.HostID(fmt.Sprintf("host-%02d%02d", d, i)), Domain: domainName(d),
				Address: fmt.Sprintf("10.%d.%d.%d:7000", d, i/200, i%200),
			})
		}
	}
	table.SetHostList(start, list)
	for i := 1; i < hosts; i++ {
		table.Receive(start, heartbeatOfHost(start, i))
	}
	return table
}

// heartbeatOfHost returns a heartbeat of the i-th host of the first failure
// domain, with 64 endpoints, 64 demand entries and the digests of the other
// failure domains.
func heartbeatOfHost(now time.Time, i int) membership.Heartbeat {
	name := model.HostID(fmt.Sprintf("host-00%02d", i))
	beat := membership.Heartbeat{
		Host: name, Incarnation: 1, Domain: domainName(0), Address: fmt.Sprintf("10.0.%d.%d:7000", i/200, i%200),
		State: membership.Ready, Sequence: uint64(now.UnixNano()), Version: 1, Work: dispatch.PeerHost{Host: name, At: now},
	}
	for e := range 64 {
		beat.Work.InFlight = append(beat.Work.InFlight, dispatch.EndpointCount{
			Endpoint: model.EndpointName(fmt.Sprintf("engine-%05d", (e+i)%endpointsPerDomain*domains)), Count: 8,
		})
		beat.Work.Demand = append(beat.Work.Demand, dispatch.AccountDemand{
			Account: model.AccountName(fmt.Sprintf("account-%03d", (e+i)%450)), Class: "class-3", Rate: 1,
		})
	}
	for d := 1; d < domains; d++ {
		beat.Domains = append(beat.Domains, membership.Digest{Domain: domainName(d), Sequence: uint64(now.UnixNano())})
	}
	return beat
}
