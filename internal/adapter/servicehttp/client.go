// Package servicehttp speaks to plain services over HTTP.
package servicehttp

import (
	"context"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"

	"github.com/wigeonsail/wigeonsail/internal/adapter/endpointhttp"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

// LeavingPath is where a service says whether it is leaving: 503 means yes.
const LeavingPath = "/readyz"

// headerKey carries the idempotency key.
const headerKey = "Idempotency-Key"

// hopHeaders belong to one connection and are not passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// privateHeaders are between the caller and the host.
var privateHeaders = []string{
	"Authorization", "Idempotency-Key", "X-Wigeonsail-Class", "X-Wigeonsail-Deadline-Ms",
}

// Client implements port.Services.
type Client struct {
	http *http.Client
}

// New returns a client with a connection pool of its own. It follows no
// redirects: they are answers like any other.
func New() *Client {
	return &Client{http: &http.Client{
		Transport: endpointhttp.NewTransport(),
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}}
}

// Close drops idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Do sends one attempt. Whatever the service answers is its answer.
func (c *Client) Do(ctx context.Context, call port.ServiceCall) (*port.ServiceResponse, error) {
	var trace endpointhttp.Trace
	req, err := newRequest(trace.Watch(ctx), call)
	if err != nil {
		return nil, &port.EndpointError{Outcome: model.OutcomeNotRun, Cause: err}
	}
	res, err := c.http.Do(req)
	if err != nil {
		return nil, &port.EndpointError{Outcome: trace.Outcome(), Cause: err}
	}
	return newAnswer(res), nil
}

func newAnswer(res *http.Response) *port.ServiceResponse {
	dropHopHeaders(res.Header)
	return &port.ServiceResponse{Status: res.StatusCode, Header: res.Header, Body: res.Body}
}

func newRequest(ctx context.Context, call port.ServiceCall) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+call.Address+call.Path, nil)
	if err != nil {
		return nil, err
	}
	req.Header = call.Header.Clone()
	if req.Header == nil {
		req.Header = make(http.Header)
	}
	dropHopHeaders(req.Header)
	for _, name := range privateHeaders {
		req.Header.Del(name)
	}
	endpointhttp.SetBody(req, call.Body, call.Length)
	req.Header.Set(endpointhttp.HeaderRequestID, string(call.Request))
	req.Header.Set(endpointhttp.HeaderAttempt, strconv.Itoa(int(call.Attempt)))
	if call.Key != "" {
		req.Header.Set(headerKey, call.Key)
	}
	return req, nil
}

// dropHopHeaders removes the headers of one connection, those that the
// Connection header names included.
func dropHopHeaders(header http.Header) {
	for _, list := range header["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			header.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopHeaders {
		header.Del(name)
	}
}

// Leaving asks whether the service is leaving by its own report.
func (c *Client) Leaving(ctx context.Context, address string) (bool, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+LeavingPath, nil)
	if err != nil {
		return false, &port.EndpointError{Outcome: model.OutcomeNotRun, Cause: err}
	}
	res, err := c.http.Do(req)
	if err != nil {
		return false, &port.EndpointError{Cause: err}
	}
	res.Body.Close()
	return res.StatusCode == http.StatusServiceUnavailable, nil
}
