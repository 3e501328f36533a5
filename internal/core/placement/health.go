package placement

import (
	"slices"
	"time"
)

const (
	// failuresToEject is the number of consecutive failures after which an
	// endpoint is ejected.
	failuresToEject = 3
	// slowFactor is the multiple of the pool's median time to the first token
	// above which an endpoint is ejected.
	slowFactor = 2.5
	// minSlowSamples is the number of samples before an endpoint is compared
	// with the median.
	minSlowSamples = 20
	// maxEjectedShare bounds the share of a pool that is ejected.
	maxEjectedShare = 0.34
	// ejectFor is the duration of the first ejection; it doubles up to
	// maxEjectFor.
	ejectFor    = 5 * time.Second
	maxEjectFor = 60 * time.Second
)

// Health tracks the failures and the ejection of an endpoint.
type Health struct {
	failures       int
	ejected        bool
	ejectedUntil   time.Time
	ejectionLength time.Duration
	trialRunning   bool
}

// IsEjected reports whether the endpoint gets only trial requests.
func (h *Health) IsEjected() bool { return h.ejected }

// IsTrialDue reports whether one request may be sent to an ejected endpoint to
// try it.
func (h *Health) IsTrialDue(now time.Time) bool {
	return h.ejected && !h.trialRunning && !now.Before(h.ejectedUntil)
}

// StartTrial records that the trial request has been sent.
func (h *Health) StartTrial() { h.trialRunning = true }

// RecordSuccess records a successful attempt. A successful trial ends the
// ejection.
func (h *Health) RecordSuccess() {
	h.failures = 0
	if h.trialRunning {
		h.ejected = false
		h.trialRunning = false
	}
}

// RecordCanceled records an attempt that shows neither success nor failure.
func (h *Health) RecordCanceled() { h.trialRunning = false }

// RecordFailure records a failed attempt. A failed trial ejects the endpoint
// again.
func (h *Health) RecordFailure(now time.Time) {
	h.failures++
	if h.trialRunning {
		h.eject(now)
	}
}

// ShouldEject reports whether the endpoint has failed often enough to be
// ejected.
func (h *Health) ShouldEject() bool { return !h.ejected && h.failures >= failuresToEject }

// eject starts an ejection, twice as long as the last one.
func (h *Health) eject(now time.Time) {
	h.ejectionLength = min(max(h.ejectionLength*2, ejectFor), maxEjectFor)
	h.ejected = true
	h.trialRunning = false
	h.failures = 0
	h.ejectedUntil = now.Add(h.ejectionLength)
}

// EjectOutliers ejects the endpoints of a pool that fail or are much slower
// than the others, up to maxEjectedShare of the pool.
func EjectOutliers(now time.Time, pool []*Endpoint) {
	left := int(maxEjectedShare * float64(len(pool)))
	for _, e := range pool {
		if e.Health.IsEjected() {
			left--
		}
	}
	median := medianFirstToken(pool)
	for _, e := range pool {
		if left <= 0 {
			return
		}
		if e.Health.IsEjected() {
			continue
		}
		if e.Health.ShouldEject() || e.isSlowerThan(median) {
			e.Health.eject(now)
			e.firstToken.reset()
			left--
		}
	}
}

// medianFirstToken returns the median of the endpoints' mean times to the first
// token; 0 with fewer than two endpoints that have enough samples.
func medianFirstToken(pool []*Endpoint) time.Duration {
	var known []time.Duration
	for _, e := range pool {
		if e.firstToken.count >= minSlowSamples {
			known = append(known, e.firstToken.mean)
		}
	}
	if len(known) < 2 {
		return 0
	}
	slices.Sort(known)
	return known[(len(known)-1)/2]
}
