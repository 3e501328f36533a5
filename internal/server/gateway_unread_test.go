package server

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/standin/replica"
)

// startIdleConns returns a ready host with a service, and two connections that are kept after a
// request.
func (f *fleet) startIdleConns() (g *Gateway, first, second *keptConn) {
	f.startReplica(servicePool, replica.Options{Instance: "i-1"})
	g = f.startReadyHost("h1")
	first, second = f.dial(g), f.dial(g)
	for _, conn := range []*keptConn{first, second} {
		must.Eq(f.t, http.StatusOK, conn.exchange("/confirm/1", conn.LocalAddr().String()).status)
	}
	return g, first, second
}

// waitClosed waits until the host has closed an idle connection.
func (c *keptConn) waitClosed(t *testing.T) {
	t.Helper()
	_, err := c.reader.ReadByte()
	must.ErrorIs(t, err, io.EOF)
}

func TestHalfReadRequestIsAnsweredAfterTheLinger(t *testing.T) {
	f := newFleet(t)
	f.publish(fleetConfig(1))
	g, conn, idle := f.startIdleConns()
	request := encode("/confirm/1", "late", "x")
	conn.write(request[:20])
	ended := f.stop(g, 3*time.Second)
	// A host that waits for the request keeps the other connection as well.
	must.NoError(t, idle.SetReadDeadline(time.Now().Add(200*time.Millisecond)))
	_, _ = idle.reader.ReadByte()
	conn.write(request[20:])
	got := conn.read()
	must.False(t, got.truncated)
	must.Eq(t, http.StatusOK, got.status)
	<-ended
}

func TestHalfReadRequestOutlivesTheIdleTimeout(t *testing.T) {
	f := newFleet(t)
	cfg := fleetConfig(1)
	cfg["limits"].(map[string]any)["idle_timeout_ms"] = 100
	f.publish(cfg)
	_, conn, idle := f.startIdleConns()
	request := encode("/confirm/1", "late", "x")
	conn.write(request[:20])
	idle.waitClosed(t)
	conn.write(request[20:])
	must.Eq(t, http.StatusOK, conn.read().status)
}

func TestConnectionsAreServedWhileARequestIsInProgress(t *testing.T) {
	f := newFleet(t)
	f.publish(fleetConfig(1))
	r := f.startReplica(enginePool, replica.Options{Instance: "e-1", Events: 10, ServiceTime: 100 * time.Millisecond})
	g, conn, _ := f.startIdleConns()
	answer := make(chan fleetResponse, 1)
	go func() { answer <- f.dialAndPost(g, "/brief/1") }()
	f.eventually(func() bool { return len(r.Executions()) == 1 })
	ended := f.stop(g, 2*time.Second)
	begun := time.Now()
	f.eventually(func() bool { return time.Since(begun) > 300*time.Millisecond })
	checkRefusedLeaving(t, conn.exchange("/confirm/1", "kept"))
	checkRefusedLeaving(t, f.dialAndPost(g, "/confirm/1"))
	must.Eq(t, replica.StreamBody(10), (<-answer).body)
	<-ended
}

func TestIdleHostEndsSoonAfterTheLinger(t *testing.T) {
	f := newFleet(t)
	f.publish(fleetConfig(1))
	g, _, _ := f.startIdleConns()
	f.dial(g)
	begun := time.Now()
	<-f.stop(g, 8*time.Second)
	must.Less(t, 2*time.Second, time.Since(begun))
}

func TestAnswersAreReadAfterTheHostHasEnded(t *testing.T) {
	f := newFleet(t)
	cfg := fleetConfig(1)
	const events = 2000
	// On a busy machine, the pauses of so many events add up to more than 2 s.
	const limit = 4 * time.Second
	for _, route := range cfg["routes"].([]any) {
		route.(map[string]any)["timeout_ms"] = limit.Milliseconds()
	}
	f.publish(cfg)
	r := f.startReplica(enginePool, replica.Options{Instance: "e-1", Events: events, ServiceTime: 50 * time.Microsecond})
	g, plain, _ := f.startIdleConns()
	stream := f.dial(g)
	plain.write(encode("/confirm/1", "plain", "x"))
	stream.write(encodeWithin(limit, "/draft/1", "stream", "x"))
	f.eventually(func() bool { return f.totalRuns() == 4 && len(r.Executions()) == 1 })
	<-f.stop(g, 5*time.Second)
	must.Eq(t, replica.ResponseBody("plain"), plain.read().body)
	must.Eq(t, replica.StreamBody(events), stream.read().body)
}

func TestReloadWhileLeavingEndsNoRequest(t *testing.T) {
	f := newFleet(t)
	f.publish(fleetConfig(1))
	r := f.startReplica(servicePool, replica.Options{Instance: "i-1", ServiceTime: 500 * time.Millisecond})
	g := f.startReadyHost("h1")
	answer := make(chan fleetResponse, 1)
	go func() { answer <- f.dialAndPost(g, "/confirm/1") }()
	f.eventually(func() bool { return len(r.Executions()) == 1 })
	ended := f.stop(g, 3*time.Second)
	g.Reload(g.settings)
	must.Eq(t, http.StatusOK, (<-answer).status)
	<-ended
}
