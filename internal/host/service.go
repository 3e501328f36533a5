package host

import (
	"bytes"
	"context"
	"errors"
	"io"
	"strings"
	"sync"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/dispatch"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

// copyBufferBytes is the size of the buffers through which answers are copied.
const copyBufferBytes = 32 << 10

var copyBuffers = sync.Pool{New: func() any {
	buf := make([]byte, copyBufferBytes)
	return &buf
}}

// Serve serves a call to a plain service.
func (h *Host) Serve(ctx context.Context, call port.CallerRequest, w port.AnswerWriter) error {
	h.inFlight.begin()
	defer h.inFlight.end()
	req, err := h.admitServiceCall(call, time.Now())
	if err != nil {
		return h.observeRejected(correctRejectedOutcome(call, err))
	}
	if req.needsPermission() && !call.Permitted {
		return h.serveAtMostOnce(ctx, req, w)
	}
	return h.serve(ctx, req, w, h.newServiceAttemptFunc(w))
}

// newServiceAttemptFunc returns a function that runs attempts at a plain service
// and writes the answer to w.
func (h *Host) newServiceAttemptFunc(w port.AnswerWriter) attemptFunc {
	return func(ctx context.Context, req *request, grant dispatch.Action) attemptEnd {
		run := serviceAttempt{host: h, req: req, w: w, started: time.Now()}
		return run.execute(ctx, grant)
	}
}

// serviceAttempt is one attempt at a plain service. It is never preempted.
type serviceAttempt struct {
	host    *Host
	req     *request
	w       port.AnswerWriter
	started time.Time
}

// execute runs the attempt and returns how it ended.
func (r *serviceAttempt) execute(ctx context.Context, grant dispatch.Action) attemptEnd {
	first, err := r.relay(ctx, grant)
	if err != nil {
		return newFailedEnd(ctx, err, r.started)
	}
	return attemptEnd{result: dispatch.Result{
		Outcome:    model.OutcomeRan,
		FirstToken: first,
		Elapsed:    time.Since(r.started),
	}}
}

// relay sends the request to the service and relays the answer to the caller. It
// returns the time until the header of the answer arrived.
func (r *serviceAttempt) relay(ctx context.Context, grant dispatch.Action) (time.Duration, error) {
	body := r.body()
	answer, err := r.host.opts.Services.Do(ctx, port.ServiceCall{
		Address: grant.Address,
		Method:  r.req.call.Method,
		Path:    r.servicePath(),
		Header:  r.req.call.Header,
		Body:    body,
		Length:  r.length(),
		Key:     r.req.call.Key,
		Request: r.req.model.ID,
		Attempt: r.req.model.Attempt,
	})
	if err != nil {
		return 0, err
	}
	defer answer.Body.Close()
	first := time.Since(r.started)
	r.req.answerStarted = true
	if err := r.w.Start(answer.Status, answer.Header); err != nil {
		return first, &callerError{cause: err}
	}
	return first, copyAnswer(r.w, answer.Body)
}

// body returns the request body for this attempt. A body that is not held in
// memory can be read by one attempt only.
func (r *serviceAttempt) body() io.Reader {
	if r.req.call.BodyReader != nil {
		return r.req.call.BodyReader
	}
	return bytes.NewReader(r.req.call.Body)
}

// length returns the length of the request body in bytes.
func (r *serviceAttempt) length() int64 {
	if r.req.call.BodyReader != nil {
		return r.req.call.BodyLength
	}
	return int64(len(r.req.call.Body))
}

// servicePath returns the path of the request as sent to the service, without the
// path of the route.
func (r *serviceAttempt) servicePath() string {
	rest := strings.TrimPrefix(r.req.call.Path, r.req.route.Path)
	return "/" + strings.TrimPrefix(rest, "/")
}

// copyAnswer copies the body of an answer to the caller through one buffer, so
// that a long answer does not need more memory.
func copyAnswer(w port.AnswerWriter, body io.Reader) error {
	buf := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buf)
	for {
		n, err := body.Read(*buf)
		if n > 0 {
			if err := w.WriteBody((*buf)[:n]); err != nil {
				return &callerError{cause: err}
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return &port.EndpointError{Outcome: model.OutcomeUnknown, Cause: err}
		}
	}
}
