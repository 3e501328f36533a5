package attempt

import (
	"math"
	"time"
)

const (
	// bucketsPerDouble is the number of histogram buckets for each doubling
	// of a duration.
	bucketsPerDouble = 4
	// bucketCount covers 1 ms to about 70 minutes.
	bucketCount = 22 * bucketsPerDouble
	// durationHalfLife is the number of samples after which older ones count
	// half.
	durationHalfLife = 512
	// minSamples is the number of samples before a quantile is given.
	minSamples = 20
)

// Durations learns the distribution of how long tries take.
type Durations struct {
	buckets [bucketCount]float64
	total   float64
	samples int
}

// Add takes one sample.
func (d *Durations) Add(v time.Duration) {
	d.buckets[bucketOf(v)]++
	d.total++
	d.samples++
	if d.samples%durationHalfLife == 0 {
		d.fade()
	}
}

func (d *Durations) fade() {
	for i := range d.buckets {
		d.buckets[i] /= 2
	}
	d.total /= 2
}

// Quantile returns the duration that the share q of tries stays under; 0 while
// too few are known.
func (d *Durations) Quantile(q float64) time.Duration {
	if d.samples < minSamples {
		return 0
	}
	want := q * d.total
	sum := 0.0
	for i, n := range d.buckets {
		sum += n
		if sum >= want {
			return upperBound(i)
		}
	}
	return upperBound(bucketCount - 1)
}

func bucketOf(v time.Duration) int {
	ms := max(float64(v)/float64(time.Millisecond), 1)
	i := int(math.Log2(ms) * bucketsPerDouble)
	return min(i, bucketCount-1)
}

func upperBound(i int) time.Duration {
	ms := math.Exp2(float64(i+1) / bucketsPerDouble)
	return time.Duration(ms * float64(time.Millisecond))
}
