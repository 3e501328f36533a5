package attempt_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/wigeonsail/wigeonsail/internal/core/attempt"
)

var budgetOptions = attempt.SharedBudgetOptions{Ratio: 0.2, Slack: 58, Window: 10 * time.Second}

func TestSharedBudgetDividesSlackAmongHosts(t *testing.T) {
	now := time.Unix(1000, 0)
	w := attempt.NewSharedBudget(budgetOptions)
	n := 0
	for w.TakeRetry(now, 9) {
		n++
	}
	must.Eq(t, 5, n, must.Sprint("four fifths of a ninth of 58"))
	must.True(t, w.TakeRetry(now.Add(11*time.Second), 9), must.Sprint("a window later"))
}

// In any window, all hosts together must stay within ratio × first attempts +
// slack, where the first attempts of the preceding window count as well.
func TestSharedBudgetHoldsOverAllHosts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const hosts = 3
		budgets := make([]*attempt.SharedBudget, hosts)
		for i := range budgets {
			budgets[i] = attempt.NewSharedBudget(budgetOptions)
		}
		now := time.Unix(1000, 0)
		var firsts, retries []time.Time
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			w := budgets[rapid.IntRange(0, hosts-1).Draw(t, "host")]
			if rapid.Bool().Draw(t, "first") {
				w.RecordFirst(now)
				firsts = append(firsts, now)
			} else if w.TakeRetry(now, hosts) {
				retries = append(retries, now)
			}
			recent := since(retries, now.Add(-budgetOptions.Window))
			base := since(firsts, now.Add(-2*budgetOptions.Window))
			must.LessEq(t, budgetOptions.Ratio*float64(base)+budgetOptions.Slack, float64(recent))
		}
	})
}

// since returns the number of times after from.
func since(times []time.Time, from time.Time) int {
	n := 0
	for _, at := range times {
		if at.After(from) {
			n++
		}
	}
	return n
}
