package balance

import (
	"math"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// An endpoint in need may state in its responses how many requests per second it
// takes from all hosts together:
//
//  1. Hosts report the newest statement of each endpoint to each other.
//  2. Some hosts of the endpoint's failure domain share the limit, the more the higher
//     it is, and all other hosts place their requests elsewhere (limitshare.go). No
//     message is exchanged for a request.
//  3. A host that shares it starts with nothing and keeps at most one request unused.
//     So hosts with different views, and a host that takes the place of another, exceed
//     the limit by a few requests only.
//  4. The requests within the limit show when it ends.

const (
	// minLimit is the lowest limit that is kept, in requests per second: without any
	// request an endpoint cannot state that its limit has ended.
	minLimit = 0.1
	// maxLimit is the limit above which an endpoint counts as unlimited.
	maxLimit = 1e6
	// limitTolerance is the share by which a limit may vary without being reported as
	// a change.
	limitTolerance = 0.1
	// limitBurst is the number of requests that a host's share accumulates unused.
	limitBurst = 1.0
	// limitTestInterval is the time without a response from a limited endpoint after
	// which a request there is worth more, to find out whether the limit has ended.
	limitTestInterval = 2 * time.Second
	// limitMemory is how long the end of a limit is reported to other hosts.
	limitMemory = 10 * time.Second
	// limitRetryJitter is the part of the time until the next request within a limit
	// that is added to it at random, so that refused callers return at different times.
	limitRetryJitter = 1.0
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
	// share is the part of the limit that this host may use, in requests per second.
	// unused is the number of requests within it that it had not sent at accruedAt.
	share     float64
	unused    float64
	accruedAt time.Time
}

// setShare changes the share. A host that had none starts with nothing unused.
func (l *requestLimit) setShare(now time.Time, share float64) {
	if l.share == 0 || share == 0 {
		l.unused, l.accruedAt = 0, now
	}
	l.accrue(now)
	l.share = share
}

// accrue adds what the share allows since accruedAt.
func (l *requestLimit) accrue(now time.Time) {
	l.unused, l.accruedAt = l.unusedAt(now), now
}

// unusedAt returns the number of unused requests at a time.
func (l *requestLimit) unusedAt(now time.Time) float64 {
	return min(l.unused+l.share*max(now.Sub(l.accruedAt), 0).Seconds(), limitBurst)
}

// allowsRequest reports whether the limit, if there is one, allows one more request of
// this host.
func (l *requestLimit) allowsRequest(now time.Time) bool {
	return !l.report.Limited || l.unusedAt(now) >= 1
}

// takeRequest charges one request to this host's share.
func (l *requestLimit) takeRequest(now time.Time) {
	if l.report.Limited {
		l.accrue(now)
		l.unused--
	}
}

// needsTest reports whether the endpoint has not responded for long since it stated a
// limit.
func (l *requestLimit) needsTest(now time.Time) bool {
	return l.report.Limited && now.Sub(l.report.At) > limitTestInterval
}

// timeToRequest returns the time until this host may send a request, or without a share
// the mean time until some host may.
func (l *requestLimit) timeToRequest(now time.Time) time.Duration {
	missing, rate := 1-l.unusedAt(now), l.share
	if l.share == 0 {
		missing, rate = 1, l.report.PerSecond
	}
	return time.Duration(max(missing, 0) / rate * float64(time.Second))
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
	b.limitReports[e.Name] = e
	if before.Limited != report.Limited {
		e.limit.setShare(report.At, 0)
		b.limitSharesAt = time.Time{}
		return true
	}
	return math.Abs(report.PerSecond-before.PerSecond) > limitTolerance*before.PerSecond
}

// ApplyLimitReports applies what other hosts have learned, and returns the reports that
// change a limit.
func (b *Balancer) ApplyLimitReports(reports []LimitReport) []LimitReport {
	var changes []LimitReport
	for _, report := range reports {
		if b.applyLimit(report) {
			changes = append(changes, report)
		}
	}
	return changes
}

// LimitReports returns the reports for other hosts: the limits, and the ends of limits
// within limitMemory. Older ends are dropped.
func (b *Balancer) LimitReports(now time.Time) []LimitReport {
	var out []LimitReport
	for name, e := range b.limitReports {
		if !e.isLimited() && now.Sub(e.limit.report.At) > limitMemory {
			delete(b.limitReports, name)
			continue
		}
		out = append(out, e.limit.report)
	}
	return out
}

// HasLimits reports whether any endpoint has a limit.
func (b *Balancer) HasLimits() bool { return b.CountLimited() > 0 }

// CountLimited returns the number of endpoints that have a limit.
func (b *Balancer) CountLimited() int {
	count := 0
	for _, e := range b.limitReports {
		if e.isLimited() {
			count++
		}
	}
	return count
}

// timeToLimitedRequest returns the time until the first endpoint of the pool that only
// its limit excludes may get a request, with jitter. It returns false if there is none.
func (b *Balancer) timeToLimitedRequest(now time.Time, p *pool) (time.Duration, bool) {
	first, found := time.Duration(0), false
	for _, e := range p.endpoints {
		if !e.isLimited() || !e.isInService(now) || !e.backoffAllowsRequest(now) {
			continue
		}
		if wait := e.limit.timeToRequest(now); !found || wait < first {
			first, found = wait, true
		}
	}
	return first + time.Duration(b.rng.Float64()*limitRetryJitter*float64(first)), found
}
