package peergrpc

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/goleak"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeHandler handles calls by its functions.
type fakeHandler struct {
	port.PeerHandler
	exchange func(context.Context, port.Heartbeat) (port.Heartbeat, error)
	forward  func(context.Context, port.ForwardCall, func(port.ForwardPart) error) error
	claims   func([]port.ClaimEntry) ([]port.ClaimPosition, error)
}

func (h *fakeHandler) HandleExchange(ctx context.Context, b port.Heartbeat) (port.Heartbeat, error) {
	return h.exchange(ctx, b)
}

func (h *fakeHandler) HandleForward(ctx context.Context, c port.ForwardCall, send func(port.ForwardPart) error) error {
	return h.forward(ctx, c, send)
}

func (h *fakeHandler) HandleAppendClaims(_ context.Context, entries []port.ClaimEntry) ([]port.ClaimPosition, error) {
	return h.claims(entries)
}

func echo(_ context.Context, b port.Heartbeat) (port.Heartbeat, error) { return b, nil }

var secret = Auth{Secret: "s3cret"}

// serve runs a server and returns a client, the server's address and the server.
func serve(t *testing.T, server, client Auth, handler port.PeerHandler) (*Client, string, *Server) {
	t.Helper()
	s, err := NewServer(server, handler)
	must.NoError(t, err)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	served := make(chan error, 1)
	go func() { served <- s.Serve(listener) }()
	c, err := NewClient(client)
	must.NoError(t, err)
	t.Cleanup(func() {
		c.Close()
		s.Shutdown(context.Background())
		must.NoError(t, <-served)
	})
	return c, listener.Addr().String(), s
}

func peerErrorOf(t *testing.T, err error) *port.PeerError {
	t.Helper()
	var peerErr *port.PeerError
	must.True(t, errors.As(err, &peerErr))
	return peerErr
}

func TestExchangeRoundTripsHeartbeat(t *testing.T) {
	c, address, _ := serve(t, secret, secret, &fakeHandler{exchange: echo})
	beat := port.Heartbeat{
		Host: "h1", Incarnation: 3, Domain: "d1", PeerAddress: "127.0.0.1:7", State: port.HostLeaving,
		Sequence: 9, Version: 4,
		Endpoints: []port.EndpointDigest{{Name: "e", InFlight: 1, Room: 2, Leaving: true}},
		Demand:    []port.DemandDigest{{Account: "a", Class: "c", Rate: 1.5, TokensInFlight: 6, Queued: 7}},
		Domains: []port.DomainDigest{{
			Domain: "d2", Sequence: 8, Gateways: []string{"127.0.0.2:7"}, Version: 5,
			FreeRoom: []port.PoolRoom{{Pool: "p", Room: -1}},
		}},
	}
	got, err := c.Exchange(t.Context(), address, beat)
	must.NoError(t, err)
	must.Eq(t, beat, got)
}

func TestWrongSecretIsRefused(t *testing.T) {
	c, address, _ := serve(t, secret, Auth{Secret: "other"}, &fakeHandler{exchange: echo})
	_, err := c.Exchange(t.Context(), address, port.Heartbeat{})
	must.False(t, peerErrorOf(t, err).Sent)
	stream, err := c.Forward(t.Context(), address, port.ForwardCall{})
	must.NoError(t, err)
	_, err = stream.Next()
	var endpointErr *port.EndpointError
	must.True(t, errors.As(err, &endpointErr))
	must.Eq(t, model.OutcomeNotRun, endpointErr.Outcome)
}

func TestUnreachablePeerIsReportedNotSent(t *testing.T) {
	c, err := NewClient(secret)
	must.NoError(t, err)
	defer c.Close()
	_, err = c.Exchange(t.Context(), "127.0.0.1:1", port.Heartbeat{})
	must.False(t, peerErrorOf(t, err).Sent)
	_, err = c.Forward(t.Context(), "127.0.0.1:1", port.ForwardCall{})
	must.False(t, peerErrorOf(t, err).Sent)
}

func TestUnresponsivePeerIsReportedSent(t *testing.T) {
	silent := func(ctx context.Context, b port.Heartbeat) (port.Heartbeat, error) {
		<-ctx.Done()
		return b, ctx.Err()
	}
	c, address, _ := serve(t, secret, secret, &fakeHandler{exchange: silent})
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_, err := c.Exchange(ctx, address, port.Heartbeat{})
	must.True(t, peerErrorOf(t, err).Sent)
}

