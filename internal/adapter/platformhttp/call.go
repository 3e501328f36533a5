package platformhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/wigeonsail/wigeonsail/internal/adapter/platformhttp/wire"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

const (
	// maxReadTries bounds the tries of one read.
	maxReadTries = 3
	// firstRetryAfter is the mean wait before the first retry of a read.
	firstRetryAfter = 50 * time.Millisecond
	// maxResponseBytes bounds the answer that is read into memory.
	maxResponseBytes = 16 << 20
)

// call is one HTTP call.
type call struct {
	op     string
	method string
	path   string
	// body is sent as JSON; nil for none.
	body any
	// into receives the JSON answer; nil for none.
	into any
	// wait is how long the platform itself waits before it answers.
	wait time.Duration
}

// retry does a call that changes nothing, with jittered backoff between the
// tries. All tries share the call's time.
func (p *Platform) retry(ctx context.Context, c call) error {
	ctx, cancel := context.WithTimeout(ctx, p.timeout+c.wait)
	defer cancel()
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = firstRetryAfter
	var last error
	_, err := backoff.Retry(ctx, func() (struct{}, error) {
		last = p.do(ctx, c)
		return struct{}{}, retryable(last)
	}, backoff.WithBackOff(wait), backoff.WithMaxTries(maxReadTries))
	if err == nil {
		return nil
	}
	if last != nil {
		return last
	}
	return &port.PlatformError{Op: c.op, Outcome: model.OutcomeNotRun, Cause: err}
}

// retryable marks errors that a further try cannot mend.
func retryable(err error) error {
	var refused *RefusedError
	if errors.As(err, &refused) && refused.Code != wire.CodeUnavailable {
		return backoff.Permanent(err)
	}
	return err
}

// do does one call and translates its failure.
func (p *Platform) do(ctx context.Context, c call) error {
	ctx, cancel := context.WithTimeout(ctx, p.timeout+c.wait)
	defer cancel()
	// A connection that was obtained may have carried a part of the request.
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := p.request(ctx, c)
	if err != nil {
		return &port.PlatformError{Op: c.op, Outcome: model.OutcomeNotRun, Cause: err}
	}
	start := time.Now()
	res, err := p.client.Do(req)
	if err != nil {
		p.noteFailure(ctx)
		return &port.PlatformError{Op: c.op, Outcome: sentOutcome(connected.Load()), Cause: err}
	}
	defer res.Body.Close()
	return p.finish(c, res, time.Since(start))
}

// noteFailure counts a failed call, unless the caller withdrew it.
func (p *Platform) noteFailure(ctx context.Context) {
	if !errors.Is(ctx.Err(), context.Canceled) {
		p.health.failed()
	}
}

func sentOutcome(sent bool) model.Outcome {
	if sent {
		return model.OutcomeUnknown
	}
	return model.OutcomeNotRun
}

func (p *Platform) request(ctx context.Context, c call) (*http.Request, error) {
	var body io.Reader
	if c.body != nil {
		encoded, err := json.Marshal(c.body)
		if err != nil {
			return nil, err
		}
		body = bytes.NewReader(encoded)
	}
	req, err := http.NewRequestWithContext(ctx, c.method, p.root+c.path, body)
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(wire.HostHeader, string(p.host))
	return req, nil
}

// finish reads the answer.
func (p *Platform) finish(c call, res *http.Response, took time.Duration) error {
	body, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes))
	if err != nil {
		p.health.failed()
		return &port.PlatformError{Op: c.op, Outcome: model.OutcomeUnknown, Cause: err}
	}
	if res.StatusCode >= http.StatusInternalServerError {
		p.health.failed()
	} else {
		p.health.answered(took - c.wait)
	}
	if res.StatusCode >= http.StatusBadRequest {
		return refusal(c, res.StatusCode, body)
	}
	if c.into == nil {
		return nil
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
