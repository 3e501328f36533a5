package usage

import (
	"time"
)

// Windows describes the windows of usage and when they are reported.
type Windows struct {
	// Length is the length of a window, Due the time after its end within which it must be
	// reported.
	Length, Due time.Duration
}

const (
	// maxSettleTime is the time after the end of a window at which its counts have arrived
	// from all hosts. settleFraction bounds it to a fraction of Due.
	maxSettleTime  = 2500 * time.Millisecond
	settleFraction = 4
	// clockTolerance bounds the differences between the clocks of hosts.
	clockTolerance = 500 * time.Millisecond
)

// Of returns the window at a true time.
func (w Windows) Of(at time.Time) Window {
	nanos := at.UnixNano()
	window := nanos / int64(w.Length)
	if nanos%int64(w.Length) < 0 {
		window--
	}
	return Window(window)
}

// End returns the end of a window.
func (w Windows) End(window Window) time.Time {
	return time.Unix(0, (int64(window)+1)*int64(w.Length))
}

// settleTime returns the time after the end of a window at which it is reported.
func (w Windows) settleTime() time.Duration { return min(maxSettleTime, w.Due/settleFraction) }

// Oldest returns the oldest window that is still reported, or still counted for that, at a
// true time. A report that is a little late is worth more than none.
func (w Windows) Oldest(at time.Time) Window { return w.Of(at.Add(-2*w.Due)) - 1 }

// lastSettled returns the newest window that can be reported at a true time.
func (w Windows) lastSettled(at time.Time) Window { return w.Of(at.Add(-w.settleTime())) - 1 }

// lastFixable returns the newest window of which any host may have fixed the report at a
// true time, given the differences between clocks.
func (w Windows) lastFixable(at time.Time) Window {
	return w.Of(at.Add(clockTolerance-w.settleTime())) - 1
}

// Knowledge is what a host knows of earlier reports.
type Knowledge struct {
	// LostAt is the true time up to which reports may have been fixed that this host does
	// not know. If IsCovered, all reports of windows after Covered are known.
	LostAt    time.Time
	Covered   Window
	IsCovered bool
	// IsFixed reports whether the counts of a window are fixed, IsReported whether it needs
	// no report any more.
	IsFixed, IsReported func(Window) bool
}

// mayFix reports whether no other counts of a window can have been fixed before, as far as
// is known.
func (k *Knowledge) mayFix(w Windows, window Window) bool {
	return window > w.lastFixable(k.LostAt) || k.IsCovered && window > k.Covered
}

// IsSettled reports whether a window can be reported at a true time.
func (w Windows) IsSettled(at time.Time, window Window) bool { return window <= w.lastSettled(at) }

// IsLeftOut reports whether a window is not reported since another report of it may have
// been fixed.
func (w Windows) IsLeftOut(window Window, k Knowledge) bool {
	return !k.IsReported(window) && !k.IsFixed(window) && !k.mayFix(w, window)
}

// NextReport returns the window to report next at a true time, if any. Windows are fixed in
// order: none is once a later one was.
func (w Windows) NextReport(at time.Time, k Knowledge) (Window, bool) {
	last := w.lastSettled(at)
	var later bool
	next, found := Window(0), false
	for window := last; window >= w.Oldest(at); window-- {
		fixed := k.IsFixed(window)
		if !k.IsReported(window) && (fixed || !later && k.mayFix(w, window)) {
			next, found = window, true
		}
		later = later || fixed
	}
	return next, found
}
