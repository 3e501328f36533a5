// Package orders sends orders to the engines of a failure domain while this
// host holds the domain's lease. An order is a control command that loads a model
// or changes a role. The decisions are made by the core packages lease and
// order; this package reads the lease stream, limits the rate of calls to the
// weight store, and sends the orders.
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
	// DefaultOrderTimeout bounds one attempt of an order.
	DefaultOrderTimeout = 2 * time.Second
	// safetyMargin covers clocks that run at different speeds, and the time from
	// the check of the lease to the first byte of an order.
	safetyMargin = time.Second
	// loadRetryAfter and roleRetryAfter are the times within which an engine has
	// to report the target state of an order before it is sent again.
	loadRetryAfter = time.Minute
	roleRetryAfter = 3 * time.Second
	// weightCallsPerSecond and weightBurst are the lease holder's share of the
	// weight store's rate limit.
	weightCallsPerSecond = 0.5
	weightBurst          = 2
	// maxOrdersRunning bounds the concurrently running orders.
	maxOrdersRunning = 8
	// tickEvery is the interval between checks of the lease and the plan.
	tickEvery = 250 * time.Millisecond
	// readWait and readMax bound the wait and the records of one read of the
	// lease stream; readRetryAfter is the delay after a failed one.
	readWait       = 5 * time.Second
	readMax        = 100
	readRetryAfter = 500 * time.Millisecond
)

// Options configures a Controller.
type Options struct {
	// Loop owns the Controller's control state. It must call Tick regularly.
	Loop *loop.Loop
	// Host, Incarnation and Domain identify this host.
	Host        model.HostID
	Incarnation model.Incarnation
	Domain      model.DomainName
	// PlatformLog, Engines and Weights are the external services.
	PlatformLog port.Log
	Engines     port.EngineClient
	Weights     port.WeightStore
	// Desired returns the desired states of the failure domain's engines.
	Desired func() []order.DesiredState
	// Lease and OrderTimeout must be equal on all hosts; 0 for the defaults.
	Lease        time.Duration
	OrderTimeout time.Duration
	Log          log.Interface
}

// Controller sends the orders of a failure domain while this host holds its
// lease. The control loop owns the state of the lease and of the plan.
type Controller struct {
	opts          Options
	keeper        *lease.Keeper
	planner       *order.Planner
	weightLimiter *rate.Limiter
	ctx           context.Context
	stop          context.CancelFunc
	workers       sync.WaitGroup
	// started reports that orders may be sent; lastTick is the time of the last
	// check for due orders.
	started  bool
	lastTick time.Time
	// runningOrders is the number of orders in progress.
	runningOrders int
	// caughtUp reports that the lease stream has been read to its end.
	caughtUp bool
	// loggedHolding is the state that logLeaseChange logged last.
	loggedHolding bool
}

// New returns a Controller. It sends no orders before Start.
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
			Duration: opts.Lease, OrderTimeout: opts.OrderTimeout, Margin: safetyMargin,
		}),
		planner:       order.New(order.Options{LoadRetryAfter: loadRetryAfter, RoleRetryAfter: roleRetryAfter}),
		weightLimiter: rate.NewLimiter(weightCallsPerSecond, weightBurst),
	}
}

// Report records an engine's load report. It never blocks: if the control loop's
// queue is full, the report is dropped, since another one follows.
func (c *Controller) Report(name model.EndpointName, load port.EngineLoad) {
	made := time.Now().Add(-load.Age)
	c.opts.Loop.TryPost(loop.Func(func(time.Time) {
		c.planner.ObserveReport(name, order.Report{Models: load.Models, Role: load.Role, Made: made})
	}))
}

// post passes an event to the control loop.
func (c *Controller) post(ev loop.Func) { c.opts.Loop.Post(ev) }

// Start starts reading the lease stream, until Close, and allows orders.
func (c *Controller) Start() {
	c.ctx, c.stop = context.WithCancel(context.Background())
	c.workers.Go(func() { c.followLease(c.ctx) })
	c.post(func(time.Time) { c.started = true })
}

