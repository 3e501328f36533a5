package admission

import (
	"math"
	"time"
)

const (
	// demandWindow is the time constant of the exponentially decaying demand.
	demandWindow = 5 * time.Second
	// baseDemand is added to the demand of every host, in requests per second,
	// so that a host without demand keeps a share of a limit.
	baseDemand = 0.1
)

// Demand measures an offered load in requests per second.
type Demand struct {
	rate float64
	last time.Time
}

// Add counts one request.
func (d *Demand) Add(now time.Time) {
	d.rate = d.Rate(now) + 1/demandWindow.Seconds()
	d.last = now
}

// Rate returns the offered load at now, in requests per second.
func (d *Demand) Rate(now time.Time) float64 {
	if d.last.IsZero() {
		return 0
	}
	return d.rate * math.Exp(-now.Sub(d.last).Seconds()/demandWindow.Seconds())
}

// LimitShare returns this host's share of a limit, from 0 to 1, from its own
// demand and that of each other host. Unreachable hosts keep the demand of
// their last digest, so that the shares still add up to the limit.
func LimitShare(own float64, others []float64) float64 {
	sum := own + baseDemand
	for _, rate := range others {
		sum += rate + baseDemand
	}
	return (own + baseDemand) / sum
}

// TokenBucket enforces this host's share of a rate limit.
type TokenBucket struct {
	tokens float64
	last   time.Time
}

// Take takes one request from a bucket that refills with rate requests per
// second up to burst requests, and reports whether one was left. If not, it
// returns the time until the next request is allowed, or demandWindow if the
// bucket does not refill.
func (b *TokenBucket) Take(now time.Time, rate, burst float64) (bool, time.Duration) {
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
