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

// copyBufferBytes is the size of the buffers through which responses are copied.
const copyBufferBytes = 32 << 10

var copyBuffers = sync.Pool{New: func() any {
	buf := make([]byte, copyBufferBytes)
	return &buf
}}

// Serve serves a call to a plain service: it admits the request, obtains a permit
// if one is needed, runs attempts at services, and writes the response to w.
func (h *Host) Serve(ctx context.Context, call port.CallerRequest, w port.CallerResponseWriter) error {
	h.inFlight.begin()
	defer h.inFlight.end()
	req, err := h.admitServiceCall(call, time.Now())
	if err != nil {
		return h.observeRejected(correctRejectedOutcome(call, err))
	}
	if req.needsPermit() && !call.Permitted {
		return h.serveAtMostOnce(ctx, req, w)
	}
	return h.serve(ctx, req, w, h.newServiceAttemptFunc(w))
}

// newServiceAttemptFunc returns a function that runs attempts at a plain service
// and writes the response to w.
func (h *Host) newServiceAttemptFunc(w port.CallerResponseWriter) attemptFunc {
	return func(ctx context.Context, req *request, grant dispatch.Action) attemptEnd {
		a := serviceAttempt{host: h, req: req, w: w, started: time.Now()}
		return a.execute(ctx, grant)
	}
}

// serviceAttempt is one attempt at a plain service. It is never preempted.
type serviceAttempt struct {
	host    *Host
	req     *request
	w       port.CallerResponseWriter
	started time.Time
}

// execute runs the attempt and returns how it ended.
func (a *serviceAttempt) execute(ctx context.Context, grant dispatch.Action) attemptEnd {
	first, err := a.relay(ctx, grant)
	if err != nil {
		return newFailedEnd(ctx, err, a.started)
	}
	return attemptEnd{result: dispatch.Result{
		Outcome:    model.OutcomeRan,
		FirstToken: first,
		Elapsed:    time.Since(a.started),
	}}
}

// relay sends the request to the service and relays the response to the caller. It
// returns the time until the header of the response arrived.
func (a *serviceAttempt) relay(ctx context.Context, grant dispatch.Action) (time.Duration, error) {
	body := a.body()
	response, err := a.host.opts.Services.Do(ctx, port.ServiceCall{
		Address: grant.Address,
		Method:  a.req.call.Method,
		Path:    a.servicePath(),
		Header:  a.req.call.Header,
		Body:    body,
		Length:  a.length(),
		Key:     a.req.call.Key,
		Request: a.req.model.ID,
		Attempt: a.req.model.Attempt,
	})
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	first := time.Since(a.started)
	a.req.responseStarted = true
	if err := a.w.Start(response.Status, response.Header); err != nil {
		return first, &callerError{cause: err}
	}
	return first, copyResponse(a.w, response.Body)
}

// body returns the request body for this attempt. A body that is not held in
// memory can be read by one attempt only.
func (a *serviceAttempt) body() io.Reader {
	if a.req.call.BodyReader != nil {
		return a.req.call.BodyReader
	}
	return bytes.NewReader(a.req.call.Body)
}

// length returns the length of the request body in bytes.
func (a *serviceAttempt) length() int64 {
	if a.req.call.BodyReader != nil {
		return a.req.call.BodyLength
	}
	return int64(len(a.req.call.Body))
}

// servicePath returns the path of the request as sent to the service, without the
// path of the route.
func (a *serviceAttempt) servicePath() string {
	rest := strings.TrimPrefix(a.req.call.Path, a.req.route.Path)
	return "/" + strings.TrimPrefix(rest, "/")
}

// copyResponse copies the body of a response to the caller through one buffer, so
// that a long response does not need more memory.
func copyResponse(w port.CallerResponseWriter, body io.Reader) error {
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
