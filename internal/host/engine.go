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

// progressEvery is the number of tokens between two reports of progress to
// the control loop. The first token is reported at once, since the dispatcher
// learns from its time.
const progressEvery = 64

// Complete serves a model call.
func (h *Host) Complete(ctx context.Context, call port.CallerRequest, w port.CallerResponseWriter) error {
	h.traffic.begin()
	defer h.traffic.end()
	req, err := h.admitModelCall(call, time.Now())
	if err != nil {
		return h.observeRejected(err)
	}
	return h.serve(ctx, req, w, func(ctx context.Context, req *request, grant dispatch.Action) attemptEnd {
		run := engineRun{host: h, req: req, w: w, started: time.Now()}
		return run.attempt(ctx, grant)
	})
}

// engineRun is one attempt at an engine.
type engineRun struct {
	host       *Host
	req        *request
	w          port.CallerResponseWriter
	started    time.Time
	firstToken time.Duration
	tokens     int
	reported   int
}

func (r *engineRun) attempt(ctx context.Context, grant dispatch.Action) attemptEnd {
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
		end = endOf(ctx, err, r.started)
	}
	end.result.FirstToken = r.firstToken
	end.result.Tokens = r.tokens
	return end
}

// relay passes the engine's answer on until its end.
func (r *engineRun) relay(ctx context.Context, grant dispatch.Action) error {
	stream, err := r.host.opts.Engines.Open(ctx, port.EngineCall{
		Address:    grant.Address,
		Path:       r.req.call.Path,
		Body:       r.req.call.Body,
		Stream:     r.req.call.Stream,
		Priority:   grant.Priority,
		Request:    r.req.model.ID,
		Attempt:    r.req.model.Attempt,
		ResumeFrom: r.req.relayed,
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
		if err := r.pass(event); err != nil {
			return &callerError{cause: err}
		}
	}
}

// pass writes one event to the caller.
func (r *engineRun) pass(event port.EngineEvent) error {
	if r.firstToken == 0 {
		r.firstToken = time.Since(r.started)
	}
	if err := r.begin(); err != nil {
		return err
	}
	if !r.req.call.Stream {
		r.count(event.Tokens)
		return r.w.WriteBody(event.Data)
	}
	if err := r.w.WriteEvent(event.Data, event.Tokens); err != nil {
		return err
	}
	r.count(event.Tokens)
	return nil
}

// begin sends the answer's header once for all attempts.
func (r *engineRun) begin() error {
	if r.req.started {
		return nil
	}
	r.req.started = true
	kind := "application/json"
	if r.req.call.Stream {
		kind = "text/event-stream"
	}
	return r.w.Start(http.StatusOK, http.Header{"Content-Type": {kind}})
}

func (r *engineRun) count(tokens int) {
	r.host.observeTokens(r.req, tokens)
	r.tokens += tokens
	r.req.relayed += tokens
	if r.reported > 0 && r.tokens-r.reported < progressEvery {
		return
	}
	if r.host.loop.offer(progressEvent{id: r.req.model.ID, tokens: r.tokens - r.reported}) {
		r.reported = r.tokens
	}
}
