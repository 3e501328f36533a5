package load

import (
	"errors"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The range and precision of the histograms, in nanoseconds and digits.
const (
	minNanos = 1_000
	maxNanos = int64(10 * time.Minute)
	digits   = 3
)

// Figures are what the callers of one target saw.
type Figures struct {
	Requests int `json:"requests"`
	// Failed requests had no whole answer; Refused ones were told when to
	// come back.
	Failed  int `json:"failed"`
	Refused int `json:"refused"`
	// Truncated answers began and did not reach their end. They are failed.
	Truncated int `json:"truncated"`
	Tokens    int `json:"tokens"`
	// Times in milliseconds.
	FirstTokenP50 float64 `json:"first_token_p50_ms"`
	FirstTokenP99 float64 `json:"first_token_p99_ms"`
	BetweenP50    float64 `json:"between_tokens_p50_ms"`
	BetweenP99    float64 `json:"between_tokens_p99_ms"`
	// CPUMicrosPerToken is the host's processor time for one token, in
	// microseconds; 0 when it was not measured.
	CPUMicrosPerToken float64 `json:"cpu_us_per_token,omitempty"`
	// PeakOpen is the largest number of requests in progress.
	PeakOpen int `json:"peak_open"`
}

// measure gathers the notes of many requests.
type measure struct {
	mu       sync.Mutex
	firsts   *hdrhistogram.Histogram
	betweens *hdrhistogram.Histogram
	figures  Figures
	open     int
}

func newMeasure() *measure {
	return &measure{
		firsts:   hdrhistogram.New(minNanos, maxNanos, digits),
		betweens: hdrhistogram.New(minNanos, maxNanos, digits),
	}
}

// notes are the times of one request. They are added to the measure at its
// end, so that requests do not wait for each other at every token.
type notes struct {
	firstToken time.Duration
	gaps       []time.Duration
}

func (n *notes) first(d time.Duration)   { n.firstToken = d }
func (n *notes) between(d time.Duration) { n.gaps = append(n.gaps, d) }

func (m *measure) begin() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.open++
	m.figures.PeakOpen = max(m.figures.PeakOpen, m.open)
}

func (m *measure) end(n *notes, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.open--
	m.figures.Requests++
	m.count(err)
	if n.firstToken == 0 {
		return
	}
	if err != nil {
		m.figures.Truncated++
	}
	record(m.firsts, n.firstToken)
	m.figures.Tokens += 1 + len(n.gaps)
	for _, gap := range n.gaps {
		record(m.betweens, gap)
	}
}

func (m *measure) count(err error) {
	var status *StatusError
	switch {
	case err == nil:
	case errors.As(err, &status) && isRefusal(status.Status):
		m.figures.Refused++
	default:
		m.figures.Failed++
	}
}

// isRefusal says whether a status asks the caller to come back later.
func isRefusal(status int) bool { return status == 429 || status == 503 }

// record clamps to the histogram's range, so that recording cannot fail.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Nanoseconds(), minNanos), maxNanos))
}

func (m *measure) result() Figures {
	m.mu.Lock()
	defer m.mu.Unlock()
	f := m.figures
	f.FirstTokenP50 = quantile(m.firsts, 50)
	f.FirstTokenP99 = quantile(m.firsts, 99)
	f.BetweenP50 = quantile(m.betweens, 50)
	f.BetweenP99 = quantile(m.betweens, 99)
	return f
}

func quantile(h *hdrhistogram.Histogram, percent float64) float64 {
	return float64(h.ValueAtQuantile(percent)) / float64(time.Millisecond)
}
