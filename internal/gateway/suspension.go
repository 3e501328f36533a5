package gateway

import "time"

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

// minSuspension is the shortest suspension that is noticed.
const minSuspension = tickInterval

// noticeSuspension makes what this host knows older by the time in which the host was
// suspended. It must be called before anything that was queued meanwhile is applied.
func (c *control) noticeSuspension() {
	total := c.gateway.suspension.total()
	length := total - c.suspended
	if length < minSuspension {
		return
	}
	c.suspended = total
	c.gateway.opts.Log.WithField("suspended_ms", length.Milliseconds()).Warn("host was suspended")
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
