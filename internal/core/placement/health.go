package placement

import (
	"slices"
	"time"
)

const (
	// failuresToEject is the number of failures in a row that ejects.
	failuresToEject = 3
	// slowFactor ejects an endpoint that is this many times slower than the
	// median of its pool.
	slowFactor = 2.5
	// slowSamples is the number of answers before slowness is judged.
	slowSamples = 20
	// maxEjectedShare bounds the ejected part of a pool.
	maxEjectedShare = 0.34
	// ejectFor is the first ejection's length; it doubles up to maxEjectFor.
	ejectFor    = 5 * time.Second
	maxEjectFor = 60 * time.Second
)

// Health follows an endpoint's failures and its ejection.
type Health struct {
	failures int
	ejected  bool
	until    time.Time
	length   time.Duration
	trial    bool
}

// Ejected says that the endpoint gets no work but a trial.
func (h *Health) Ejected() bool { return h.ejected }

// TrialDue says that one request may try an ejected endpoint.
func (h *Health) TrialDue(now time.Time) bool {
	return h.ejected && !h.trial && !now.Before(h.until)
}

// StartTrial marks the trial as running.
func (h *Health) StartTrial() { h.trial = true }

// Succeeded tells of an answer; a trial that succeeds ends the ejection.
func (h *Health) Succeeded() {
	h.failures = 0
	if h.trial {
		h.ejected = false
		h.trial = false
	}
}

// Canceled tells of a try that ended without a verdict.
func (h *Health) Canceled() { h.trial = false }

// Failed tells of a failure.
func (h *Health) Failed(now time.Time) {
	h.failures++
	if h.trial {
		h.eject(now)
	}
}

// Failing says that the endpoint is to be ejected for its failures.
func (h *Health) Failing() bool { return !h.ejected && h.failures >= failuresToEject }

func (h *Health) eject(now time.Time) {
	h.length = min(max(h.length*2, ejectFor), maxEjectFor)
	h.ejected = true
	h.trial = false
	h.failures = 0
	h.until = now.Add(h.length)
}

// EjectOutliers ejects the endpoints of a pool that fail, or are slower than
// their peers, up to the stated part of the pool.
func EjectOutliers(now time.Time, pool []*Endpoint) {
	left := int(maxEjectedShare * float64(len(pool)))
	for _, e := range pool {
		if e.Health.Ejected() {
			left--
		}
	}
	median := medianFirstToken(pool)
	for _, e := range pool {
		if left <= 0 {
			return
		}
		if e.Health.Ejected() {
			continue
		}
		if e.Health.Failing() || e.slowerThan(median) {
			e.Health.eject(now)
			e.firstToken.reset()
			left--
		}
	}
}

func medianFirstToken(pool []*Endpoint) time.Duration {
	var known []time.Duration
	for _, e := range pool {
		if e.firstToken.count >= slowSamples {
			known = append(known, e.firstToken.mean)
		}
	}
	if len(known) < 2 {
		return 0
	}
	slices.Sort(known)
	return known[(len(known)-1)/2]
}
