package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/balance"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

// try sends one attempt and passes its answer on.
func (x *exchange) try(ctx context.Context, decision balance.Decision) tryEnd {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watch := x.watch(cancel, decision)
	defer watch.stop()
	reply, err := x.gateway.opts.Endpoints.Send(ctx, port.RoutedAttempt{
		Call:        x.call,
		Endpoint:    decision.Endpoint,
		Address:     decision.Address,
		Account:     x.account,
		TimeLeft:    time.Until(x.deadline),
		Priority:    decision.Priority,
		CacheSource: decision.FetchFrom,
		LastEventID: x.lastEvent,
	})
	if err != nil {
		if cause := context.Cause(ctx); errors.Is(cause, errSilent) || errors.Is(cause, errDeadline) {
			x.gateway.opts.Endpoints.DropConnections(decision.Endpoint, decision.Address)
		}
		return endOf(ctx, err)
	}
	defer reply.Close()
	switch {
	case reply.NotExecuted():
		return tryEnd{outcome: model.OutcomeNotRun, arrived: true, failure: refusalOf(reply.Status()), err: statusError(reply.Status())}
	case reply.Status()/100 != 2:
		return x.takeFailure(ctx, reply)
	case !reply.HasSignature():
		return tryEnd{outcome: model.OutcomeUnknown, arrived: true, failure: balance.FailureBroken, err: errUnsigned}
	case reply.IsEventStream():
		return x.relay(ctx, reply, watch)
	default:
		return x.passWhole(ctx, reply)
	}
}

// passWhole passes an answer on once its whole body has come.
func (x *exchange) passWhole(ctx context.Context, reply port.EndpointResponse) tryEnd {
	body, err := reply.Body()
	if err != nil {
		return endOf(ctx, err)
	}
	x.gateway.firstAnswer(x.ask.ID)
	x.first = time.Now()
	return tryEnd{
		answered: x.w.Respond(reply.Status(), reply.Header(), body) == nil,
		outcome:  model.OutcomeRan,
		arrived:  true,
		err:      errCallerGone,
	}
}

var errCallerGone = errors.New("the caller has gone")

// takeFailure keeps an endpoint's own failure for the caller, unless its status
// would promise that the request has not run.
func (x *exchange) takeFailure(ctx context.Context, reply port.EndpointResponse) tryEnd {
	status := reply.Status()
	end := tryEnd{outcome: model.OutcomeRan, arrived: true, failure: balance.FailureError, err: statusError(status)}
	body, err := reply.Body()
	if err != nil {
		return endOf(ctx, err)
	}
	if reply.HasSignature() && !promisesNotRun(status) {
		x.fallback = &wholeAnswer{status: status, header: reply.Header(), body: body}
	}
	if status < http.StatusInternalServerError && !promisesNotRun(status) {
		// The caller's own fault is no sign of a bad endpoint, and others would
		// say the same.
		end.failure = balance.FailureNone
		end.final = true
	}
	return end
}

// promisesNotRun says that callers take a status as a promise that the request
// has not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest,
		http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// relay passes a stream's events on as they come.
func (x *exchange) relay(ctx context.Context, reply port.EndpointResponse, watch *silenceWatch) tryEnd {
	defer watch.stop()
	answered := false
	for {
		batch, err := reply.Next()
		if errors.Is(err, io.EOF) {
			return x.streamEnded(reply)
		}
		if err != nil {
			return endOf(ctx, err)
		}
		if !answered {
			answered = true
			x.gateway.firstAnswer(x.ask.ID)
		}
		if x.events == 0 {
			x.first = time.Now()
		}
		// A slow caller must not look like a silent endpoint.
		watch.pause()
		if err := x.passEvents(reply, batch); err != nil {
			return tryEnd{outcome: model.OutcomeRan, arrived: true, err: err}
		}
		watch.wait()
	}
}

// passEvents writes events to the caller, after the header of the first reply.
func (x *exchange) passEvents(reply port.EndpointResponse, batch port.EventBatch) error {
	if err := x.begin(reply); err != nil {
		return err
	}
	if err := x.w.Write(batch.Data); err != nil {
		return err
	}
	x.noteGap(time.Now())
	x.events += batch.Events
	if batch.LastID != "" {
		x.lastEvent = batch.LastID
	}
	return nil
}

func (x *exchange) noteGap(now time.Time) {
	if x.events > 0 {
		x.longestGap = max(x.longestGap, now.Sub(x.passed))
	}
	x.passed = now
}

func (x *exchange) begin(reply port.EndpointResponse) error {
	if x.started {
		return nil
	}
	x.started = true
	return x.w.Start(reply.Status(), reply.Header())
}

// streamEnded ends a stream that its endpoint completed.
func (x *exchange) streamEnded(reply port.EndpointResponse) tryEnd {
	err := x.begin(reply)
	return tryEnd{answered: err == nil, outcome: model.OutcomeRan, arrived: true, err: err}
}

// endOf translates the error of an attempt.
func endOf(ctx context.Context, err error) tryEnd {
	end := tryEnd{outcome: model.OutcomeUnknown, arrived: true, failure: balance.FailureBroken, err: err}
	var failure *port.EndpointError
	if errors.As(err, &failure) {
		end.outcome = failure.Outcome
		if failure.Outcome == model.OutcomeNotRun {
			end.arrived = false
			end.failure = balance.FailureUnreachable
		}
	}
	cause := context.Cause(ctx)
	if cause != nil && !errors.Is(cause, errSilent) {
		// The caller has gone or the time is up: that says little of the
		// endpoint.
		end.failure = balance.FailureNone
	}
	return end
}

// statusError is the cause for an endpoint's status.
type statusError int

// Error implements error.
func (e statusError) Error() string { return "the endpoint answered " + http.StatusText(int(e)) }

// refusalOf tells an endpoint without room from one at an address that another
// has taken over.
func refusalOf(status int) balance.Failure {
	if status == http.StatusMisdirectedRequest {
		return balance.FailureReplaced
	}
	return balance.FailureRefused
}

// failureName names a failure in metrics and logs.
func failureName(f balance.Failure) string {
	switch f {
	case balance.FailureRefused:
		return "refused"
	case balance.FailureError:
		return "error"
	case balance.FailureBroken:
		return "broken"
	case balance.FailureUnreachable:
		return "unreachable"
	case balance.FailureReplaced:
		return "replaced"
	default:
		return "none"
	}
}
