package server

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/settings"
	"github.com/wigeonsail/wigeonsail/internal/standin/replica"
	"github.com/wigeonsail/wigeonsail/internal/standin/users"
	"github.com/wigeonsail/wigeonsail/opconfig"
)

// useLinger sets the linger time of hosts that start from now on.
func (f *fleet) useLinger(d time.Duration) {
	f.configure = func(s *settings.Gateway) { s.Shutdown.Linger = opconfig.Duration(d) }
}

// stop shuts a host down within a grace time in the background. The result is closed when it
// has ended.
func (f *fleet) stop(g *Gateway, grace time.Duration) <-chan struct{} {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		ctx, cancel := context.WithTimeout(context.Background(), grace)
		defer cancel()
		// A test reads what the callers received.
		_ = g.Shutdown(ctx)
	}()
	f.eventually(func() bool { return !g.Ready() })
	return ended
}

// keptConn is a caller's connection that is kept between requests.
type keptConn struct {
	net.Conn
	reader *bufio.Reader
}

// dial opens a connection to a host.
func (f *fleet) dial(g *Gateway) *keptConn {
	f.t.Helper()
	conn, err := net.Dial("tcp", g.Address("callers"))
	must.NoError(f.t, err)
	f.t.Cleanup(func() { _ = conn.Close() })
	return &keptConn{Conn: conn, reader: bufio.NewReader(conn)}
}

// encode returns a request as it is sent.
func encode(path, id, body string) string { return encodeWithin(2*time.Second, path, id, body) }

// encodeWithin is encode with the time limit of the request.
func encodeWithin(limit time.Duration, path, id, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nX-Wigeonsail-Attempt-Id: %s\r\nX-Wigeonsail-Deadline-Ms: %d\r\n"+
		"X-Wigeonsail-Key: %s\r\nContent-Length: %d\r\n\r\n%s", path, users.Host, id, limit.Milliseconds(), callerKey, len(body), body)
}

// write sends a part of a request. A failure shows when the response is read.
func (c *keptConn) write(text string) { _, _ = io.WriteString(c.Conn, text) }

// read reads a response.
func (c *keptConn) read() fleetResponse {
	res, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return fleetResponse{truncated: true, unread: errors.Is(err, syscall.ECONNRESET)}
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	return fleetResponse{status: res.StatusCode, header: res.Header, body: string(body), truncated: err != nil, closes: res.Close}
}

// exchange sends a request and reads its response.
func (c *keptConn) exchange(path, id string) fleetResponse {
	c.write(encode(path, id, "x"))
	return c.read()
}

// checkRefusedLeaving checks that a response says that the host leaves and has not run the
// request.
func checkRefusedLeaving(t *testing.T, got fleetResponse) {
	t.Helper()
	must.False(t, got.truncated)
	must.Eq(t, http.StatusServiceUnavailable, got.status)
	must.StrContains(t, got.body, `"code":"leaving","outcome":"not_run"`)
	must.True(t, got.closes)
	must.NotEq(t, "", got.header.Get("Retry-After"))
}

func TestLeavingHostRefusesRequestsItCannotEnd(t *testing.T) {
	f := newFleet(t)
	f.publish(fleetConfig(1))
	f.useLinger(time.Second)
	r := f.startReplica(servicePool, replica.Options{Instance: "i-1", ServiceTime: 400 * time.Millisecond})
	g := f.startReadyHost("h1")
	var known sync.WaitGroup
	for range 20 {
		known.Go(func() { f.post(g, "/confirm/1") })
	}
	known.Wait()
	ended := f.stop(g, 400*time.Millisecond)
	checkRefusedLeaving(t, f.postConfirm(g))
	must.Len(t, 20, r.Executions())
	<-ended
}

func TestLeavingHostServesRequestsThatEndInTime(t *testing.T) {
	f := newFleet(t)
	f.publish(fleetConfig(1))
	f.useLinger(800 * time.Millisecond)
	f.startReplica(servicePool, replica.Options{Instance: "i-1", ServiceTime: 10 * time.Millisecond})
	g := f.startReadyHost("h1")
	ended := f.stop(g, time.Second)
	must.Eq(t, http.StatusOK, f.postConfirm(g).status)
	<-ended
}

