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
	// minPause and maxPause bound the time between the starts of two faults,
	// and minFaultDuration and maxFaultDuration the duration of a fault.
	minPause         = 50 * time.Millisecond
	maxPause         = 600 * time.Millisecond
	minFaultDuration = 150 * time.Millisecond
	maxFaultDuration = 1800 * time.Millisecond
)

// faultInjector injects random faults that are derived from the seed. Several
// faults can be active at once.
type faultInjector struct {
	environment *environment
	rng         *rand.Rand
	nextStart   time.Time
	count       int
	// platformRNG and nextPlatformFault schedule the platformFaults, which have
	// random numbers of their own.
	platformRNG       *rand.Rand
	nextPlatformFault time.Time
	long              *longFaults
	// exchanges are the hosts that are still to be replaced by another build.
	exchanges []exchange

	mu sync.Mutex
	// scheduledEnds holds the ends of the active faults.
	scheduledEnds []scheduledEnd
	// disturbances lists the time spans in which hosts may not have received
	// changes.
	disturbances []span
	// excused lists the time spans in which each host may exceed limits: while it is
	// paused or restarts, and until it has received what the others know.
	excused map[*hostProcess][]span
}

// scheduledEnd is the time at which a fault ends, and the function that ends
// it.
type scheduledEnd struct {
	at  time.Time
	run func()
}

type span struct{ from, until time.Time }

func newFaultInjector(env *environment, rng, platformRNG, longRNG *rand.Rand) *faultInjector {
	now := time.Now()
	f := &faultInjector{
		environment: env, rng: rng, nextStart: now.Add(maxPause),
		platformRNG: platformRNG, nextPlatformFault: now.Add(platformFaultPause),
		excused: make(map[*hostProcess][]span),
	}
	f.exchanges = env.opts.exchanges()
	f.long = &longFaults{injector: f, rng: longRNG, next: now.Add(longFaultPause)}
	return f
}

// randomDuration returns a random duration from shortest up to, but excluding,
// longest.
func (f *faultInjector) randomDuration(shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(f.rng.Int64N(int64(longest-shortest)))
}

// tick ends the faults whose duration has elapsed, and starts the next fault if
// it is due.
func (f *faultInjector) tick(now time.Time) {
	f.endDue(now)
	f.restartEnded(now)
	f.exchangeDue(now)
	if f.environment.opts.NoFaults {
		return
	}
	f.tickPlatform(now)
	f.long.tick(now)
	if now.Before(f.nextStart) {
		return
	}
	f.nextStart = now.Add(f.randomDuration(minPause, maxPause))
	f.count++
	f.startFault(now, f.randomDuration(minFaultDuration, maxFaultDuration))
}

// restartEnded starts the processes again that SIGHUP has ended during their startup. The
// platform restarts processes that exit.
func (f *faultInjector) restartEnded(now time.Time) {
	for _, h := range f.environment.hosts {
		if h.restarting || !h.hasEndedEarly() {
			continue
		}
		f.recordDisturbance(now, 2*time.Second)
		f.excuse(h, now, limitSettling)
		if err := h.start(); err != nil {
			f.environment.trace("start %s: %v", h.name, err)
		}
	}
}

// endDue ends the faults whose duration has elapsed.
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

// scheduleEnd schedules the end of a fault after its duration.
func (f *faultInjector) scheduleEnd(now time.Time, duration time.Duration, end func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.scheduledEnds = append(f.scheduledEnds, scheduledEnd{at: now.Add(duration), run: end})
}

// recordDisturbance records that hosts may not receive changes for a duration.
func (f *faultInjector) recordDisturbance(now time.Time, duration time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.disturbances = append(f.disturbances, span{from: now, until: now.Add(duration)})
}

// excuse records that a host may exceed limits for a duration.
func (f *faultInjector) excuse(h *hostProcess, now time.Time, duration time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.excused[h] = append(f.excused[h], span{from: now, until: now.Add(duration)})
}

// isExcused reports whether a host might exceed limits at a time.
func (f *faultInjector) isExcused(h *hostProcess, at time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.ContainsFunc(f.excused[h], func(s span) bool { return !at.Before(s.from) && at.Before(s.until) })
}

// isUndisturbed reports whether hosts could receive changes during the whole
// span.
func (f *faultInjector) isUndisturbed(from, until time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !slices.ContainsFunc(f.disturbances, func(s span) bool { return s.from.Before(until) && from.Before(s.until) })
}

// endAll ends all active faults.
func (f *faultInjector) endAll() {
	f.endDue(time.Now().Add(time.Hour))
	f.environment.trace("all faults ended")
}

