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

// maxAttempts bounds the number of attempts of one request, whatever its
// deadline.
const maxAttempts = 4

// errPreempted means that an attempt was preempted in favor of a protected
// request.
var errPreempted = errors.New("attempt was preempted")

// attemptEnd describes how an attempt ended.
type attemptEnd struct {
	// err is nil if the caller received the whole response.
	err error
	// result is the report to the dispatcher.
	result dispatch.Result
}

// attemptFunc runs one attempt at the endpoint of a grant.
type attemptFunc func(ctx context.Context, req *request, grant dispatch.Action) attemptEnd

// serve serves the request with run and counts how it ended. A nil error means
// that the whole response was written to w.
func (h *Host) serve(ctx context.Context, req *request, w port.CallerResponseWriter, run attemptFunc) error {
	err := h.serveWithRetries(ctx, req, w, run)
	h.observeEnd(req, err)
	return err
}

// serveWithRetries runs attempts of the request until one succeeds, the deadline
// passes, or the request must not be retried.
func (h *Host) serveWithRetries(ctx context.Context, req *request, w port.CallerResponseWriter, run attemptFunc) error {
	ctx, cancel := context.WithDeadline(ctx, req.model.Deadline)
	defer cancel()
	defer h.loop.post(endRequestEvent{id: req.model.ID, waiter: req.waiter})
	// outcome is the combined outcome of all attempts so far.
	outcome := model.OutcomeNotRun
	var lastErr error
	for {
		decision, err := h.awaitDecision(ctx, req)
		if err != nil {
			return mergeRefusal(err, outcome, lastErr)
		}
		end := h.attempt(ctx, req, decision, w, run)
		if end.err == nil {
			return nil
		}
		lastErr = end.err
		if end.result.Outcome != model.OutcomeNotRun {
			outcome = model.OutcomeUnknown
		}
		if ctx.Err() != nil {
			return contextEndError(ctx, outcome)
		}
		if !req.canRetry(end) {
			return attemptFailedError(end.err, outcome)
		}
		h.observeRetry(req, end)
		req.prepareNextAttempt(decision.Endpoint, end)
	}
}

// attempt runs one attempt at a local endpoint, or through a host of another
// failure domain if the decision is to spill over.
func (h *Host) attempt(ctx context.Context, req *request, decision dispatch.Action, w port.CallerResponseWriter, run attemptFunc) attemptEnd {
	if decision.Kind == dispatch.ActionSpill {
		return h.spill(ctx, req, decision, w)
	}
	end := run(ctx, req, decision)
	h.loop.post(finishAttemptEvent{id: req.model.ID, attempt: req.model.Attempt, result: end.result})
	return end
}

// mergeRefusal returns the refusal of a further attempt with the outcome and the
// last error of the earlier attempts.
func mergeRefusal(refusal *port.RequestError, outcome model.Outcome, lastErr error) error {
	if outcome != model.OutcomeNotRun {
		refusal.Outcome = outcome
	}
	if refusal.Cause == nil {
		refusal.Cause = lastErr
	}
	return refusal
}

// awaitDecision submits the attempt to the control loop and waits for the
// decision where to send it. A refusal is returned as the error.
func (h *Host) awaitDecision(ctx context.Context, req *request) (dispatch.Action, *port.RequestError) {
	if !h.loop.tryPost(submitEvent{req: req.model, waiter: req.waiter}) {
		h.metrics.Refused(req.class.Name, refusedOverload)
		return dispatch.Action{}, overloadedError()
	}
	select {
	case <-ctx.Done():
		return dispatch.Action{}, contextEndError(ctx, model.OutcomeNotRun)
	case <-h.loop.Stopped():
		return dispatch.Action{}, leavingError()
	case action := <-req.waiter.decisions:
		h.observeDecision(req, action)
		if action.Kind == dispatch.ActionRefuse {
			return dispatch.Action{}, dispatchRefusalError(action)
		}
		return action, nil
	}
}

// canRetry reports whether another attempt is allowed after this end. A stream
// that has begun is continued only if the engine can resume it.
func (r *request) canRetry(end attemptEnd) bool {
	if errors.Is(end.err, errPreempted) {
		return true
	}
	var endpoint *port.EndpointError
	if errors.As(end.err, &endpoint) && isClientError(endpoint.Status) {
		return false
	}
	var caller *callerError
	if errors.As(end.err, &caller) {
		return false
	}
	return int(r.model.Attempt) < maxAttempts && attempt.IsRetryAllowed(time.Now(), r.endedAttempt(end))
}

// endedAttempt returns the end of an attempt as input for the retry rules.
func (r *request) endedAttempt(end attemptEnd) attempt.FailedAttempt {
	relayed := r.relayedTokens
	if r.responseStarted {
		relayed = max(relayed, 1)
	}
	return attempt.FailedAttempt{
		Idempotent: r.class.Idempotent || r.call.Method == http.MethodGet,
		Outcome:    end.result.Outcome,
		Relayed:    relayed,
		CanResume:  r.call.Stream && !errors.Is(end.err, port.ErrNoResume),
		Deadline:   r.model.Deadline,
	}
}

// prepareNextAttempt advances the attempt number and, unless the attempt was
// preempted, adds the endpoint to those to avoid.
func (r *request) prepareNextAttempt(failedAt model.EndpointName, end attemptEnd) {
	r.model.Attempt++
	if !errors.Is(end.err, errPreempted) {
		r.model.Avoid = append(r.model.Avoid, failedAt)
	}
}

// callerError means that reading from or writing to the caller failed.
type callerError struct{ cause error }

func (e *callerError) Error() string { return "caller connection: " + e.cause.Error() }
func (e *callerError) Unwrap() error { return e.cause }

// newFailedEnd returns the end of an attempt that started at the given time and
// failed with err, with the outcome that err states. It does not count as a
// failure of the endpoint if the attempt was preempted, its context has ended, or
// the connection to the caller failed.
func newFailedEnd(ctx context.Context, err error, started time.Time) attemptEnd {
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
