package bench

import (
	"fmt"
	"net"
	"runtime"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/opconfig"
)

// The sizes of the largest environment: the number of failure domains, and the
// numbers of hosts, pools and endpoints in each of them.
const (
	domains            = 25
	hostsPerDomain     = 64
	poolsPerDomain     = 21
	endpointsPerDomain = 480
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// cpuTime returns the CPU time that this process has used.
func cpuTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	must.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// reportCPUTime runs op b.N times and reports the CPU time per run in
// microseconds, summed over all goroutines of the process.
func reportCPUTime(b *testing.B, op func()) {
	before := cpuTime(b)
	for range b.N {
		op()
	}
	used := cpuTime(b) - before
	b.ReportMetric(float64(used.Nanoseconds())/1000/float64(b.N), "cpu-us/op")
}

// measureHeap returns the result of build and the heap memory that it retains,
// in bytes.
func measureHeap[T any](build func() T) (T, float64) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	built := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	return built, float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// countingListener counts the bytes of its connections in both directions.
type countingListener struct {
	net.Listener
	bytes atomic.Int64
}

// listen listens on a free port on loopback.
func listen(b *testing.B) *countingListener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(b, err)
	return &countingListener{Listener: listener}
}

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return &countingConn{Conn: conn, bytes: &l.bytes}, err
}

// countingConn adds the bytes read and written to a counter.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// reportCPUAndBytes runs op b.N times, after a first run that is not measured.
// It reports the CPU time and the bytes on the wire per run.
func reportCPUAndBytes(b *testing.B, l *countingListener, op func()) {
	op()
	before := l.bytes.Load()
	reportCPUTime(b, op)
	b.ReportMetric(float64(l.bytes.Load()-before)/float64(b.N), "wire-B/op")
}

// config returns a configuration with the given number of endpoints, spread over
// all failure domains, and with the accounts and pools of the largest
// environment.
func config(endpoints int) *opconfig.Config {
	const accounts, tiers = 450, 6
	cfg := &opconfig.Config{Schema: opconfig.SchemaVersion}
	for i := range tiers {
		cfg.Classes = append(cfg.Classes, opconfig.Class{
			Name: model.ClassName(fmt.Sprintf("class-%d", i)), Tier: model.Tier(i), Objective: 0.95, Idempotent: true,
			FirstToken: opconfig.Duration(1900 * time.Millisecond), Deadline: opconfig.Duration(time.Minute),
			MaxQueued: 1 << 20, RetryBudget: 0.1,
		})
	}
	for i := range accounts {
		name := fmt.Sprintf("account-%03d", i)
		cfg.Accounts = append(cfg.Accounts, opconfig.Account{
			Name: model.AccountName(name), KeyHashes: []string{opconfig.HashKey(name)}, Share: 1,
			DefaultClass: cfg.Classes[i%tiers].Name,
		})
	}
	for i := range poolsPerDomain {
		cfg.Pools = append(cfg.Pools, opconfig.Pool{
			Name: model.PoolName(fmt.Sprintf("pool-%02d", i)), Kind: opconfig.KindEngine,
			Models: []model.ModelName{model.ModelName(fmt.Sprintf("model-%02d", i))},
		})
	}
	for i := range endpoints {
		cfg.Endpoints = append(cfg.Endpoints, opconfig.Endpoint{
			Name: model.EndpointName(fmt.Sprintf("engine-%05d", i)), Pool: cfg.Pools[i%poolsPerDomain].Name,
			Domain: domainName(i % domains), Address: fmt.Sprintf("10.1.%d.%d:8000", i/200, i%200+1), Room: 64,
		})
	}
	return cfg
}

func domainName(i int) model.DomainName { return model.DomainName(fmt.Sprintf("domain-%02d", i)) }
