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

// control is the state that only the control loop touches.
type control struct {
	host     *Host
	dispatch *dispatch.Dispatcher
	burn     *burn.Recorder
	// ejections is what metrics and the log know of ejected endpoints.
	ejections ejections
	waiters   map[model.RequestID]*waiter
	config    configControl
	members   *membership.Table
	leaving   leavingEndpoints
	// beating are the addresses with a heartbeat under way.
	beating map[string]bool
	// rounds counts the rounds of heartbeats.
	rounds int
	// models are those that endpoints report.
	models map[model.EndpointName][]model.ModelName
}

// waiter is a request's link from the control loop to its traffic goroutine.
type waiter struct {
	// decisions takes grants, refusals and spills. Each submit leads to at
	// most one, so that sending never waits.
	decisions chan dispatch.Action
	// running is the attempt in progress, if it can give way.
	running atomic.Pointer[runningAttempt]
}

// runningAttempt lets the control loop end an attempt.
type runningAttempt struct {
	number model.Attempt
	cancel context.CancelCauseFunc
}

func newWaiter() *waiter {
	return &waiter{decisions: make(chan dispatch.Action, 1)}
}

// preempt ends an attempt unless it has ended by itself.
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
		config:   configControl{published: make(map[string]chan<- configstate.Change)},
		members: membership.New(membership.Options{
			Host:        h.opts.ID,
			Incarnation: h.opts.Incarnation,
			Domain:      h.opts.Domain,
			Address:     h.opts.PeerAddress,
			Seeds:       h.opts.Seeds,
			Every:       h.opts.HeartbeatEvery,
		}),
		leaving: newLeavingEndpoints(),
		beating: make(map[string]bool),
		models:  make(map[model.EndpointName][]model.ModelName),
	}
}

func (c *control) tick(now time.Time) {
	c.carryOut(c.dispatch.Tick(now))
	c.host.guard.Tick(now)
	if c.host.orders != nil {
		c.host.orders.Tick(now)
	}
	c.observeEjections(now)
}

// carryOut passes actions on to the requests they are about.
func (c *control) carryOut(actions []dispatch.Action) {
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

// submitEvent asks for a decision on one attempt.
type submitEvent struct {
	req    model.Request
	waiter *waiter
}

func (e submitEvent) apply(now time.Time, c *control) {
	c.waiters[e.req.ID] = e.waiter
	c.carryOut(c.dispatch.Submit(now, e.req))
}

// finishEvent ends an attempt that was granted.
type finishEvent struct {
	id      model.RequestID
	attempt model.Attempt
	result  dispatch.Result
}

func (e finishEvent) apply(now time.Time, c *control) {
	c.carryOut(c.dispatch.Finish(now, e.id, e.attempt, e.result))
}

// progressEvent tells of relayed tokens.
type progressEvent struct {
	id     model.RequestID
	tokens int
}

func (e progressEvent) apply(now time.Time, c *control) {
	c.dispatch.RecordTokens(now, e.id, e.tokens)
}

// forgetEvent ends a request for good. Its traffic goroutine reads no more
// decisions, so a grant that it did not take is given back.
type forgetEvent struct {
	id     model.RequestID
	waiter *waiter
}

func (e forgetEvent) apply(now time.Time, c *control) {
	delete(c.waiters, e.id)
	select {
	case action := <-e.waiter.decisions:
		c.returnGrant(now, action)
	default:
	}
	c.carryOut(c.dispatch.Cancel(now, e.id))
}

func (c *control) returnGrant(now time.Time, action dispatch.Action) {
	if action.Kind != dispatch.ActionGrant {
		return
	}
	unused := dispatch.Result{Outcome: model.OutcomeNotRun, Canceled: true}
	c.carryOut(c.dispatch.Finish(now, action.Request, action.Attempt, unused))
}

// loadEvent is an endpoint's load report.
type loadEvent struct {
	report dispatch.LoadReport
}

func (e loadEvent) apply(now time.Time, c *control) {
	c.models[e.report.Endpoint] = e.report.Models
	c.leaving.report(now, c, e.report.Endpoint, e.report.Leaving)
	c.carryOut(c.dispatch.HandleLoadReport(now, e.report))
}

// leavingEvent tells that an endpoint is leaving, or back.
type leavingEvent struct {
	endpoint model.EndpointName
	leaving  bool
}

func (e leavingEvent) apply(now time.Time, c *control) {
	c.leaving.report(now, c, e.endpoint, e.leaving)
}
