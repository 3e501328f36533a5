package balance_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/core/balance"
	"github.com/wigeonsail/wigeonsail/internal/core/fairshare"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// withBurst records that the account "burst" requests seven times as much as each of eight
// others.
func (b *fixture) withBurst(now time.Time, pool model.PoolName) {
	work := []fairshare.Work{{Pool: pool, Account: "burst", Rate: 700}}
	for _, account := range []model.AccountName{"a", "b", "c", "d", "e", "f", "g", "h"} {
		work = append(work, fairshare.Work{Pool: pool, Account: account, Rate: 100})
	}
	b.Accounts().ReceiveHost(now, "other", "north", work)
}

// serviceRequest returns a request to the plain services.
func serviceRequest(account model.AccountName, now time.Time) balance.Request {
	return balance.Request{Pool: "services", Account: account, Target: 300 * time.Millisecond, Deadline: now.Add(time.Second)}
}

func TestPlainServicesRefuseAccountAboveItsShareOnlyWithoutPlaces(t *testing.T) {
	b := newFixture(3)
	now := at(0)
	b.withBurst(now, "services")
	for range 12 {
		_, d := b.submit(now, serviceRequest("burst", now))
		must.False(t, d.IsRefused(), must.Sprint("there is a place"))
	}
	refused, waits := 0, make(map[time.Duration]bool)
	for range 40 {
		id, d := b.submit(now, serviceRequest("burst", now))
		if d.IsRefused() {
			must.Eq(t, balance.ReasonAboveShare, d.Reason)
			must.Between(t, 100*time.Millisecond, d.RetryAfter, 500*time.Millisecond)
			must.Greater(t, d.AboveShare.Share, d.AboveShare.Use)
			waits[d.RetryAfter] = true
			refused++
		}
		b.Finish(now, id, balance.Result{})
		for _, account := range []model.AccountName{"a", ""} {
			id, d = b.submit(now, serviceRequest(account, now))
			must.False(t, d.IsRefused(), must.Sprint("the account is under its share"))
			b.Finish(now, id, balance.Result{})
		}
	}
	must.Between(t, 10, refused, 39)
	must.Greater(t, 5, len(waits))
}

// Requests above the account's share come behind others of their rank, within their tier.
func TestEnginesPutRequestsAboveTheShareBehindOthers(t *testing.T) {
	for _, c := range []struct {
		tier, rank model.Tier
		behind     int
	}{{0, 0, 1}, {1, 0, 4}, {1, 1, 5}, {1, 2, 5}, {2, 1, 8}} {
		b, now := learned(int(c.tier)*3, 20_000, 20_000, 20_000)
		b.withBurst(now, "engines")
		seen := make(map[int]bool)
		for i := range 40 {
			for _, account := range []model.AccountName{"burst", "a"} {
				req := question(model.PartID(i))
				req.Account, req.Tier, req.Rank = account, c.tier, c.rank
				// Only the rank counts here, not that the request will be late.
				req.Target = 2 * time.Second
				id, d := b.submit(now, req)
				b.Finish(now, id, balance.Result{})
				if account == "a" {
					must.Eq(t, fairshare.Standing{}, d.AboveShare)
				} else if !d.IsRefused() && d.Priority != balance.NumPriorities-1 {
					seen[d.Priority] = true
				}
			}
		}
		for priority := range seen {
			must.Between(t, int(c.tier*3+c.rank), priority, c.behind)
		}
	}
}
