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
	shortestPause = 50 * time.Millisecond
	longestPause  = 600 * time.Millisecond
	shortestFault = 150 * time.Millisecond
	longestFault  = 1800 * time.Millisecond
)

// faults injects faults by the seed. Several are in force at once.
type faults struct {
	world *world
	rng   *rand.Rand
	next  time.Time
	count int

	mu sync.Mutex
	// ends are the times at which faults end, with what ends them.
	ends []ending
	// disturbed lists the spans in which hosts could not hear of changes.
	disturbed []span
}

type ending struct {
	at  time.Time
	run func()
}

type span struct{ from, until time.Time }

func newFaults(w *world, rng *rand.Rand) *faults {
	return &faults{world: w, rng: rng, next: time.Now().Add(longestPause)}
}

// between draws a time.
func (f *faults) between(shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(f.rng.Int64N(int64(longest-shortest)))
}

// tick begins the faults that are due, and ends those that have lasted.
func (f *faults) tick(now time.Time) {
	f.finish(now)
	if now.Before(f.next) {
		return
	}
	f.next = now.Add(f.between(shortestPause, longestPause))
	f.count++
	f.begin(now, f.between(shortestFault, longestFault))
}

// finish ends the faults whose time has come.
func (f *faults) finish(now time.Time) {
	f.mu.Lock()
	var due []ending
	f.ends = slices.DeleteFunc(f.ends, func(e ending) bool {
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
func (f *faults) until(now time.Time, length time.Duration, end func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ends = append(f.ends, ending{at: now.Add(length), run: end})
}

// disturb notes that hosts may not hear of changes for a while.
func (f *faults) disturb(now time.Time, length time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.disturbed = append(f.disturbed, span{from: now, until: now.Add(length)})
}

// calm says that hosts could hear of changes all the time.
func (f *faults) calm(from, until time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !slices.ContainsFunc(f.disturbed, func(s span) bool { return s.from.Before(until) && from.Before(s.until) })
}

// heal ends all faults.
func (f *faults) heal() {
	f.finish(time.Now().Add(time.Hour))
	f.world.trace("healed")
}

// begin begins one fault.
func (f *faults) begin(now time.Time, length time.Duration) {
	w := f.world
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
		f.restart(now, h, length, syscall.SIGKILL)
	case 1:
		f.disturb(now, length+time.Second)
		h.signal(syscall.SIGSTOP)
		f.until(now, length, func() { h.signal(syscall.SIGCONT) })
	case 2:
		f.restart(now, h, length, syscall.SIGTERM)
	case 3:
		h.signal(syscall.SIGHUP)
	case 4:
		f.failStore(now, length)
	case 5:
		f.disturb(now, length+2*time.Second)
		h.store.SetMode(f.mode())
		f.until(now, length, func() { h.store.SetMode(cut.ModeOpen) })
	case 6:
		e.link.SetMode(f.mode())
		f.until(now, length, func() { e.link.SetMode(cut.ModeOpen) })
	case 7:
		e.SetFaults(f.misbehaviour())
		f.until(now, length, func() { e.SetFaults(replica.Faults{}) })
	case 8:
		f.drain(e)
	default:
		w.publish()
	}
}

func (f *faults) mode() cut.Mode {
	if f.rng.IntN(2) == 0 {
		return cut.ModeCut
	}
	return cut.ModeStall
}

// restart ends a host and starts it again.
func (f *faults) restart(now time.Time, h *hostProcess, pause time.Duration, s syscall.Signal) {
	if h.restarting || !h.running() {
		return
	}
	h.restarting = true
	f.disturb(now, pause+grace+2*time.Second)
	h.signal(s)
	f.until(now, pause, func() {
		if s == syscall.SIGTERM {
			// A paused process ends once it goes on.
			h.signal(syscall.SIGCONT)
		}
		h.wait()
		h.restarting = false
		if err := h.start(); err != nil {
			f.world.trace("start %s: %v", h.name, err)
		}
	})
}

func (f *faults) failStore(now time.Time, length time.Duration) {
	kinds := []logstore.Fault{
		logstore.FaultBusy, logstore.FaultMany, logstore.FaultReset, logstore.FaultSilent, logstore.FaultLost,
	}
	f.disturb(now, length+2*time.Second)
	f.world.store.SetFault(kinds[f.rng.IntN(len(kinds))])
	f.until(now, length, func() { f.world.store.SetFault(logstore.FaultNone) })
}

func (f *faults) misbehaviour() replica.Faults {
	all := []replica.Faults{
		{Lose: true}, {Status: 500}, {Status: 503}, {Full: true}, {Stray: true}, {Unsigned: true},
		{CutAfter: 3}, {CutBody: true}, {Silent: true},
	}
	return all[f.rng.IntN(len(all))]
}

// drain replaces an endpoint that does not drain yet.
func (f *faults) drain(e *endpoint) {
	if !e.drained.IsZero() {
		return
	}
	if err := f.world.drain(e); err != nil {
		f.world.trace("drain: %v", fmt.Errorf("no endpoint in place of %s: %w", e.Instance(), err))
	}
}