// startFault starts a fault of a random kind with a random target.
func (f *faultInjector) startFault(now time.Time, duration time.Duration) {
	env := f.environment
	h := env.hosts[f.rng.IntN(len(env.hosts))]
	all := env.endpoints()
	e := all[f.rng.IntN(len(all))]
	kind := f.rng.IntN(10)
	env.trace("%s for %s", [...]string{
		"kill " + h.name, "pause " + h.name, "stop " + h.name, "send SIGHUP to " + h.name, "inject a fault into the store",
		"cut or stall the store link of " + h.name, "cut or stall the link to " + e.Instance(), "inject a fault into " + e.Instance(),
		"drain " + e.Instance(), "publish",
	}[kind], duration.Round(time.Millisecond))
	switch kind {
	case 0:
		f.restartHost(now, h, duration, syscall.SIGKILL)
	case 1:
		f.recordDisturbance(now, duration+time.Second)
		f.excuse(h, now, duration+limitSettling)
		h.signal(syscall.SIGSTOP)
		f.scheduleEnd(now, duration, func() { h.signal(syscall.SIGCONT) })
	case 2:
		f.restartHost(now, h, duration, syscall.SIGTERM)
	case 3:
		h.signal(syscall.SIGHUP)
	case 4:
		f.failStore(now, duration)
	case 5:
		f.recordDisturbance(now, duration+2*time.Second)
		h.storeLink.SetMode(f.randomLinkMode())
		f.scheduleEnd(now, duration, func() { h.storeLink.SetMode(cut.ModeOpen) })
	case 6:
		e.link.SetMode(f.randomLinkMode())
		f.scheduleEnd(now, duration, func() { e.link.SetMode(cut.ModeOpen) })
	case 7:
		e.SetFaults(f.randomReplicaFaults())
		f.scheduleEnd(now, duration, func() { e.SetFaults(replica.Faults{}) })
	case 8:
		f.replaceEndpoint(e)
	default:
		env.publish()
	}
}

// randomLinkMode returns one of the modes in which a link relays no data.
func (f *faultInjector) randomLinkMode() cut.Mode {
	if f.rng.IntN(2) == 0 {
		return cut.ModeCut
	}
	return cut.ModeStall
}

// restartHost ends a host's process by a signal, and starts it again after a
// pause.
func (f *faultInjector) restartHost(now time.Time, h *hostProcess, pause time.Duration, s syscall.Signal) {
	if h.restarting || !h.isRunning() {
		return
	}
	h.restarting = true
	f.recordDisturbance(now, pause+grace+2*time.Second)
	f.excuse(h, now, pause+grace+limitSettling)
	h.signal(s)
	f.scheduleEnd(now, pause, func() {
		if s == syscall.SIGTERM {
			// A process paused by SIGSTOP handles SIGTERM only after SIGCONT.
			h.signal(syscall.SIGCONT)
		}
		h.wait()
		h.restarting = false
		if err := h.start(); err != nil {
			f.environment.trace("start %s: %v", h.name, err)
		}
	})
}

// failStore injects a random fault into the store.
func (f *faultInjector) failStore(now time.Time, duration time.Duration) {
	kinds := []logstore.Fault{
		logstore.FaultUnavailable, logstore.FaultTooManyRequests, logstore.FaultResetConnection, logstore.FaultNoResponse, logstore.FaultLostResponse,
	}
	f.recordDisturbance(now, duration+2*time.Second)
	f.environment.store.SetFault(kinds[f.rng.IntN(len(kinds))])
	f.scheduleEnd(now, duration, func() { f.environment.store.SetFault(logstore.FaultNone) })
}

// randomReplicaFaults returns one random fault of a replica.
func (f *faultInjector) randomReplicaFaults() replica.Faults {
	all := []replica.Faults{
		{LoseResponse: true}, {Status: 500}, {Status: 503}, {QueueFull: true}, {DuplicateResponse: true}, {Unsigned: true},
		{TruncateStreamAfter: 3}, {TruncateBody: true}, {NoResponse: true},
		{PauseAfter: 2},
	}
	return all[f.rng.IntN(len(all))]
}

// replaceEndpoint drains an endpoint and starts another, unless the endpoint is
// draining already.
func (f *faultInjector) replaceEndpoint(e *endpoint) {
	if !e.drained.IsZero() {
		return
	}
	if err := f.environment.replaceEndpoint(e); err != nil {
		f.environment.trace("drain: %v", fmt.Errorf("start the replacement of %s: %w", e.Instance(), err))
	}
}
