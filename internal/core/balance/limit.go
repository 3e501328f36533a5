package balance

import (
	"math"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// An endpoint in need may state in its responses how many requests per second it
// takes from all hosts together.

const (
	// minLimit is the lowest limit that is kept, in requests per second: without any
	// request an endpoint cannot state that its limit has ended.
	minLimit = 0.1
	// maxLimit is the limit above which an endpoint counts as unlimited.
	maxLimit = 1e6
	// limitTolerance is the share by which a limit may vary without being reported as
	// a change.
	limitTolerance = 0.1
)

// LimitReport is what an endpoint has stated about its limit in a response.
type LimitReport struct {
	Instance model.Instance
	// Limited reports whether the response stated a limit, PerSecond which one.
	Limited   bool
	PerSecond float64
	// At is when the response arrived.
	At time.Time
}

// requestLimit is the state of an endpoint's limit.
type requestLimit struct {
	// report is the newest report; its At is zero without one.
	report LimitReport
}

// isLimited reports whether the endpoint has a limit at present.
func (e *endpoint) isLimited() bool { return e.limit.report.Limited }

// RecordLimit records the limit that the response to a request states, or that it
// states none. It returns the report and whether it changes the limit. Unknown IDs are
// ignored, and so is a response without a limit to a request that was sent before the
// limit was known: it may have been overtaken.
func (b *Balancer) RecordLimit(now time.Time, id model.RequestID, stated bool, perSecond float64) (LimitReport, bool) {
	r := b.running[id]
	if r == nil {
		return LimitReport{}, false
	}
	e := r.endpoint
	if !stated && !r.placedAt.After(e.limit.report.At) {
		return LimitReport{}, false
	}
	report := LimitReport{Instance: model.Instance{Name: e.Name, Started: e.Started}, At: now}
	if stated && perSecond <= maxLimit {
		report.Limited, report.PerSecond = true, max(perSecond, minLimit)
	}
	return report, b.applyLimit(report)
}

// applyLimit applies a report unless a newer one is known. It returns whether that
// changes the endpoint's limit.
func (b *Balancer) applyLimit(report LimitReport) bool {
	e := b.endpoints[report.Instance.Name]
	if e == nil || e.Started != report.Instance.Started || !report.At.After(e.limit.report.At) {
		return false
	}
	before := e.limit.report
	e.limit.report = report
	if before.Limited != report.Limited {
		return true
	}
	return math.Abs(report.PerSecond-before.PerSecond) > limitTolerance*before.PerSecond
}

// CountLimited returns the number of endpoints that have a limit.
func (b *Balancer) CountLimited() int {
	count := 0
	for _, e := range b.endpoints {
		if e.isLimited() {
			count++
		}
	}
	return count
}
