package host

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/burn"
	"github.com/wigeonsail/wigeonsail/internal/core/configstate"
	"github.com/wigeonsail/wigeonsail/internal/core/dispatch"
	"github.com/wigeonsail/wigeonsail/internal/core/membership"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// control is the control state. Only the control loop accesses it.
type control struct {
	host     *Host
	dispatch *dispatch.Dispatcher
	burn     *burn.Recorder
	// ejections are the ejected endpoints that were counted and logged.
	ejections ejectionState
	// waiters are the links to the requests in progress.
	waiters map[model.RequestID]*waiter
	config  configLoopState
	members *membership.Table
	leaving leavingEndpoints
	// heartbeatsInFlight are the addresses with a heartbeat in flight.
	heartbeatsInFlight map[string]bool
	// heartbeatRounds is the number of heartbeat rounds so far.
	heartbeatRounds int
	// reportedModels are the models that each endpoint last reported.
	reportedModels map[model.EndpointName][]model.ModelName
}

// waiter connects the control loop to the goroutine that serves a request.
type waiter struct {
	// decisions receives grants, refusals and spills. Each submitted attempt
	// leads to at most one, so that sending never blocks.
	decisions chan dispatch.Action
	// running is the attempt in progress, if it can be preempted.
	running atomic.Pointer[runningAttempt]
}

// runningAttempt allows the control loop to cancel an attempt.
type runningAttempt struct {
	number model.Attempt
	cancel context.CancelCauseFunc
}

func newWaiter() *waiter {
	return &waiter{decisions: make(chan dispatch.Action, 1)}
}

// preempt cancels the attempt with that number if it is still running.
func (w *waiter) preempt(number model.Attempt) {
	running := w.running.Load()
	if running != nil && running.number == number {
		running.cancel(errPreempted)
	}
}

func newControl(h *Host, opts dispatch.Options) *control {
	return &control{
		host:     h,
		dispatch: dispatch.New(opts),
		burn:     burn.NewRecorder(opts.Domain),
		waiters:  make(map[model.RequestID]*waiter),
		config:   configLoopState{publishers: make(map[string]chan<- configstate.Change)},
		members: membership.New(membership.Options{
			Host:          h.opts.ID,
			Incarnation:   h.opts.Incarnation,
			Domain:        h.opts.Domain,
			Address:       h.opts.PeerAddress,
			Seeds:         h.opts.Seeds,
			RoundInterval: h.opts.HeartbeatEvery,
		}),
		leaving:            newLeavingEndpoints(),
		heartbeatsInFlight: make(map[string]bool),
		reportedModels:     make(map[model.EndpointName][]model.ModelName),
	}
}

// tick runs the periodic work of the control loop.
func (c *control) tick(now time.Time) {
	c.deliver(c.dispatch.Tick(now))
	c.host.guard.Tick(now)
	if c.host.orders != nil {
		c.host.orders.Tick(now)
	}
	c.observeEjections(now)
}

// deliver delivers the actions of the dispatcher to the requests that they concern.
func (c *control) deliver(actions []dispatch.Action) {
	for _, action := range actions {
		w, ok := c.waiters[action.Request]
		if !ok {
			continue
		}
		if action.Kind == dispatch.ActionPreempt {
			w.preempt(action.Attempt)
			continue
		}
		if action.Kind == dispatch.ActionSpill {
			action.Address = c.members.Gateway(time.Now(), action.Domain)
		}
		select {
		case w.decisions <- action:
		default:
		}
	}
}

// submitEvent registers the waiter of a request and submits one attempt to the
// dispatcher.
type submitEvent struct {
	req    model.Request
	waiter *waiter
}

func (e submitEvent) apply(now time.Time, c *control) {
	c.waiters[e.req.ID] = e.waiter
	c.deliver(c.dispatch.Submit(now, e.req))
}

// finishAttemptEvent ends an attempt that was granted.
type finishAttemptEvent struct {
	id      model.RequestID
	attempt model.Attempt
	result  dispatch.Result
}

func (e finishAttemptEvent) apply(now time.Time, c *control) {
	c.deliver(c.dispatch.Finish(now, e.id, e.attempt, e.result))
}

// progressEvent reports the number of tokens relayed since the last report to the
// dispatcher.
type progressEvent struct {
	id     model.RequestID
	tokens int
}

func (e progressEvent) apply(now time.Time, c *control) {
	c.dispatch.RecordTokens(now, e.id, e.tokens)
}

// endRequestEvent removes a request and cancels it at the dispatcher. Its goroutine
// receives no more decisions, so a grant that it has not received is returned.
type endRequestEvent struct {
	id     model.RequestID
	waiter *waiter
}

func (e endRequestEvent) apply(now time.Time, c *control) {
	delete(c.waiters, e.id)
	select {
	case action := <-e.waiter.decisions:
		c.returnGrant(now, action)
	default:
	}
	c.deliver(c.dispatch.Cancel(now, e.id))
}

// returnGrant reports a granted attempt as canceled and not run.
func (c *control) returnGrant(now time.Time, action dispatch.Action) {
	if action.Kind != dispatch.ActionGrant {
		return
	}
	unused := dispatch.Result{Outcome: model.OutcomeNotRun, Canceled: true}
	c.deliver(c.dispatch.Finish(now, action.Request, action.Attempt, unused))
}

// loadReportEvent passes a load report of an endpoint to the dispatcher, and stores
// the models and the leaving state in it.
type loadReportEvent struct {
	report dispatch.LoadReport
}

func (e loadReportEvent) apply(now time.Time, c *control) {
	c.reportedModels[e.report.Endpoint] = e.report.Models
	c.leaving.setReported(now, c, e.report.Endpoint, e.report.Leaving)
	c.deliver(c.dispatch.HandleLoadReport(now, e.report))
}

// endpointLeavingEvent stores an endpoint's own report of whether it is leaving.
type endpointLeavingEvent struct {
	endpoint model.EndpointName
	leaving  bool
}

func (e endpointLeavingEvent) apply(now time.Time, c *control) {
	c.leaving.setReported(now, c, e.endpoint, e.leaving)
}
