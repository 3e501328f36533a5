package burn

import (
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// minErrorShare bounds burn rates of objectives close to 1.
const minErrorShare = 1e-6

// AlertPair fires while the burn rate over both windows is at least Rate. The
// long window shows that the burn matters, the short one that it goes on.
type AlertPair struct {
	Name  string
	Short time.Duration
	Long  time.Duration
	// Rate is the burn rate; 1 uses up the budget exactly over its period.
	Rate float64
}

// AlertPairs are the pairs that are customary for a budget over 30 days: the
// first uses 2% of it in an hour, the second 5% in six hours.
var AlertPairs = []AlertPair{
	{Name: "fast", Short: 5 * time.Minute, Long: time.Hour, Rate: 14.4},
	{Name: "slow", Short: 30 * time.Minute, Long: 6 * time.Hour, Rate: 6},
}

// Alert is the state of an alert pair.
type Alert struct {
	Name string `json:"name"`
	// Short and Long are the windows.
	Short time.Duration `json:"short_ns"`
	Long  time.Duration `json:"long_ns"`
	// ShortBurn and LongBurn are the burn rates over the windows.
	ShortBurn float64 `json:"short_burn"`
	LongBurn  float64 `json:"long_burn"`
	// Rate is the burn rate from which the pair fires.
	Rate   float64 `json:"rate"`
	Firing bool    `json:"firing"`
}

// Summary holds the figures of one class in one failure domain, or in all.
type Summary struct {
	Class model.ClassName `json:"class"`
	// Domain is empty in the sum over all failure domains.
	Domain    model.DomainName `json:"domain,omitempty"`
	Objective float64          `json:"objective"`
	Counts    Counts           `json:"counts"`
	// Attainment is the share of judged requests that were good; 1 for none.
	Attainment float64 `json:"attainment"`
	// BudgetLeft is the share of the window's error budget that is left. It
	// is negative once the budget is overspent.
	BudgetLeft float64 `json:"budget_left"`
	// GoodPerSecond and GoodTokensPerSecond are the goodput.
	GoodPerSecond       float64 `json:"good_per_second"`
	GoodTokensPerSecond float64 `json:"good_tokens_per_second"`
	// WastedShare is the share of wasted among all generated tokens.
	WastedShare float64 `json:"wasted_share"`
	// Wasted lists the wasted tokens by cause, those without any left out.
	Wasted []CauseTokens `json:"wasted"`
	Alerts []Alert       `json:"alerts"`
}

// CauseTokens is a number of wasted tokens with their cause.
type CauseTokens struct {
	Cause  string `json:"cause"`
	Tokens uint64 `json:"tokens"`
}

// Firing tells whether any alert fires.
func (s *Summary) Firing() bool {
	for _, a := range s.Alerts {
		if a.Firing {
			return true
		}
	}
	return false
}

// Summarize computes the figures over the window that ends now: for each
// class first the sum over all failure domains, then each domain. Alerts use
// their own windows.
func Summarize(s Snapshot, now time.Time, window time.Duration) []Summary {
	var out []Summary
	for _, sum := range SumDomains(s) {
		out = append(out, summarize(sum, now, window))
		for _, row := range s.Rows {
			if row.Class == sum.Class {
				out = append(out, summarize(row, now, window))
			}
		}
	}
	return out
}

// SumDomains adds up the failure domains: one row a class, ordered by class,
// with an empty domain.
func SumDomains(s Snapshot) []Row {
	var sums Snapshot
	for _, row := range s.Rows {
		row.Domain = ""
		sums.Rows = append(sums.Rows, row)
	}
	return Merge(sums).Rows
}

func summarize(row Row, now time.Time, window time.Duration) Summary {
	counts := row.Over(now, window)
	seconds := window.Seconds()
	sum := Summary{
		Class:               row.Class,
		Domain:              row.Domain,
		Objective:           row.Objective,
		Counts:              counts,
		Attainment:          1 - errorShare(&counts),
		BudgetLeft:          1 - Rate(&counts, row.Objective),
		GoodPerSecond:       float64(counts.Good) / seconds,
		GoodTokensPerSecond: float64(counts.GoodTokens) / seconds,
	}
	if generated := counts.Tokens + counts.AllWasted(); generated > 0 {
		sum.WastedShare = float64(counts.AllWasted()) / float64(generated)
	}
	sum.Wasted = []CauseTokens{}
	for cause := range WasteCauses() {
		if tokens := counts.Wasted[cause]; tokens > 0 {
			sum.Wasted = append(sum.Wasted, CauseTokens{Cause: cause.String(), Tokens: tokens})
		}
	}
	for _, pair := range AlertPairs {
		sum.Alerts = append(sum.Alerts, evaluate(row, now, pair))
	}
	return sum
}

func evaluate(row Row, now time.Time, pair AlertPair) Alert {
	short := row.Over(now, pair.Short)
	long := row.Over(now, pair.Long)
	a := Alert{
		Name:      pair.Name,
		Short:     pair.Short,
		Long:      pair.Long,
		Rate:      pair.Rate,
		ShortBurn: Rate(&short, row.Objective),
		LongBurn:  Rate(&long, row.Objective),
	}
	a.Firing = a.ShortBurn >= pair.Rate && a.LongBurn >= pair.Rate
	return a
}

// Over sums the counts of the window that ends now.
func (r *Row) Over(now time.Time, window time.Duration) Counts {
	first, last := firstBucket(now, window), bucketNumber(now)
	var sum Counts
	for _, b := range r.Buckets {
		if b.Minute >= first && b.Minute <= last {
			sum.add(&b.Counts)
		}
	}
	return sum
}

// Rate is the burn rate: the error share as a multiple of what the objective
// allows.
func Rate(c *Counts, objective float64) float64 {
	return errorShare(c) / max(1-objective, minErrorShare)
}

func errorShare(c *Counts) float64 {
	if c.Total == 0 {
		return 0
	}
	return float64(c.Bad()) / float64(c.Total)
}
