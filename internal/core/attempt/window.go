package attempt

import "time"

const (
	// windowBuckets is the resolution of a sliding window.
	windowBuckets = 10
	// windowMargin is the part of the shared budget that is used, since the
	// hosts' windows and the judge's do not begin together.
	windowMargin = 0.8
)

// WindowOptions describes a budget that all hosts share.
type WindowOptions struct {
	// Ratio is the allowed number of retries for each first try.
	Ratio float64
	// Slack is the number of retries that all hosts together have beyond that.
	Slack float64
	// Window is the time over which retries and first tries are counted.
	Window time.Duration
}

// Window bounds the retries of one host to its part of a budget that all hosts
// share, over any time span of the window's length.
type Window struct {
	opts    WindowOptions
	firsts  [windowBuckets]int
	retries [windowBuckets]int
	// bucket is the number of the current bucket since the start of time.
	bucket int64
}

// NewWindow returns a budget.
func NewWindow(opts WindowOptions) *Window { return &Window{opts: opts} }

// SetOptions changes the budget. What was counted goes on counting unless the
// window's length changes.
func (w *Window) SetOptions(opts WindowOptions) {
	if opts.Window != w.opts.Window {
		*w = Window{}
	}
	w.opts = opts
}

// RecordFirst counts a first attempt.
func (w *Window) RecordFirst(now time.Time) {
	w.advance(now)
	w.firsts[w.bucket%windowBuckets]++
}

// TakeRetry takes one retry, with the number of hosts that share the slack, and
// says whether there was one.
func (w *Window) TakeRetry(now time.Time, hosts int) bool {
	w.advance(now)
	used := sum(w.retries)
	allowed := w.opts.Ratio*float64(sum(w.firsts)) + w.opts.Slack/float64(max(hosts, 1))
	if float64(used+1) > windowMargin*allowed {
		return false
	}
	w.retries[w.bucket%windowBuckets]++
	return true
}

// advance clears the buckets that have left the window.
func (w *Window) advance(now time.Time) {
	current := now.UnixNano() / int64(w.opts.Window/windowBuckets)
	steps := min(current-w.bucket, windowBuckets)
	for i := range steps {
		at := (current - i) % windowBuckets
		w.firsts[at] = 0
		w.retries[at] = 0
	}
	w.bucket = max(current, w.bucket)
}

func sum(buckets [windowBuckets]int) int {
	total := 0
	for _, n := range buckets {
		total += n
	}
	return total
}
