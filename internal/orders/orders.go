// Package orders gives orders to the engines of a failure domain while this
// host holds the domain's lease. The decisions are those of the core packages
// lease and order; this package reads the lease stream, paces the weight store
// and sends.
package orders

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/apex/log"
	"golang.org/x/time/rate"

	"github.com/wigeonsail/wigeonsail/internal/core/lease"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/core/order"
	"github.com/wigeonsail/wigeonsail/internal/loop"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

const (
	// DefaultLease is how long a lease lasts without renewal.
	DefaultLease = 9 * time.Second
	// DefaultOrderTimeout bounds one order.
	DefaultOrderTimeout = 2 * time.Second
	// margin covers clocks that run at different speeds, and the time from a
	// permit to the first byte of its order.
	margin = time.Second
	// loadRetryAfter and roleRetryAfter are the times that an engine has to
	// show the end of an order.
	loadRetryAfter = time.Minute
	roleRetryAfter = 3 * time.Second
	// weightCallsPerSecond and weightBurst are the lease holder's part of the
	// weight store's budget.
	weightCallsPerSecond = 0.5
	weightBurst          = 2
	// maxOrdersRunning bounds the orders under way.
	maxOrdersRunning = 8
	// tickEvery is the time between looks at the lease and the plan.
	tickEvery = 250 * time.Millisecond
	// readWait and readMax bound one read of the lease stream; readRetryAfter
	// follows a failed one.
	readWait       = 5 * time.Second
	readMax        = 100
	readRetryAfter = 500 * time.Millisecond
)

// Options configures a Controller.
type Options struct {
	// Loop owns the Controller's control state. It calls Tick regularly.
	Loop *loop.Loop
	// Host, Incarnation and Domain are this host's own.
	Host        model.HostID
	Incarnation model.Incarnation
	Domain      model.DomainName
	// PlatformLog, Engines and Weights reach the world outside.
	PlatformLog port.Log
	Engines     port.EngineClient
	Weights     port.WeightStore
	// Wanted returns the wanted states of the domain's engines.
	Wanted func() []order.Wanted
	// Lease and OrderTimeout are equal on all hosts; 0 for the defaults.
	Lease        time.Duration
	OrderTimeout time.Duration
	Log          log.Interface
}

// Controller gives the orders. The control loop owns the state of the lease and the
// plan.
type Controller struct {
	opts    Options
	keeper  *lease.Keeper
	planner *order.Planner
	budget  *rate.Limiter
	ctx     context.Context
	stop    context.CancelFunc
	workers sync.WaitGroup
	// started says that orders may be given; ticked is when they were last
	// looked at.
	started bool
	ticked  time.Time
	// running counts the orders under way.
	running int
	// atEnd says that the lease stream was read to its end.
	atEnd bool
	// holding is what noteHolding logged last.
	holding bool
}

// New returns a Controller. It does nothing before Start.
func New(opts Options) *Controller {
	if opts.Lease == 0 {
		opts.Lease = DefaultLease
	}
	if opts.OrderTimeout == 0 {
		opts.OrderTimeout = DefaultOrderTimeout
	}
	return &Controller{
		opts: opts,
		keeper: lease.New(time.Now(), lease.Options{
			Host: opts.Host, Incarnation: opts.Incarnation,
			Duration: opts.Lease, OrderTimeout: opts.OrderTimeout, Margin: margin,
		}),
		planner: order.New(order.Options{LoadRetryAfter: loadRetryAfter, RoleRetryAfter: roleRetryAfter}),
		budget:  rate.NewLimiter(weightCallsPerSecond, weightBurst),
	}
}

// Report takes an engine's load report. It never waits; a report that finds
// the loop full is dropped, since another follows.
func (g *Controller) Report(name model.EndpointName, load port.EngineLoad) {
	made := time.Now().Add(-load.Age)
	g.opts.Loop.Offer(loop.Func(func(time.Time) {
		g.planner.Report(name, order.Report{Models: load.Models, Role: load.Role, Made: made})
	}))
}

