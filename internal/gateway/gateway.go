// Package gateway implements an entry host that forwards requests unchanged. It
// contains the control loop, which owns placement, the list of endpoints and
// the state received from other hosts, the goroutines that forward requests,
// and the goroutines that follow the platform's lists.
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
	"github.com/wigeonsail/wigeonsail/internal/core/rundurations"
	"github.com/wigeonsail/wigeonsail/internal/loop"
	"github.com/wigeonsail/wigeonsail/internal/metrics"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

// Options configures a Gateway.
type Options struct {
	// Host, Domain and Incarnation identify this host.
	Host        model.HostID
	Domain      model.DomainName
	Incarnation model.Incarnation
	// Build is the build of this host, which it states to others.
	Build model.Build
	// Seed seeds the random choices between the pools of a route and between
	// endpoints.
	Seed uint64
	// Endpoints sends requests to endpoints.
	Endpoints port.EndpointClient
	// Mover moves runs between endpoints; nil if they stay where they are.
	Mover port.RunMover
	// Lists reads the platform's lists; Decoder decodes their values.
	Lists   port.ListReader
	Decoder port.ListDecoder
	// Quarantine keeps what crashes endpoints while no host runs, and selects the host that
	// may send a suspended request; nil for a single host that keeps it in memory only.
	Quarantine port.QuarantineStore
	// Versions keeps which software versions the pools have had while no host runs; nil to
	// keep them in memory only.
	Versions port.VersionStore
	// ListReadInterval is the time between reads of the list of endpoints.
	ListReadInterval time.Duration
	// Peers sends load digests to other hosts and fetches from them; nil for a
	// single host.
	Peers port.LoadShareClient
	// PeerAddress is the address at which this host serves its peers. Seeds are
	// the initial addresses of other hosts.
	PeerAddress string
	Seeds       []string
	// MinDigestInterval is the minimum time between two load digests to a peer.
	MinDigestInterval time.Duration
	// MemoryLimit is the number of bytes that may be held for the requests in progress; 0 for
	// no limit.
	MemoryLimit int64
	// LinkMbps is the speed of this host's network link in Mbit/s.
	LinkMbps float64
	// Budget limits the retries of all hosts together.
	Budget attempt.SharedBudgetOptions
	// Duties are the calls to the platform that one host at a time makes; nil for none.
	Duties *Duties
	// Warm reports that the endpoints have already served other hosts.
	Warm bool
	// Boot returns a time that also counts while the host is suspended, unlike that of package
	// time; nil if it never is.
	Boot func() time.Time
	// FairShares divides pools that are short of room among client accounts.
	FairShares bool
	Log        log.Interface
	// Metrics counts this host's decisions; nil disables counting.
	Metrics *metrics.Metrics
}

// Gateway is an entry host.
type Gateway struct {
	opts    Options
	loop    *loop.Loop
	control *control
	// table and record hold the configuration in force.
	table  atomic.Pointer[routing.Table]
	record atomic.Pointer[port.ConfigRecord]
	// configConfirmed is when the configuration in force was last known to be the newest
	// one; nil for never.
	configConfirmed atomic.Pointer[confirmation]
	suspension      suspension
	// usable reports whether any endpoint accepts requests.
	usable  atomic.Bool
	leaving atomic.Bool
	// departure is the end of this host once it leaves.
	departure departure
	// pathsLost reports that this host has no paths to endpoints.
	pathsLost atomic.Bool
	// closesConnections reports that this host has no paths to endpoints, nor other hosts
	// that send attempts for it.
	closesConnections atomic.Bool
	// attempts are the attempts in progress that may be given up.
	attempts openAttempts
	// moves are the streams that can be moved.
	moves runMoves
	// watchingCrashes reports whether endpoints that begin to answer must be recorded, as
	// crashes or suspects are known.
	watchingCrashes atomic.Bool
	// answered are the parts of prompts that endpoints have answered.
	answered *answeredParts
	// skippedEntries logs entries that cannot be decoded, for the reader of the list of
	// endpoints.
	skippedEntries skippedEntries
	// reading reports whether this host reads the platform's lists itself.
	// readListNow requests an immediate read of the list of endpoints.
	reading     atomic.Bool
	readListNow chan struct{}
	// readConfigNow requests an immediate read of the configuration.
	readConfigNow chan struct{}
	rng           lockedRand
	memory        *memoryAccount
	// peerAttempts are the attempts in progress for other hosts.
	peerAttempts peerAttempts
	// sequence numbers the requests.
	sequence atomic.Uint64
	ctx      context.Context
	stop     context.CancelFunc
	workers  sync.WaitGroup
}

