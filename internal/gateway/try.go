package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/balance"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/core/resume"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

// tryEndpoint sends one attempt to the endpoint of the decision. It forwards a
// successful response to the caller and keeps an error response as the fallback.
func (x *exchange) tryEndpoint(ctx context.Context, decision placement) attemptResult {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watch := x.startWatch(ctx, cancel, decision.Decision)
	x.placed = decision.Decision
	defer func() { x.reserved = watch.stop() }()
	reply, err := x.send(ctx, decision, watch.end)
	if err != nil {
		if cause := context.Cause(ctx); !decision.Indirect && (errors.Is(cause, errSilent) || errors.Is(cause, errDeadline)) {
			x.gateway.opts.Endpoints.DropConnections(decision.Endpoint, decision.Address)
		}
		return classifyError(ctx, err)
	}
	defer reply.Close()
	if reply.IsLeaving() {
		x.gateway.markLeaving(model.Instance{Name: decision.Endpoint, Started: decision.Started})
	}
	x.recordLimit(decision.Decision, reply)
	x.recordBrittleness(decision.Decision, reply)
	switch {
	case reply.NotExecuted():
		return attemptResult{
			outcome: model.OutcomeNotRun, delivered: true, failure: refusalFailure(reply.Status()),
			retryAfter: reply.RetryAfter(), err: statusError(reply.Status()),
		}
	case reply.Status()/100 != 2:
		result := x.handleFailure(ctx, reply)
		result.retryAfter = reply.RetryAfter()
		return result
	case !reply.HasSignature():
		return attemptResult{outcome: model.OutcomeUnknown, delivered: true, failure: balance.FailureBroken, err: errUnsigned}
	case x.headerSent && (!reply.IsEventStream() || reply.Status() != http.StatusOK):
		return attemptResult{outcome: model.OutcomeRan, delivered: true, failure: balance.FailureBroken, err: errNoEvents}
	case reply.IsEventStream():
		events := newReadAhead(ctx, cancel, reply, holdOf(x.call))
		defer events.stop()
		return x.forwardStream(ctx, events, x.streamSource(decision.Decision, reply), watch)
	default:
		return x.forwardBuffered(ctx, reply)
	}
}

// forwardBuffered forwards a response after reading its complete body, and
// reports its arrival to the balancer.
func (x *exchange) forwardBuffered(ctx context.Context, reply port.EndpointResponse) attemptResult {
	body, err := reply.Body()
	if err != nil {
		return classifyError(ctx, err)
	}
	x.gateway.recordFirstResponse(x.req.ID)
	x.countBegin()
	x.clearParts()
	x.clearRequest()
	x.firstResponseAt = time.Now()
	x.endpointFinished = true
	holdOf(x.call).send()
	return attemptResult{
		answered:  x.w.Respond(reply.Status(), reply.Header(), body) == nil,
		outcome:   model.OutcomeRan,
		delivered: true,
		err:       errCallerGone,
	}
}

// errNoEvents is the error of an attempt to continue a stream that is answered with something
// else.
var errNoEvents = errors.New("the endpoint continues the stream with a response that has no events")

var errCallerGone = errors.New("the caller has closed the connection")

// handleFailure keeps an endpoint's error response as the fallback for the
// caller, unless callers would take its status as a promise that the request
// has not run.
func (x *exchange) handleFailure(ctx context.Context, reply port.EndpointResponse) attemptResult {
	status := reply.Status()
	result := attemptResult{outcome: model.OutcomeRan, delivered: true, failure: balance.FailureError, err: statusError(status)}
	body, err := reply.Body()
	if err != nil {
		return classifyError(ctx, err)
	}
	if reply.HasSignature() && !impliesNotRun(status) {
		x.countBegin()
		x.fallback = &bufferedResponse{status: status, header: reply.Header(), body: body}
	}
	if status < http.StatusInternalServerError && !impliesNotRun(status) {
		// A 4xx status is the caller's fault, not a sign of a bad endpoint, and
		// other endpoints would respond the same.
		result.failure = balance.FailureNone
		result.final = true
		x.clearRequest()
	}
	return result
}

// impliesNotRun reports whether callers take a status as a promise that the
// request has not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest,
		http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// forwardStream forwards a stream's events as they arrive, until it ends or
