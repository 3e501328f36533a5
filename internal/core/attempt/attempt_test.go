package attempt_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/core/attempt"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

func TestIsRetryAllowed(t *testing.T) {
	now := time.Unix(100, 0)
	later := now.Add(time.Second)
	cases := []struct {
		name  string
		ended attempt.FailedAttempt
		want  bool
	}{
		{"idempotent, unknown", attempt.FailedAttempt{Idempotent: true, Deadline: later}, true},
		{"non-idempotent, not run", attempt.FailedAttempt{Outcome: model.OutcomeNotRun, Deadline: later}, true},
		{"non-idempotent, unknown", attempt.FailedAttempt{Deadline: later}, false},
		{"non-idempotent, ran", attempt.FailedAttempt{Outcome: model.OutcomeRan, Deadline: later}, false},
		{"past the deadline", attempt.FailedAttempt{Idempotent: true, Deadline: now}, false},
		{"tokens relayed", attempt.FailedAttempt{Idempotent: true, Relayed: 1, Deadline: later}, false},
		{"tokens relayed, can resume", attempt.FailedAttempt{Idempotent: true, Relayed: 1, CanResume: true, Deadline: later}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			must.Eq(t, c.want, attempt.IsRetryAllowed(now, c.ended))
		})
	}
}

func TestBudgetLimitsRetriesToShareOfFirstAttempts(t *testing.T) {
	b := attempt.NewBudget(0.1)
	must.True(t, b.TakeRetry())
	must.False(t, b.TakeRetry())
	retries := 0
	for range 1000 {
		b.RecordFirst()
		if b.TakeRetry() {
			retries++
		}
	}
	must.Between(t, 99, retries, 100)
}

func TestDurationHistogramQuantiles(t *testing.T) {
	var d attempt.DurationHistogram
	must.Eq(t, 0, d.Quantile(0.5))
	for i := range 100 {
		d.Add(time.Duration(i+1) * 10 * time.Millisecond)
	}
	must.Between(t, 500*time.Millisecond, d.Quantile(0.5), 600*time.Millisecond)
	must.Between(t, 950*time.Millisecond, d.Quantile(0.95), 1150*time.Millisecond)
}
