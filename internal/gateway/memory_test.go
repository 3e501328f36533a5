package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

const (
	// longEvents is the number of events of a long stream, longEvent the size of each.
	longEvents = 200
	longEvent  = 4 << 10
)

// longEndpoints are endpoints whose streams are long. They break off a response that is not
// read for unreadTime.
type longEndpoints struct{ *versionedEndpoints }

const unreadTime = 2 * time.Second

func (e longEndpoints) Send(ctx context.Context, a port.RoutedAttempt) (port.EndpointResponse, error) {
	if a.LastEventID != "" {
		return nil, errConnectionReset
	}
	return &longStream{crashableStream: crashableStream{ctx: ctx}, readAt: time.Now()}, nil
}

type longStream struct {
	crashableStream
	sent   int
	readAt time.Time
	// buf is used again by each call of Next, unless it is kept.
	buf []byte
}

func (s *longStream) ConnectedAt() time.Time { return time.Time{} }
func (s *longStream) EndsByClose() bool      { return false }
func (s *longStream) KeepBatch()             { s.buf = nil }

func (s *longStream) Next() (port.EventBatch, error) {
	if time.Since(s.readAt) > unreadTime {
		return port.EventBatch{}, errConnectionReset
	}
	if !sleepUnlessCrashed(s.ctx, 5*time.Millisecond, nil) {
		return port.EventBatch{}, errConnectionReset
	}
	s.readAt = time.Now()
	if s.sent == longEvents {
		return port.EventBatch{}, io.EOF
	}
	s.sent++
	s.buf = append(s.buf[:0], bytes.Repeat([]byte{byte(s.sent)}, longEvent)...)
	return port.EventBatch{Data: s.buf, Events: 1, LastID: "e"}, nil
}

// pausingWriter is a caller that reads nothing for a while after its third event. Its
// response can be cut off.
type pausingWriter struct {
	quietWriter
	pause time.Duration
	cut   <-chan struct{}
	// events is the number of events that it has read in order.
	events int
}

func (w *pausingWriter) Write(data []byte) error {
	if w.events == 3 && !sleepUnlessCrashed(context.Background(), w.pause, w.cut) {
		return errCallerGone
	}
	if data[0] == byte(w.events+1) && data[len(data)-1] == data[0] {
		w.events++
	}
	return nil
}

// readSlowly starts a stream of a caller that pauses, and returns whether the response was
// complete, the number of events read and whether it was cut off.
func readSlowly(t *testing.T, g *Gateway, id model.RequestID, pause time.Duration) (complete bool, events int, shed bool) {
	hold, refusal := g.HoldMemory(0)
	must.Nil(t, refusal)
	defer hold.Release()
	ctx, cancel := context.WithCancelCause(t.Context())
	defer cancel(nil)
	hold.OnShed(func() { cancel(port.ErrShed) })
	w := &pausingWriter{pause: pause, cut: ctx.Done()}
	complete = g.Route(ctx, &port.RoutedCall{
		ID: id, Host: "h.example", Path: "/", URI: "/", Arrived: time.Now(), CallerTimeout: 10 * time.Second, Memory: hold,
		Prompt: model.Prompt{Model: "m", InputTokens: 100, MaxOutputTokens: 100},
	}, w)
	return complete, w.events, errors.Is(context.Cause(ctx), port.ErrShed)
}

// newLongFleet returns a gateway with a limit on memory before endpoints with long streams.
func newLongFleet(limit int64) *versionFleet {
	f := newVersionFleet(1)
	f.change = func(opts *Options) {
		opts.Endpoints, opts.MemoryLimit = longEndpoints{f.endpoints}, limit
	}
	f.add("e-1", "v1")
	f.add("e-2", "v1")
	f.run()
	return f
}

// A caller that reads slowly is not cut off, by the endpoint either, while there is memory.
func TestSlowReaderGetsWholeStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newLongFleet(2 << 20)
		defer f.close()
		complete, events, shed := readSlowly(t, f.gateways[0], "slow", 5*time.Second)
		must.True(t, complete)
		must.Eq(t, longEvents, events)
		must.False(t, shed)
		used, _ := f.gateways[0].memory.held()
		must.Zero(t, used)
	})
}

// Without memory, the slowest reader is cut off, and others go on.
func TestSlowestReaderIsShedWithoutMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newLongFleet(600 << 10)
		defer f.close()
		g := f.gateways[0]
		f.running.Go(func() {
			complete, _, shed := readSlowly(t, g, "stopped", time.Hour)
			must.False(t, complete)
			must.True(t, shed)
		})
		time.Sleep(500 * time.Millisecond)
		complete, events, shed := readSlowly(t, g, "slow", 600*time.Millisecond)
		must.True(t, complete)
		must.Eq(t, longEvents, events)
		must.False(t, shed)
		f.running.Wait()
		used, _ := g.memory.held()
		must.Zero(t, used)
	})
}
