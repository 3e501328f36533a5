package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/attempt"
	"github.com/wigeonsail/wigeonsail/internal/core/balance"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/core/resume"
)

const (
	// firstResponseFactor and minFirstResponseTimeout define the timeout for the
	// first response to a request that may be repeated: a multiple of the
	// route's target, and the minimum.
	firstResponseFactor     = 3
	minFirstResponseTimeout = 700 * time.Millisecond
	// eventGapFactor and minEventTimeout define the timeout between two events
	// of a stream that may be resumed: a multiple of the route's longest gap,
	// and the minimum. A sound endpoint may be silent for 1.5 s, and callers leave after 2 s.
	eventGapFactor  = 5
	minEventTimeout = 1600 * time.Millisecond
	// stallAfter is the time without an event after which a stream's endpoint
	// is avoided. Engines produce an event every few tens of milliseconds.
	stallAfter = 400 * time.Millisecond
	// giveUpInterval is the time between two attempts to find a place for a request whose
	// endpoint is silent.
	giveUpInterval = 500 * time.Millisecond
)

// stallWatch monitors an attempt's response. It reports to the control loop when
// a stream stalls, and gives the attempt up when its endpoint is silent for long
// and another one has a place for the request.
type stallWatch struct {
	exchange *exchange
	id       model.RequestID
	endpoint model.EndpointName
	address  string
	// ctx is the context of the attempt, which cancel ends.
	ctx    context.Context
	cancel context.CancelCauseFunc
	// timeout gives up the attempt; nil if the request can never be sent again.
	timeout *time.Timer
	// stall reports a stall, drop closes the idle connections to a silent endpoint; nil before
	// the first event.
	stall, drop *time.Timer
	mu          sync.Mutex
	reported    bool
	// silence numbers the times of silence, so that a decision about one does not end a
	// later one.
	silence int
	// ended reports that all of the response has arrived, so that silence says nothing.
	ended bool
	// due is when timeout expires; zero while paused. A timer that has expired runs its
	// function later on a busy host, also after events have arrived.
	due  time.Time
	next nextAttempt
	// reserved is the next attempt after this one was given up.
	reserved *reservation
	// logged reports whether it was logged that the attempt was not given up.
	logged bool
}

// nextAttempt is what follows if an attempt is given up. It is a copy for the timers.
type nextAttempt struct {
	request balance.Request
	// allowed reports whether an attempt may follow this one within its time limit, began
	// whether the caller has received the beginning of the response.
	allowed, began bool
	// source is who wrote the beginning.
	source resume.Source
	failed attempt.FailedAttempt
}

// startWatch returns a watch on an attempt and starts the timeout for its first
// response. Requests that may not be repeated wait until their time limit.
func (x *exchange) startWatch(ctx context.Context, cancel context.CancelCauseFunc, decision balance.Decision) *stallWatch {
	w := &stallWatch{exchange: x, id: x.req.ID, endpoint: decision.Endpoint, address: decision.Address, ctx: ctx, cancel: cancel}
	w.next = w.describeNext()
	if x.route.CanRetry() && x.possibleRuns+1 < x.route.MaxAttempts {
		limit := max(firstResponseFactor*x.route.LatencyTarget, minFirstResponseTimeout)
		w.mu.Lock()
		w.due = time.Now().Add(limit)
		w.timeout = time.AfterFunc(limit, w.giveUp)
		w.mu.Unlock()
		if !decision.Indirect {
			x.gateway.attempts.add(w)
		}
	}
	return w
}

// describeNext returns what follows if the attempt is given up now. Only the goroutine of
// the request may call it.
func (w *stallWatch) describeNext() nextAttempt {
	x := w.exchange
	out := nextAttempt{
		request: x.req, began: x.headerSent, source: x.source, failed: x.failedAttempt(model.OutcomeUnknown),
		allowed: x.allowsAttempt(x.delivered+1, x.possibleRuns+1),
	}
	out.request.Avoid = append(slices.Clone(x.req.Avoid), w.endpoint)
	out.request.Retry, out.request.OnlyOthers = true, true
	return out
}

// resume starts the timeouts for the next event: that of the attempt, and that
// after which a stall is reported.
func (w *stallWatch) resume() {
	if w.timeout != nil {
		w.mu.Lock()
		w.expectWithin(max(eventGapFactor*w.exchange.route.MaxGap, minEventTimeout))
		w.mu.Unlock()
	}
	if w.stall == nil {
		next := w.describeNext()
		w.mu.Lock()
		w.next = next
		w.mu.Unlock()
		w.stall = time.AfterFunc(stallAfter, w.reportStall)
		w.drop = time.AfterFunc(minEventTimeout, w.dropConnections)
		return
	}
	w.stall.Reset(stallAfter)
	w.drop.Reset(minEventTimeout)
}

// expectWithin restarts the timeout. The caller must hold mu.
func (w *stallWatch) expectWithin(d time.Duration) {
	if w.ended {
		return
	}
	w.due = time.Now().Add(d)
	w.timeout.Reset(d)
}

// pause stops the timeouts when events have arrived, and reports the end of a
// stall.
func (w *stallWatch) pause() {
	w.mu.Lock()
	w.silence++
	w.due = time.Time{}
	if w.timeout != nil {
		w.timeout.Stop()
	}
	w.mu.Unlock()
	if w.stall != nil {
		w.stall.Stop()
		w.drop.Stop()
		w.report(false)
	}
}