var (
	_ port.CallRouter     = (*Gateway)(nil)
	_ port.LoadHandler    = (*Gateway)(nil)
	_ port.AttemptHandler = (*Gateway)(nil)
)

// New returns a Gateway. It serves nothing until Start is called.
func New(opts Options) *Gateway {
	if opts.Metrics == nil {
		opts.Metrics = metrics.Discard()
	}
	g := &Gateway{
		opts: opts, loop: loop.New(), rng: newLockedRand(opts.Seed), skippedEntries: newSkippedEntries(), answered: newAnsweredParts(),
		suspension: newSuspension(opts.Boot), readListNow: make(chan struct{}, 1), readConfigNow: make(chan struct{}, 1),
	}
	g.reading.Store(true)
	g.departure.durations = rundurations.New()
	g.departure.ended, g.departure.end = context.WithCancel(context.Background())
	g.memory = newMemoryAccount(g, opts.MemoryLimit)
	g.control = newControl(g)
	return g
}

// tickInterval is the time between ticks of the control loop.
const tickInterval = 20 * time.Millisecond

// Start runs the control loop and follows the platform's lists until Close.
func (g *Gateway) Start() {
	g.ctx, g.stop = context.WithCancel(context.Background())
	g.workers.Go(func() { g.loop.Run(g.ctx, tickInterval, g.control.tick) })
	g.workers.Go(func() { g.followConfig(g.ctx) })
	g.workers.Go(func() { g.followEndpoints(g.ctx) })
	g.workers.Go(func() { g.loadQuarantine(g.ctx) })
	g.workers.Go(func() { g.loadVersions(g.ctx) })
	if g.control.duties != nil {
		g.workers.Go(func() { g.control.duties.follow(g.ctx) })
	}
	g.Configure(g.opts.Budget, g.opts.Seeds)
}

// Configure sets the retry budget and adds seed addresses, which may be done
// while the host serves. Seeds of earlier calls are kept.
func (g *Gateway) Configure(budget attempt.SharedBudgetOptions, seeds []string) {
	g.loop.Post(loop.Func(func(now time.Time) {
		g.control.balancer.SetBudget(budget)
		for _, address := range seeds {
			g.control.peers.add(now, address, true)
		}
	}))
}

// Close stops the control loop and waits for all goroutines. Requests in
// progress fail, so callers must be drained first.
func (g *Gateway) Close() {
	g.stop()
	g.workers.Wait()
}

// Ready reports whether the host has a configuration and a usable endpoint and is
// not leaving. It implements port.CallRouter.
func (g *Gateway) Ready() bool {
	return g.table.Load() != nil && g.usable.Load() && !g.leaving.Load()
}

// Leaving implements port.CallRouter.
func (g *Gateway) Leaving() bool { return g.leaving.Load() }

// Limits implements port.CallRouter. The limits are zero without a
// configuration.
func (g *Gateway) Limits() routing.Limits {
	table := g.table.Load()
	if table == nil {
		return routing.Limits{}
	}
	return table.Limits()
}

// Leave makes the host not ready. Requests that still arrive are served.
func (g *Gateway) Leave() { g.leaving.Store(true) }

// background runs work in a goroutine outside the control loop. Its context
// ends at Close.
func (g *Gateway) background(work func(ctx context.Context)) {
	g.workers.Go(func() { work(g.ctx) })
}

// queryLoop runs read on the control loop and returns its result. read must not
// block. The second result is false when ctx has ended, or when the loop has
// stopped or its queue is full; read may run nevertheless.
func queryLoop[T any](ctx context.Context, g *Gateway, read func(now time.Time) T) (T, bool) {
	var none T
	reply := make(chan T, 1)
	if !g.loop.TryPost(loop.Func(func(now time.Time) { reply <- read(now) })) {
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
