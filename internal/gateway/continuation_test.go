package gateway

import (
	"context"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/port"
)

// oddContinuation is what an endpoint answers to an attempt that continues a stream.
type oddContinuation struct {
	port.EndpointResponse
	status int
	events bool
}

func (r oddContinuation) Status() int                      { return r.status }
func (r oddContinuation) IsEventStream() bool              { return r.events }
func (r oddContinuation) Body() ([]byte, error)            { return []byte("out of memory"), nil }
func (r oddContinuation) Next() (port.EventBatch, error)   { return port.EventBatch{}, io.EOF }
func (r oddContinuation) RetryAfter() (none time.Duration) { return none }

// oddEndpoints answer the first attempt that continues a stream oddly.
type oddEndpoints struct {
	*versionedClient
	status int
	events bool
	odd    int
}

func (e *oddEndpoints) Send(ctx context.Context, a port.RoutedAttempt) (port.EndpointResponse, error) {
	reply, err := e.versionedClient.Send(ctx, a)
	e.mu.Lock()
	defer e.mu.Unlock()
	if err != nil || a.LastEventID == "" || e.odd > 0 {
		return reply, err
	}
	e.odd++
	return oddContinuation{EndpointResponse: reply, status: e.status, events: e.events}, nil
}

// A stream breaks off, and the next endpoint answers with something that is no stream. The caller
// must receive nothing of it, nor the end of the response.
func TestOnlyEventsContinueAStream(t *testing.T) {
	for _, c := range []struct {
		name   string
		status int
		events bool
	}{
		{"plain response", http.StatusOK, false},
		{"accepted", http.StatusAccepted, false},
		{"no content", http.StatusNoContent, true},
		{"error", http.StatusInternalServerError, false},
		{"error in a stream", http.StatusBadGateway, true},
		{"caller's fault", http.StatusBadRequest, false},
		{"redirection", http.StatusFound, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newVersionFleet(2)
				defer f.close()
				f.change = func(opts *Options) {
					opts.Endpoints = &oddEndpoints{versionedClient: opts.Endpoints.(*versionedClient), status: c.status, events: c.events}
				}
				f.addVersions(4, "v1")
				f.run()
				f.breakFirst(5, 1)
				f.call(0)
				must.Eq(t, 1, f.results().complete)
				caller := f.callers[0]
				must.Zero(t, caller.bodies)
				must.Zero(t, caller.cut)
				must.SliceLen(t, versionedEvents, caller.events)
			})
		})
	}
}
