package gateway

import (
	"context"
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/balance"
	"github.com/wigeonsail/wigeonsail/internal/core/directory"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

// The work of each host of a measured fleet: requests that begin at regular intervals at
// benchPools pools.
const (
	benchDomains       = 4
	benchPools         = 12
	benchRequestEvery  = 320 * time.Millisecond
	benchRequestsAlive = 9
)

// reachableEndpoints accept connections.
type reachableEndpoints struct{ port.EndpointClient }

func (reachableEndpoints) Probe(context.Context, model.EndpointName, string) error { return nil }

// benchFleet is a fleet whose hosts serve requests, with the processor time that their
// control loops have used. The hosts run one after the other.
type benchFleet struct {
	*fleet
	requests           int
	members, relays    time.Duration
	served             time.Duration
	sentLoads, sentAll int
}

func newBenchFleet(b *testing.B, hosts, endpoints int) *benchFleet {
	f := &benchFleet{fleet: newFleet(b, benchDomains, hosts/benchDomains)}
	var entries []directory.Entry
	for i := range endpoints {
		entries = append(entries, directory.Entry{
			Name: model.EndpointName(fmt.Sprintf("i-%010d", i)), Pool: benchPool(i % benchPools), Address: fmt.Sprint("a", i),
			Domain: model.DomainName(fmt.Sprint("d", i%benchDomains)), Slots: 32, Started: 1,
		})
	}
	for _, c := range f.hosts {
		c.gateway.opts.Endpoints = reachableEndpoints{}
		c.replaceList(f.now, port.EndpointList{Entries: entries, Next: offset(model.Offset(endpoints))}, sourceStore)
	}
	return f
}

func benchPool(i int) model.PoolName { return model.PoolName(fmt.Sprint("pool-", i)) }

// serve begins a request at each host, answers an earlier one and ends an older one.
func (f *benchFleet) serve() {
	f.requests++
	started := cpuTime()
	for h, address := range f.order {
		c := f.hosts[address]
		id := func(n int) model.RequestID { return model.RequestID(fmt.Sprint(address, "/", n)) }
		c.balancer.Finish(f.now, id(f.requests-benchRequestsAlive), balance.Result{})
		c.balancer.RecordFirstResponse(f.now, id(f.requests-benchRequestsAlive/2))
		c.balancer.Submit(f.now, balance.Request{
			ID: id(f.requests), Pool: benchPool((f.requests + h) % benchPools), Target: 10 * time.Second, Arrived: f.now,
			Prompt: model.Prompt{Parts: []model.Part{{ID: model.PartID(1 + (h+f.requests)%40), Tokens: 1500}, {ID: 1 << 60, Tokens: 500}}, InputTokens: 2000, MaxOutputTokens: 200},
		})
	}
	f.served += cpuTime() - started
}

// second runs the fleet for a simulated second.
func (f *benchFleet) second() {
	for end := f.now.Add(time.Second); f.now.Before(end); f.now = f.now.Add(tickInterval) {
		if f.now.UnixMilli()/benchRequestEvery.Milliseconds() != f.now.Add(tickInterval).UnixMilli()/benchRequestEvery.Milliseconds() {
			f.serve()
		}
		for _, address := range f.order {
			c := f.hosts[address]
			f.charge(c, func() { c.tick(f.now) })
		}
		for _, address := range f.order {
			for to, p := range f.hosts[address].peers.peers {
				select {
				case d := <-p.mailbox:
					f.sentAll++
					f.sentLoads += countLoads(d)
					f.charge(f.hosts[to], func() { f.hosts[to].receiveDigest(f.now, d) })
				default:
				}
			}
		}
	}
}

// charge adds the time of some work to the role of its host.
func (f *benchFleet) charge(c *control, work func()) {
	started := cpuTime()
	work()
	if c.peers.digests.isRelay {
		f.relays += cpuTime() - started
	} else {
		f.members += cpuTime() - started
	}
}

// cpuTime returns the processor time that this process has used.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// countLoads returns the number of endpoint loads in a digest.
func countLoads(d port.LoadDigest) int {
	count := len(d.Loads)
	for _, total := range d.Domains {
		count += len(total.Loads)
	}
	return count
}

// BenchmarkControl measures the control loops of a fleet: what a relay and another host
// use per second. The number of requests of a host is the same at all sizes.
func BenchmarkControl(b *testing.B) {
	for _, size := range []struct{ hosts, endpoints int }{{32, 300}, {100, 1000}, {300, 3000}} {
		b.Run(fmt.Sprintf("hosts=%d", size.hosts), func(b *testing.B) {
			f := newBenchFleet(b, size.hosts, size.endpoints)
			for range 8 {
				f.second()
			}
			started := f.members + f.relays
			f.members, f.relays, f.served, f.sentAll, f.sentLoads = 0, 0, 0, 0, 0
			for b.Loop() {
				f.second()
			}
			relays := float64(len(f.fleet.relays()))
			members := float64(len(f.order)) - relays
			seconds := float64(b.N)
			b.ReportMetric(float64(started.Microseconds())/float64(len(f.order)), "start-us/host")
			b.ReportMetric(float64(f.members.Microseconds())/members/seconds, "member-us/s")
			b.ReportMetric(float64(f.relays.Microseconds())/relays/seconds, "relay-us/s")
			b.ReportMetric(float64(f.served.Microseconds())/float64(len(f.order))/seconds, "serve-us/s")
			b.ReportMetric(float64(f.sentAll)/float64(len(f.order))/seconds, "digests/host/s")
			b.ReportMetric(float64(f.sentLoads)/float64(len(f.order))/seconds, "loads/host/s")
		})
	}
}