// end ends the expectation of events: all of the response has arrived. It may be called by
// the goroutine that reads ahead.
func (w *stallWatch) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	w.silence++
	w.due = time.Time{}
	if w.timeout != nil {
		w.timeout.Stop()
	}
}

// hasEnded reports whether end was called.
func (w *stallWatch) hasEnded() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ended
}

// stop ends the monitoring and reports the end of a stall. It returns the attempt that
// follows if this one was given up.
func (w *stallWatch) stop() *reservation {
	undropped := w.drop != nil && w.drop.Stop()
	w.exchange.gateway.attempts.remove(w)
	w.pause()
	w.mu.Lock()
	reserved := w.reserved
	w.mu.Unlock()
	if reserved != nil && undropped {
		w.dropConnections()
	}
	return reserved
}

// giveUp cancels the attempt if another endpoint has a place for the request. Otherwise, or
// while nothing is read for lack of memory, it tries again after giveUpInterval, since a
// silent endpoint may be sound: an engine that has preempted a stream goes on with it later.
func (w *stallWatch) giveUp() {
	w.mu.Lock()
	silence, next := w.silence, w.next
	expired := !w.due.IsZero() && !time.Now().Before(w.due)
	w.mu.Unlock()
	if !expired {
		return
	}
	var reserved *reservation
	reason := keptUnread
	if !holdOf(w.exchange.call).isWaiting() {
		reserved, reason = w.reserve(next)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	ended := silence != w.silence || w.ctx.Err() != nil
	switch {
	case reserved != nil && ended:
		w.exchange.gateway.finish(reserved.request.ID, balance.Result{})
	case reserved != nil:
		w.reserved = reserved
		w.cancel(errSilent)
	case !ended:
		w.logKept(reason)
		w.expectWithin(giveUpInterval)
	}
}

// reservation is a placed attempt that has not begun.
type reservation struct {
	placement placement
	request   balance.Request
}

// Reasons why a silent attempt is not given up, other than those of a balance.Decision.
const (
	keptLeaving    balance.Reason = "leaving"
	keptNoAttempt  balance.Reason = "no_attempt_left"
	keptNoDecision balance.Reason = "no_decision"
	// keptUnread means that this host has no memory to read the response.
	keptUnread balance.Reason = "no_memory"
)

// reserve places the next attempt at another endpoint, within the retry budget. It returns
// the reason if it cannot be placed.
func (w *stallWatch) reserve(next nextAttempt) (*reservation, balance.Reason) {
	g := w.exchange.gateway
	if next.began && g.leaving.Load() || !w.exchange.repeatsNow(time.Now(), false) {
		// What fails on the way to another endpoint cannot be made up for any more.
		return nil, keptLeaving
	}
	if !next.allowed || !attempt.IsRetryAllowed(time.Now().Add(2*minRetryTime), next.failed) {
		return nil, keptNoAttempt
	}
	if next.began && next.request.Software == "" {
		software, settled := g.awaitVersion(w.ctx, next.source)
		if !settled {
			return nil, balance.ReasonSoftware
		}
		next.request.Software = software
	}
	next.request.ID = g.nextID(w.exchange.call.ID)
	decision, ok := g.place(w.ctx, next.request, w.exchange.fingerprint, false)
	if !ok {
		// The control loop may still have placed the request.
		g.finish(next.request.ID, balance.Result{})
		return nil, keptNoDecision
	}
	if decision.IsRefused() {
		return nil, decision.Reason
	}
	next.request.OnlyOthers = false
	return &reservation{placement: decision, request: next.request}, ""
}

// releaseReserved frees the reserved attempt, if there is one.
func (x *exchange) releaseReserved() {
	if x.reserved != nil {
		x.gateway.finish(x.reserved.request.ID, balance.Result{})
		x.reserved = nil
	}
}

// logKept logs once that the attempt is silent and not given up. The caller must hold mu.
func (w *stallWatch) logKept(reason balance.Reason) {
	if w.logged {
		return
	}
	w.logged = true
	w.exchange.gateway.opts.Log.WithFields(fields{
		"request": w.exchange.call.ID, "endpoint": w.endpoint, "reason": string(reason),
	}).Info("request: silent endpoint not given up")
}

// reportStall reports a stall, unless nothing is read from the endpoint.
func (w *stallWatch) reportStall() {
	if !holdOf(w.exchange.call).isWaiting() && !w.hasEnded() {
		w.report(true)
	}
}

// dropConnections drops the open connections to the endpoint, unless nothing is read from it:
// they may be silent for good while new ones work.
func (w *stallWatch) dropConnections() {
	if !holdOf(w.exchange.call).isWaiting() && !w.hasEnded() {
		w.exchange.gateway.opts.Endpoints.DropConnections(w.endpoint, w.address)
	}
}

// report reports a change to the control loop.
func (w *stallWatch) report(stalled bool) {
	w.mu.Lock()
	changed := w.reported != stalled
	w.reported = stalled
	w.mu.Unlock()
	if !changed {
		return
	}
	w.exchange.gateway.setStalled(w.id, stalled)
}
