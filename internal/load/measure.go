package load

import (
	"errors"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// The range and precision of the histograms, in nanoseconds and digits.
const (
	minNanos = 1_000
	maxNanos = int64(10 * time.Minute)
	digits   = 3
)

// Counts are numbers of requests by how they ended.
type Counts struct {
	Requests int `json:"requests"`
	// Served requests had a whole answer, Failed ones had none, and Refused
	// ones were told when to come back.
	Served  int `json:"served"`
	Failed  int `json:"failed"`
	Refused int `json:"refused"`
	// Truncated answers began and did not reach their end. They are failed.
	Truncated int `json:"truncated"`
}

// Figures are what the callers of one target saw.
type Figures struct {
	Counts
	// Classes counts the requests of each class that callers named.
	Classes map[model.ClassName]*Counts `json:"classes,omitempty"`
	// Codes counts the answers that were errors by their code.
	Codes  map[string]int `json:"codes,omitempty"`
	Tokens int            `json:"tokens"`
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
		figures:  Figures{Classes: make(map[model.ClassName]*Counts), Codes: make(map[string]int)},
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

func (m *measure) end(class model.ClassName, n *notes, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.open--
	began := n.firstToken > 0
	m.figures.count(began, err)
	var status *StatusError
	if errors.As(err, &status) {
		m.figures.Codes[status.Code]++
	}
	if class != "" {
		m.classCounts(class).count(began, err)
	}
	if !began {
		return
	}
	record(m.firsts, n.firstToken)
	m.figures.Tokens += 1 + len(n.gaps)
	for _, gap := range n.gaps {
		record(m.betweens, gap)
	}
}

func (m *measure) classCounts(class model.ClassName) *Counts {
	counts := m.figures.Classes[class]
	if counts == nil {
		counts = &Counts{}
		m.figures.Classes[class] = counts
	}
	return counts
}

// count adds one request, whose answer began or not.
func (c *Counts) count(began bool, err error) {
	c.Requests++
	var status *StatusError
	switch {
	case err == nil:
		c.Served++
	case errors.As(err, &status) && isRefusal(status.Status):
		c.Refused++
	case began:
		c.Failed++
		c.Truncated++
	default:
		c.Failed++
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
