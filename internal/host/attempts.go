package host

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/attempt"
	"github.com/wigeonsail/wigeonsail/internal/core/dispatch"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

// maxAttempts bounds the tries of one request, whatever its deadline.
const maxAttempts = 4

// errPreempted ends an attempt that gave way to a protected request.
var errPreempted = errors.New("attempt was preempted")

// attemptEnd is how an attempt ended.
type attemptEnd struct {
	// err is nil when the caller has the whole answer.
	err    error
	result dispatch.Result
}

// runner carries out one attempt at the endpoint of a grant.
type runner func(ctx context.Context, req *request, grant dispatch.Action) attemptEnd

// serve answers the request and counts how it ended.
func (h *Host) serve(ctx context.Context, req *request, w port.CallerResponseWriter, run runner) error {
	err := h.tryAll(ctx, req, w, run)
	h.observeEnd(req, err)
	return err
}

// tryAll tries the request until it has an answer, its deadline passes or it
// must not be tried again.
func (h *Host) tryAll(ctx context.Context, req *request, w port.CallerResponseWriter, run runner) error {
	ctx, cancel := context.WithDeadline(ctx, req.model.Deadline)
	defer cancel()
	defer h.loop.post(forgetEvent{id: req.model.ID, waiter: req.waiter})
	// known is what is known of the effect of all attempts so far.
	known := model.OutcomeNotRun
	var last error
	for {
		decision, err := h.decide(ctx, req)
		if err != nil {
			return giveUp(err, known, last)
		}
		end := h.attempt(ctx, req, decision, w, run)
		if end.err == nil {
			return nil
		}
		last = end.err
		if end.result.Outcome != model.OutcomeNotRun {
			known = model.OutcomeUnknown
		}
		if ctx.Err() != nil {
			return ended(ctx, known)
		}
		if !req.tryAgain(end) {
			return failed(end.err, known)
		}
		h.observeRetry(req, end)
		req.nextAttempt(decision.Endpoint, end)
	}
}

// attempt carries out one attempt, here or at another failure domain's host.
func (h *Host) attempt(ctx context.Context, req *request, decision dispatch.Action, w port.CallerResponseWriter, run runner) attemptEnd {
	if decision.Kind == dispatch.ActionSpill {
		return h.spill(ctx, req, decision, w)
	}
	end := run(ctx, req, decision)
	h.loop.post(finishEvent{id: req.model.ID, attempt: req.model.Attempt, result: end.result})
	return end
}

// giveUp merges a refusal to try again with what earlier attempts left behind.
func giveUp(refusal *port.RequestError, known model.Outcome, last error) error {
	if known != model.OutcomeNotRun {
		refusal.Outcome = known
	}
	if refusal.Cause == nil {
		refusal.Cause = last
	}
	return refusal
}

// decide asks the control loop where the attempt goes.
func (h *Host) decide(ctx context.Context, req *request) (dispatch.Action, *port.RequestError) {
	if !h.loop.offer(submitEvent{req: req.model, waiter: req.waiter}) {
		h.metrics.Refused(req.class.Name, refusedOverload)
		return dispatch.Action{}, overloaded()
	}
	select {
	case <-ctx.Done():
		return dispatch.Action{}, ended(ctx, model.OutcomeNotRun)
	case <-h.loop.Stopped():
		return dispatch.Action{}, leaving()
	case action := <-req.waiter.decisions:
		h.observeDecision(req, action)
		if action.Kind == dispatch.ActionRefuse {
			return dispatch.Action{}, refused(action)
		}
		return action, nil
	}
}

// tryAgain says whether another attempt is allowed after this end. A stream
// that has begun goes on only where the engine resumes it.
func (r *request) tryAgain(end attemptEnd) bool {
	if errors.Is(end.err, errPreempted) {
		return true
	}
	var endpoint *port.EndpointError
	if errors.As(end.err, &endpoint) && isCallersFault(endpoint.Status) {
		return false
	}
	var caller *callerError
	if errors.As(end.err, &caller) {
		return false
	}
	return int(r.model.Attempt) < maxAttempts && attempt.Allowed(time.Now(), r.retryFacts(end))
}

// retryFacts describes the end of an attempt to the rules of retries.
func (r *request) retryFacts(end attemptEnd) attempt.Ended {
	relayed := r.relayed
	if r.started {
		relayed = max(relayed, 1)
	}
	return attempt.Ended{
		Idempotent: r.class.Idempotent || r.call.Method == http.MethodGet,
		Outcome:    end.result.Outcome,
		Relayed:    relayed,
		CanResume:  r.call.Stream && !errors.Is(end.err, port.ErrNoResume),
		Deadline:   r.model.Deadline,
	}
}

func (r *request) nextAttempt(failedAt model.EndpointName, end attemptEnd) {
	r.model.Attempt++
	if !errors.Is(end.err, errPreempted) {
		r.model.Avoid = append(r.model.Avoid, failedAt)
	}
}

// callerError is a failed write to the caller.
type callerError struct{ cause error }

func (e *callerError) Error() string { return "caller: " + e.cause.Error() }
func (e *callerError) Unwrap() error { return e.cause }

// endOf builds the end of an attempt that failed.
func endOf(ctx context.Context, err error, started time.Time) attemptEnd {
	var caller *callerError
	gone := errors.As(err, &caller) || ctx.Err() != nil
	return attemptEnd{
		err: err,
		result: dispatch.Result{
			Outcome:  outcomeOf(err),
			Failed:   !gone && !errors.Is(err, errPreempted),
			Canceled: gone,
			Elapsed:  time.Since(started),
		},
	}
}
