package placement

import (
	"math"
	"time"
)

const (
	// latencyWeight is the weight of the newest sample.
	latencyWeight = 0.05
	// latencySamples is the number of samples before a mean is believed.
	latencySamples = 20
	// targetPart is the part of a class's latency target that the mean may take
	// at an endpoint; the rest is for waiting and for slow answers.
	targetPart = 0.3
	// congestedFactor is the mean latency against its base from which an
	// endpoint counts as congested: work waits there.
	congestedFactor = 2
	// baseDrift raises the base, as a share a second, so that an endpoint
	// that has become slower for good is not held back for ever.
	baseDrift = 0.002
)

// latency compares the mean latency of a class at an endpoint with the smallest
// mean that was seen there.
type latency struct {
	mean    float64
	base    float64
	samples int
	last    time.Time
}

// add takes a sample and says whether the endpoint is congested. After it has
// said so, the mean starts anew with the smaller room. An endpoint that reports
// its own queue is not judged by its base.
func (l *latency) add(now time.Time, took, target time.Duration, reports bool) bool {
	l.samples++
	weight := max(latencyWeight, 1/float64(l.samples))
	l.mean += weight * (took.Seconds() - l.mean)
	if l.samples < latencySamples {
		return false
	}
	if l.last.IsZero() {
		l.base = l.mean
	} else {
		l.base *= math.Exp(baseDrift * now.Sub(l.last).Seconds())
		l.base = min(l.base, l.mean)
	}
	l.last = now
	late := target > 0 && l.mean > targetPart*target.Seconds()
	slow := !reports && l.mean > congestedFactor*l.base
	if late || slow {
		l.samples = 0
		return true
	}
	return false
}