// breaks, and reports the first ones to the balancer. While it writes to the
// caller, watch is paused.
func (x *exchange) forwardStream(ctx context.Context, stream *readAhead, source resume.Source, watch *stallWatch) attemptResult {
	reply := stream.reply
	events := 0
	var move *runMove
	defer func() { move.stopWatching() }()
	for {
		batch, err := stream.next()
		if err != nil {
			run, end := move.await(ctx)
			if end == endMoved {
				return attemptResult{outcome: model.OutcomeRan, delivered: true, events: events, moved: run, err: errMoved}
			}
			if end == endUncertain && errors.Is(err, io.EOF) && reply.EndsByClose() {
				return attemptResult{outcome: model.OutcomeUnknown, delivered: true, events: events, err: errEndUncertain}
			}
		}
		if errors.Is(err, io.EOF) {
			if events < minProgressEvents {
				x.clearParts()
			}
			x.clearRequest()
			return x.finishStream(reply)
		}
		if err != nil {
			result := classifyError(ctx, err)
			result.events = events
			return result
		}
		// Stop the timers while writing, so that a slow caller does not look
		// like a silent endpoint.
		watch.pause()
		if events == 0 {
			if !x.continues(ctx, source) {
				return attemptResult{outcome: model.OutcomeRan, delivered: true, err: errOtherVersion}
			}
			x.gateway.recordFirstResponse(x.req.ID)
			x.countBegin()
			x.recordBegin(source)
			move = x.watchMove(x.placed, source)
		}
		x.recordProgress(events, events+batch.Events)
		events += batch.Events
		if x.eventsSent == 0 {
			x.firstResponseAt = time.Now()
		}
		stream.beginWrite()
		err = x.forwardEvents(reply, batch)
		stream.endWrite()
		if err != nil {
			move.abandon()
			x.endpointFinished = stream.hasEnded()
			return attemptResult{outcome: model.OutcomeRan, delivered: true, err: err}
		}
		watch.resume()
	}
}

// errOtherVersion is the error of an attempt to continue a stream at an endpoint that may not
// have the version that began it.
var errOtherVersion = errors.New("the endpoint may run another version than the one that began the stream")

// forwardEvents writes events to the caller, preceded by the header of the
// first reply, and updates the longest gap, the count of events and the ID of
// the last event.
func (x *exchange) forwardEvents(reply port.EndpointResponse, batch port.EventBatch) error {
	if err := x.sendHeader(reply); err != nil {
		return err
	}
	if err := x.w.Write(batch.Data); err != nil {
		return err
	}
	x.recordGap(time.Now())
	x.eventsSent += batch.Events
	if batch.LastID != "" {
		x.lastEvent = batch.LastID
	}
	return nil
}

// recordGap updates the longest time between two events.
func (x *exchange) recordGap(now time.Time) {
	if x.eventsSent > 0 {
		x.longestGap = max(x.longestGap, now.Sub(x.lastEventAt))
	}
	x.lastEventAt = now
}

// sendHeader sends the response's header to the caller, unless it was sent
// before.
func (x *exchange) sendHeader(reply port.EndpointResponse) error {
	if x.headerSent {
		return nil
	}
	x.headerSent = true
	return x.w.Start(reply.Status(), reply.Header())
}

// finishStream completes the response after the endpoint has ended its stream.
func (x *exchange) finishStream(reply port.EndpointResponse) attemptResult {
	if x.firstResponseAt.IsZero() {
		x.firstResponseAt = time.Now()
	}
	err := x.sendHeader(reply)
	return attemptResult{answered: err == nil, outcome: model.OutcomeRan, delivered: true, err: err}
}

// classifyError derives the result of an attempt from its error.
func classifyError(ctx context.Context, err error) attemptResult {
	result := attemptResult{outcome: model.OutcomeUnknown, delivered: true, failure: balance.FailureBroken, err: err}
	var failure *port.EndpointError
	var peerFailure *port.PeerAttemptError
	if errors.As(err, &peerFailure) {
		result = classifyPeerError(peerFailure)
	} else if errors.As(err, &failure) {
		result.outcome = failure.Outcome
		if failure.Outcome == model.OutcomeNotRun {
			result.delivered = false
			result.failure = balance.FailureUnreachable
		}
	}
	cause := context.Cause(ctx)
	result.silent = errors.Is(cause, errSilent)
	if cause != nil && !result.silent || errors.Is(err, port.ErrNoRoom) {
		// The caller has left, the time limit has passed or memory is lacking: this is
		// no evidence against the endpoint.
		result.failure = balance.FailureNone
	}
	return result
}

// statusError is the error for an endpoint's HTTP status.
type statusError int

// Error implements error.
func (e statusError) Error() string {
	return strings.TrimSpace(fmt.Sprintf("the endpoint answered with status %d %s", int(e), http.StatusText(int(e))))
}

// refusalFailure distinguishes an endpoint without free capacity from one whose
// address another endpoint has taken over.
func refusalFailure(status int) balance.Failure {
	if status == http.StatusMisdirectedRequest {
		return balance.FailureReplaced
	}
	return balance.FailureRefused
}

// failureName returns the name of a failure in metrics and logs.
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
