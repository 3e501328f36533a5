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

// maxResponseBytes bounds the answer that is read into memory.
const maxResponseBytes = 1 << 20

// call is one HTTP call.
type call struct {
	op   string
	path string
	// into receives the JSON answer.
	into any
}

// get does one call and translates its failure.
func (s *Store) get(ctx context.Context, c call) error {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	// A connection that was obtained may have carried a part of the request.
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
	return finish(c, res)
}

func sentOutcome(sent bool) model.Outcome {
	if sent {
		return model.OutcomeUnknown
	}
	return model.OutcomeNotRun
}

// finish reads the answer.
func finish(c call, res *http.Response) error {
	body, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes))
	if err != nil {
		return &port.PlatformError{Op: c.op, Outcome: model.OutcomeUnknown, Cause: err}
	}
	if res.StatusCode >= http.StatusBadRequest {
		return refusal(c, res.StatusCode, body)
	}
	if err := json.Unmarshal(body, c.into); err != nil {
		return &port.PlatformError{Op: c.op, Outcome: model.OutcomeUnknown, Cause: fmt.Errorf("answer: %w", err)}
	}
	return nil
}

// refusal translates an answer of status 400 or above. The call took no
// effect only when the platform says so.
func refusal(c call, status int, body []byte) error {
	var said wire.ErrorResponse
	if err := json.Unmarshal(body, &said); err != nil {
		said = wire.ErrorResponse{Message: "no readable error body"}
	}
	return &port.PlatformError{
		Op:         c.op,
		Outcome:    sentOutcome(!said.NotApplied),
		RetryAfter: time.Duration(said.RetryAfterMillis) * time.Millisecond,
		Cause:      &RefusedError{Status: status, Code: said.Code, Message: said.Message},
	}
}

// RefusedError is an answer with which the platform refused a call.
type RefusedError struct {
	// Status is the HTTP status.
	Status int
	// Code and Message are the platform's words.
	Code    wire.ErrorCode
	Message string
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("status %d: %s %s", e.Status, e.Code, e.Message)
}
