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

// copyBufferBytes is the size of the buffers that answers pass through.
const copyBufferBytes = 32 << 10

var copyBuffers = sync.Pool{New: func() any {
	buf := make([]byte, copyBufferBytes)
	return &buf
}}

// Serve serves a call to a plain service.
func (h *Host) Serve(ctx context.Context, call port.CallerRequest, w port.CallerResponseWriter) error {
	h.traffic.begin()
	defer h.traffic.end()
	req, err := h.admitServiceCall(call, time.Now())
	if err != nil {
		return h.observeRejected(rejectedTry(call, err))
	}
	if req.needsRight() && !call.Permitted {
		return h.serveOnce(ctx, req, w)
	}
	return h.serve(ctx, req, w, h.serviceRunner(w))
}

// serviceRunner makes attempts whose answer goes to w.
func (h *Host) serviceRunner(w port.CallerResponseWriter) runner {
	return func(ctx context.Context, req *request, grant dispatch.Action) attemptEnd {
		run := serviceRun{host: h, req: req, w: w, started: time.Now()}
		return run.attempt(ctx, grant)
	}
}

// serviceRun is one attempt at a plain service. It is never preempted.
type serviceRun struct {
	host    *Host
	req     *request
	w       port.CallerResponseWriter
	started time.Time
}

func (r *serviceRun) attempt(ctx context.Context, grant dispatch.Action) attemptEnd {
	first, err := r.relay(ctx, grant)
	if err != nil {
		return endOf(ctx, err, r.started)
	}
	return attemptEnd{result: dispatch.Result{
		Outcome:    model.OutcomeRan,
		FirstToken: first,
		Elapsed:    time.Since(r.started),
	}}
}

// relay sends the request and passes the answer on. It returns the time to
// the answer's header.
func (r *serviceRun) relay(ctx context.Context, grant dispatch.Action) (time.Duration, error) {
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
	r.req.started = true
	if err := r.w.Start(answer.Status, answer.Header); err != nil {
		return first, &callerError{cause: err}
	}
	return first, copyAnswer(r.w, answer.Body)
}

// body returns the request's body for this attempt. A body that is not held
// in memory is used by the one attempt that reads it.
func (r *serviceRun) body() io.Reader {
	if r.req.call.BodyReader != nil {
		return r.req.call.BodyReader
	}
	return bytes.NewReader(r.req.call.Body)
}

func (r *serviceRun) length() int64 {
	if r.req.call.BodyReader != nil {
		return r.req.call.BodyLength
	}
	return int64(len(r.req.call.Body))
}

// servicePath is the part of the path that the service sees.
func (r *serviceRun) servicePath() string {
	rest := strings.TrimPrefix(r.req.call.Path, r.req.route.Path)
	return "/" + strings.TrimPrefix(rest, "/")
}

// copyAnswer passes a body on part by part, so that a long answer needs no
// more memory than one buffer.
func copyAnswer(w port.CallerResponseWriter, body io.Reader) error {
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
