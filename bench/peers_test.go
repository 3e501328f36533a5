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

// handler answers with fixed values.
type handler struct {
	port.PeerHandler
	beat   port.Heartbeat
	config port.ConfigRecord
}

func (h *handler) HandleExchange(context.Context, port.Heartbeat) (port.Heartbeat, error) {
	return h.beat, nil
}

func (h *handler) HandleFetchConfig(context.Context, model.Version) (port.ConfigRecord, error) {
	return h.config, nil
}

func servePeers(b *testing.B, h port.PeerHandler) (*peergrpc.Client, *countedListener) {
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

// heartbeat has that many endpoints and as many demands, and the digests of
// four failure domains.
func heartbeat(entries int) port.Heartbeat {
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

// BenchmarkHeartbeat exchanges heartbeats over loopback. Processor time is
// that of both sides.
func BenchmarkHeartbeat(b *testing.B) {
	for _, entries := range []int{0, 16, 64} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			beat := heartbeat(entries)
			client, l := servePeers(b, &handler{beat: beat})
			reportWire(b, l, func() {
				_, err := client.Exchange(b.Context(), l.Addr().String(), beat)
				must.NoError(b, err)
			})
		})
	}
}

// BenchmarkMembership does what a host's control loop does in one round of
// heartbeats, two sent and two taken, by the number of hosts in its domain.
func BenchmarkMembership(b *testing.B) {
	for _, hosts := range []int{8, 64, 256} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			table, heap := heapOf(func() *membership.Table { return fullTable(hosts) })
			d := dispatch.New(dispatch.Options{Host: "host-0000", Domain: domainName(0), Seed: 1})
			d.SetConfig(start, config(domains*endpointsInDomain))
			now := start
			b.ResetTimer()
			reportProcessor(b, func() {
				now = now.Add(200 * time.Millisecond)
				for i := range 4 {
					table.Receive(now, beatOfHost(now, 1+i%(hosts-1)))
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

// fullTable knows the domain's hosts, the list of all hosts and a digest of
// each other domain.
func fullTable(hosts int) *membership.Table {
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
		table.Receive(start, beatOfHost(start, i))
	}
	return table
}

func beatOfHost(now time.Time, i int) membership.Heartbeat {
	name := model.HostID(fmt.Sprintf("host-00%02d", i))
	beat := membership.Heartbeat{
		Host: name, Incarnation: 1, Domain: domainName(0), Address: fmt.Sprintf("10.0.%d.%d:7000", i/200, i%200),
		State: membership.Ready, Sequence: uint64(now.UnixNano()), Version: 1, Work: dispatch.PeerHost{Host: name, At: now},
	}
	for e := range 64 {
		beat.Work.InFlight = append(beat.Work.InFlight, dispatch.EndpointCount{
			Endpoint: model.EndpointName(fmt.Sprintf("engine-%05d", (e+i)%endpointsInDomain*domains)), Count: 8,
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
