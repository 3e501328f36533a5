package attempt

import (
	"math"
	"time"
)

const (
	// bucketsPerDouble is the number of histogram buckets per doubling of a
	// duration.
	bucketsPerDouble = 4
	// bucketCount covers 1 ms to about 70 minutes.
	bucketCount = 22 * bucketsPerDouble
	// halfLifeSamples is the number of samples after which older ones count
	// half.
	halfLifeSamples = 512
	// minSamples is the number of samples below which no quantile is returned.
	minSamples = 20
)

// DurationHistogram estimates the distribution of the durations of attempts.
type DurationHistogram struct {
	buckets [bucketCount]float64
	total   float64
	samples int
}

// Add adds one sample.
func (d *DurationHistogram) Add(v time.Duration) {
	d.buckets[bucketIndex(v)]++
	d.total++
	d.samples++
	if d.samples%halfLifeSamples == 0 {
		d.decay()
	}
}

// decay halves the weight of all samples.
func (d *DurationHistogram) decay() {
	for i := range d.buckets {
		d.buckets[i] /= 2
	}
	d.total /= 2
}

// Quantile returns an upper bound of the q quantile of the durations; 0 with
// fewer than minSamples samples.
func (d *DurationHistogram) Quantile(q float64) time.Duration {
	if d.samples < minSamples {
		return 0
	}
	want := q * d.total
	sum := 0.0
	for i, n := range d.buckets {
		sum += n
		if sum >= want {
			return bucketUpperBound(i)
		}
	}
	return bucketUpperBound(bucketCount - 1)
}

// bucketIndex returns the index of the bucket for a duration.
func bucketIndex(v time.Duration) int {
	ms := max(float64(v)/float64(time.Millisecond), 1)
	i := int(math.Log2(ms) * bucketsPerDouble)
	return min(i, bucketCount-1)
}

// bucketUpperBound returns the upper bound of the bucket with index i.
func bucketUpperBound(i int) time.Duration {
	ms := math.Exp2(float64(i+1) / bucketsPerDouble)
	return time.Duration(ms * float64(time.Millisecond))
}
