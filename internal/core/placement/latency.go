package placement

import (
	"math"
	"time"
)

const (
	// latencyWeight is the weight of the newest sample in the moving average.
	latencyWeight = 0.05
	// latencySamples is the number of samples before the mean is used.
	latencySamples = 20
	// maxTargetShare is the share of a class's latency target that the mean may
	// take at an endpoint. The rest is for queueing and for slow responses.
	maxTargetShare = 0.3
	// congestedFactor is the ratio of the mean latency to its base above which
	// an endpoint counts as congested: requests are queued there.
	congestedFactor = 2
	// baseDrift is the rate, as a share per second, at which the base rises, so
	// that an endpoint that has become permanently slower is not limited
	// forever.
	baseDrift = 0.002
)

// classLatency compares the mean latency of a class at an endpoint with the
// lowest mean that has been seen there, both in seconds.
type classLatency struct {
	mean    float64
	base    float64
	samples int
	last    time.Time
}

// recordSample adds a sample and reports whether the endpoint is congested. If
// so, the mean starts again with the smaller room. An endpoint that reports its
// own queue is compared only with the target, not with its base.
func (l *classLatency) recordSample(now time.Time, took, target time.Duration, reportsLoad bool) bool {
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
	late := target > 0 && l.mean > maxTargetShare*target.Seconds()
	slow := !reportsLoad && l.mean > congestedFactor*l.base
	if late || slow {
		l.samples = 0
		return true
	}
	return false
}
