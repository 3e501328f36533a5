package host

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/adapter/peergrpc"
	"github.com/wigeonsail/wigeonsail/internal/core/dispatch"
	"github.com/wigeonsail/wigeonsail/internal/core/membership"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

// The parameters of the measured fleets; accounts and endpoints are per host.
const (
	benchHeartbeatEvery = 200 * time.Millisecond
	benchWarmUpRounds   = 200
	benchAccounts       = 10
	benchEndpoints      = 24
)

// benchSize is the size of a measured fleet.
type benchSize struct {
	domains, hosts int
	// changing makes the work of each host change in every round.
	changing bool
}

// countingListener counts the bytes of all connections in both directions.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return countingConn{conn, l.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// fixedExchangeHandler returns the same response to all heartbeats, whichever host is
// called.
type fixedExchangeHandler struct {
	port.PeerHandler
	response port.Heartbeat
}

func (a *fixedExchangeHandler) HandleExchange(context.Context, port.Heartbeat) (port.Heartbeat, error) {
	return a.response, nil
}

// benchFleet is a set of hosts on a virtual clock. The heartbeats of the measured
// host are sent over gRPC and their bytes counted.
type benchFleet struct {
	b         *testing.B
	now       time.Time
	tables    map[string]*membership.Table
	addresses []string
	measured  string
	handler   *fixedExchangeHandler
	client    *peergrpc.Client
	address   string
	bytes     atomic.Int64
	calls     int
	// changing makes the work of every host change in every round.
	changing bool
}

// domainOf returns the failure domain of an address.
func domainOf(address string) string {
	return "domain-" + strings.Split(address, ".")[1]
}

// newBenchFleet returns the membership tables of all hosts, and a server and client
// that carry the heartbeats of the measured one over TCP.
func newBenchFleet(b *testing.B, size benchSize) *benchFleet {
	f := &benchFleet{b: b, now: time.Now(), tables: make(map[string]*membership.Table), handler: &fixedExchangeHandler{}, changing: size.changing}
	for d := range size.domains {
		for h := range size.hosts {
			f.add(fmt.Sprintf("domain-%d", d), fmt.Sprintf("10.%d.%d.1:8802", d, h), fmt.Sprintf("10.%d.0.1:8802", d))
		}
	}
	// The last host is not a seed of the others.
	f.measured = f.addresses[len(f.addresses)-1]
	auth := peergrpc.Auth{Secret: "a-secret-of-the-benchmark"}
	server, err := peergrpc.NewServer(auth, f.handler)
	must.NoError(b, err)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(b, err)
	f.address = listener.Addr().String()
	go func() { _ = server.Serve(countingListener{listener, &f.bytes}) }()
	f.client, err = peergrpc.NewClient(auth)
	must.NoError(b, err)
	b.Cleanup(func() {
		f.client.Close()
		server.Shutdown(context.Background())
	})
	return f
}

// add adds a host with an address and a seed in its failure domain.
func (f *benchFleet) add(domain, address, seed string) {
	f.tables[address] = membership.New(membership.Options{
		Host: model.HostID("host-" + address), Incarnation: 1_700_000_000_000_000_000,
		Domain: model.DomainName(domain), Address: address,
		Seeds: []string{seed, "10.0.0.1:8802"}, RoundInterval: benchHeartbeatEvery,
	})
	f.setWork(address, domain, 0)
	f.addresses = append(f.addresses, address)
}

// setWork sets the work of a host; count varies the number of requests in flight at
// its first endpoint.
func (f *benchFleet) setWork(address, domain string, count int) {
	var work dispatch.PeerHost
	for i := range benchEndpoints {
		work.InFlight = append(work.InFlight, dispatch.EndpointCount{Endpoint: model.EndpointName(fmt.Sprintf("%s-engine-%d", domain, i)), Count: 8})
	}
	for i := range benchAccounts {
		work.Demand = append(work.Demand, dispatch.AccountDemand{
			Account: model.AccountName(fmt.Sprintf("account-%d", i)), Class: "questions", Rate: 3.7, TokensInFlight: 900, Queued: i,
		})
	}
	work.InFlight[0].Count = count%8 + 1
	f.tables[address].UpdateSelf(membership.Ready, 12345, work, nil)
}

var benchRoom = []dispatch.PoolRoom{{Pool: "drafting", Room: 120}, {Pool: "appointments", Room: 60}}

// round makes every host send the heartbeats of one round. If counted is set, the
// exchanges of the measured host are counted.
func (f *benchFleet) round(counted bool) {
	f.now = f.now.Add(benchHeartbeatEvery)
	for _, from := range f.addresses {
		table := f.tables[from]
		if f.changing {
			f.setWork(from, domainOf(from), int(f.now.UnixNano()/int64(benchHeartbeatEvery)))
		}
		targets, whole := table.Round(f.now, benchRoom)
		for _, to := range targets {
			heartbeat := table.TrimFor(whole, to)
			f.tables[to].Receive(f.now, heartbeat)
			response := f.tables[to].TrimFor(f.tables[to].Heartbeat(f.now, benchRoom), from)
			table.Receive(f.now, response)
			if counted && (from == f.measured || to == f.measured) {
				f.send(heartbeat, response)
			}
		}
	}
}

// send exchanges a heartbeat and its response over the connection.
func (f *benchFleet) send(heartbeat, response membership.Heartbeat) {
	f.calls++
	f.handler.response = heartbeatToPort(response)
	_, err := f.client.Exchange(context.Background(), f.address, heartbeatToPort(heartbeat))
	must.NoError(f.b, err)
}

// BenchmarkHeartbeats reports the bytes per second and the exchanges per second of
// one host, in both directions and including framing.
func BenchmarkHeartbeats(b *testing.B) {
	for _, size := range []benchSize{{4, 2, false}, {8, 8, false}, {16, 16, false}, {5, 64, false}, {8, 8, true}, {5, 64, true}} {
		b.Run(fmt.Sprintf("hosts=%d/changing=%t", size.domains*size.hosts, size.changing), func(b *testing.B) {
			f := newBenchFleet(b, size)
			for range benchWarmUpRounds {
				f.round(false)
			}
			must.Len(b, size.hosts, f.tables[f.measured].Members(f.now))
			must.Len(b, size.domains-1, f.tables[f.measured].Domains(f.now))
			f.round(true)
			f.bytes.Store(0)
			f.calls = 0
			rounds := 0
			for b.Loop() {
				f.round(true)
				rounds++
			}
			seconds := float64(rounds) * benchHeartbeatEvery.Seconds()
			b.ReportMetric(float64(f.bytes.Load())/seconds, "bytes/s")
			b.ReportMetric(float64(f.calls)/seconds, "exchanges/s")
		})
	}
}
