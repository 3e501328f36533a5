package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/balance"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

const (
	// firstResponseFactor and minFirstResponseTimeout define the timeout for the
	// first response to a request that may be repeated: a multiple of the
	// route's target, and the minimum.
	firstResponseFactor     = 3
	minFirstResponseTimeout = 700 * time.Millisecond
	// eventGapFactor and minEventTimeout define the timeout between two events
	// of a stream that may be resumed: a multiple of the route's longest gap,
	// and the minimum.
	eventGapFactor  = 5
	minEventTimeout = 1200 * time.Millisecond
	// stallAfter is the time without an event after which a stream's endpoint
	// is avoided. Engines produce an event every few tens of milliseconds.
	stallAfter = 400 * time.Millisecond
)

// stallWatch monitors an attempt's response. It reports to the control loop when
// a stream stalls, and cancels the attempt when its endpoint is silent for long
// and another one could run the request.
type stallWatch struct {
	exchange *exchange
	id       model.RequestID
	endpoint model.EndpointName
	address  string
	// timeout cancels the attempt; nil when it may not be repeated.
	timeout *time.Timer
	// stall reports a stall; nil before the first event.
	stall    *time.Timer
	mu       sync.Mutex
	reported bool
}

// startWatch returns a watch on an attempt and starts the timeout for its first
// response, which calls cancel. Requests that may not be repeated wait until
// their time limit.
func (x *exchange) startWatch(cancel context.CancelCauseFunc, decision balance.Decision) *stallWatch {
	w := &stallWatch{exchange: x, id: x.req.ID, endpoint: decision.Endpoint, address: decision.Address}
	if x.route.CanRetry() && x.possibleRuns+1 < x.route.MaxAttempts {
		limit := max(firstResponseFactor*x.route.LatencyTarget, minFirstResponseTimeout)
		w.timeout = time.AfterFunc(limit, func() { cancel(errSilent) })
	}
	return w
}

// resume starts the timeouts for the next event: that of the attempt, and that
// after which a stall is reported.
func (w *stallWatch) resume() {
	if w.timeout != nil {
		w.timeout.Reset(max(eventGapFactor*w.exchange.route.MaxGap, minEventTimeout))
	}
	if w.stall == nil {
		w.stall = time.AfterFunc(stallAfter, func() { w.report(true) })
		return
	}
	w.stall.Reset(stallAfter)
}

// pause stops the timeouts when events have arrived, and reports the end of a
// stall.
func (w *stallWatch) pause() {
	if w.timeout != nil {
		w.timeout.Stop()
	}
	if w.stall != nil {
		w.stall.Stop()
		w.report(false)
	}
}

// stop ends the monitoring and reports the end of a stall.
func (w *stallWatch) stop() { w.pause() }

// report reports a change to the control loop. On a stall it also drops the open
// connections to the endpoint.
func (w *stallWatch) report(stalled bool) {
	w.mu.Lock()
	changed := w.reported != stalled
	w.reported = stalled
	w.mu.Unlock()
	if !changed {
		return
	}
	w.exchange.gateway.setStalled(w.id, stalled)
	if stalled {
		w.exchange.gateway.opts.Endpoints.DropConnections(w.endpoint, w.address)
	}
}
