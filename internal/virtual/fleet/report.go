package fleet

import (
	"slices"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// windowLength is the time of the windows in a report.
const windowLength = 2 * time.Second

// window is the worth of the requests that arrived within a time.
type window struct{ earned, owed float64 }

type stats struct {
	rejected  int
	readAgain int
	moved     int
}

// Report is the outcome of a run.
type Report struct {
	// Worth is the worth of the answers against that of answers in time to all.
	Worth   float64                         `json:"worth"`
	Classes map[model.ClassName]ClassReport `json:"classes"`
	// Rejected counts the attempts that found no place at an engine.
	Rejected int `json:"rejected"`
	// ReadAgain and Moved are thousands of tokens of shared parts.
	ReadAgain int `json:"read_again_k"`
	Moved     int `json:"moved_k"`
}

// ClassReport is the outcome of one class.
type ClassReport struct {
	Offered int `json:"offered"`
	// InTime, Late, Refused and Left count what became of the requests.
	InTime  int `json:"in_time"`
	Late    int `json:"late"`
	Refused int `json:"refused"`
	Left    int `json:"left"`
	// Worth is the part of the class's worth that was earned.
	Worth float64 `json:"worth"`
	// Median and P95 are the times to the first event in milliseconds, of the
	// requests that had one.
	Median float64 `json:"median_ms"`
	P95    float64 `json:"p95_ms"`
	// Gap is the median of the longest pauses in milliseconds.
	Gap float64 `json:"gap_ms"`

	// Error is the median of the times to the first event over the expected ones.
	Error float64 `json:"error"`
	// Windows is Worth by the windows of the arrivals.
	Windows []float64 `json:"windows"`

	earned, owed float64
	byWindow     []window
	firsts, gaps []time.Duration
	errors       []float64
}

func (f *Fleet) report() Report {
	r := Report{
		Classes: make(map[model.ClassName]ClassReport), Rejected: f.stats.rejected,
		ReadAgain: f.stats.readAgain / 1000, Moved: f.stats.moved / 1000,
	}
	earned, owed := 0.0, 0.0
	for i := range f.opts.Classes {
		class := &f.opts.Classes[i]
		c := ClassReport{}
		for _, call := range f.calls {
			if call.class == class {
				c.count(call)
			}
		}
		c.finish()
		earned += c.earned
		owed += c.owed
		r.Classes[class.Name] = c
	}
	if owed > 0 {
		r.Worth = earned / owed
	}
	return r
}

// count adds a request to the report.
func (r *ClassReport) count(c *call) {
	r.Offered++
	earned := r.outcome(c)
	r.owed += c.worth
	r.earned += earned
	at := int(c.at / windowLength)
	for len(r.byWindow) <= at {
		r.byWindow = append(r.byWindow, window{})
	}
	r.byWindow[at].owed += c.worth
	r.byWindow[at].earned += earned
	if !c.first.IsZero() {
		r.firsts = append(r.firsts, c.first.Sub(c.arrived))
		r.gaps = append(r.gaps, c.gap)
		r.errors = append(r.errors, c.first.Sub(c.arrived).Seconds()/c.expected.Seconds())
	}
}

// outcome counts what became of a request and returns what its answer is worth.
func (r *ClassReport) outcome(c *call) float64 {
	switch {
	case c.refused:
		r.Refused++
	case c.done.IsZero():
		r.Left++
	case c.first.Sub(c.arrived) <= c.class.Target && c.gap <= c.class.MaxGap:
		r.InTime++
		return c.worth
	default:
		r.Late++
		return c.worth * c.class.LateWorth / c.class.Worth
	}
	return 0
}

// finish works out the shares and times.
func (r *ClassReport) finish() {
	if r.owed > 0 {
		r.Worth = r.earned / r.owed
	}
	for _, w := range r.byWindow {
		r.Windows = append(r.Windows, w.earned/max(w.owed, 1e-9))
	}
	slices.Sort(r.firsts)
	r.Median = quantile(r.firsts, 0.5)
	r.P95 = quantile(r.firsts, 0.95)
	slices.Sort(r.errors)
	if len(r.errors) > 0 {
		r.Error = r.errors[len(r.errors)/2]
	}
	slices.Sort(r.gaps)
	r.Gap = quantile(r.gaps, 0.5)
}

// quantile returns a quantile of sorted times in milliseconds.
func quantile(sorted []time.Duration, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	at := min(int(q*float64(len(sorted))), len(sorted)-1)
	return float64(sorted[at].Microseconds()) / 1000
}
