package admission_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/core/admission"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// at returns the time s seconds after start.
func at(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }

// item returns an item of an account with a deadline in seconds after start.
func item(id, account string, deadline float64) *admission.Item {
	return &admission.Item{
		ID: model.RequestID(id), Account: model.AccountName(account),
		Deadline: at(deadline), Enqueued: start,
	}
}

// serveAll serves a queue until it is empty, and returns the order.
func serveAll(q *admission.ClassQueue) []model.RequestID {
	var out []model.RequestID
	for it := q.Next(); it != nil; it = q.Next() {
		q.Serve(it)
		out = append(out, it.ID)
	}
	return out
}

func TestEarliestDeadlineFirstWithinAccount(t *testing.T) {
	q := admission.NewClassQueue()
	q.Push(item("late", "a", 30), 1)
	q.Push(item("early", "a", 10), 1)
	q.Push(item("middle", "a", 20), 1)
	must.Eq(t, []model.RequestID{"early", "middle", "late"}, serveAll(q))
}

func TestBurstLengthensOnlyTheAccountsOwnQueue(t *testing.T) {
	q := admission.NewClassQueue()
	for range 10 {
		q.Push(item("big", "big", 10), 2)
	}
	q.Push(item("small", "small", 100), 1)
	q.Push(item("small", "small", 100), 1)
	must.Eq(t, 3, q.GrantsAhead("other", 1), must.Sprint("one round of the shares 2, 1 and 1, less the request itself"))
	must.Eq(t, []model.RequestID{"big", "big", "small", "big", "big", "small"}, serveAll(q)[:6])
}

func TestResumedRequestsAreServedFirst(t *testing.T) {
	q := admission.NewClassQueue()
	q.Push(item("fresh", "a", 10), 1)
	resumed := item("resumed", "a", 100)
	resumed.Resumed = true
	q.Push(resumed, 1)
	must.Eq(t, []model.RequestID{"resumed", "fresh"}, serveAll(q))
}

func TestTiersNext(t *testing.T) {
	rules := []admission.ClassRule{
		{Tier: 0, Protected: true},
		{Tier: 1},
		{Tier: 2, Floor: 0.1, AgeAfter: 10 * time.Second},
	}
	cases := []struct {
		name    string
		waiting []int
		full    int
		drafts  int
		now     float64
		want    int
	}{
		{"protected before floors", []int{0, 1, 2}, -1, 0, 0, 0},
		{"class below its floor before a higher tier", []int{1, 2}, -1, 0, 0, 2},
		{"higher tier once the floor is filled", []int{1, 2}, -1, 1, 0, 1},
		{"queueing time raises the floor", []int{1, 2}, -1, 1, 11, 2},
		{"lower tier when the higher tier has no room", []int{1, 2}, 1, 5, 0, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			tiers := admission.NewTiers(rules)
			for _, i := range c.waiting {
				tiers.Queue(i).Push(item("x", "a", 100), 1)
			}
			got, _ := tiers.Next(at(c.now), func(i int) admission.Room {
				return admission.Room{Fits: i != c.full, InFlight: c.drafts, Limit: 10}
			})
			must.Eq(t, c.want, got)
		})
	}
}

func TestAgedClassServesItsOldestRequest(t *testing.T) {
	tiers := admission.NewTiers([]admission.ClassRule{{AgeAfter: 10 * time.Second}})
	tiers.Queue(0).Push(item("oldest", "a", 100), 1)
	tiers.Queue(0).Push(item("urgent", "a", 50), 1)
	for _, c := range []struct {
		now  float64
		want model.RequestID
	}{{1, "urgent"}, {11, "oldest"}} {
		_, it := tiers.Next(at(c.now), func(int) admission.Room { return admission.Room{Fits: true} })
		must.Eq(t, c.want, it.ID)
	}
}

func TestDrainRate(t *testing.T) {
	var r admission.DrainRate
	r.RecordQueueStart(at(0))
	r.RecordGrant(at(0), true)
	must.Eq(t, 0, r.ExpectedWait(at(0), 5), must.Sprint("an immediate grant is not used"))
	r.RecordGrant(at(2), true)
	must.Eq(t, 10*time.Second, r.ExpectedWait(at(2), 5))
	must.Eq(t, 40*time.Second, r.ExpectedWait(at(10), 5), must.Sprint("a queue without grants"))
}

func TestLimitShare(t *testing.T) {
	own, other := 9.9, 0.0
	must.Eq(t, 10.0/10.1, admission.LimitShare(own, []float64{other}))
	must.Eq(t, 1, admission.LimitShare(3, []float64{5})+admission.LimitShare(5, []float64{3}))
	must.Eq(t, 0.5, admission.LimitShare(0, []float64{0}))
}

func TestTokenBucket(t *testing.T) {
	var b admission.TokenBucket
	for _, c := range []struct {
		now  float64
		want bool
		wait time.Duration
	}{{0, true, 0}, {0, true, 0}, {0, false, 500 * time.Millisecond}, {0.5, true, 0}, {0.5, false, 500 * time.Millisecond}} {
		ok, wait := b.Take(at(c.now), 2, 2)
		must.Eq(t, c.want, ok)
		must.Eq(t, c.wait, wait)
	}
}
