package admission

import (
	"math"
	"time"
)

const (
	// demandWindow is the time constant of the measured demand.
	demandWindow = 5 * time.Second
	// baseDemand keeps a part of a limit, in requests a second, for a host
	// that has no demand yet.
	baseDemand = 0.1
)

// Demand measures an offered load in requests a second.
type Demand struct {
	rate float64
	last time.Time
}

// Add counts one request.
func (d *Demand) Add(now time.Time) {
	d.rate = d.Rate(now) + 1/demandWindow.Seconds()
	d.last = now
}

// Rate returns the offered load at now.
func (d *Demand) Rate(now time.Time) float64 {
	if d.last.IsZero() {
		return 0
	}
	return d.rate * math.Exp(-now.Sub(d.last).Seconds()/demandWindow.Seconds())
}

// ShareOf returns this host's part of a limit, from 0 to 1, by its own demand
// and that of each other host. Hosts that are cut off keep the demand of their
// last digest, so that the parts still add up to the limit.
func ShareOf(own float64, others []float64) float64 {
	sum := own + baseDemand
	for _, rate := range others {
		sum += rate + baseDemand
	}
	return (own + baseDemand) / sum
}

// Bucket is this host's part of a rate limit.
type Bucket struct {
	tokens float64
	last   time.Time
}

// Take takes one request from the bucket of rate requests a second and burst
// requests at once. When there is none it returns the time until there is.
func (b *Bucket) Take(now time.Time, rate, burst float64) (bool, time.Duration) {
	burst = max(burst, 1)
	if b.last.IsZero() {
		b.tokens = burst
	} else {
		b.tokens += now.Sub(b.last).Seconds() * rate
	}
	b.last = now
	b.tokens = min(b.tokens, burst)
	if b.tokens >= 1 {
		b.tokens--
		return true, 0
	}
	if rate <= 0 {
		return false, demandWindow
	}
	return false, time.Duration((1 - b.tokens) / rate * float64(time.Second))
}
