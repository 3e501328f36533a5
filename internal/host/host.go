// Package host is the shell of an entry host: the control loop that owns all
// control state, the goroutines that carry traffic, start and graceful
// shutdown.
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
	// Incarnation tells this process from its predecessors.
	Incarnation model.Incarnation
	// Seed starts the random choices.
	Seed uint64
	// PlatformLog is the platform's log.
	PlatformLog port.Log
	// Engines and Services reach the endpoints.
	Engines  port.EngineClient
	Services port.ServiceClient
	// HostList is the platform's list of hosts.
	HostList port.HostList
	// Weights is the platform's weight store; nil for a host that gives no
	// orders to endpoints.
	Weights port.WeightStore
	// Peers reaches the other hosts.
	Peers port.PeerTransport
	// PeerAddress is where this host serves its peers.
	PeerAddress string
	// Seeds are peer addresses to try while the list is out of reach.
	Seeds []string
	// HeartbeatEvery is the time between rounds of heartbeats.
	HeartbeatEvery time.Duration
	// ListEvery is the time between reads of the host list.
	ListEvery time.Duration
	// Secret authenticates tickets among the hosts.
	Secret []byte
	// MaxOutcome is the largest answer in bytes that is recorded for retries.
	MaxOutcome int
	// Retention is how long the platform's log keeps a record.
	Retention time.Duration
	// Log takes the host's log lines.
	Log log.Interface
	// Metrics counts what the host decides; nil for no counting.
	Metrics *metrics.Metrics
}

// Host is an entry host.
type Host struct {
	opts    Options
	metrics *metrics.Metrics
	loop    *controlLoop
	control *control
	catalog atomic.Pointer[catalog.Catalog]
	// accepted is the record of the configuration in force.
	accepted atomic.Pointer[port.ConfigRecord]
	leaving  atomic.Bool
	guard    *effects.Guard
	// members are the other hosts of the own failure domain.
	members atomic.Pointer[[]effects.Member]
	// leaveAsked is closed when the host is told to leave.
	leaveAsked chan struct{}
	leaveOnce  sync.Once
	traffic    traffic
	// orders gives orders to endpoints; nil without a weight store.
	orders  *orders.Controller
	ctx     context.Context
	stop    context.CancelFunc
	workers sync.WaitGroup
}

// New builds a host. It serves nothing until Start.
func New(opts Options) *Host {
	if opts.Metrics == nil {
		opts.Metrics = metrics.Discard()
	}
	opts.PlatformLog = meteredLog{Log: opts.PlatformLog, metrics: opts.Metrics}
	if opts.Peers != nil {
		opts.Peers = meteredPeers{PeerTransport: opts.Peers, metrics: opts.Metrics}
	}
	h := &Host{opts: opts, metrics: opts.Metrics, leaveAsked: make(chan struct{})}
	h.traffic.idle = make(chan struct{}, 1)
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

// Start runs the control loop and the pollers until Close.
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
		h.workers.Go(func() { h.beat(ctx) })
	}
	if h.opts.HostList != nil {
		h.workers.Go(func() { h.followList(ctx) })
	}
}

// Close ends the control loop and the pollers. Requests in progress fail, so
// Drain comes first in a graceful shutdown.
func (h *Host) Close() {
	if h.orders != nil {
		h.orders.Close()
	}
	h.guard.Close()
	h.stop()
	h.workers.Wait()
}

// Ready says whether the host takes requests.
func (h *Host) Ready() bool {
	return h.catalog.Load() != nil && h.guard.Ready() && !h.leaving.Load()
}

// Drain refuses new requests and waits until those in progress have ended,
// however long that takes, or until ctx ends.
func (h *Host) Drain(ctx context.Context) error {
	h.leaving.Store(true)
	h.announceLeaving()
	if h.opts.HostList != nil {
		h.background(func(ctx context.Context) { _ = h.announce(ctx) })
	}
	return h.traffic.wait(ctx)
}

// traffic counts the requests in progress.
type traffic struct {
	running atomic.Int64
	idle    chan struct{}
}

func (t *traffic) begin() { t.running.Add(1) }

func (t *traffic) end() {
	if t.running.Add(-1) > 0 {
		return
	}
	select {
	case t.idle <- struct{}{}:
	default:
	}
}

// drainCheckEvery bounds how late wait sees that the last request has ended.
const drainCheckEvery = 50 * time.Millisecond

func (t *traffic) wait(ctx context.Context) error {
	ticker := time.NewTicker(drainCheckEvery)
	defer ticker.Stop()
	for t.running.Load() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.idle:
		case <-ticker.C:
		}
	}
	return nil
}
