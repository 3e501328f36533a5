package gateway

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/core/rundurations"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

// A leaving host knows when it ends, and learns how long requests last. It refuses what it
// cannot end in the time left before it is passed on.

// errHostEnds is the cause when requests in progress are ended with this host.
var errHostEnds = errors.New("this host ends")

const (
	// rotationTime is how long the platform goes on sending new connections to a host that is
	// not ready: two misses of a check each second.
	rotationTime = 2 * time.Second
	// lateSignal is how much later than the platform a busy host may notice that it has to
	// stop. What arrives that close to the end of the linger counts as arriving after it.
	lateSignal = 250 * time.Millisecond
	// likelyShare is the share of the requests of a route that have to end in the time left
	// for one to be accepted while other hosts are not yet preferred; safeShare is that for
	// later requests, and for those that cannot be repeated.
	likelyShare = 0.95
	safeShare   = 0.99
	// leavingRetryAfter is the shortest Retry-After of a leaving host. Up to as much again is
	// added at random. Retries reach other hosts.
	leavingRetryAfter = 50 * time.Millisecond
)

// Departure describes the end of a host that leaves.
type Departure struct {
	// Began is when the host began to leave.
	Began time.Time
	// Linger is the time from then on in which new requests are expected.
	Linger time.Duration
	// End is when the requests in progress are ended.
	End time.Time
}

// departure is how this host leaves, and what it knows of the durations of requests. It is
// safe for concurrent use.
type departure struct {
	// plan is nil until the host leaves, and if it leaves without a known end.
	plan atomic.Pointer[Departure]
	// ended is done when the requests in progress are ended.
	ended     context.Context
	end       context.CancelFunc
	mu        sync.Mutex
	durations *rundurations.Durations
}

// LeaveBy makes the host not ready, as Leave does, with a known end. Only the first call has
// an effect.
func (g *Gateway) LeaveBy(d Departure) {
	g.departure.plan.CompareAndSwap(nil, &d)
	g.Leave()
}

// EndRequests ends the requests in progress. Callers whose response has not begun receive an
// error response.
func (g *Gateway) EndRequests() { g.departure.end() }

// bind returns a context that ends also when the requests in progress are ended. release must
// be called.
func (d *departure) bind(ctx context.Context) (bound context.Context, release func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(d.ended, func() { cancel(errHostEnds) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// observe records that a request has used its whole time, or was answered.
func (d *departure) observe(x *exchange) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.durations.Observe(now, model.ClassName(x.route.Name), now.Sub(x.call.Arrived))
}

// quantile returns the duration that a share of the requests of a route do not exceed.
func (d *departure) quantile(now time.Time, class string, share float64) (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.durations.Quantile(now, model.ClassName(class), share)
}

// acceptsNow reports whether a request that arrives now is expected to end before this host
// does.
func (x *exchange) acceptsNow(now time.Time) bool {
	plan := x.gateway.departure.plan.Load()
	if plan == nil || x.isBoundBy(plan.End) {
		return true
	}
	sinceStop := now.Sub(plan.Began)
	if sinceStop >= plan.Linger-lateSignal {
		return false
	}
	inRotation := sinceStop < rotationTime
	share := safeShare
	if inRotation && x.route.CanRetry() {
		share = likelyShare
	}
	expected, known := x.gateway.departure.quantile(now, x.route.Name, share)
	if !known {
		return inRotation && now.Before(plan.End)
	}
	return expected <= plan.End.Sub(now)
}

// repeatsNow reports whether a further attempt for an accepted request may begin now: whether
// it is expected to end before this host does, or the response has begun, which nothing else
// can complete.
func (x *exchange) repeatsNow(now time.Time, began bool) bool {
	plan := x.gateway.departure.plan.Load()
	if plan == nil || x.isBoundBy(plan.End) {
		return true
	}
	if began {
		return now.Before(plan.End)
	}
	expected, known := x.gateway.departure.quantile(now, x.route.Name, safeShare)
	return known && expected <= plan.End.Sub(now)
}

// isBoundBy reports whether the time limit of the request ends it by a time.
func (x *exchange) isBoundBy(end time.Time) bool {
	return !x.deadline.Add(deadlineGrace).After(end)
}

// reasonLeaving is the reason of a refusal of a leaving host, in metrics.
type reasonLeaving struct{}

// String implements fmt.Stringer.
func (reasonLeaving) String() string { return "leaving" }

// leavingUnknownError is the error response to a request that may have run when this host ends.
func leavingUnknownError() *port.RequestError {
	return &port.RequestError{
		Code: port.CodeLeaving, Status: http.StatusBadGateway, Outcome: model.OutcomeUnknown,
		Message: "this host has ended before the endpoint", Cause: errHostEnds,
	}
}

// refuseLeaving returns the error response to a request that is not expected to end before this
// host does, nil for others.
func (x *exchange) refuseLeaving() *port.RequestError {
	if x.acceptsNow(time.Now()) {
		return nil
	}
	x.gateway.opts.Metrics.Refused(model.ClassName(x.route.Name), reasonLeaving{})
	return x.gateway.LeavingError()
}

// LeavingError implements port.CallRouter.
func (g *Gateway) LeavingError() *port.RequestError {
	return &port.RequestError{
		Code: port.CodeLeaving, Status: http.StatusServiceUnavailable, Outcome: model.OutcomeNotRun,
		Message:    "not run: this host leaves",
		RetryAfter: leavingRetryAfter + time.Duration(g.rng.fraction()*float64(leavingRetryAfter)),
	}
}

// addLeaving adds to a log line when the request arrived after the host began to leave, in
// milliseconds, below 0 for before, and whether its endpoint had finished.
func (x *exchange) addLeaving(f fields) fields {
	if plan := x.gateway.departure.plan.Load(); plan != nil {
		f["arrived_after_stop_ms"] = x.call.Arrived.Sub(plan.Began).Milliseconds()
		f["endpoint_finished"] = x.endpointFinished
	}
	return f
}
