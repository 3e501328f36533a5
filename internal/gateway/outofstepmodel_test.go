package gateway

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/wigeonsail/wigeonsail/internal/loop"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

const (
	scheduleHosts = 4
	// settleTime is the time after which all hosts are in step again: they have read the
	// list since the versions of endpoints were in doubt.
	settleTime = 6 * time.Second
)

// scheduleStep is one step of a schedule.
type scheduleStep struct {
	kind    string
	host    int
	version string
	wait    time.Duration
}

// String returns the step for the report of a failure.
func (s scheduleStep) String() string {
	return fmt.Sprint(s.kind, " h", s.host, " ", s.version, " ", s.wait)
}

// schedules is the number of schedules that are played.
var schedules = flag.Int("schedules", 80, "number of schedules of TestNoScheduleJoinsVersions")

// plan is a schedule, and after how many events attempts break off in turn; 0 for never.
type plan struct {
	steps  []scheduleStep
	breaks []int
}

// plans draws plans.
var plans = rapid.Custom(func(t *rapid.T) plan {
	step := rapid.Custom(func(t *rapid.T) scheduleStep {
		return scheduleStep{
			kind: rapid.SampledFrom([]string{
				"join", "leave", "begin", "begin", "begin", "cut", "cut from store", "cut from peers", "heal", "stand still", "lose host",
			}).Draw(t, "kind"),
			host:    rapid.IntRange(0, scheduleHosts-1).Draw(t, "host"),
			version: rapid.SampledFrom([]string{"v1", "v2", "v3"}).Draw(t, "version"),
			wait:    time.Duration(rapid.IntRange(0, 3000).Draw(t, "wait")) * time.Millisecond,
		}
	})
	return plan{steps: rapid.SliceOfN(step, 6, 16).Draw(t, "steps"), breaks: rapid.SliceOfN(rapid.IntRange(0, 4), 4, 12).Draw(t, "breaks")}
})

// scheduleRun plays a schedule on a fleet.
type scheduleRun struct {
	*cuttableFleet
	cutStores, cutPeers map[int]bool
	listed              map[string]bool
	attempts            int
}

// isHidden reports whether a host is cut off in any way.
func (r *scheduleRun) isHidden(host int) bool { return r.cutStores[host] || r.cutPeers[host] }

func (r *scheduleRun) cutStore(host int) {
	if !r.cutStores[host] {
		r.cutStores[host] = true
		r.stores[fmt.Sprint("h", host)].cut()
	}
}

func (r *scheduleRun) cutLinks(host int) {
	r.cutPeers[host] = true
	r.links[fmt.Sprint("h", host)].cut()
}

func (r *scheduleRun) heal(host int) {
	if r.cutStores[host] {
		r.stores[fmt.Sprint("h", host)].heal()
	}
	if r.cutPeers[host] {
		r.links[fmt.Sprint("h", host)].heal()
	}
	delete(r.cutStores, host)
	delete(r.cutPeers, host)
}

// standStill stops the control loop of a host for some time, in which nothing reaches it.
func (r *scheduleRun) standStill(host int, length time.Duration) {
	if r.isHidden(host) {
		return
	}
	r.cutStore(host)
	r.cutLinks(host)
	r.gateways[host].loop.Post(loop.Func(func(time.Time) { time.Sleep(length) }))
	time.Sleep(length)
	r.heal(host)
}

// step plays one step.
func (r *scheduleRun) step(s scheduleStep) {
	switch s.kind {
	case "join":
		if !r.listed[s.version] {
			r.listed[s.version] = true
			r.addVersions(4, s.version)
		}
	case "leave":
		if r.listed[s.version] && len(r.listed) > 1 {
			delete(r.listed, s.version)
			for i := range 4 {
				r.remove(fmt.Sprint("e-", s.version, "-", i))
			}
		}
	case "begin":
		r.beginAt(s.host, 6)
	case "cut":
		r.cutStore(s.host)
		r.cutLinks(s.host)
	case "cut from store":
		r.cutStore(s.host)
	case "cut from peers":
		r.cutLinks(s.host)
	case "heal":
		r.heal(s.host)
	case "stand still":
		r.standStill(s.host, s.wait)
	case "lose host":
		r.kill(s.host)
		r.start(s.host)
	}
	time.Sleep(s.wait / 4)
}

// breakSome makes some attempts break off after a few events.
func (r *scheduleRun) breakSome(breaks []int) {
	r.endpoints.breakAfter = func(port.RoutedAttempt) int {
		r.attempts++
		return breaks[r.attempts%len(breaks)]
	}
}

// runSchedule plays a schedule and returns what callers got during it, and of streams that
// began when all hosts were in step again.
func runSchedule(t *testing.T, p plan) (during, after versionResults, count int) {
	synctest.Test(t, func(*testing.T) {
		r := &scheduleRun{
			cuttableFleet: newCuttableFleet(scheduleHosts),
			cutStores:     make(map[int]bool), cutPeers: make(map[int]bool), listed: map[string]bool{"v1": true},
		}
		defer r.close()
		r.addVersions(4, "v1")
		r.run()
		time.Sleep(70 * time.Second)
		r.breakSome(p.breaks)
		for _, s := range p.steps {
			r.step(s)
		}
		for host := range scheduleHosts {
			r.heal(host)
		}
		during = r.results()
		time.Sleep(settleTime)
		r.endpoints.mu.Lock()
		// Each of the first responses breaks off for the caller, who goes on at the next host.
		r.endpoints.breakAfter = func(a port.RoutedAttempt) int {
			if a.LastEventID == "" || slices.Contains([]string{"2", "4"}, a.LastEventID) {
				return 2
			}
			return 0
		}
		r.endpoints.mu.Unlock()
		r.callers = nil
		for host := range scheduleHosts {
			r.beginAt(host, 3)
		}
		count = len(r.callers)
		after = r.results()
	})
	return during, after, count
}

// Whatever hosts miss, no stream is continued at another version, and once they are in step all streams go on.
func TestNoScheduleJoinsVersions(t *testing.T) {
	wentOn := 0
	for seed := range *schedules {
		p := plans.Example(seed)
		during, after, count := runSchedule(t, p)
		must.Zero(t, during.joined+after.joined, must.Sprintf("seed %d, streams joined: %v", seed, p.steps))
		must.Eq(t, count, after.complete, must.Sprintf("seed %d, streams complete in step: %v", seed, p.steps))
		wentOn += during.wentOn
	}
	must.Positive(t, wentOn)
	t.Logf("%d streams went on out of step", wentOn)
}