// post hands an event to the control loop.
func (g *Controller) post(ev loop.Func) { g.opts.Loop.Post(ev) }

// Start follows the lease stream until Close.
func (g *Controller) Start() {
	g.ctx, g.stop = context.WithCancel(context.Background())
	g.workers.Go(func() { g.follow(g.ctx) })
	g.post(func(time.Time) { g.started = true })
}

// Close gives no more orders, waits for those under way and gives the lease
// back. The control loop must still run.
func (g *Controller) Close() {
	released := make(chan *lease.Record, 1)
	g.post(func(now time.Time) {
		g.started = false
		rec, _ := g.keeper.Release(now, rand.Uint64())
		released <- rec
	})
	var rec *lease.Record
	select {
	case rec = <-released:
	case <-g.opts.Loop.Stopped():
	}
	g.stop()
	g.workers.Wait()
	g.release(rec)
}

// Tick lets time pass. Only the control loop calls it.
func (g *Controller) Tick(now time.Time) {
	if !g.started || now.Sub(g.ticked) < tickEvery {
		return
	}
	g.ticked = now
	g.tick(g.ctx, now)
}

// tick renews the lease and gives the orders that are due.
func (g *Controller) tick(ctx context.Context, now time.Time) {
	if rec, due := g.dueRecord(now); due {
		g.workers.Go(func() { g.append(ctx, rec) })
	}
	g.noteHolding(now)
	if _, ok := g.keeper.Permit(now); !ok {
		return
	}
	g.planner.SetWanted(g.opts.Wanted())
	for _, o := range g.planner.Due(now, maxOrdersRunning-g.running) {
		g.give(ctx, o)
	}
}

func (g *Controller) dueRecord(now time.Time) (*lease.Record, bool) {
	if !g.atEnd {
		return nil, false
	}
	return g.keeper.Due(now, rand.Uint64())
}

// noteHolding logs the begin and the end of an own term.
func (g *Controller) noteHolding(now time.Time) {
	fencing, holding := g.keeper.Permit(now)
	if holding == g.holding {
		return
	}
	g.holding = holding
	if holding {
		g.opts.Log.Infof("orders: this host holds the lease of %s, fencing number %d", g.opts.Domain, fencing)
		return
	}
	g.opts.Log.Warnf("orders: this host no longer holds the lease of %s", g.opts.Domain)
}

// give sends one order while the lease permits it. A load takes a call from
// the weight store's budget first.
func (g *Controller) give(ctx context.Context, o order.Order) {
	fencing, ok := g.keeper.Permit(time.Now())
	if !ok || (o.Kind == order.LoadModel && !g.budget.Allow()) {
		g.planner.Withdraw(o)
		return
	}
	g.running++
	g.workers.Go(func() {
		err := g.send(ctx, o, fencing)
		g.post(func(now time.Time) {
			g.running--
			g.planner.Done(now, o)
			g.noteEnd(o, fencing, err)
		})
	})
}

func (g *Controller) noteEnd(o order.Order, fencing model.Offset, err error) {
	if err != nil {
		g.opts.Log.Warnf("orders: %s %s at %s: %v", o.Kind, o.Target, o.Endpoint, err)
		return
	}
	g.opts.Log.Infof("orders: gave %s %s to %s with fencing number %d", o.Kind, o.Target, o.Endpoint, fencing)
}

// send does one order within the order timeout, the call to the weight store
// included.
func (g *Controller) send(ctx context.Context, o order.Order, fencing model.Offset) error {
	ctx, cancel := context.WithTimeout(ctx, g.opts.OrderTimeout)
	defer cancel()
	if o.Kind == order.LoadModel {
		if _, err := g.opts.Weights.Stat(ctx, model.ModelName(o.Target)); err != nil {
			return err
		}
	}
	return g.opts.Engines.Order(ctx, o.Address, port.EngineOrder{
		Kind: string(o.Kind), Target: o.Target, Fencing: fencing,
	})
}
