package admission

import "time"

// drainWeight is the weight of the newest interval between grants.
const drainWeight = 0.03

// DrainRate learns how fast a queue is served, from the intervals between the
// grants of a class while requests wait.
type DrainRate struct {
	interval time.Duration
	last     time.Time
	known    bool
	// fresh says that last is the start of a wait and not a grant.
	fresh bool
}

// Granted tells of a grant; waiting says whether requests still wait.
func (r *DrainRate) Granted(now time.Time, waiting bool) {
	interval := now.Sub(r.last)
	atOnce := r.fresh && interval == 0
	if !r.last.IsZero() && !atOnce {
		r.learn(interval)
	}
	r.fresh = false
	r.last = now
	if !waiting {
		r.last = time.Time{}
	}
}

// Began tells that a request waits in a queue that was empty.
func (r *DrainRate) Began(now time.Time) {
	r.last = now
	r.fresh = true
}

func (r *DrainRate) learn(interval time.Duration) {
	if !r.known {
		r.interval = interval
		r.known = true
		return
	}
	r.interval += time.Duration(drainWeight * float64(interval-r.interval))
}

// Wait returns the time until count grants have passed; 0 while nothing is
// known. A queue that stands still counts as slow as it has stood.
func (r *DrainRate) Wait(now time.Time, count int) time.Duration {
	interval := r.interval
	if !r.last.IsZero() {
		interval = max(interval, now.Sub(r.last))
	}
	return interval * time.Duration(count)
}
