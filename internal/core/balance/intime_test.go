package balance_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/core/balance"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

const crowded = 2_000_000

// learned returns a host that knows the speed of its three engines, at which the other
// hosts have queued prompts with the priority.
func learned(priority int, tokens ...int) (*fixture, time.Time) {
	b := newFixture(3)
	now := b.answerAll(at(0), "")
	var loads []balance.EndpointLoad
	for i, n := range tokens {
		l := balance.EndpointLoad{Endpoint: model.EndpointName([]string{"engines-0", "engines-1", "engines-2"}[i]), Load: balance.Load{Count: 3}}
		l.PendingPrefill[priority] = n
		loads = append(loads, l)
	}
	b.SetPeerLoad(now, "other", "north", loads, nil)
	return b, now
}

func (b *fixture) submitUntil(now time.Time, req balance.Request, left time.Duration) balance.Decision {
	req.Deadline = now.Add(left)
	_, d := b.submit(now, req)
	return d
}

// A request that no engine can begin in time is refused at once. Callers return at
// different times, within the time that they have left.
func TestRequestThatCannotBeInTimeIsRefusedAtOnce(t *testing.T) {
	b, now := learned(2, crowded, crowded, crowded)
	waits := make(map[time.Duration]bool)
	for range 20 {
		d := b.submitUntil(now, draft(1), 6*time.Second)
		must.Eq(t, balance.ReasonNotInTime, d.Reason)
		must.Between(t, 900*time.Millisecond, d.RetryAfter, 2*time.Second)
		waits[d.RetryAfter] = true
	}
	must.Greater(t, 10, len(waits))
	must.SliceEmpty(t, b.LocalLoad(now))
	must.False(t, b.submitUntil(now, draft(1), time.Hour).IsRefused())
}

// While one engine has room, nothing is refused.
func TestNothingIsRefusedWhileAnEngineHasRoom(t *testing.T) {
	b, now := learned(2, crowded, crowded, 0)
	d := b.submitUntil(now, draft(1), 6*time.Second)
	must.Eq(t, "engines-2", d.Endpoint)

	// Nor is a request with little time left.
	b, now = learned(2)
	must.False(t, b.submitUntil(now, draft(1), 50*time.Millisecond).IsRefused())
}

// Requests of the first rank are not refused for the load of lower ranks.
func TestFirstRankIsNotRefusedForLowerRanks(t *testing.T) {
	b, now := learned(2, crowded, crowded, crowded)
	must.False(t, b.submitUntil(now, question(1), 6*time.Second).IsRefused())
	b, now = learned(0, crowded, crowded, crowded)
	must.Eq(t, balance.ReasonNotInTime, b.submitUntil(now, question(1), 6*time.Second).Reason)
}

// Without evidence for the speed of the engines, and without a deadline, nothing is
// refused.
func TestUnknownSpeedRefusesNothing(t *testing.T) {
	b, now := learned(2, crowded, crowded, crowded)
	_, d := b.submit(now, draft(1))
	must.False(t, d.IsRefused())
	later := now.Add(5 * time.Minute)
	must.False(t, b.submitUntil(later, draft(1), 6*time.Second).IsRefused())
}
