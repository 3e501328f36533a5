package burn

import (
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// minErrorBudget is the smallest error budget used to compute burn rates. It
// keeps the rates of objectives at or close to 1 finite.
const minErrorBudget = 1e-6

// AlertRule is a multi-window burn-rate alert. It fires while the burn rates over
// both windows are at least Rate. The long window shows that the burn is
// significant, the short one that it is still in progress.
type AlertRule struct {
	Name  string
	Short time.Duration
	Long  time.Duration
	// Rate is the burn-rate threshold. A burn rate of 1 uses up the error
	// budget exactly over its period.
	Rate float64
}

// AlertRules are the customary rules for an error budget over 30 days: the first
// fires when 2% of the budget is used in one hour, the second when 5% is used in
// six hours.
var AlertRules = []AlertRule{
	{Name: "fast", Short: 5 * time.Minute, Long: time.Hour, Rate: 14.4},
	{Name: "slow", Short: 30 * time.Minute, Long: 6 * time.Hour, Rate: 6},
}

// Alert is the state of an alert rule.
type Alert struct {
	Name string `json:"name"`
	// Short and Long are the lengths of the windows.
	Short time.Duration `json:"short_ns"`
	Long  time.Duration `json:"long_ns"`
	// ShortBurn and LongBurn are the burn rates over the windows.
	ShortBurn float64 `json:"short_burn"`
	LongBurn  float64 `json:"long_burn"`
	// Rate is the burn rate at which the rule fires.
	Rate   float64 `json:"rate"`
	Firing bool    `json:"firing"`
}

// Summary holds the service-level figures of one class in one failure domain or
// in all failure domains.
type Summary struct {
	Class model.ClassName `json:"class"`
	// Domain is empty in the sum over all failure domains.
	Domain    model.DomainName `json:"domain,omitempty"`
	Objective float64          `json:"objective"`
	Counts    Counts           `json:"counts"`
	// Attainment is the share of good requests among Counts.Total; 1 if there
	// are no requests.
	Attainment float64 `json:"attainment"`
	// BudgetLeft is the remaining share of the window's error budget. It is
	// negative once the budget is overspent.
	BudgetLeft float64 `json:"budget_left"`
	// GoodPerSecond and GoodTokensPerSecond are the goodput.
	GoodPerSecond       float64 `json:"good_per_second"`
	GoodTokensPerSecond float64 `json:"good_tokens_per_second"`
	// WastedShare is the share of wasted tokens among all generated tokens.
	WastedShare float64 `json:"wasted_share"`
	// Wasted lists the wasted tokens by cause; causes without any are omitted.
	Wasted []CauseTokens `json:"wasted"`
	Alerts []Alert       `json:"alerts"`
}

// CauseTokens is the number of tokens wasted for one cause.
type CauseTokens struct {
	Cause  string `json:"cause"`
	Tokens uint64 `json:"tokens"`
}

// Firing reports whether any alert is firing.
func (s *Summary) Firing() bool {
	for _, a := range s.Alerts {
		if a.Firing {
			return true
		}
	}
	return false
}

// Summarize computes the figures over the window that ends now: for each class
// first the sum over all failure domains, then each failure domain. Alerts use
// their own windows.
func Summarize(s Snapshot, now time.Time, window time.Duration) []Summary {
	var out []Summary
	for _, sum := range SumDomains(s) {
		out = append(out, summarizeRow(sum, now, window))
		for _, row := range s.Rows {
			if row.Class == sum.Class {
				out = append(out, summarizeRow(row, now, window))
			}
		}
	}
	return out
}

// SumDomains sums the counts over all failure domains. It returns one row per
// class, ordered by class, with an empty domain.
func SumDomains(s Snapshot) []Row {
	var sums Snapshot
	for _, row := range s.Rows {
		row.Domain = ""
		sums.Rows = append(sums.Rows, row)
	}
	return Merge(sums).Rows
}

func summarizeRow(row Row, now time.Time, window time.Duration) Summary {
	counts := row.SumWindow(now, window)
	seconds := window.Seconds()
	sum := Summary{
		Class:               row.Class,
		Domain:              row.Domain,
		Objective:           row.Objective,
		Counts:              counts,
		Attainment:          1 - errorRatio(&counts),
		BudgetLeft:          1 - Rate(&counts, row.Objective),
		GoodPerSecond:       float64(counts.Good) / seconds,
		GoodTokensPerSecond: float64(counts.GoodTokens) / seconds,
	}
	if generated := counts.Tokens + counts.TotalWasted(); generated > 0 {
		sum.WastedShare = float64(counts.TotalWasted()) / float64(generated)
	}
	sum.Wasted = []CauseTokens{}
	for cause := range WasteCauses() {
		if tokens := counts.Wasted[cause]; tokens > 0 {
			sum.Wasted = append(sum.Wasted, CauseTokens{Cause: cause.String(), Tokens: tokens})
		}
	}
	for _, rule := range AlertRules {
		sum.Alerts = append(sum.Alerts, evaluateRule(row, now, rule))
	}
	return sum
}

func evaluateRule(row Row, now time.Time, rule AlertRule) Alert {
	short := row.SumWindow(now, rule.Short)
	long := row.SumWindow(now, rule.Long)
	a := Alert{
		Name:      rule.Name,
		Short:     rule.Short,
		Long:      rule.Long,
		Rate:      rule.Rate,
		ShortBurn: Rate(&short, row.Objective),
		LongBurn:  Rate(&long, row.Objective),
	}
	a.Firing = a.ShortBurn >= rule.Rate && a.LongBurn >= rule.Rate
	return a
}

// SumWindow returns the summed counts of the window that ends now.
func (r *Row) SumWindow(now time.Time, window time.Duration) Counts {
	first, last := firstBucketNumber(now, window), bucketNumber(now)
	var sum Counts
	for _, b := range r.Buckets {
		if b.Minute >= first && b.Minute <= last {
			sum.add(&b.Counts)
		}
	}
	return sum
}

// Rate returns the burn rate: the error ratio as a multiple of the ratio that the
// objective allows.
func Rate(c *Counts, objective float64) float64 {
	return errorRatio(c) / max(1-objective, minErrorBudget)
}

// errorRatio returns the share of bad requests among c.Total; 0 if there are no
// requests.
func errorRatio(c *Counts) float64 {
	if c.Total == 0 {
		return 0
	}
	return float64(c.Bad()) / float64(c.Total)
}
