package fleet

import (
	"slices"
	"time"
)

const (
	// spreadInterval is the time between two samples of the engines' queues.
	spreadInterval = 20 * time.Millisecond
	// queuedMS is the time of queued prefill from which requests count as
	// queued, in milliseconds.
	queuedMS = 250
)

// Spread describes how evenly the load is spread over the engines.
type Spread struct {
	// BusiestTenth is the mean time that the busiest tenth of the engines was
	// working as a ratio to the mean of all engines. QueueTenth is the same for
	// the time of queued prefill, from samples.
	BusiestTenth float64 `json:"busiest_tenth"`
	QueueTenth   float64 `json:"queue_tenth"`
	// IdleWhileQueued is the mean share of the engines without prefill at the
	// times when queuedMS or more of prefill is queued at a tenth of the engines.
	IdleWhileQueued float64 `json:"idle_while_queued"`
}

// spreadStats collects the samples for a Spread.
type spreadStats struct {
	queueTenth, idle   float64
	samples, queuedFor int
}

// sampleSpread adds a sample of the queues of all engines.
func (f *Fleet) sampleSpread() {
	queues := make([]float64, 0, len(f.order))
	idle := 0
	for _, e := range f.order {
		queue := e.queuedPrefillMS()
		queues = append(queues, queue)
		if queue == 0 {
			idle++
		}
	}
	s := &f.spread
	if ratio := busiestTenth(queues); ratio > 0 {
		s.queueTenth += ratio
		s.samples++
	}
	if queues[len(queues)-max(len(queues)/10, 1)] >= queuedMS {
		s.idle += float64(idle) / float64(len(queues))
		s.queuedFor++
	}
}

// queuedPrefillMS returns the time to prefill all prompts at the engine, in
// milliseconds. Shared prefixes that are still to be looked up count as cached.
func (e *engine) queuedPrefillMS() float64 {
	tokens := 0
	for _, list := range [][]*sequence{e.waiting, e.running} {
		for _, s := range list {
			if s.sharedResolved {
				tokens += s.pendingPrefill
			} else if !s.ended {
				tokens += s.call.prompt.UnsharedTokens()
			}
		}
	}
	return float64(tokens) / (e.spec.PrefillRate * e.speed)
}

// busiestTenth sorts values and returns the ratio of the mean of their largest
// tenth to the mean of all; 0 if all are 0.
func busiestTenth(values []float64) float64 {
	slices.Sort(values)
	sum, largest := 0.0, 0.0
	from := len(values) - max(len(values)/10, 1)
	for i, v := range values {
		sum += v
		if i >= from {
			largest += v
		}
	}
	if sum == 0 {
		return 0
	}
	return largest / float64(len(values)-from) / (sum / float64(len(values)))
}

// spreadReport returns the spread over the whole run.
func (f *Fleet) spreadReport() Spread {
	busy := make([]float64, 0, len(f.order))
	for _, e := range f.order {
		busy = append(busy, e.busyMS)
	}
	return Spread{
		BusiestTenth:    busiestTenth(busy),
		QueueTenth:      f.spread.queueTenth / max(float64(f.spread.samples), 1),
		IdleWhileQueued: f.spread.idle / max(float64(f.spread.queuedFor), 1),
	}
}
