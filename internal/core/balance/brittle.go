package balance

import (
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// brittleMemory is how long the end of brittleness is reported to other hosts.
const brittleMemory = 10 * time.Second

// BrittleReport is what an endpoint has stated of its brittleness in a response.
type BrittleReport struct {
	Instance model.Instance
	// Brittle reports whether it fails if it must reject more than Rejections requests in a
	// second, of all hosts together.
	Brittle    bool
	Rejections float64
	// At is when the response arrived.
	At time.Time
	// Rejected is the number of requests of the reporting host that it rejected in the last
	// second.
	Rejected int
}

// brittleness is the state of an endpoint that may be brittle.
type brittleness struct {
	// report is the newest report; its At is zero without one.
	report BrittleReport
	// rejectedAt are the times of this host's rejected requests within rejectionWindow,
	// peers the counts of other hosts.
	rejectedAt []time.Time
	peers      map[model.HostID]peerRejections
}

// peerRejections is a number of rejections within rejectionWindow, as another host has
// reported it at a time.
type peerRejections struct {
	count int
	at    time.Time
}

// rejectionWindow is the time in which a brittle endpoint bears a number of rejections.
const rejectionWindow = time.Second

// recordRejection records that the endpoint has rejected a request of this host.
func (s *brittleness) recordRejection(now time.Time) {
	s.rejectedAt = append(s.rejectedAt[s.countExpired(now):], now)
}

// recordRejection records the end of an attempt at an endpoint if it was a rejection.
func (b *Balancer) recordRejection(now time.Time, e *endpoint, failure Failure) {
	if failure == FailureRefused {
		e.brittle.recordRejection(now)
		b.holdAfterRejection(now, e)
	}
}

// countExpired returns the number of the oldest rejections that are outside the window.
func (s *brittleness) countExpired(now time.Time) int {
	for i, at := range s.rejectedAt {
		if now.Sub(at) <= rejectionWindow {
			return i
		}
	}
	return len(s.rejectedAt)
}

// countOwn returns the number of this host's requests that were rejected in the window.
func (s *brittleness) countOwn(now time.Time) int { return len(s.rejectedAt) - s.countExpired(now) }

// countRejections returns the number of requests of all hosts that were rejected in the
// window, as far as known.
func (s *brittleness) countRejections(now time.Time) int {
	count := s.countOwn(now)
	for _, p := range s.peers {
		if now.Sub(p.at) <= rejectionWindow {
			count += p.count
		}
	}
	return count
}

// recordPeer records the rejections that another host has reported.
func (s *brittleness) recordPeer(now time.Time, host model.HostID, count int) {
	if count == 0 {
		delete(s.peers, host)
		return
	}
	if s.peers == nil {
		s.peers = make(map[model.HostID]peerRejections)
	}
	s.peers[host] = peerRejections{count: count, at: now}
}

// RecordBrittleness records what the response to a request states, or that it states
// nothing. It returns the report and whether it changes the brittleness. Unknown IDs are
// ignored, and so is a response without the statement to a request that was sent before
// the brittleness was known: it may have been overtaken.
func (b *Balancer) RecordBrittleness(now time.Time, id model.RequestID, stated bool, rejections float64) (BrittleReport, bool) {
	r := b.running[id]
	if r == nil {
		return BrittleReport{}, false
	}
	e := r.endpoint
	if !stated && !r.placedAt.After(e.brittle.report.At) {
		return BrittleReport{}, false
	}
	report := BrittleReport{Instance: model.Instance{Name: e.Name, Started: e.Started}, Brittle: stated, Rejections: rejections, At: now}
	return report, b.applyBrittleness(report)
}

// applyBrittleness applies a report unless a newer one is known. It returns whether that
// changes the endpoint's brittleness.
func (b *Balancer) applyBrittleness(report BrittleReport) bool {
	e := b.endpoints[report.Instance.Name]
	if e == nil || e.Started != report.Instance.Started || !report.At.After(e.brittle.report.At) {
		return false
	}
	before := e.brittle.report
	e.brittle.report = report
	b.brittleReports[e.Name] = e
	return before.Brittle != report.Brittle || before.Rejections != report.Rejections
}

// ApplyBrittleReports applies what another host has learned, and returns the reports that
// change the brittleness of an endpoint.
func (b *Balancer) ApplyBrittleReports(now time.Time, host model.HostID, reports []BrittleReport) []BrittleReport {
	var changes []BrittleReport
	for _, report := range reports {
		if b.applyBrittleness(report) {
			changes = append(changes, report)
		}
		if e := b.endpoints[report.Instance.Name]; e != nil && e.Started == report.Instance.Started {
			e.brittle.recordPeer(now, host, report.Rejected)
		}
	}
	return changes
}

// BrittleReports returns the reports for other hosts: the brittle endpoints, and the ends of
// brittleness within brittleMemory. Older ends are dropped.
func (b *Balancer) BrittleReports(now time.Time) []BrittleReport {
	var out []BrittleReport
	for name, e := range b.brittleReports {
		report := e.brittle.report
		if !report.Brittle && now.Sub(report.At) > brittleMemory {
			delete(b.brittleReports, name)
			continue
		}
		report.Rejected = e.brittle.countOwn(now)
		out = append(out, report)
	}
	return out
}

// CountBrittle returns the number of endpoints that state that they are brittle.
func (b *Balancer) CountBrittle() int {
	count := 0
	for _, e := range b.brittleReports {
		if e.brittle.report.Brittle {
			count++
		}
	}
	return count
}
