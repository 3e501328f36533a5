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

// Complete serves a model call.
func (h *Host) Complete(ctx context.Context, call port.CallerRequest, w port.AnswerWriter) error {
	h.inFlight.begin()
	defer h.inFlight.end()
	req, err := h.admitModelCall(call, time.Now())
	if err != nil {
		return h.observeRejected(err)
	}
	return h.serve(ctx, req, w, func(ctx context.Context, req *request, grant dispatch.Action) attemptEnd {
		run := engineAttempt{host: h, req: req, w: w, started: time.Now()}
		return run.execute(ctx, grant)
	})
}

// engineAttempt is one attempt at a model engine.
type engineAttempt struct {
	host       *Host
	req        *request
	w          port.AnswerWriter
	started    time.Time
	firstToken time.Duration
	// tokens is the number of tokens relayed in this attempt, reported how many
	// of them the control loop knows of.
	tokens   int
	reported int
}

// execute runs the attempt and returns how it ended. The control loop can preempt
// it meanwhile.
func (r *engineAttempt) execute(ctx context.Context, grant dispatch.Action) attemptEnd {
	attemptCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	r.req.waiter.running.Store(&runningAttempt{number: r.req.model.Attempt, cancel: cancel})
	defer r.req.waiter.running.Store(nil)
	err := r.relay(attemptCtx, grant)
	if err != nil && errors.Is(context.Cause(attemptCtx), errPreempted) {
		err = errPreempted
	}
	end := attemptEnd{result: dispatch.Result{Outcome: model.OutcomeRan, Elapsed: time.Since(r.started)}}
	if err != nil {
		end = newFailedEnd(ctx, err, r.started)
	}
	end.result.FirstToken = r.firstToken
	end.result.Tokens = r.tokens
	return end
}

// relay sends the request to the engine and relays the answer to the caller until
// its end.
func (r *engineAttempt) relay(ctx context.Context, grant dispatch.Action) error {
	stream, err := r.host.opts.Engines.Open(ctx, port.EngineCall{
		Address:    grant.Address,
		Path:       r.req.call.Path,
		Body:       r.req.call.Body,
		Stream:     r.req.call.Stream,
		Priority:   grant.Priority,
		Request:    r.req.model.ID,
		Attempt:    r.req.model.Attempt,
		ResumeFrom: r.req.relayedTokens,
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
		if err := r.relayEvent(event); err != nil {
			return &callerError{cause: err}
		}
	}
}

// relayEvent writes one event to the caller.
func (r *engineAttempt) relayEvent(event port.EngineEvent) error {
	if r.firstToken == 0 {
		r.firstToken = time.Since(r.started)
	}
	if err := r.startAnswer(); err != nil {
		return err
	}
	if !r.req.call.Stream {
		r.countTokens(event.Tokens)
		return r.w.WriteBody(event.Data)
	}
	if err := r.w.WriteEvent(event.Data, event.Tokens); err != nil {
		return err
	}
	r.countTokens(event.Tokens)
	return nil
}

// startAnswer sends the header of the answer, once for all attempts of the
// request.
func (r *engineAttempt) startAnswer() error {
	if r.req.answerStarted {
		return nil
	}
	r.req.answerStarted = true
	kind := "application/json"
	if r.req.call.Stream {
		kind = "text/event-stream"
	}
	return r.w.Start(http.StatusOK, http.Header{"Content-Type": {kind}})
}

// countTokens counts relayed tokens and reports progress when it is due. If the
// control loop is full, the next call reports.
func (r *engineAttempt) countTokens(tokens int) {
	r.host.observeTokens(r.req, tokens)
	r.tokens += tokens
	r.req.relayedTokens += tokens
	if r.reported > 0 && r.tokens-r.reported < progressEvery {
		return
	}
	if r.host.loop.offer(progressEvent{id: r.req.model.ID, tokens: r.tokens - r.reported}) {
		r.reported = r.tokens
	}
}