func TestRequestsAtTheEndOfTheGraceGetAnAnswer(t *testing.T) {
	for _, route := range []string{"confirm", "read", "draft", "brief"} {
		t.Run(route, func(t *testing.T) {
			f := newFleet(t)
			f.publish(fleetConfig(1))
			pool, options := servicePool, replica.Options{Instance: "i-1", ServiceTime: 3 * time.Second}
			if route == "draft" || route == "brief" {
				pool, options.Events = enginePool, 2
			}
			r := f.startReplica(pool, options)
			g := f.startReadyHost("h1")
			answer := make(chan fleetResponse, 1)
			go func() { answer <- f.dialAndPost(g, "/"+route+"/1") }()
			f.eventually(func() bool { return len(r.Executions()) == 1 })
			<-f.stop(g, 500*time.Millisecond)
			got := <-answer
			must.False(t, got.truncated)
			must.Eq(t, http.StatusBadGateway, got.status)
			must.StrContains(t, got.body, `"code":"leaving","outcome":"unknown"`)
		})
	}
}

func TestStreamAtTheEndOfTheGraceLooksIncomplete(t *testing.T) {
	f := newFleet(t)
	f.publish(fleetConfig(1))
	lines := memory.New()
	f.logHandler = lines
	r := f.startReplica(enginePool, replica.Options{Instance: "i-1", Events: 100, ServiceTime: 50 * time.Millisecond})
	g := f.startReadyHost("h1")
	answer := make(chan fleetResponse, 1)
	go func() { answer <- f.postStream(g, "draft") }()
	f.eventually(func() bool { return len(r.Executions()) == 1 })
	<-f.stop(g, 500*time.Millisecond)
	got := <-answer
	must.True(t, got.truncated)
	must.StrHasPrefix(t, got.body, replica.StreamBody(100))
	must.StrHasPrefix(t, replica.StreamBody(3), got.body)
	cut := slices.IndexFunc(lines.Entries, func(e *log.Entry) bool { return e.Message == "request: response interrupted" })
	must.GreaterEq(t, 0, cut)
	must.Less(t, 0, lines.Entries[cut].Fields["arrived_after_stop_ms"].(int64))
	must.Eq[any](t, false, lines.Entries[cut].Fields["endpoint_finished"])
	must.Eq[any](t, "this host ends", lines.Entries[cut].Fields["error"])
}

func TestSlowBodyIsRefusedAtTheEndOfTheGrace(t *testing.T) {
	f := newFleet(t)
	f.publish(fleetConfig(1))
	f.startReplica(servicePool, replica.Options{Instance: "i-1"})
	g := f.startReadyHost("h1")
	conn := f.dial(g)
	request := encode("/confirm/1", "slow", "0123456789")
	conn.write(strings.TrimSuffix(request, "56789"))
	ended := f.stop(g, 500*time.Millisecond)
	checkRefusedLeaving(t, conn.read())
	<-ended
}

func TestLeavingHostBeginsNoRetryItCannotEnd(t *testing.T) {
	f := newFleet(t)
	f.publish(fleetConfig(1))
	first := f.startReplica(servicePool, replica.Options{Instance: "i-1", ServiceTime: 300 * time.Millisecond})
	f.startReplica(servicePool, replica.Options{Instance: "i-2", ServiceTime: 300 * time.Millisecond}).SetFaults(replica.Faults{Status: 500})
	first.SetFaults(replica.Faults{Status: 500})
	g := f.startReadyHost("h1")
	answer := make(chan fleetResponse, 1)
	go func() { answer <- f.dialAndPost(g, "/read/1") }()
	f.eventually(func() bool { return f.totalRuns() == 1 })
	ended := f.stop(g, time.Second)
	must.Eq(t, http.StatusInternalServerError, (<-answer).status)
	must.Eq(t, 1, f.totalRuns())
	<-ended
}

// post sends a request whose response does not matter.
func (f *fleet) post(g *Gateway, path string) { f.dialAndPost(g, path) }

// dialAndPost sends a request on a new connection. It may be called from any goroutine.
func (f *fleet) dialAndPost(g *Gateway, path string) fleetResponse {
	conn, err := net.Dial("tcp", g.Address("callers"))
	if err != nil {
		return fleetResponse{truncated: true}
	}
	defer conn.Close()
	c := &keptConn{Conn: conn, reader: bufio.NewReader(conn)}
	return c.exchange(path, conn.LocalAddr().String())
}
