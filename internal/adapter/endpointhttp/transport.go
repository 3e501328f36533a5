// Package endpointhttp holds what the adapters to engines and to plain
// services share: the connection pool, the trace that tells whether a byte of
// a request may have left, and bodies that are sent at most once.
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

// NewTransport returns a transport that keeps connections to endpoints. It
// adds no compression and follows no proxy of the environment.
func NewTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext:            dialer.DialContext,
		MaxIdleConnsPerHost:    maxIdlePerEndpoint,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		ReadBufferSize:         connectionBufferBytes,
		WriteBufferSize:        connectionBufferBytes,
		DisableCompression:     true,
	}
}

// Trace watches whether a byte of a request was handed to a connection.
type Trace struct {
	connected atomic.Bool
}

// Watch returns a context that reports to the trace.
func (t *Trace) Watch(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { t.connected.Store(true) },
	})
}

// Outcome returns not_run when no connection was ever at hand, since nothing
// can have been written then, and unknown otherwise.
func (t *Trace) Outcome() model.Outcome {
	if t.connected.Load() {
		return model.OutcomeUnknown
	}
	return model.OutcomeNotRun
}

// onceBody hides the type of a body, so that net/http never sends a request
// again by itself. It would do so for a request with an Idempotency-Key whose
// connection breaks, even after the endpoint has read it.
type onceBody struct{ io.Reader }

// Close implements io.Closer.
func (onceBody) Close() error { return nil }

// SetBody gives the request a body that is sent at most once. A negative
// length means that the length is not known.
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

// RetryAfter reads the Retry-After header in seconds; 0 when there is none.
func RetryAfter(header http.Header) time.Duration {
	seconds, err := strconv.Atoi(header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// errStatus is the cause of an error that the endpoint's status tells.
var errStatus = errors.New("endpoint answered with an error status")

// StatusError turns an error status into an error. 429 and 503 prove that a
// model engine refused the request; other statuses prove nothing.
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