// Close stops sending orders, waits for those in progress and releases the lease.
// The control loop must still be running.
func (c *Controller) Close() {
	released := make(chan *lease.Record, 1)
	c.post(func(now time.Time) {
		c.started = false
		rec, _ := c.keeper.Release(now, rand.Uint64())
		released <- rec
	})
	var rec *lease.Record
	select {
	case rec = <-released:
	case <-c.opts.Loop.Stopped():
	}
	c.stop()
	c.workers.Wait()
	c.appendRelease(rec)
}

// Tick renews the lease and sends due orders, at most once per tickEvery. It must
// be called by the control loop only.
func (c *Controller) Tick(now time.Time) {
	if !c.started || now.Sub(c.lastTick) < tickEvery {
		return
	}
	c.lastTick = now
	c.tick(c.ctx, now)
}

// tick renews the lease and, while this host holds it, sends the due orders.
func (c *Controller) tick(ctx context.Context, now time.Time) {
	if rec, due := c.dueLeaseRecord(now); due {
		c.workers.Go(func() { c.appendRecord(ctx, rec) })
	}
	c.logLeaseChange(now)
	if _, ok := c.keeper.FencingNumber(now); !ok {
		return
	}
	c.planner.SetDesired(c.opts.Desired())
	for _, o := range c.planner.TakeDue(now, maxOrdersRunning-c.runningOrders) {
		c.dispatch(ctx, o)
	}
}

// dueLeaseRecord returns the lease record to append now, if any. There is none
// before the lease stream has been read to its end.
func (c *Controller) dueLeaseRecord(now time.Time) (*lease.Record, bool) {
	if !c.caughtUp {
		return nil, false
	}
	return c.keeper.DueRecord(now, rand.Uint64())
}

// logLeaseChange logs that this host has acquired or lost the lease.
func (c *Controller) logLeaseChange(now time.Time) {
	fencing, holding := c.keeper.FencingNumber(now)
	if holding == c.loggedHolding {
		return
	}
	c.loggedHolding = holding
	if holding {
		c.opts.Log.Infof("orders: this host holds the lease of %s, fencing number %d", c.opts.Domain, fencing)
		return
	}
	c.opts.Log.Warnf("orders: this host no longer holds the lease of %s", c.opts.Domain)
}

// dispatch sends one order in the background while this host holds the lease.
// Loading a model additionally counts against the rate limit of the weight store;
// if that is exceeded, the order is withdrawn.
func (c *Controller) dispatch(ctx context.Context, o order.Order) {
	fencing, ok := c.keeper.FencingNumber(time.Now())
	if !ok || (o.Kind == order.LoadModel && !c.weightLimiter.Allow()) {
		c.planner.Withdraw(o)
		return
	}
	c.runningOrders++
	c.workers.Go(func() {
		err := c.send(ctx, o, fencing)
		c.post(func(now time.Time) {
			c.runningOrders--
			c.planner.Done(now, o)
			c.logResult(o, fencing, err)
		})
	})
}

func (c *Controller) logResult(o order.Order, fencing model.Offset, err error) {
	if err != nil {
		c.opts.Log.Warnf("orders: %s %s at %s failed: %v", o.Kind, o.Target, o.Endpoint, err)
		return
	}
	c.opts.Log.Infof("orders: sent %s %s to %s with fencing number %d", o.Kind, o.Target, o.Endpoint, fencing)
}

// send sends one order within the order timeout, which includes the call to the
// weight store.
func (c *Controller) send(ctx context.Context, o order.Order, fencing model.Offset) error {
	ctx, cancel := context.WithTimeout(ctx, c.opts.OrderTimeout)
	defer cancel()
	if o.Kind == order.LoadModel {
		if _, err := c.opts.Weights.Stat(ctx, model.ModelName(o.Target)); err != nil {
			return err
		}
	}
	return c.opts.Engines.Order(ctx, o.Address, port.EngineOrder{
		Kind: string(o.Kind), Target: o.Target, Fencing: fencing,
	})
}
