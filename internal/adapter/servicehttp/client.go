// Package servicehttp is an HTTP client of plain services: endpoints that are not
// model engines.
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

// LeavingPath is the path by which a service reports whether it is draining:
// status 503 means that it is.
const LeavingPath = "/readyz"

// headerKey is the request header with the idempotency key.
const headerKey = "Idempotency-Key"

// hopByHopHeaders apply to one connection only and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// privateHeaders are meant for the host only and are not forwarded.
var privateHeaders = []string{
	"Authorization", "Idempotency-Key", "X-Wigeonsail-Class", "X-Wigeonsail-Deadline-Ms",
}

// Client implements port.ServiceClient.
type Client struct {
	http *http.Client
}

// New returns a Client with its own connection pool. It does not follow redirects:
// they are returned like any other response.
func New() *Client {
	return &Client{http: &http.Client{
		Transport: endpointhttp.NewTransport(),
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Do sends one attempt. A response with an error status is not an error.
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
	return newResponse(res), nil
}

func newResponse(res *http.Response) *port.ServiceResponse {
	dropHopByHopHeaders(res.Header)
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
	dropHopByHopHeaders(req.Header)
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

// dropHopByHopHeaders removes the hop-by-hop headers, including those that the
// Connection header names.
func dropHopByHopHeaders(header http.Header) {
	for _, list := range header["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			header.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHopHeaders {
		header.Del(name)
	}
}

// Leaving queries whether the service itself reports that it is draining.
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
