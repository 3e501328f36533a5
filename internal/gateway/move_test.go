package gateway

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/clock"
	"github.com/wigeonsail/wigeonsail/internal/core/attempt"
	"github.com/wigeonsail/wigeonsail/internal/core/directory"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/core/routing"
	"github.com/wigeonsail/wigeonsail/internal/loop"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

// movableEndpoints are endpoints whose runs can be moved. Endpoint "old" ends.
type movableEndpoints struct {
	versionedEndpoints
	mu sync.Mutex
	// stop ends the stream of a run at "old".
	stop context.CancelFunc
	// move is the result of a move, stops reports whether it stops the run.
	move  func() (port.MovedRun, error)
	stops bool
	// unframed streams have neither a length nor chunks.
	unframed bool
	// target is the version of "new", v1 if empty. stoodStill reports that the host has just stood
	// still when the stream begins.
	target     string
	stoodStill bool
	asked      int
	// sent are the attempts, in order.
	sent []port.RoutedAttempt
	// caller is who receives the stream.
	caller *versionedCaller
}

func (e *movableEndpoints) Send(ctx context.Context, a port.RoutedAttempt) (port.EndpointResponse, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sent = append(e.sent, a)
	if len(e.sent) == 1 {
		ctx, e.stop = context.WithCancel(ctx)
	}
	reply, err := e.versionedEndpoints.Send(ctx, a)
	if err == nil && e.unframed {
		reply = &unframedStream{EndpointResponse: reply, stopped: ctx}
	}
	return reply, err
}

// unframedStream is a stream that ends with its connection, also when its run is stopped.
type unframedStream struct {
	port.EndpointResponse
	stopped context.Context
}

func (s *unframedStream) EndsByClose() bool { return true }

func (s *unframedStream) Next() (port.EventBatch, error) {
	batch, err := s.EndpointResponse.Next()
	if err != nil && s.stopped.Err() != nil {
		err = io.EOF
	}
	return batch, err
}

func (e *movableEndpoints) MoveRun(context.Context, string, model.RequestID, string) (port.MovedRun, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stops {
		e.stop()
	}
	return e.move()
}

func (e *movableEndpoints) TimeLeft(context.Context, string) (time.Duration, bool, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.asked++
	// The first answer is from before the notice.
	return 600 * time.Millisecond, e.asked > 1, nil
}

// playMove lets a caller get a stream of a second from "old", which is reclaimed after
// 300 ms and ends 600 ms later, and returns what the caller got.
func playMove(t *testing.T, e *movableEndpoints, resumable bool) *versionedCaller {
	t.Helper()
	e.software = map[model.EndpointName]string{"old": "v1"}
	g := New(Options{Host: "h", Domain: "a", Log: &log.Logger{Handler: discard.New()}, Endpoints: e, Mover: e,
		Budget: attempt.SharedBudgetOptions{Window: 10 * time.Second, Slack: 10}})
	ctx, stop := context.WithCancel(context.Background())
	g.ctx = ctx
	g.workers.Go(func() { g.loop.Run(ctx, tickInterval, g.control.tick) })
	defer g.workers.Wait()
	defer stop()
	g.workers.Go(func() {
		for clock.Sleep(ctx, 50*time.Millisecond) {
			g.loop.Post(loop.Func(func(now time.Time) {
				g.control.directory.RecordStoreRead(now, now)
				g.control.barrier.recordRead(now)
			}))
		}
	})
	list := func(entry directory.Entry) {
		g.loop.Post(loop.Func(func(now time.Time) {
			g.control.directory.RecordStoreRead(now, now)
			if change, changed := g.control.directory.Put(now, entry); changed {
				g.control.applyEndpointChanges(now, []directory.Change{change}, sourceStore)
			}
		}))
	}
	cfg := &routing.Config{
		Version: 1, Pools: []routing.Pool{{Name: "p", Engine: &routing.Engine{Slots: 10, CacheTokens: 1000, CanMove: true}}},
		Routes: []routing.Route{{
			Name: "r", Host: "host", PathPrefix: "/", Kind: routing.Streaming, Timeout: 10 * time.Second, LatencyTarget: time.Second,
			MaxGap: time.Second, Targets: []routing.Target{{Pool: "p", Weight: 1}}, MaxAttempts: 2, Public: true, Resumable: resumable,
		}},
	}
	g.loop.Post(loop.Func(func(time.Time) { g.control.applyConfig(cfg, port.ConfigRecord{Version: 1}, "test") }))
	old := directory.Entry{Name: "old", Pool: "p", Address: "old", Domain: "a", Software: "v1", Slots: 10, Started: 1, Reclaimable: true}
	list(old)
	caller := &versionedCaller{}
	e.caller = caller
	served := make(chan bool, 1)
	clock.Sleep(ctx, 100*time.Millisecond)
	if e.stoodStill {
		g.loop.Post(loop.Func(func(now time.Time) { g.control.balancer.DoubtVersions(now) }))
	}
	go func() {
		call := &port.RoutedCall{ID: "1", Host: "host", Path: "/", Method: http.MethodPost, Header: http.Header{}, Arrived: time.Now()}
		served <- g.Route(ctx, call, &versionedWriter{caller: caller, request: "1"})
	}()
	clock.Sleep(ctx, 300*time.Millisecond)
	e.versionedEndpoints.mu.Lock()
	target := cmp.Or(e.target, "v1")
	e.software["new"] = target
	e.versionedEndpoints.mu.Unlock()
	list(directory.Entry{Name: "new", Pool: "p", Address: "new", Domain: "a", Software: model.SoftwareVersion(target), Slots: 10, Started: 1})
	old.Draining, old.Sequence = true, 1
	list(old)
	caller.complete = <-served
	clock.Sleep(ctx, moveTimeout)
	inFlight, ok := queryLoop(ctx, g, func(now time.Time) int { return len(g.control.balancer.LocalLoad(now)) })
	must.True(t, ok)
	must.Zero(t, inFlight)
	return caller
}

