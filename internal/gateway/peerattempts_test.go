package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

const attemptMemory = 10 << 20

func newAttemptGateway() *Gateway {
	g := New(Options{Host: "h1", Domain: "north", MemoryLimit: attemptMemory, Log: &log.Logger{Handler: discard.New()}})
	g.ctx, g.stop = context.WithCancel(context.Background())
	return g
}

func admitted(t *testing.T, g *Gateway, bytes int64) port.MemoryHold {
	t.Helper()
	hold, err := g.AdmitAttempt(bytes)
	must.NoError(t, err)
	return hold
}

func isRefused(err error) bool {
	var failure *port.PeerAttemptError
	return errors.As(err, &failure) && failure.Refused && failure.Outcome == model.OutcomeNotRun
}

func TestAttemptsForOthersLeaveMemoryForOwnCallers(t *testing.T) {
	g := newAttemptGateway()
	hold := admitted(t, g, attemptMemory/2)
	_, err := g.AdmitAttempt(1)
	must.True(t, isRefused(err))
	own, refusal := g.HoldMemory(1000)
	must.Nil(t, refusal)
	own.Release()
	hold.Release()
	hold.Release()
	must.Eq(t, 0, g.PeerAttemptsInProgress())
	held, _ := g.memory.held()
	must.Eq(t, 0, held)
	admitted(t, g, attemptMemory/2).Release()
}

func TestAttemptsForOthersAreBoundedInNumber(t *testing.T) {
	g := newAttemptGateway()
	for range maxPeerAttempts {
		admitted(t, g, 0)
	}
	_, err := g.AdmitAttempt(0)
	must.True(t, isRefused(err))
}

func TestLeavingHostTakesNoAttempts(t *testing.T) {
	g := newAttemptGateway()
	must.True(t, g.control.digest(time.Now()).Paths.TakesAttempts)
	g.Leave()
	_, err := g.AdmitAttempt(0)
	must.True(t, isRefused(err))
	must.False(t, g.control.digest(time.Now()).Paths.TakesAttempts)
}

// Await returns exactly when the last attempt has ended.
func TestAwaitEndsWithLastAttempt(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var p peerAttempts
		var open []int64
		t.Repeat(map[string]func(*rapid.T){
			"add": func(t *rapid.T) {
				size := rapid.Int64Range(0, 100).Draw(t, "size")
				if p.add(size, 200) {
					open = append(open, size)
				}
			},
			"remove": func(*rapid.T) {
				if len(open) > 0 {
					p.remove(open[0])
					open = open[1:]
				}
			},
			"": func(t *rapid.T) {
				sum := int64(0)
				for _, size := range open {
					sum += size
				}
				must.Eq(t, sum, p.held)
				must.LessEq(t, 200, p.held)
				must.Eq(t, len(open) > 0, p.done() != nil)
			},
		})
	})
}

// largeStream is a stream of two large batches.
type largeStream struct {
	crashableStream
	sent int
}

func (s *largeStream) Next() (port.EventBatch, error) {
	if s.sent == 2 {
		return port.EventBatch{}, io.EOF
	}
	s.sent++
	return port.EventBatch{Data: bytes.Repeat([]byte("x"), 4<<20), Events: 1}, nil
}

// What waits for another host is held in the account, and is shed as that of a slow caller.
func TestResponseThatOtherHostDoesNotReadIsShed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newAttemptGateway()
		defer g.stop()
		reply := func() *peerReply {
			hold := admitted(t, g, 0).(*peerHold)
			ctx, cancel := context.WithCancelCause(t.Context())
			hold.OnShed(func() { cancel(port.ErrShed) })
			out := &peerReply{EndpointResponse: &largeStream{crashableStream: crashableStream{ctx: ctx}}, gateway: g, hold: hold.memoryHold, ctx: ctx, cancel: func() { cancel(nil) }}
			out.attempt.Call = &port.RoutedCall{}
			return out
		}
		slow, quick := reply(), reply()
		_, err := slow.Next()
		must.NoError(t, err)
		held, _ := g.memory.held()
		must.Greater(t, 4<<20, held)
		time.Sleep(2 * time.Second)
		own, refusal := g.HoldMemory(1 << 20)
		must.Nil(t, refusal)
		go func() {
			must.NoError(t, own.AddUnread(t.Context(), 5<<20))
			own.Release()
		}()
		time.Sleep(time.Second)
		must.ErrorIs(t, context.Cause(slow.ctx), port.ErrShed)
		slow.hold.Release()
		slow.Close()
		for range 2 {
			_, err = quick.Next()
			must.NoError(t, err)
		}
		_, err = quick.Next()
		must.ErrorIs(t, err, io.EOF)
		quick.Close()
		quick.hold.Release()
		synctest.Wait()
		held, _ = g.memory.held()
		must.Eq(t, 0, held)
	})
}
