package host

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/dispatch"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

// progressEvery is the number of tokens after which progress is reported to the
// control loop again. The first token is reported at once, since the dispatcher
// uses its time for estimates.
const progressEvery = 64

// Complete serves a model call: it admits the request, runs attempts at engines,
// and writes the response to w.
func (h *Host) Complete(ctx context.Context, call port.CallerRequest, w port.CallerResponseWriter) error {
	h.inFlight.begin()
	defer h.inFlight.end()
	req, err := h.admitModelCall(call, time.Now())
	if err != nil {
		return h.observeRejected(err)
	}
	return h.serve(ctx, req, w, func(ctx context.Context, req *request, grant dispatch.Action) attemptEnd {
		a := engineAttempt{host: h, req: req, w: w, started: time.Now()}
		return a.execute(ctx, grant)
	})
}

// engineAttempt is one attempt at a model engine.
type engineAttempt struct {
	host       *Host
	req        *request
	w          port.CallerResponseWriter
	started    time.Time
	firstToken time.Duration
	// tokens is the number of tokens relayed in this attempt, and reported the
	// number of them that were reported to the control loop.
	tokens   int
	reported int
}

// execute runs the attempt and returns how it ended. The control loop can preempt
// it meanwhile.
func (a *engineAttempt) execute(ctx context.Context, grant dispatch.Action) attemptEnd {
	attemptCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	a.req.waiter.running.Store(&runningAttempt{number: a.req.model.Attempt, cancel: cancel})
	defer a.req.waiter.running.Store(nil)
	err := a.relay(attemptCtx, grant)
	if err != nil && errors.Is(context.Cause(attemptCtx), errPreempted) {
		err = errPreempted
	}
	end := attemptEnd{result: dispatch.Result{Outcome: model.OutcomeRan, Elapsed: time.Since(a.started)}}
	if err != nil {
		end = newFailedEnd(ctx, err, a.started)
	}
	end.result.FirstToken = a.firstToken
	end.result.Tokens = a.tokens
	return end
}

// relay sends the request to the engine and relays the response to the caller until
// its end.
func (a *engineAttempt) relay(ctx context.Context, grant dispatch.Action) error {
	stream, err := a.host.opts.Engines.Open(ctx, port.EngineCall{
		Address:    grant.Address,
		Path:       a.req.call.Path,
		Body:       a.req.call.Body,
		Stream:     a.req.call.Stream,
		Priority:   grant.Priority,
		Request:    a.req.model.ID,
		Attempt:    a.req.model.Attempt,
		ResumeFrom: a.req.relayedTokens,
	})
	if err != nil {
		return err
	}
	defer stream.Close()
	for {
		event, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := a.relayEvent(event); err != nil {
			return &callerError{cause: err}
		}
	}
}

// relayEvent writes one event to the caller, after the header of the response, and
// counts its tokens.
func (a *engineAttempt) relayEvent(event port.EngineEvent) error {
	if a.firstToken == 0 {
		a.firstToken = time.Since(a.started)
	}
	if err := a.startResponse(); err != nil {
		return err
	}
	if !a.req.call.Stream {
		a.countTokens(event.Tokens)
		return a.w.WriteBody(event.Data)
	}
	if err := a.w.WriteEvent(event.Data, event.Tokens); err != nil {
		return err
	}
	a.countTokens(event.Tokens)
	return nil
}

// startResponse sends the header of the response, once for all attempts of the
// request.
func (a *engineAttempt) startResponse() error {
	if a.req.responseStarted {
		return nil
	}
	a.req.responseStarted = true
	contentType := "application/json"
	if a.req.call.Stream {
		contentType = "text/event-stream"
	}
	return a.w.Start(http.StatusOK, http.Header{"Content-Type": {contentType}})
}

// countTokens counts relayed tokens and reports progress when it is due. If the
// control loop is full, the next call reports.
func (a *engineAttempt) countTokens(tokens int) {
	a.host.observeTokens(a.req, tokens)
	a.tokens += tokens
	a.req.relayedTokens += tokens
	if a.reported > 0 && a.tokens-a.reported < progressEvery {
		return
	}
	if a.host.loop.tryPost(progressEvent{id: a.req.model.ID, tokens: a.tokens - a.reported}) {
		a.reported = a.tokens
	}
}
