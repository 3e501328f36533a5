package gateway

import (
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/balance"
)

// suspension measures the time in which the host was suspended. The clock of package time
// does not count it, so that what was learned before seems to be as young as then.
type suspension struct {
	// boot returns a time that counts while the host is suspended; nil if it never is.
	boot func() time.Time
	// startedAt and bootedAt are the readings of both clocks at the start.
	startedAt, bootedAt time.Time
}

func newSuspension(boot func() time.Time) suspension {
	out := suspension{boot: boot, startedAt: time.Now()}
	if boot != nil {
		out.bootedAt = boot()
	}
	return out
}

// total returns for how long the host was suspended since the start.
func (s *suspension) total() time.Duration {
	if s.boot == nil {
		return 0
	}
	// The host may be suspended between both readings.
	elapsed := time.Since(s.startedAt)
	return max(s.boot().Sub(s.bootedAt)-elapsed, 0)
}

const (
	// minSuspension is the shortest suspension that is noticed.
	minSuspension = tickInterval
	// minStandstill is the shortest standstill in which an endpoint may have started
	// again unnoticed.
	minStandstill = time.Second
)

// noticeStandstill applies what follows if the host has stood still since the last tick. It
// must be called before anything that was queued meanwhile is applied.
func (c *control) noticeStandstill(now time.Time) {
	suspended := c.gateway.suspension.total() - c.suspended
	stopped := time.Duration(0)
	if !c.tickedAt.IsZero() {
		stopped = now.Sub(c.tickedAt)
	}
	if suspended >= minSuspension {
		c.ageBySuspension(suspended)
	}
	if length := stopped + suspended; length >= minStandstill {
		c.tickedAt = now
		c.balancer.DoubtVersions(now)
		c.gateway.opts.Log.WithField("length_ms", length.Milliseconds()).Warn("host: stood still")
	}
}

// placeRequest places a request, after what follows from a standstill is applied.
func (c *control) placeRequest(now time.Time, req balance.Request) balance.Decision {
	c.noticeStandstill(now)
	return c.balancer.Submit(now, req)
}

// ageBySuspension makes what this host knows older by the time in which the host was
// suspended.
func (c *control) ageBySuspension(length time.Duration) {
	c.suspended += length
	c.lastListRead = before(c.lastListRead, length)
	c.directory.RecordSuspension(length)
	c.freshness.RecordSuspension(length)
	c.publishFreshness()
	for _, p := range c.peers.peers {
		p.lastSeen, p.reportedAt = before(p.lastSeen, length), before(p.reportedAt, length)
	}
}

// agedBySuspension makes a time earlier by the time in which the host has been suspended
// since. suspended is for how long it had been suspended then.
func (c *control) agedBySuspension(at time.Time, suspended time.Duration) time.Time {
	return at.Add(suspended - c.suspended)
}

// before returns the time d before a time, and zero if that is zero.
func before(at time.Time, d time.Duration) time.Time {
	if at.IsZero() {
		return at
	}
	return at.Add(-d)
}
