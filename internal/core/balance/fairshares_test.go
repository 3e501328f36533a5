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
	for range 30 {
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
		priority   int
	}{{0, 0, 1}, {1, 0, 4}, {1, 1, 5}, {1, 2, 5}, {2, 1, 8}} {
		n := 16_000
		b, now := learned(int(c.tier)*3, n, n, n)
		b.withBurst(now, "engines")
		deferred := 0
		for i := range 40 {
			for _, account := range []model.AccountName{"burst", "a"} {
				req := question(model.PartID(i))
				req.Account, req.Tier, req.Rank, req.Target = account, c.tier, c.rank, 2*time.Second
				id, d := b.submit(now, req)
				b.Finish(now, id, balance.Result{})
				must.False(t, d.IsRefused())
				if d.AboveShare == (fairshare.Standing{}) {
					must.Eq(t, int(3*c.tier+c.rank), d.Priority)
					continue
				}
				must.Eq(t, "burst", account)
				must.Eq(t, c.priority, d.Priority)
				deferred++
			}
		}
		must.Between(t, 10, deferred, 39)
	}
}

// Requests above the account's share are the first that are refused for the length of the
// queue.
func TestEnginesRefuseRequestsAboveTheShareFirst(t *testing.T) {
	b, now := learned(2, 40_000, 40_000, 40_000)
	b.withBurst(now, "engines")
	refused := 0
	for i := range 40 {
		for _, account := range []model.AccountName{"burst", "a", ""} {
			req := draft(model.PartID(i))
			req.Account, req.Deadline = account, now.Add(6*time.Second)
			id, d := b.submit(now, req)
			b.Finish(now, id, balance.Result{})
			if d.IsRefused() {
				must.Eq(t, "burst", account)
				must.Eq(t, balance.ReasonAboveShare, d.Reason)
				must.Between(t, 900*time.Millisecond, d.RetryAfter, 2*time.Second)
				refused++
			}
		}
	}
	must.Between(t, 10, refused, 39)
}
