package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/standin/cut"
	"github.com/wigeonsail/wigeonsail/internal/standin/logstore"
	"github.com/wigeonsail/wigeonsail/internal/standin/replica"
)

const (
	// shortestPause and longestPause bound the time between two faults, and
	// shortestFault and longestFault the time that one lasts.
	minPause         = 50 * time.Millisecond
	maxPause         = 600 * time.Millisecond
	minFaultDuration = 150 * time.Millisecond
	maxFaultDuration = 1800 * time.Millisecond
)

// faults injects faults by the seed. Several are in force at once.
type faultInjector struct {
	env       *environment
	rng       *rand.Rand
	nextStart time.Time
	count     int

	mu sync.Mutex
	// ends are the times at which faults end, with what ends them.
	scheduledEnds []scheduledEnd
	// disturbed lists the spans in which hosts could not hear of changes.
	disturbances []span
}

type scheduledEnd struct {
	at  time.Time
	run func()
}

type span struct{ from, until time.Time }

func newFaultInjector(w *environment, rng *rand.Rand) *faultInjector {
	return &faultInjector{env: w, rng: rng, nextStart: time.Now().Add(maxPause)}
}

// between draws a time.
func (f *faultInjector) randomDuration(shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(f.rng.Int64N(int64(longest-shortest)))
}

// tick begins the faults that are due, and ends those that have lasted.
func (f *faultInjector) tick(now time.Time) {
	f.endDue(now)
	if now.Before(f.nextStart) {
		return
	}
	f.nextStart = now.Add(f.randomDuration(minPause, maxPause))
	f.count++
	f.startFault(now, f.randomDuration(minFaultDuration, maxFaultDuration))
}

// finish ends the faults whose time has come.
func (f *faultInjector) endDue(now time.Time) {
	f.mu.Lock()
	var due []scheduledEnd
	f.scheduledEnds = slices.DeleteFunc(f.scheduledEnds, func(e scheduledEnd) bool {
		if now.Before(e.at) {
			return false
		}
		due = append(due, e)
		return true
	})
	f.mu.Unlock()
	for _, e := range due {
		e.run()
	}
}

// until notes how a fault ends.
func (f *faultInjector) scheduleEnd(now time.Time, length time.Duration, end func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.scheduledEnds = append(f.scheduledEnds, scheduledEnd{at: now.Add(length), run: end})
}

// disturb notes that hosts may not hear of changes for a while.
func (f *faultInjector) recordDisturbance(now time.Time, length time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.disturbances = append(f.disturbances, span{from: now, until: now.Add(length)})
}

// calm says that hosts could hear of changes all the time.
func (f *faultInjector) isUndisturbed(from, until time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !slices.ContainsFunc(f.disturbances, func(s span) bool { return s.from.Before(until) && from.Before(s.until) })
}

// heal ends all faults.
func (f *faultInjector) endAll() {
	f.endDue(time.Now().Add(time.Hour))
	f.env.trace("healed")
}

// begin begins one fault.
func (f *faultInjector) startFault(now time.Time, length time.Duration) {
	w := f.env
	h := w.hosts[f.rng.IntN(len(w.hosts))]
	all := w.endpoints()
	e := all[f.rng.IntN(len(all))]
	kind := f.rng.IntN(10)
	w.trace("%s for %s", [...]string{
		"kill " + h.name, "pause " + h.name, "stop " + h.name, "hang up " + h.name, "the store fails",
		"cut the store from " + h.name, "the link to " + e.Instance(), "faults of " + e.Instance(),
		"drain " + e.Instance(), "publish",
	}[kind], length.Round(time.Millisecond))
	switch kind {
	case 0:
		f.restartHost(now, h, length, syscall.SIGKILL)
	case 1:
		f.recordDisturbance(now, length+time.Second)
		h.signal(syscall.SIGSTOP)
		f.scheduleEnd(now, length, func() { h.signal(syscall.SIGCONT) })
	case 2:
		f.restartHost(now, h, length, syscall.SIGTERM)
	case 3:
		h.signal(syscall.SIGHUP)
	case 4:
		f.failStore(now, length)
	case 5:
		f.recordDisturbance(now, length+2*time.Second)
		h.storeLink.SetMode(f.randomLinkMode())
		f.scheduleEnd(now, length, func() { h.storeLink.SetMode(cut.ModeOpen) })
	case 6:
		e.link.SetMode(f.randomLinkMode())
		f.scheduleEnd(now, length, func() { e.link.SetMode(cut.ModeOpen) })
	case 7:
		e.SetFaults(f.randomReplicaFaults())
		f.scheduleEnd(now, length, func() { e.SetFaults(replica.Faults{}) })
	case 8:
		f.replaceEndpoint(e)
	default:
		w.publish()
	}
}

func (f *faultInjector) randomLinkMode() cut.Mode {
	if f.rng.IntN(2) == 0 {
		return cut.ModeCut
	}
	return cut.ModeStall
}

// restart ends a host and starts it again.
func (f *faultInjector) restartHost(now time.Time, h *hostProcess, pause time.Duration, s syscall.Signal) {
	if h.restarting || !h.isRunning() {
		return
	}
	h.restarting = true
	f.recordDisturbance(now, pause+grace+2*time.Second)
	h.signal(s)
	f.scheduleEnd(now, pause, func() {
		if s == syscall.SIGTERM {
			// A paused process ends once it goes on.
			h.signal(syscall.SIGCONT)
		}
		h.wait()
		h.restarting = false
		if err := h.start(); err != nil {
			f.env.trace("start %s: %v", h.name, err)
		}
	})
}

func (f *faultInjector) failStore(now time.Time, length time.Duration) {
	kinds := []logstore.Fault{
		logstore.FaultUnavailable, logstore.FaultTooManyRequests, logstore.FaultResetConnection, logstore.FaultNoResponse, logstore.FaultLostResponse,
	}
	f.recordDisturbance(now, length+2*time.Second)
	f.env.store.SetFault(kinds[f.rng.IntN(len(kinds))])
	f.scheduleEnd(now, length, func() { f.env.store.SetFault(logstore.FaultNone) })
}

func (f *faultInjector) randomReplicaFaults() replica.Faults {
	all := []replica.Faults{
		{LoseResponse: true}, {Status: 500}, {Status: 503}, {QueueFull: true}, {DuplicateResponse: true}, {Unsigned: true},
		{TruncateStreamAfter: 3}, {TruncateBody: true}, {NoResponse: true},
	}
	return all[f.rng.IntN(len(all))]
}

// drain replaces an endpoint that does not drain yet.
func (f *faultInjector) replaceEndpoint(e *endpoint) {
	if !e.drained.IsZero() {
		return
	}
	if err := f.env.replaceEndpoint(e); err != nil {
		f.env.trace("drain: %v", fmt.Errorf("no endpoint in place of %s: %w", e.Instance(), err))
	}
}
