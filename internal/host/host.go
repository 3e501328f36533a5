// Package host runs an entry host: the control loop, which owns all control
// state, the goroutines that serve requests, and start and graceful shutdown.
package host

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/wigeonsail/wigeonsail/internal/core/catalog"
	"github.com/wigeonsail/wigeonsail/internal/core/dispatch"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/effects"
	"github.com/wigeonsail/wigeonsail/internal/loop"
	"github.com/wigeonsail/wigeonsail/internal/metrics"
	"github.com/wigeonsail/wigeonsail/internal/orders"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

// Options configures a Host.
type Options struct {
	// ID names the host.
	ID model.HostID
	// Domain is the host's failure domain.
	Domain model.DomainName
	// Incarnation distinguishes this process from earlier processes of the
	// host.
	Incarnation model.Incarnation
	// Seed is the seed of random choices.
	Seed uint64
	// PlatformLog is the log service of the platform.
	PlatformLog port.Log
	// Engines and Services are the clients of the endpoints.
	Engines  port.EngineClient
	Services port.ServiceClient
	// HostList is the platform's list of hosts; nil for a host that neither
	// reads it nor announces itself there.
	HostList port.HostList
	// Weights is the platform's store of model weights; nil for a host that
	// gives no orders to endpoints.
	Weights port.WeightStore
	// Peers is the client of the other hosts; nil for a host that calls none.
	Peers port.PeerTransport
	// PeerAddress is the address at which this host serves its peers.
	PeerAddress string
	// Seeds are peer addresses to try while the host list is unreachable.
	Seeds []string
	// HeartbeatEvery is the interval between rounds of heartbeats.
	HeartbeatEvery time.Duration
	// ListEvery is the shortest interval between reads of the host list.
	ListEvery time.Duration
	// Secret is the key with which the hosts authenticate tickets.
	Secret []byte
	// MaxOutcome is the size in bytes of the largest response body that is
	// recorded for retries.
	MaxOutcome int
	// Retention is how long the platform's log keeps a record.
	Retention time.Duration
	// Log is the logger of the host.
	Log log.Interface
	// Metrics counts the host's decisions; nil to count nothing.
	Metrics *metrics.Metrics
}

// Host is an entry host.
type Host struct {
	opts    Options
	metrics *metrics.Metrics
	loop    *controlLoop
	control *control
	// catalog indexes the configuration in force; nil before the first one.
	catalog atomic.Pointer[catalog.Catalog]
	// configReadAt is when this host last read the log of configurations to its end;
	// nil for never.
	configReadAt atomic.Pointer[time.Time]
	// accepted is the record of the configuration in force.
	accepted atomic.Pointer[port.ConfigRecord]
	// leaving is set once the host refuses new requests.
	leaving atomic.Bool
	guard   *effects.Guard
	// members are the other hosts of this failure domain that are not gone.
	members atomic.Pointer[[]effects.Member]
	// leaveRequested is closed when the host is requested to leave.
	leaveRequested chan struct{}
	leaveOnce      sync.Once
	inFlight       inFlightCounter
	// orders gives orders to endpoints; nil if there is no weight store.
	orders  *orders.Controller
	ctx     context.Context
	stop    context.CancelFunc
	workers sync.WaitGroup
}

// New returns a host. It serves no requests before Start.
func New(opts Options) *Host {
	if opts.Metrics == nil {
		opts.Metrics = metrics.Discard()
	}
	opts.PlatformLog = meteredLog{Log: opts.PlatformLog, metrics: opts.Metrics}
	if opts.Peers != nil {
		opts.Peers = meteredPeers{PeerTransport: opts.Peers, metrics: opts.Metrics}
	}
	h := &Host{opts: opts, metrics: opts.Metrics, leaveRequested: make(chan struct{})}
	h.inFlight.idle = make(chan struct{}, 1)
	h.control = newControl(h, dispatch.Options{
		Host:   opts.ID,
		Domain: opts.Domain,
		Seed:   opts.Seed,
	})
	h.loop = &controlLoop{Loop: loop.New(), control: h.control}
	h.guard = newGuard(h)
	h.orders = newOrders(h)
	return h
}

// Start starts the control loop and the background goroutines, which run until
// Close.
func (h *Host) Start() {
	ctx, stop := context.WithCancel(context.Background())
	h.ctx = ctx
	h.stop = stop
	h.guard.Start()
	h.workers.Go(func() { h.loop.run(ctx) })
	h.workers.Go(func() { h.followConfig(ctx) })
	h.workers.Go(func() { h.pollEndpoints(ctx) })
	if h.orders != nil {
		h.orders.Start()
	}
	if h.opts.Peers != nil {
		h.workers.Go(func() { h.runHeartbeats(ctx) })
	}
	if h.opts.HostList != nil {
		h.workers.Go(func() { h.syncHostList(ctx) })
	}
}

// Close stops the control loop and the background goroutines and waits for them.
// Requests in progress fail, so a graceful shutdown calls Drain first.
func (h *Host) Close() {
	if h.orders != nil {
		h.orders.Close()
	}
	h.guard.Close()
	h.stop()
	h.workers.Wait()
}

// Ready reports whether the host accepts requests.
func (h *Host) Ready() bool {
	return h.catalog.Load() != nil && h.guard.Ready() && !h.leaving.Load()
}

// Drain makes the host refuse new requests, announces that it is leaving, and
// waits without a time limit until the requests in progress have ended or ctx
// ends.
func (h *Host) Drain(ctx context.Context) error {
	h.leaving.Store(true)
	h.broadcastLeaving()
	if h.opts.HostList != nil {
		h.background(func(ctx context.Context) { _ = h.announceToHostList(ctx) })
	}
	return h.inFlight.wait(ctx)
}

// inFlightCounter counts the requests in progress.
type inFlightCounter struct {
	count atomic.Int64
	// idle receives a value when the last request ends.
	idle chan struct{}
}

func (c *inFlightCounter) begin() { c.count.Add(1) }

// end counts the end of a request and, if it was the last one, wakes wait.
func (c *inFlightCounter) end() {
	if c.count.Add(-1) > 0 {
		return
	}
	select {
	case c.idle <- struct{}{}:
	default:
	}
}

// drainCheckEvery bounds the delay with which wait notices that the last request
// has ended.
const drainCheckEvery = 50 * time.Millisecond

// wait waits until no requests are in progress or ctx ends.
func (c *inFlightCounter) wait(ctx context.Context) error {
	ticker := time.NewTicker(drainCheckEvery)
	defer ticker.Stop()
	for c.count.Load() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-c.idle:
		case <-ticker.C:
		}
	}
	return nil
}
