package soak

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/standin/users"
)

// Faults that last longer than others: an endpoint states a request limit, and the part
// of the store that has the configuration is silent.

const (
	// longFaultPause is the time between the starts of two of these faults.
	longFaultPause = 3 * time.Second
	// maxSilence is the longest silence of the configuration.
	maxSilence = 4 * time.Second
	// minLimitTime and maxLimitTime bound the time for which an endpoint states a limit.
	minLimitTime = 6 * time.Second
	maxLimitTime = 12 * time.Second
	// limitPerSecond is the limit that endpoints state, in requests per second.
	limitPerSecond = 1.0
	// limitSettling is the time after an endpoint first states a limit from which on it
	// holds, limitWindow the time over which it holds.
	limitSettling = 3 * time.Second
	limitWindow   = 4 * time.Second
	// allowedInWindow is the number of requests in limitWindow that the platform allows.
	allowedInWindow = int(1.5*limitPerSecond*4 + 5)
)

// statedLimit is a time span in which an endpoint states a limit.
type statedLimit struct {
	endpoint *endpoint
	span     span
	// ended reports that the endpoint states it no longer.
	ended bool
}

// longFaults injects the faults that last longer. It has random numbers of its own.
type longFaults struct {
	injector *faultInjector
	rng      *rand.Rand
	next     time.Time
	limits   []*statedLimit
}

// tick starts the next fault if it is due.
func (f *longFaults) tick(now time.Time) {
	if now.Before(f.next) {
		return
	}
	f.next = now.Add(longFaultPause)
	f.injector.count++
	env := f.injector.environment
	if f.rng.IntN(2) == 0 {
		silence := time.Duration(f.rng.Int64N(int64(maxSilence)))
		env.trace("the configuration is silent for %s", silence.Round(time.Millisecond))
		f.injector.recordDisturbance(now, silence+limitSettling)
		env.store.SilenceTopic(users.ConfigTopic)
		f.injector.scheduleEnd(now, silence, func() { env.store.SilenceTopic("") })
		return
	}
	all := env.endpoints()
	e := all[f.rng.IntN(len(all))]
	length := minLimitTime + time.Duration(f.rng.Int64N(int64(maxLimitTime-minLimitTime)))
	env.trace("%s states a limit for %s", e.Instance(), length.Round(time.Millisecond))
	limit := f.begin(now, e, length)
	f.injector.scheduleEnd(now, length, func() { f.end(time.Now(), limit) })
}

// begin makes an endpoint state a limit for some time.
func (f *longFaults) begin(now time.Time, e *endpoint, length time.Duration) *statedLimit {
	limit := &statedLimit{endpoint: e, span: span{from: now, until: now.Add(length)}}
	f.limits = append(f.limits, limit)
	e.SetLimit(strconv.FormatFloat(limitPerSecond, 'f', -1, 64))
	return limit
}

// end ends a limit. All faults end early at the end of a run. The endpoint states a limit until the
// last one that it has begun to state ends.
func (f *longFaults) end(now time.Time, limit *statedLimit) {
	limit.span.until, limit.ended = now, true
	if !slices.ContainsFunc(f.limits, func(l *statedLimit) bool { return l.endpoint == limit.endpoint && !l.ended }) {
		limit.endpoint.SetLimit("")
	}
}

// checkLimits checks that endpoints did not get more requests than the limits that they
// stated allow, from hosts that were neither restarted nor paused.
func (c *checker) checkLimits(results []*result) {
	hosts := make(map[string]*hostProcess, len(results))
	for _, res := range results {
		hosts[res.id] = res.host
	}
	for _, limit := range c.faults.long.limits {
		var recent []time.Time
		for _, exec := range limit.endpoint.Executions() {
			h := hosts[exec.ID]
			if h == nil || !limit.holdsAt(exec.StartedAt) || c.faults.isExcused(h, exec.StartedAt) {
				continue
			}
			recent = append(recent, exec.StartedAt)
			for exec.StartedAt.Sub(recent[0]) >= limitWindow {
				recent = recent[1:]
			}
			if len(recent) > allowedInWindow {
				c.recordViolation("%s states a limit of %v per second and executed %d requests in %s", limit.endpoint.Instance(), limitPerSecond, len(recent), limitWindow)
			}
		}
	}
}

// holdsAt reports whether the limit holds at a time.
func (l *statedLimit) holdsAt(t time.Time) bool {
	return t.After(l.span.from.Add(limitSettling)) && t.Before(l.span.until)
}
