// Package enginehttp is a client of model engines. It uses the OpenAI-compatible
// HTTP protocol with the engines' extensions for priority, resuming of streams,
// load reports and orders.
package enginehttp

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/adapter/endpointhttp"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

// The extensions of the engines' protocol.
const (
	// HeaderResumeFrom is the request header with the zero-based index of the
	// first token to send. An engine that resumes there repeats it in its
	// response.
	HeaderResumeFrom = "X-Resume-From-Token"
	// LoadPath is the path of the load report.
	LoadPath = "/load"
	// OrdersPath is the path to which orders are posted.
	OrdersPath = "/orders"
)

// maxResponseBytes bounds a response that is not streamed.
const maxResponseBytes = 16 << 20

// maxReportBytes bounds a load report.
const maxReportBytes = 64 << 10

// Client implements port.EngineClient.
type Client struct {
	http *http.Client
}

// New returns a Client with its own connection pool.
func New() *Client {
	return &Client{http: &http.Client{Transport: endpointhttp.NewTransport()}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Open sends an attempt and returns its response in progress. The response is
// canceled when ctx ends.
func (c *Client) Open(ctx context.Context, call port.EngineCall) (port.EngineStream, error) {
	var trace endpointhttp.Trace
	req, err := newRequest(trace.Watch(ctx), call)
	if err != nil {
		return nil, &port.EndpointError{Outcome: model.OutcomeNotRun, Cause: err}
	}
	res, err := c.http.Do(req)
	if err != nil {
		return nil, &port.EndpointError{Outcome: trace.Outcome(), Cause: err}
	}
	if res.StatusCode != http.StatusOK {
		defer res.Body.Close()
		return nil, statusError(res)
	}
	if !resumedAt(res, call.ResumeFrom) {
		res.Body.Close()
		return nil, brokenResponse(port.ErrNoResume)
	}
	return newStream(res, call.Stream), nil
}

// resumedAt reports whether the response starts at the requested token. An engine
// that does not confirm it may have restarted with a different text.
func resumedAt(res *http.Response, from int) bool {
	return from == 0 || res.Header.Get(HeaderResumeFrom) == strconv.Itoa(from)
}

// statusError returns the error for an error status. For a request that the engine
// rejected as invalid, the cause is the engine's response body and the outcome is
// not_run.
func statusError(res *http.Response) *port.EndpointError {
	failure := endpointhttp.StatusError(res)
	if res.StatusCode >= http.StatusInternalServerError || failure.Outcome == model.OutcomeNotRun {
		return failure
	}
	text, err := io.ReadAll(io.LimitReader(res.Body, maxReportBytes))
	if err == nil {
		failure.Cause = errors.New(string(text))
	}
	failure.Outcome = model.OutcomeNotRun
	return failure
}

func newRequest(ctx context.Context, call port.EngineCall) (*http.Request, error) {
	body := withPriority(call.Body, call.Priority)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+call.Address+call.Path, nil)
	if err != nil {
		return nil, err
	}
	endpointhttp.SetBody(req, bytes.NewReader(body), int64(len(body)))
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(endpointhttp.HeaderRequestID, string(call.Request))
	req.Header.Set(endpointhttp.HeaderAttempt, strconv.Itoa(int(call.Attempt)))
	if call.ResumeFrom > 0 {
		req.Header.Set(HeaderResumeFrom, strconv.Itoa(call.ResumeFrom))
	}
	return req, nil
}

// withPriority adds the priority field to a JSON object. The caller API has
// checked that the body is an object without that field.
func withPriority(body []byte, priority int) []byte {
	end := bytes.LastIndexByte(body, '}')
	if end < 0 {
		return body
	}
	out := make([]byte, 0, len(body)+len(priorityField)+4)
	out = append(out, body[:end]...)
	out = append(out, priorityField...)
	out = strconv.AppendInt(out, int64(priority), 10)
	return append(out, body[end:]...)
}

const priorityField = `,"priority":`

// loadReport is the JSON body of the engines' load report.
type loadReport struct {
	Running   int               `json:"running"`
	Queued    int               `json:"queued"`
	Leaving   bool              `json:"leaving"`
	CanResume bool              `json:"can_resume"`
	Models    []model.ModelName `json:"models"`
	Role      string            `json:"role"`
	AgeMS     int64             `json:"age_ms"`
}

// Load fetches the engine's load report.
func (c *Client) Load(ctx context.Context, address string) (port.EngineLoad, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+LoadPath, nil)
	if err != nil {
		return port.EngineLoad{}, &port.EndpointError{Outcome: model.OutcomeNotRun, Cause: err}
	}
	res, err := c.http.Do(req)
	if err != nil {
		return port.EngineLoad{}, &port.EndpointError{Cause: err}
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return port.EngineLoad{}, endpointhttp.StatusError(res)
	}
	var report loadReport
	if err := json.NewDecoder(io.LimitReader(res.Body, maxReportBytes)).Decode(&report); err != nil {
		return port.EngineLoad{}, &port.EndpointError{Status: res.StatusCode, Cause: err}
	}
	return port.EngineLoad{
		Running:   report.Running,
		Queued:    report.Queued,
		Leaving:   report.Leaving,
		CanResume: report.CanResume,
		Models:    report.Models,
		Role:      report.Role,
		Age:       time.Duration(report.AgeMS) * time.Millisecond,
	}, nil
}

// orderBody is the JSON body of an order.
type orderBody struct {
	Kind    string       `json:"kind"`
	Target  string       `json:"target"`
	Fencing model.Offset `json:"fencing"`
}

// Order sends an order. An engine that checks fencing numbers rejects an order
// with a stale one with status 409.
func (c *Client) Order(ctx context.Context, address string, o port.EngineOrder) error {
	body, err := json.Marshal(orderBody{Kind: o.Kind, Target: o.Target, Fencing: o.Fencing})
	if err != nil {
		return &port.EndpointError{Outcome: model.OutcomeNotRun, Cause: err}
	}
	var trace endpointhttp.Trace
	req, err := http.NewRequestWithContext(trace.Watch(ctx), http.MethodPost, "http://"+address+OrdersPath, nil)
	if err != nil {
		return &port.EndpointError{Outcome: model.OutcomeNotRun, Cause: err}
	}
	endpointhttp.SetBody(req, bytes.NewReader(body), int64(len(body)))
	res, err := c.http.Do(req)
	if err != nil {
		return &port.EndpointError{Outcome: trace.Outcome(), Cause: err}
	}
	defer res.Body.Close()
	if res.StatusCode >= http.StatusBadRequest {
		return statusError(res)
	}
	return nil
}
