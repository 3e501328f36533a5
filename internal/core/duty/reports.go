package duty

import (
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/usage"
)

// PrepareReport returns the record that fixes the counts of a window, or false if this host
// may not report it. The report may be sent once the record was read back. done is the last
// window that, with all before, needs no more report.
func (k *Keeper) PrepareReport(now time.Time, report usage.Report, done usage.Window) (*Record, bool) {
	fence, ok := k.Fence(now)
	if !ok {
		return nil, false
	}
	if _, known := k.reports[report.Window]; known {
		return nil, false
	}
	return &Record{Report: &ReportRecord{
		Expected: k.Next(), Term: fence, Window: report.Window, Counts: report.Counts, Done: done,
	}}, true
}

// Report returns the counts with which a window is reported, if they are fixed.
func (k *Keeper) Report(window usage.Window) (usage.Counts, bool) {
	counts, ok := k.reports[window]
	return counts, ok
}

// Done returns the last window that, with all before, needs no more report.
func (k *Keeper) Done() usage.Window { return k.done }

// LostBefore returns the time before which reports may have been fixed that this host has
// not read. covered is the first window reported since then, if any: the reports of all
// later windows are known.
func (k *Keeper) LostBefore() (at time.Time, covered usage.Window, isCovered bool) {
	return k.gapAt, k.covered, k.isCovered
}

// ForgetReports drops the reports of windows before the one given.
func (k *Keeper) ForgetReports(before usage.Window) {
	for window := range k.reports {
		if window < before {
			delete(k.reports, window)
		}
	}
}