func TestForwardRoundTripsCallPartsAndFailure(t *testing.T) {
	var got port.ForwardCall
	c, address, _ := serve(t, secret, secret, &fakeHandler{
		forward: func(_ context.Context, call port.ForwardCall, send func(port.ForwardPart) error) error {
			got = call
			must.NoError(t, send(port.ForwardPart{Status: 200, ContentType: "text/plain", Data: []byte("a"), Tokens: 1}))
			return &port.EndpointError{
				Outcome: model.OutcomeRan, Status: 502, RetryAfter: 1500 * time.Millisecond, Cause: errors.New("x"),
			}
		},
	})
	call := port.ForwardCall{
		Request: model.Request{
			ID: "r", Class: "c", Account: "a", Pool: "p", Model: "m", Prefix: 5,
			Deadline: time.Now().Add(time.Minute), Attempt: 2, Avoid: []model.EndpointName{"e"},
		},
		Key: "k", Method: "POST", Path: "/p", ContentType: "application/json", Body: []byte("{}"), Stream: true,
	}
	stream, err := c.Forward(t.Context(), address, call)
	must.NoError(t, err)
	part, err := stream.Next()
	must.NoError(t, err)
	must.Eq(t, port.ForwardPart{Status: 200, ContentType: "text/plain", Data: []byte("a"), Tokens: 1}, part)
	_, err = stream.Next()
	var endpointErr *port.EndpointError
	must.True(t, errors.As(err, &endpointErr))
	must.Eq(t, model.OutcomeRan, endpointErr.Outcome)
	must.Eq(t, 1500*time.Millisecond, endpointErr.RetryAfter)
	must.True(t, got.Request.Forwarded)
	must.Between(t, -time.Second, got.Request.Deadline.Sub(call.Request.Deadline), time.Second)
	got.Request.Arrived, got.Request.Deadline, got.Request.Forwarded = call.Request.Arrived, call.Request.Deadline, false
	must.Eq(t, call, got)
}

func TestInterruptedForwardIsUnknownAndCloseCancels(t *testing.T) {
	canceled := make(chan struct{}, 2)
	c, address, server := serve(t, secret, secret, &fakeHandler{
		forward: func(ctx context.Context, _ port.ForwardCall, send func(port.ForwardPart) error) error {
			must.NoError(t, send(port.ForwardPart{Status: 200}))
			<-ctx.Done()
			canceled <- struct{}{}
			return ctx.Err()
		},
	})
	open := func() port.ForwardStream {
		stream, err := c.Forward(t.Context(), address, port.ForwardCall{})
		must.NoError(t, err)
		_, err = stream.Next()
		must.NoError(t, err)
		return stream
	}
	must.NoError(t, open().Close())
	<-canceled
	stream := open()
	cut, cancel := context.WithCancel(t.Context())
	cancel()
	server.Shutdown(cut)
	_, err := stream.Next()
	var endpointErr *port.EndpointError
	must.True(t, errors.As(err, &endpointErr))
	must.Eq(t, model.OutcomeUnknown, endpointErr.Outcome)
}

func TestShutdownWaitsForForward(t *testing.T) {
	running, finish := make(chan struct{}), make(chan struct{})
	c, address, server := serve(t, secret, secret, &fakeHandler{
		exchange: echo,
		forward: func(_ context.Context, _ port.ForwardCall, send func(port.ForwardPart) error) error {
			close(running)
			<-finish
			return send(port.ForwardPart{Status: 200})
		},
	})
	stream, err := c.Forward(t.Context(), address, port.ForwardCall{})
	must.NoError(t, err)
	<-running
	stopped := make(chan struct{})
	go func() {
		server.Shutdown(context.Background())
		close(stopped)
	}()
	for err == nil {
		_, err = c.Exchange(t.Context(), address, port.Heartbeat{})
	}
	close(finish)
	_, err = stream.Next()
	must.NoError(t, err)
	_, err = stream.Next()
	must.ErrorIs(t, err, io.EOF)
	<-stopped
}

func TestFailedAppendReturnsPlatformError(t *testing.T) {
	c, address, _ := serve(t, secret, secret, &fakeHandler{
		claims: func(entries []port.ClaimEntry) ([]port.ClaimPosition, error) {
			if len(entries) == 2 {
				return []port.ClaimPosition{{Offset: 4}, {Offset: 4, Index: 1}}, nil
			}
			return nil, &port.PlatformError{Op: "append", Outcome: model.OutcomeNotRun, RetryAfter: time.Second}
		},
	})
	places, err := c.AppendClaims(t.Context(), address, []port.ClaimEntry{{Partition: 1}, {Partition: 2, Data: []byte("x")}})
	must.NoError(t, err)
	must.Eq(t, []port.ClaimPosition{{Offset: 4}, {Offset: 4, Index: 1}}, places)
	_, err = c.AppendClaims(t.Context(), address, nil)
	must.True(t, peerErrorOf(t, err).Sent)
	var platformErr *port.PlatformError
	must.True(t, errors.As(err, &platformErr))
	must.Eq(t, model.OutcomeNotRun, platformErr.Outcome)
	must.Eq(t, time.Second, platformErr.RetryAfter)
}

func TestOversizedMessageIsRefused(t *testing.T) {
	c, address, _ := serve(t, secret, secret, &fakeHandler{})
	_, err := c.AppendClaims(t.Context(), address, []port.ClaimEntry{{Data: make([]byte, maxMessageBytes+1)}})
	must.Error(t, err)
}

func TestIdleConnectionsAreClosed(t *testing.T) {
	c, address, _ := serve(t, secret, secret, &fakeHandler{exchange: echo})
	_, err := c.Exchange(t.Context(), address, port.Heartbeat{})
	must.NoError(t, err)
	later := time.Now().Add(connectionIdleTime)
	entry := c.connections.byAddress[address]
	entry.calls++
	c.connections.sweep(later)
	must.MapLen(t, 1, c.connections.byAddress)
	entry.calls--
	c.connections.sweep(later.Add(connectionIdleTime))
	must.MapEmpty(t, c.connections.byAddress)
}
