package effects

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/wigeonsail/wigeonsail/internal/core/effect"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/loop"
)

var testResult = effect.Result{Outcome: model.OutcomeRan, Status: 201, Body: []byte("booked")}

func begin(t *testing.T, g *Guard, try effect.Try) Decision {
	t.Helper()
	d, err := g.Begin(t.Context(), try)
	must.NoError(t, err)
	return d
}

func refusal(ctx context.Context, t *testing.T, g *Guard, try effect.Try) *effect.Refusal {
	t.Helper()
	_, err := g.Begin(ctx, try)
	var refused *effect.Refusal
	must.True(t, errors.As(err, &refused))
	return refused
}

// waitForReads waits until the guards have read the log to its end.
func waitForReads() {
	<-time.After(time.Second)
	synctest.Wait()
}

func TestRetryThroughAnotherHostGetsSameResult(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newFakeLog()
		a := startGuard(t, l, "a", nil, member("b"))
		b := startGuard(t, l, "b", nil, member("a"))
		waitForReads()
		d := begin(t, a, confirmation("k"))
		must.Eq(t, effect.ActionSend, d.Kind)

		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		must.Eq(t, effect.CodeInProgress, refusal(ctx, t, b, confirmation("k")).Code)

		waiting := make(chan Decision, 1)
		go func() {
			d, _ := b.Begin(context.Background(), confirmation("k"))
			waiting <- d
		}()
		waitForReads()
		a.Finish(d.Permit, testResult)
		must.Eq(t, testResult, (<-waiting).Result)
		must.Eq(t, testResult, begin(t, a, confirmation("k")).Result)
	})
}

func TestLostAppendResponsesAreResolvedByReading(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newFakeLog()
		g := startGuard(t, l, "a", nil)
		waitForReads()
		before := l.update(func() { l.loseResponses = 1 })
		d := begin(t, g, confirmation("k"))
		must.Eq(t, effect.ActionSend, d.Kind)
		waitForReads()
		must.Eq(t, before+1, l.update(func() { l.loseResponses = 3 }))
		g.Finish(d.Permit, testResult)
		waitForReads()
		must.Eq(t, before+2, l.update(func() {}))
	})
}

func TestLogOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newFakeLog()
		a := startGuard(t, l, "a", nil)
		b := startGuard(t, l, "b", nil)
		waitForReads()
		l.update(func() { l.outage, l.delay = true, time.Second })
		waitForReads()
		began := time.Now()
		first := confirmation("k")
		first.First = true
		refused := refusal(t.Context(), t, a, first)
		must.Eq(t, model.OutcomeNotRun, refused.Outcome)
		must.True(t, refused.SuggestTicket)
		must.Eq(t, time.Duration(0), time.Since(began))

		text, _, err := a.IssueTicket(t.Context(), "office")
		must.NoError(t, err)
		d := begin(t, a, confirmation(text))
		must.Eq(t, effect.ActionSend, d.Kind)
		a.Finish(d.Permit, testResult)
		waitForReads()
		must.Eq(t, effect.ActionReplay, begin(t, a, confirmation(text)).Kind)
		must.Eq(t, model.OutcomeUnknown, refusal(t.Context(), t, b, confirmation(text)).Outcome)

		l.update(func() { l.outage, l.delay = false, 0 })
		waitForReads()
		waitForReads()
		must.Eq(t, testResult, begin(t, b, confirmation(text)).Result)
		must.Eq(t, effect.ActionSend, begin(t, a, confirmation("k")).Kind)
	})
}

func TestEntriesAreForwardedToBatchingHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newFakeLog()
		peers := &fakePeers{}
		a := startGuard(t, l, "a", peers, member("b"))
		b := startGuard(t, l, "b", peers, member("a"))
		waitForReads()
		before := peers.setTarget(b)
		for _, key := range []string{"1", "2", "3", "4", "5", "6", "7", "8"} {
			must.Eq(t, effect.ActionSend, begin(t, a, confirmation(key)).Kind)
		}
		must.Between(t, 1, peers.setTarget(nil)-before, 7)
		for _, key := range []string{"9", "10", "11", "12", "13", "14", "15"} {
			must.Eq(t, effect.ActionSend, begin(t, a, confirmation(key)).Kind)
		}

		// Forwarded entries are not forwarded again.
		peers.setTarget(a)
		for _, key := range []string{"16", "17", "18", "19"} {
			must.Eq(t, effect.ActionSend, begin(t, a, confirmation(key)).Kind)
		}
		waitForReads()
		before = peers.setTarget(a)
		waitForReads()
		waitForReads()
		must.Eq(t, before, peers.setTarget(a))
	})
}

func TestDisconnectedCallerFreesKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newFakeLog()
		g := startGuard(t, l, "a", nil)
		waitForReads()
		l.update(func() { l.delay = 100 * time.Millisecond })
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		defer cancel()
		must.Eq(t, model.OutcomeUnknown, refusal(ctx, t, g, confirmation("k")).Outcome)
		must.Eq(t, effect.ActionSend, begin(t, g, confirmation("k")).Kind)
	})
}

func TestGuardIsReadyAfterFirstReads(t *testing.T) {
	up := newFakeLog()
	down := newFakeLog()
	down.outage = true
	for _, l := range []*fakeLog{up, down} {
		g := startGuard(t, l, "a", nil)
		must.Wait(t, wait.InitialSuccess(wait.BoolFunc(g.Ready), wait.Timeout(5*time.Second), wait.Gap(time.Millisecond)))
	}
	notStarted := New(Options{Loop: loop.New(), Log: up})
	must.False(t, notStarted.Ready())
}

// A host must end in time although the log takes none of the records of several partitions.
func TestCloseEndsDuringAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newFakeLog()
		g := startGuard(t, l, "a", nil)
		waitForReads()
		var permits []Decision
		for i := range 32 {
			permits = append(permits, begin(t, g, confirmation(fmt.Sprint("k", i))))
		}
		l.update(func() { l.outage, l.delay = true, time.Second })
		for _, d := range permits {
			g.Finish(d.Permit, testResult)
		}
		waitForReads()
		closed := make(chan struct{})
		go func() {
			g.Close()
			close(closed)
		}()
		ended := false
		select {
		case <-closed:
			ended = true
		case <-time.After(2 * flushTimeout):
			l.update(func() { l.outage, l.delay = false, 0 })
			<-closed
		}
		must.True(t, ended)
	})
}
