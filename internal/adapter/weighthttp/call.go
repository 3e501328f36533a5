package weighthttp

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/adapter/weighthttp/wire"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

// maxResponseBytes bounds the response body that is read into memory.
const maxResponseBytes = 1 << 20

// call is one HTTP call.
type call struct {
	op   string
	path string
	// into receives the decoded JSON response.
	into any
}

// get executes one call. Errors are *port.PlatformError.
func (s *Store) get(ctx context.Context, c call) error {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	// Once a connection was obtained, a part of the request may have been sent.
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, s.root+c.path, nil)
	if err != nil {
		return &port.PlatformError{Op: c.op, Outcome: model.OutcomeNotRun, Cause: err}
	}
	req.Header.Set(wire.HostHeader, string(s.host))
	res, err := s.client.Do(req)
	if err != nil {
		return &port.PlatformError{Op: c.op, Outcome: sentOutcome(connected.Load()), Cause: err}
	}
	defer res.Body.Close()
	return decodeResponse(c, res)
}

// sentOutcome returns the outcome of a failed call that may have been sent.
func sentOutcome(sent bool) model.Outcome {
	if sent {
		return model.OutcomeUnknown
	}
	return model.OutcomeNotRun
}

// decodeResponse decodes the response into c.into.
func decodeResponse(c call, res *http.Response) error {
	body, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes))
	if err != nil {
		return &port.PlatformError{Op: c.op, Outcome: model.OutcomeUnknown, Cause: err}
	}
	if res.StatusCode >= http.StatusBadRequest {
		return refusedError(c, res.StatusCode, body)
	}
	if err := json.Unmarshal(body, c.into); err != nil {
		return &port.PlatformError{Op: c.op, Outcome: model.OutcomeUnknown, Cause: fmt.Errorf("cannot decode the response: %w", err)}
	}
	return nil
}

// refusedError converts a response with status 400 or above into an error. The
// call provably took no effect only if the platform says so in the body.
func refusedError(c call, status int, body []byte) error {
	var errBody wire.ErrorResponse
	if err := json.Unmarshal(body, &errBody); err != nil {
		errBody = wire.ErrorResponse{Message: "the error body is not valid JSON"}
	}
	return &port.PlatformError{
		Op:         c.op,
		Outcome:    sentOutcome(!errBody.NotApplied),
		RetryAfter: time.Duration(errBody.RetryAfterMillis) * time.Millisecond,
		Cause:      &RefusedError{Status: status, Code: errBody.Code, Message: errBody.Message},
	}
}

// RefusedError is an error response of the platform.
type RefusedError struct {
	// Status is the HTTP status.
	Status int
	// Code and Message are those of the platform's error body.
	Code    wire.ErrorCode
	Message string
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("status %d: %s %s", e.Status, e.Code, e.Message)
}
