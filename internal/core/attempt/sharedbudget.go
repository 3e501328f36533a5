package attempt

import "time"

const (
	// windowBuckets is the number of buckets of a sliding window.
	windowBuckets = 10
	// usableShare is the share of the shared budget that is used, since the
	// windows of the hosts and the one over which the budget is verified do not
	// start together.
	usableShare = 0.8
)

// SharedBudgetOptions configures a retry budget that all hosts share.
type SharedBudgetOptions struct {
	// Ratio is the number of retries allowed per first attempt.
	Ratio float64
	// Slack is the number of retries that all hosts together may make beyond
	// that.
	Slack float64
	// Window is the time span over which retries and first attempts are
	// counted.
	Window time.Duration
}

// SharedBudget limits the retries of one host to its share of a budget that all
// hosts share, over any time span of the window's length.
type SharedBudget struct {
	opts          SharedBudgetOptions
	firstAttempts [windowBuckets]int
	retries       [windowBuckets]int
	// currentBucket is the number of the current bucket, counted from the Unix
	// epoch.
	currentBucket int64
}

// NewSharedBudget returns a budget without recorded attempts.
func NewSharedBudget(opts SharedBudgetOptions) *SharedBudget { return &SharedBudget{opts: opts} }

// SetOptions changes the options. The counts are kept unless the length of the
// window changes.
func (w *SharedBudget) SetOptions(opts SharedBudgetOptions) {
	if opts.Window != w.opts.Window {
		*w = SharedBudget{}
	}
	w.opts = opts
}

// RecordFirst counts a first attempt.
func (w *SharedBudget) RecordFirst(now time.Time) {
	w.clearExpired(now)
	w.firstAttempts[w.currentBucket%windowBuckets]++
}

// TakeRetry takes one retry and reports whether one was left. hosts is the
// number of hosts that share the slack.
func (w *SharedBudget) TakeRetry(now time.Time, hosts int) bool {
	w.clearExpired(now)
	used := sum(w.retries)
	allowed := w.opts.Ratio*float64(sum(w.firstAttempts)) + w.opts.Slack/float64(max(hosts, 1))
	if float64(used+1) > usableShare*allowed {
		return false
	}
	w.retries[w.currentBucket%windowBuckets]++
	return true
}

// clearExpired clears the buckets that have left the window and updates the
// current bucket.
func (w *SharedBudget) clearExpired(now time.Time) {
	current := now.UnixNano() / int64(w.opts.Window/windowBuckets)
	steps := min(current-w.currentBucket, windowBuckets)
	for i := range steps {
		at := (current - i) % windowBuckets
		w.firstAttempts[at] = 0
		w.retries[at] = 0
	}
	w.currentBucket = max(current, w.currentBucket)
}

// sum returns the sum of the buckets.
func sum(buckets [windowBuckets]int) int {
	total := 0
	for _, n := range buckets {
		total += n
	}
	return total
}
