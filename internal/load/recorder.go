package load

import (
	"errors"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// The range of the histograms in nanoseconds and their precision in significant
// digits.
const (
	minNanos          = 1_000
	maxNanos          = int64(10 * time.Minute)
	significantDigits = 3
)

// Counts counts requests by outcome.
type Counts struct {
	Requests int `json:"requests"`
	// Served requests had a whole answer. Refused ones were answered with status
	// 429 or 503, which asks callers to retry later. All others are Failed.
	Served  int `json:"served"`
	Failed  int `json:"failed"`
	Refused int `json:"refused"`
	// Truncated counts the answers that ended early. They count as Failed, too.
	Truncated int `json:"truncated"`
}

// Results are the counts and latencies that the callers of a run saw.
type Results struct {
	Counts
	// Classes counts the requests that were sent with a class.
	Classes map[model.ClassName]*Counts `json:"classes,omitempty"`
	// Codes counts the error answers by code. Those without a code are counted
	// under the empty code.
	Codes  map[string]int `json:"codes,omitempty"`
	Tokens int            `json:"tokens"`
	// Quantiles in milliseconds of the time to the first token and of the time
	// between two tokens.
	FirstTokenP50 float64 `json:"first_token_p50_ms"`
	FirstTokenP99 float64 `json:"first_token_p99_ms"`
	BetweenP50    float64 `json:"between_tokens_p50_ms"`
	BetweenP99    float64 `json:"between_tokens_p99_ms"`
	// CPUMicrosPerToken is the host's CPU time per token in microseconds; 0 if
	// it was not measured.
	CPUMicrosPerToken float64 `json:"cpu_us_per_token,omitempty"`
	// PeakInFlight is the largest number of concurrent requests.
	PeakInFlight int `json:"peak_open"`
}

// recorder accumulates the results of a run. It is safe for concurrent use.
type recorder struct {
	mu          sync.Mutex
	firstTokens *hdrhistogram.Histogram
	tokenGaps   *hdrhistogram.Histogram
	results     Results
	inFlight    int
}

func newRecorder() *recorder {
	return &recorder{
		results:     Results{Classes: make(map[model.ClassName]*Counts), Codes: make(map[string]int)},
		firstTokens: hdrhistogram.New(minNanos, maxNanos, significantDigits),
		tokenGaps:   hdrhistogram.New(minNanos, maxNanos, significantDigits),
	}
}

// timings are the times of one request. They are added to the recorder when the
// request ends, so that requests do not contend for its lock at every token.
type timings struct {
	firstToken time.Duration
	gaps       []time.Duration
}

func (t *timings) recordFirstToken(d time.Duration) { t.firstToken = d }
func (t *timings) recordGap(d time.Duration)        { t.gaps = append(t.gaps, d) }

// begin records the start of a request.
func (r *recorder) begin() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inFlight++
	r.results.PeakInFlight = max(r.results.PeakInFlight, r.inFlight)
}

// end records the end of a request with the error it returned. class is the one
// sent with the request; empty for none.
func (r *recorder) end(class model.ClassName, t *timings, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inFlight--
	began := t.firstToken > 0
	r.results.addRequest(began, err)
	var status *StatusError
	if errors.As(err, &status) {
		r.results.Codes[status.Code]++
	}
	if class != "" {
		r.classCounts(class).addRequest(began, err)
	}
	if !began {
		return
	}
	recordClamped(r.firstTokens, t.firstToken)
	r.results.Tokens += 1 + len(t.gaps)
	for _, gap := range t.gaps {
		recordClamped(r.tokenGaps, gap)
	}
}

func (r *recorder) classCounts(class model.ClassName) *Counts {
	counts := r.results.Classes[class]
	if counts == nil {
		counts = &Counts{}
		r.results.Classes[class] = counts
	}
	return counts
}

// addRequest counts one request. began is true if its answer began.
func (c *Counts) addRequest(began bool, err error) {
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

// isRefusal reports whether a status asks the caller to retry later.
func isRefusal(status int) bool { return status == 429 || status == 503 }

// recordClamped records a duration, clamped to the histogram's range so that
// recording cannot fail.
func recordClamped(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Nanoseconds(), minNanos), maxNanos))
}

// computeResults returns the results so far, including the quantiles.
func (r *recorder) computeResults() Results {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := r.results
	out.FirstTokenP50 = quantileMS(r.firstTokens, 50)
	out.FirstTokenP99 = quantileMS(r.firstTokens, 99)
	out.BetweenP50 = quantileMS(r.tokenGaps, 50)
	out.BetweenP99 = quantileMS(r.tokenGaps, 99)
	return out
}

// quantileMS returns a quantile in milliseconds; percent is from 0 to 100.
func quantileMS(h *hdrhistogram.Histogram, percent float64) float64 {
	return float64(h.ValueAtQuantile(percent)) / float64(time.Millisecond)
}
