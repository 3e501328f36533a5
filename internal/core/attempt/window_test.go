package attempt_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/wigeonsail/wigeonsail/internal/core/attempt"
)

var windowOptions = attempt.WindowOptions{Ratio: 0.2, Slack: 58, Window: 10 * time.Second}

func TestWindowSharesTheSlackAmongHosts(t *testing.T) {
	now := time.Unix(1000, 0)
	w := attempt.NewWindow(windowOptions)
	n := 0
	for w.TakeRetry(now, 9) {
		n++
	}
	must.Eq(t, 5, n, must.Sprint("four fifths of a ninth of 58"))
	must.True(t, w.TakeRetry(now.Add(11*time.Second), 9), must.Sprint("a window later"))
}

// In any window, all hosts together stay within ratio x firsts + slack, where
// the first tries of the window before count as well.
func TestWindowsOfAllHostsKeepTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const hosts = 3
		windows := make([]*attempt.Window, hosts)
		for i := range windows {
			windows[i] = attempt.NewWindow(windowOptions)
		}
		now := time.Unix(1000, 0)
		var firsts, retries []time.Time
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			w := windows[rapid.IntRange(0, hosts-1).Draw(t, "host")]
			if rapid.Bool().Draw(t, "first") {
				w.RecordFirst(now)
				firsts = append(firsts, now)
			} else if w.TakeRetry(now, hosts) {
				retries = append(retries, now)
			}
			recent := since(retries, now.Add(-windowOptions.Window))
			base := since(firsts, now.Add(-2*windowOptions.Window))
			must.LessEq(t, windowOptions.Ratio*float64(base)+windowOptions.Slack, float64(recent))
		}
	})
}

func since(times []time.Time, from time.Time) int {
	n := 0
	for _, at := range times {
		if at.After(from) {
			n++
		}
	}
	return n
}
