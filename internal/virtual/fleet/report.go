package fleet

import (
	"slices"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// windowLength is the length of the windows in a report.
const windowLength = 2 * time.Second

// window sums up the requests that arrived within a window: the worth earned,
// and the worth possible if all answers were in time.
type window struct{ earned, possible float64 }

// stats counts rejected attempts, and the tokens of shared prefixes that were
// prefilled more than once or fetched from another engine.
type stats struct {
	rejected        int
	repeatedPrefill int
	fetched         int
}

// Report is the result of a run.
type Report struct {
	// Worth is the worth earned as a share of the worth possible if all answers
	// were in time.
	Worth   float64                         `json:"worth"`
	Classes map[model.ClassName]ClassReport `json:"classes"`
	// Rejected counts the attempts that were rejected by a full engine.
	Rejected int `json:"rejected"`
	// RepeatedPrefillK and FetchedK count tokens of shared prefixes, in
	// thousands, that were prefilled although some engine had prefilled them
	// before, and that were fetched from another engine's cache.
	RepeatedPrefillK int    `json:"read_again_k"`
	FetchedK         int    `json:"moved_k"`
	Spread           Spread `json:"spread"`
	// Accounts are the results by client account.
	Accounts []AccountReport `json:"accounts,omitempty"`
}

// ClassReport is the result of one class.
type ClassReport struct {
	Offered int `json:"offered"`
	// InTime and Late count the requests that were answered, Refused and
	// Abandoned those that were refused or given up by their callers.
	InTime    int `json:"in_time"`
	Late      int `json:"late"`
	Refused   int `json:"refused"`
	Abandoned int `json:"left"`
	// Worth is the worth earned as a share of the worth possible.
	Worth float64 `json:"worth"`
	// MedianMS and P95MS are quantiles of the time to the first event in
	// milliseconds, over the requests that had one.
	MedianMS float64 `json:"median_ms"`
	P95MS    float64 `json:"p95_ms"`
	// MedianGapMS is the median, over the same requests, of the longest time
	// between two events, in milliseconds.
	MedianGapMS float64 `json:"gap_ms"`

	// ActualToExpected is the median ratio of the time to the first event to the
	// host's estimate of it.
	ActualToExpected float64 `json:"error"`
	// Windows has the worth earned as a share of the worth possible for each
	// window, by the time of arrival of the requests.
	Windows []float64 `json:"windows"`

	earned, possible         float64
	byWindow                 []window
	firstEventTimes, maxGaps []time.Duration
	expectedRatios           []float64
}

// report computes the report of a run that has ended.
func (f *Fleet) report() Report {
	r := Report{
		Classes: make(map[model.ClassName]ClassReport), Rejected: f.stats.rejected,
		RepeatedPrefillK: f.stats.repeatedPrefill / 1000, FetchedK: f.stats.fetched / 1000, Spread: f.spreadReport(), Accounts: f.accountReports(),
	}
	earned, possible := 0.0, 0.0
	for i := range f.opts.Classes {
		class := &f.opts.Classes[i]
		c := ClassReport{}
		for _, call := range f.calls {
			if call.class == class {
				c.addRequest(call)
			}
		}
		c.summarize()
		earned += c.earned
		possible += c.possible
		r.Classes[class.Name] = c
	}
	if possible > 0 {
		r.Worth = earned / possible
	}
	return r
}

// addRequest adds a request to the report.
func (r *ClassReport) addRequest(c *call) {
	r.Offered++
	earned := r.countOutcome(c)
	r.possible += c.worth
	r.earned += earned
	at := int(c.at / windowLength)
	for len(r.byWindow) <= at {
		r.byWindow = append(r.byWindow, window{})
	}
	r.byWindow[at].possible += c.worth
	r.byWindow[at].earned += earned
	if !c.firstEvent.IsZero() {
		r.firstEventTimes = append(r.firstEventTimes, c.firstEvent.Sub(c.arrived))
		r.maxGaps = append(r.maxGaps, c.maxGap)
		r.expectedRatios = append(r.expectedRatios, c.firstEvent.Sub(c.arrived).Seconds()/c.expected.Seconds())
	}
}

// countOutcome counts a request by its outcome and returns the worth earned.
func (r *ClassReport) countOutcome(c *call) float64 {
	switch {
	case c.refused:
		r.Refused++
	case c.done.IsZero():
		r.Abandoned++
	case c.firstEvent.Sub(c.arrived) <= c.class.Target && c.maxGap <= c.class.MaxGap:
		r.InTime++
		return c.worth
	default:
		r.Late++
		return c.worth * c.class.LateWorth / c.class.Worth
	}
	return 0
}

// summarize computes the shares and quantiles of the added requests.
func (r *ClassReport) summarize() {
	if r.possible > 0 {
		r.Worth = r.earned / r.possible
	}
	for _, w := range r.byWindow {
		r.Windows = append(r.Windows, w.earned/max(w.possible, 1e-9))
	}
	slices.Sort(r.firstEventTimes)
	r.MedianMS = quantileMS(r.firstEventTimes, 0.5)
	r.P95MS = quantileMS(r.firstEventTimes, 0.95)
	slices.Sort(r.expectedRatios)
	if len(r.expectedRatios) > 0 {
		r.ActualToExpected = r.expectedRatios[len(r.expectedRatios)/2]
	}
	slices.Sort(r.maxGaps)
	r.MedianGapMS = quantileMS(r.maxGaps, 0.5)
}

// quantileMS returns a quantile of sorted times in milliseconds, or 0 if there
// are none.
func quantileMS(sorted []time.Duration, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	at := min(int(q*float64(len(sorted))), len(sorted)-1)
	return float64(sorted[at].Microseconds()) / 1000
}
