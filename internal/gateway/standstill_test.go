package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/core/attempt"
	"github.com/wigeonsail/wigeonsail/internal/core/balance"
	"github.com/wigeonsail/wigeonsail/internal/core/routing"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

// Digests that were sent during a cut arrive after it, the oldest first.
func TestLateDigestsDoNotMakeKnowledgeFresh(t *testing.T) {
	const healed = 10 * time.Second
	c, _ := newTestControl(t)
	c.applyConfig(&routing.Config{Version: 1}, port.ConfigRecord{Version: 1}, "test")
	digest := port.LoadDigest{Host: "h2", Domain: "north", Address: "peer", Version: 1}
	c.receiveDigest(at(0), digest)
	must.Less(t, time.Second, c.gateway.configAge(at(0)))
	must.Less(t, time.Second, c.knownReadAge(at(0)))
	for i := range time.Duration(5) {
		now := at(healed + i*time.Millisecond)
		c.receiveDigest(now, digest)
		must.GreaterEq(t, healed, c.gateway.configAge(now))
		must.GreaterEq(t, healed, c.knownReadAge(now))
	}
	inStep := at(healed + 2*heartbeatInterval)
	c.receiveDigest(inStep, digest)
	must.Less(t, time.Second, c.gateway.configAge(inStep))
	must.Less(t, time.Second, c.knownReadAge(inStep))
}

// suspend returns a function that lets time pass which the clock of package time does not count.
func suspend(c *control) func(d time.Duration) {
	var suspended time.Duration
	started := time.Now()
	c.gateway.suspension = newSuspension(func() time.Time { return started.Add(time.Since(started) + suspended) })
	return func(d time.Duration) { suspended += d }
}

// Time in which the host was suspended does not pass on the clock of package time.
func TestKnowledgeAgesWhileTheHostIsSuspended(t *testing.T) {
	const length = 10 * time.Second
	c, _ := newTestControl(t)
	pass := suspend(c)
	c.tick(at(0))
	c.applyConfig(&routing.Config{Version: 1}, port.ConfigRecord{Version: 1}, "test")
	c.receiveDigest(at(0), port.LoadDigest{Host: "h2", Domain: "north", Address: "peer", Version: 1})
	c.applyListRead(at(0), listUpdate{full: true, next: offset(1), asOf: at(0)})
	pass(length)
	must.GreaterEq(t, length, c.gateway.configAge(at(0)), must.Sprint("before the control loop runs"))
	c.tick(at(tickInterval))
	must.GreaterEq(t, length, c.gateway.configAge(at(tickInterval)))
	must.GreaterEq(t, length, c.listAge(at(tickInterval)))
	must.False(t, c.isListCurrent(at(tickInterval)))
	must.SliceEmpty(t, c.peers.liveMembers(at(tickInterval)))
	c.applyListRead(at(2*tickInterval), listUpdate{full: true, next: offset(1), asOf: at(2 * tickInterval), suspended: c.gateway.suspension.total()})
	must.True(t, c.isListCurrent(at(2*tickInterval)))
}

// A response may lie unread while the host stands still.
func TestReadCountsFromBeforeTheStandstill(t *testing.T) {
	const length = 10 * time.Second
	for name, c := range map[string]struct{ stopped, suspended time.Duration }{"stopped": {length, 0}, "suspended": {0, length}} {
		// The clocks do not run during the test.
		synctest.Test(t, func(t *testing.T) {
			host, _ := newTestControl(t)
			pass := suspend(host)
			host.applyConfig(&routing.Config{Version: 1}, port.ConfigRecord{Version: 1}, "test")
			host.tick(at(0))
			read := listRead{asOf: at(0), suspended: host.gateway.suspension.total()}
			update := listUpdate{full: true, next: offset(1), asOf: read.asOf, suspended: read.suspended}
			pass(c.suspended)
			now := at(c.stopped)
			host.tick(now)
			host.learnRead(now, read)
			host.applyListRead(now, update)
			must.GreaterEq(t, length, host.gateway.configAge(now), must.Sprint(name))
			must.GreaterEq(t, length, host.listAge(now), must.Sprint(name))
			must.GreaterEq(t, length, host.directory.Age(now), must.Sprint(name))
		})
	}
}

// goesOn reports whether a stream of version v1 may go on at an endpoint now.
func goesOn(c *control, now time.Time) bool {
	c.balancer.SetBudget(attempt.SharedBudgetOptions{Window: time.Second, Ratio: 1, Slack: 10})
	req := balance.Request{ID: "r", Pool: "p", Software: "v1", Arrived: now}
	d := c.balancer.Submit(now, req)
	c.balancer.Finish(now, req.ID, balance.Result{})
	return !d.IsRefused()
}

// An endpoint may have started again with another version while the host saw nothing.
func TestVersionsAreUncertainAfterAStandstill(t *testing.T) {
	const length = 5 * time.Second
	for name, stand := range map[string]struct{ stopped, suspended time.Duration }{"stopped": {length, 0}, "suspended": {0, length}} {
		c, _ := newTestControl(t)
		pass := suspend(c)
		c.applyListRead(at(0), listUpdate{full: true, records: []port.ListRecord{versionRecord("a", "v1")}, next: offset(5), asOf: at(0)})
		c.tick(at(0))
		must.True(t, goesOn(c, at(tickInterval)), must.Sprint(name))
		pass(stand.suspended)
		now := at(stand.stopped + tickInterval)
		c.tick(now)
		readAt := func(d time.Duration) {
			at := now.Add(d)
			c.applyListRead(at, listUpdate{next: offset(5), asOf: at, suspended: c.gateway.suspension.total()})
			c.tick(at)
		}
		readAt(reviewInterval)
		must.False(t, goesOn(c, now.Add(reviewInterval)), must.Sprint(name))
		for d := time.Duration(0); d < 4*time.Second; d += tickInterval {
			readAt(reviewInterval + d)
		}
		must.True(t, goesOn(c, now.Add(5*time.Second)), must.Sprint(name))
	}
}
