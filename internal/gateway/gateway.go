// Package gateway is the shell of an entry host that passes requests on
// unchanged: the control loop that owns placement, the list of endpoints and
// what other hosts tell, the goroutines that carry requests, and those that
// follow the platform's lists.
package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/wigeonsail/wigeonsail/internal/core/attempt"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/core/routing"
	"github.com/wigeonsail/wigeonsail/internal/loop"
	"github.com/wigeonsail/wigeonsail/internal/metrics"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

// Options configures a Gateway.
type Options struct {
	// Host, Domain and Incarnation are this host's own.
	Host        model.HostID
	Domain      model.DomainName
	Incarnation model.Incarnation
	// Seed starts the random choices between the pools of a route, and between
	// many endpoints.
	Seed uint64
	// Endpoints sends requests.
	Endpoints port.EndpointClient
	// Lists are the platform's lists, Decoder translates their values.
	Lists   port.ListReader
	Decoder port.ListDecoder
	// ListEvery is the time between reads of the list of endpoints.
	ListEvery time.Duration
	// Peers tells other hosts what this one does; nil for a single host.
	Peers port.LoadShareClient
	// PeerAddress is where this host serves its peers, Seeds are addresses of
	// others to begin with.
	PeerAddress string
	Seeds       []string
	// ShareEvery is the least time between two digests to a peer.
	ShareEvery time.Duration
	// Link is the speed of this host's link in Mbit/s.
	Link float64
	// Budget bounds the retries of all hosts together.
	Budget attempt.WindowOptions
	// Warm says that the endpoints have served other hosts before.
	Warm bool
	Log  log.Interface
	// Metrics counts what the host decides; nil for no counting.
	Metrics *metrics.Metrics
}

// Gateway is an entry host.
type Gateway struct {
	opts    Options
	loop    *loop.Loop
	control *control
	// table and record belong to the configuration in force.
	table  atomic.Pointer[routing.Table]
	record atomic.Pointer[port.ConfigRecord]
	// usable says that the list has endpoints.
	usable  atomic.Bool
	leaving atomic.Bool
	// reading says that this host reads the platform's lists itself. listNews
	// asks it to read the list of endpoints at once.
	reading  atomic.Bool
	listNews chan struct{}
	// configNews asks it to read the configuration.
	configNews chan struct{}
	draws      draws
	// sequence numbers the requests.
	sequence atomic.Uint64
	ctx      context.Context
	stop     context.CancelFunc
	workers  sync.WaitGroup
}

var (
	_ port.CallRouter  = (*Gateway)(nil)
	_ port.LoadHandler = (*Gateway)(nil)
)

// New builds a Gateway. It serves nothing until Start.
func New(opts Options) *Gateway {
	if opts.Metrics == nil {
		opts.Metrics = metrics.Discard()
	}
	g := &Gateway{opts: opts, loop: loop.New(), draws: newDraws(opts.Seed), listNews: make(chan struct{}, 1), configNews: make(chan struct{}, 1)}
	g.reading.Store(true)
	g.control = newControl(g)
	return g
}

// tickEvery is the time between ticks of the control loop.
const tickEvery = 20 * time.Millisecond

// Start runs the control loop and follows the lists until Close.
func (g *Gateway) Start() {
	g.ctx, g.stop = context.WithCancel(context.Background())
	g.workers.Go(func() { g.loop.Run(g.ctx, tickEvery, g.control.tick) })
	g.workers.Go(func() { g.followConfig(g.ctx) })
	g.workers.Go(func() { g.followEndpoints(g.ctx) })
	g.Configure(g.opts.Budget, g.opts.Seeds)
}

// Configure takes the settings that may change while the host serves.
func (g *Gateway) Configure(budget attempt.WindowOptions, seeds []string) {
	g.loop.Post(loop.Func(func(now time.Time) {
		g.control.balancer.SetBudget(budget)
		for _, address := range seeds {
			g.control.peers.learn(now, address, true)
		}
	}))
}

// Close ends the control loop. Requests in progress fail, so callers are
// drained first.
func (g *Gateway) Close() {
	g.stop()
	g.workers.Wait()
}

// Ready implements port.CallRouter.
func (g *Gateway) Ready() bool {
	return g.table.Load() != nil && g.usable.Load() && !g.leaving.Load()
}

// Leaving implements port.CallRouter.
func (g *Gateway) Leaving() bool { return g.leaving.Load() }

// Limits implements port.CallRouter. They are zero without a configuration.
func (g *Gateway) Limits() routing.Limits {
	table := g.table.Load()
	if table == nil {
		return routing.Limits{}
	}
	return table.Limits()
}

// Leave makes the host not ready. It goes on serving what reaches it.
func (g *Gateway) Leave() { g.leaving.Store(true) }

// background runs work outside the control loop until Close.
func (g *Gateway) background(work func(ctx context.Context)) {
	g.workers.Go(func() { work(g.ctx) })
}

// ask runs read on the control loop, where it must not wait, and returns its
// result. It returns false when the loop has ended.
func ask[T any](ctx context.Context, g *Gateway, read func(now time.Time) T) (T, bool) {
	var none T
	reply := make(chan T, 1)
	if !g.loop.Offer(loop.Func(func(now time.Time) { reply <- read(now) })) {
		return none, false
	}
	select {
	case result := <-reply:
		return result, true
	case <-ctx.Done():
		return none, false
	case <-g.loop.Stopped():
		return none, false
	}
}
