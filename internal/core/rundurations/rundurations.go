// Package rundurations learns how long the requests of each class last, from their arrival
// to the end of the response. Old observations decay. It is a state machine without I/O and
// without a clock, and is not safe for concurrent use.
package rundurations

import (
	"math"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

const (
	// shortest is the upper bound of the first bin. Each further bin is wider by the factor
	// binRatio; the last one has no upper bound.
	shortest = 10 * time.Millisecond
	binRatio = 1.25
	binCount = 48
	// halfLife is the time after which an observation counts half.
	halfLife = 30 * time.Second
	// minWeight is the least evidence for an estimate, in observations.
	minWeight = 10
	// maxClasses bounds the classes that are kept.
	maxClasses = 1024
)

// Durations holds what is known of each class. Use New.
type Durations struct {
	classes map[model.ClassName]*histogram
}

// histogram counts the observations of a class by duration.
type histogram struct {
	weights [binCount]float64
	// longest is the longest observation in the last bin.
	longest   time.Duration
	updatedAt time.Time
}

// New returns Durations without evidence.
func New() *Durations {
	return &Durations{classes: make(map[model.ClassName]*histogram)}
}

// Observe records that a request of a class has ended after a duration.
func (d *Durations) Observe(now time.Time, class model.ClassName, took time.Duration) {
	h := d.classes[class]
	if h == nil {
		if len(d.classes) >= maxClasses {
			d.dropOldest()
		}
		h = &histogram{updatedAt: now}
		d.classes[class] = h
	}
	h.decay(now)
	bin := binOf(took)
	h.weights[bin]++
	if bin == binCount-1 {
		h.longest = max(h.longest, took)
	}
}

// Quantile returns the duration that a share of the requests of a class do not exceed, rounded
// up. The result is false without enough evidence.
func (d *Durations) Quantile(now time.Time, class model.ClassName, share float64) (time.Duration, bool) {
	h := d.classes[class]
	if h == nil {
		return 0, false
	}
	h.decay(now)
	total := 0.0
	for _, weight := range h.weights {
		total += weight
	}
	if total < minWeight {
		return 0, false
	}
	sum := 0.0
	for bin, weight := range h.weights {
		sum += weight
		if sum >= share*total {
			return h.upperBound(bin), true
		}
	}
	return h.upperBound(binCount - 1), true
}

// dropOldest removes the class that was observed least recently.
func (d *Durations) dropOldest() {
	var oldest model.ClassName
	var at time.Time
	for class, h := range d.classes {
		if at.IsZero() || h.updatedAt.Before(at) {
			oldest, at = class, h.updatedAt
		}
	}
	delete(d.classes, oldest)
}

// decay reduces the weights by the time since the last observation.
func (h *histogram) decay(now time.Time) {
	age := now.Sub(h.updatedAt)
	if age <= 0 {
		return
	}
	factor := math.Exp2(-age.Seconds() / halfLife.Seconds())
	for i := range h.weights {
		h.weights[i] *= factor
	}
	h.updatedAt = now
}

// upperBound returns the longest duration of a bin.
func (h *histogram) upperBound(bin int) time.Duration {
	if bin == binCount-1 {
		return h.longest
	}
	return time.Duration(float64(shortest) * math.Pow(binRatio, float64(bin)))
}

// binOf returns the bin of a duration.
func binOf(took time.Duration) int {
	if took <= shortest {
		return 0
	}
	bin := int(math.Ceil(math.Log(float64(took)/float64(shortest)) / math.Log(binRatio)))
	return min(bin, binCount-1)
}