func TestAStreamIsMovedBeforeItsEndpointEnds(t *testing.T) {
	for _, c := range []struct {
		name  string
		run   port.MovedRun
		err   error
		stops bool
		// to is the endpoint of the second attempt, empty for none, handle what it continues.
		to, handle          model.EndpointName
		resumable, complete bool
	}{
		{name: "moved", run: port.MovedRun{Handle: "old/7"}, stops: true, to: "new", handle: "old/7", complete: true},
		{name: "target full", run: port.MovedRun{Handle: "old/7", AtSource: true}, stops: true, to: "old", handle: "old/7", complete: true},
		{name: "run has ended", err: &port.MoveError{Outcome: model.OutcomeNotRun}, complete: true},
		{name: "answer lost", err: &port.MoveError{Outcome: model.OutcomeUnknown}, stops: true},
		{name: "answer lost, resumable", err: &port.MoveError{Outcome: model.OutcomeUnknown}, stops: true, to: "new", resumable: true, complete: true},
		{name: "source gone", err: &port.MoveError{Outcome: model.OutcomeUnknown, Cause: errors.New("refused")}, complete: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := &movableEndpoints{stops: c.stops, move: func() (port.MovedRun, error) { return c.run, c.err }}
				caller := playMove(t, e, c.resumable)
				must.Eq(t, c.complete, caller.complete)
				if c.complete {
					must.SliceLen(t, versionedEvents, caller.events)
					must.Eq(t, fmt.Sprint(versionedEvents), caller.last)
				}
				if c.to == "" {
					must.SliceLen(t, 1, e.sent)
					return
				}
				must.SliceLen(t, 2, e.sent)
				must.Eq(t, c.to, e.sent[1].Endpoint)
				must.Eq(t, string(c.handle), e.sent[1].MovedFrom)
				must.NotEq(t, "", e.sent[1].LastEventID)
			})
		})
	}
}

// A stream without a length or chunks ends like a complete one when its run is stopped by a move
// whose answer is lost. Its caller must not take the part for the whole.
func TestAStreamWhoseMoveHasNoAnswerDoesNotLookComplete(t *testing.T) {
	lost := &port.MoveError{Outcome: model.OutcomeUnknown}
	for _, c := range []struct {
		name             string
		run              port.MovedRun
		err              error
		stops, resumable bool
		attempts         int
		complete         bool
	}{
		{name: "answer lost", err: lost, stops: true, attempts: 1},
		{name: "answer lost, resumable", err: lost, stops: true, resumable: true, attempts: 2, complete: true},
		{name: "answer lost, not stopped", err: lost, attempts: 1},
		{name: "moved", run: port.MovedRun{Handle: "old/7"}, stops: true, attempts: 2, complete: true},
		{name: "run has ended", err: &port.MoveError{Outcome: model.OutcomeNotRun}, attempts: 1, complete: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := &movableEndpoints{stops: c.stops, unframed: true, move: func() (port.MovedRun, error) { return c.run, c.err }}
				caller := playMove(t, e, c.resumable)
				must.Eq(t, c.complete, caller.complete)
				must.SliceLen(t, c.attempts, e.sent)
				if c.complete {
					must.SliceLen(t, versionedEvents, caller.events)
				}
			})
		})
	}
}

// The caller's time ends while the result of a move is awaited: the end of the stream proves nothing.
func TestTheEndOfAStreamIsUncertainWhileItsMoveIsInProgress(t *testing.T) {
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	m := &runMove{exchange: &exchange{gateway: New(Options{})}, started: make(chan struct{}), done: make(chan struct{})}
	m.start.Do(func() { close(m.started) })
	_, end := m.await(ended)
	must.Eq(t, endUncertain, end)
	close(m.done)
}

// A host that has just stood still is not certain of versions. It must not move a run to an
// endpoint of another version than the one that began the stream.
func TestARunIsMovedOnlyToTheVersionThatBeganIt(t *testing.T) {
	for target, attempts := range map[string]int{"v1": 2, "v2": 1} {
		synctest.Test(t, func(t *testing.T) {
			e := &movableEndpoints{target: target, stoodStill: true}
			e.move = func() (port.MovedRun, error) {
				e.stop()
				return port.MovedRun{Handle: "old/7"}, nil
			}
			caller := playMove(t, e, false)
			must.True(t, caller.complete)
			must.False(t, caller.isJoined())
			must.SliceLen(t, attempts, e.sent)
		})
	}
}

// What a move has placed is released if the caller leaves before the run has stopped.
func TestPlaceOfAMoveIsReleasedWhenTheCallerLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &movableEndpoints{}
		e.move = func() (port.MovedRun, error) {
			e.caller.mu.Lock()
			defer e.caller.mu.Unlock()
			e.caller.gone = true
			return port.MovedRun{Handle: "old/7"}, nil
		}
		must.False(t, playMove(t, e, false).complete)
		must.SliceLen(t, 1, e.sent)
	})
}

// A silent stream may be given up when its run was moved already.
func TestAMovedRunIsNotLostWhenItsStreamIsGivenUp(t *testing.T) {
	given, cancel := context.WithCancel(t.Context())
	cancel()
	for range 50 {
		m := &runMove{exchange: &exchange{gateway: &Gateway{}}, started: make(chan struct{}), done: make(chan struct{})}
		m.moved.Handle = "old/7"
		m.start.Do(func() { close(m.started) })
		close(m.done)
		_, end := m.await(given)
		must.Eq(t, endMoved, end)
	}
}
