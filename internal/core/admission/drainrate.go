package admission

import "time"

// drainWeight is the weight of the newest interval between grants in the moving
// average.
const drainWeight = 0.03

// DrainRate estimates how fast a queue is served, from the intervals between
// the grants of a class while requests are queued.
type DrainRate struct {
	// interval is the moving average of the interval between grants.
	interval time.Duration
	// last is the start of the current interval; zero while the queue is empty.
	last  time.Time
	known bool
	// sinceQueueStart reports whether last is when the queue became non-empty
	// and not a grant.
	sinceQueueStart bool
}

// RecordGrant records a grant. waiting reports whether requests are still
// queued. A grant at the moment when the queue became non-empty is not used.
func (r *DrainRate) RecordGrant(now time.Time, waiting bool) {
	interval := now.Sub(r.last)
	atOnce := r.sinceQueueStart && interval == 0
	if !r.last.IsZero() && !atOnce {
		r.observe(interval)
	}
	r.sinceQueueStart = false
	r.last = now
	if !waiting {
		r.last = time.Time{}
	}
}

// RecordQueueStart records that a request was added to an empty queue.
func (r *DrainRate) RecordQueueStart(now time.Time) {
	r.last = now
	r.sinceQueueStart = true
}

// observe adds an interval to the moving average.
func (r *DrainRate) observe(interval time.Duration) {
	if !r.known {
		r.interval = interval
		r.known = true
		return
	}
	r.interval += time.Duration(drainWeight * float64(interval-r.interval))
}

// ExpectedWait returns the expected time for count grants; 0 without samples.
// If no grant has been made for longer than the average interval, that time is
// used instead.
func (r *DrainRate) ExpectedWait(now time.Time, count int) time.Duration {
	interval := r.interval
	if !r.last.IsZero() {
		interval = max(interval, now.Sub(r.last))
	}
	return interval * time.Duration(count)
}
