// Package endpointhttp holds the parts shared by the clients of engines and of
// plain services: the connection pool, the trace that shows whether a byte of a
// request may have been sent, and bodies that are sent at most once.
package endpointhttp

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

// The headers that every attempt carries.
const (
	HeaderRequestID = "X-Request-Id"
	HeaderAttempt   = "X-Wigeonsail-Attempt"
)

const (
	dialTimeout           = 2 * time.Second
	idleTimeout           = 60 * time.Second
	maxIdlePerEndpoint    = 2048
	maxHeaderBytes        = 64 << 10
	connectionBufferBytes = 4 << 10
)

// NewTransport returns a transport that pools connections to endpoints that return
// the request ID in their responses. It fails with a *MismatchError if a response
// has another ID. It does not request compression and ignores the proxy settings of
// the environment.
func NewTransport() http.RoundTripper {
	dialer := &net.Dialer{Timeout: dialTimeout}
	base := &http.Transport{
		DialContext:            dialer.DialContext,
		MaxIdleConnsPerHost:    maxIdlePerEndpoint,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		ReadBufferSize:         connectionBufferBytes,
		WriteBufferSize:        connectionBufferBytes,
		DisableCompression:     true,
	}
	fresh := base.Clone()
	fresh.DisableKeepAlives = true
	return &echoTransport{base: base, fresh: fresh}
}

// Trace records whether a request was assigned a connection, after which bytes of
// it may have been sent.
type Trace struct {
	connected atomic.Bool
}

// Watch returns a context for a request that the trace records.
func (t *Trace) Watch(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { t.connected.Store(true) },
	})
}

// Outcome returns not_run if the request never got a connection, since nothing can
// have been written then, and unknown otherwise.
func (t *Trace) Outcome() model.Outcome {
	if t.connected.Load() {
		return model.OutcomeUnknown
	}
	return model.OutcomeNotRun
}

// onceBody hides the type of a body, so that net/http never resends a request by
// itself. It would do so for a request with an Idempotency-Key whose connection
// breaks, even after the endpoint has read the request.
type onceBody struct{ io.Reader }

// Close implements io.Closer.
func (onceBody) Close() error { return nil }

// SetBody sets a request body that is sent at most once. A negative length means
// that the length is unknown.
func SetBody(req *http.Request, body io.Reader, length int64) {
	if body == nil {
		body = eofReader{}
		length = 0
	}
	req.Body = onceBody{body}
	req.GetBody = nil
	req.ContentLength = length
}

type eofReader struct{}

func (eofReader) Read([]byte) (int, error) { return 0, io.EOF }

// RetryAfter returns the duration in the Retry-After header, which must be in
// whole seconds; 0 if there is none.
func RetryAfter(header http.Header) time.Duration {
	seconds, err := strconv.Atoi(header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// errStatus is the cause of an *port.EndpointError made from an error status.
var errStatus = errors.New("endpoint answered with an error status")

// StatusError returns the error for an error status. 429 and 503 prove that a model
// engine refused the request, so their outcome is not_run; other statuses prove
// nothing, so their outcome is unknown.
func StatusError(res *http.Response) *port.EndpointError {
	outcome := model.OutcomeUnknown
	if res.StatusCode == http.StatusTooManyRequests || res.StatusCode == http.StatusServiceUnavailable {
		outcome = model.OutcomeNotRun
	}
	return &port.EndpointError{
		Outcome:    outcome,
		Status:     res.StatusCode,
		RetryAfter: RetryAfter(res.Header),
		Cause:      errStatus,
	}
}
