package fairshare_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/wigeonsail/wigeonsail/internal/core/fairshare"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

const pool model.PoolName = "engines"

var start = time.Unix(1000, 0)

func name(i int) model.AccountName { return model.AccountName(fmt.Sprintf("account-%03d", i)) }

// request lets each account request its rate for ten seconds, and returns the time after it.
// The pool serves the given share of it.
func request(b *fairshare.Book, rates []float64, served float64) time.Time {
	now := start
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		for i, rate := range rates {
			b.RecordRequested(now, pool, name(i), rate/10)
			b.RecordServed(now, pool, served*rate/10)
		}
	}
	return now
}

func burst(accounts int, bursts ...int) []float64 {
	out := make([]float64, accounts)
	for i := range out {
		out[i] = 1
	}
	for _, i := range bursts {
		out[i] = 7
	}
	return out
}

func TestOnlyBurstsAreAboveTheirShare(t *testing.T) {
	for _, c := range []struct {
		name  string
		rates []float64
		above []int
	}{
		{"none", nil, nil},
		{"one alone", []float64{5}, nil},
		{"one of 24", burst(24, 3), []int{3}},
		{"two of 24", burst(24, 3, 9), []int{3, 9}},
		{"one of a hundred", burst(100, 42), []int{42}},
		{"a few large ones", append(burst(20, 2), 2, 2, 2), []int{2}},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := fairshare.NewBook()
			now := request(b, c.rates, 0.8)
			above := b.AboveShare(now)[pool]
			must.MapLen(t, len(c.above), above)
			for _, i := range c.above {
				must.Between(t, 0.1, above[name(i)].Excess(), 0.9)
			}
		})
	}
}

// The shares are max-min fair, and the same for any unit of work.
func TestSharesAreMaxMinFair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rates := rapid.SliceOfN(rapid.Float64Range(0.1, 100), 1, 40).Draw(t, "rates")
		served := rapid.Float64Range(0.6, 0.8).Draw(t, "served")
		scale := rapid.Float64Range(0.5, 50).Draw(t, "scale")
		b, scaled := fairshare.NewBook(), fairshare.NewBook()
		now := request(b, rates, served)
		larger := make([]float64, len(rates))
		for i, rate := range rates {
			larger[i] = scale * rate
		}
		request(scaled, larger, served)
		total, given, level, smallest := 0.0, 0.0, 0.0, math.Inf(1)
		for i := range rates {
			s := b.Standing(now, pool, name(i))
			level = s.Share
			total += s.Use
			smallest = min(smallest, s.Use)
			given += min(s.Use, s.Share)
			must.InDelta(t, s.Excess(), scaled.Standing(now, pool, name(i)).Excess(), 1e-6)
			if s.Use <= s.Share {
				must.Eq(t, 0, s.Excess())
			}
		}
		must.GreaterEq(t, smallest, level)
		must.GreaterEq(t, served*total*(1-1e-6), given)
		if level > smallest {
			must.InDelta(t, served*total, given, 1e-6*total)
		}
	})
}

// Accounts that a report does not list are not taken for one large account, and leave the
// shares of the listed ones as they are.
func TestUnlistedAccountsCount(t *testing.T) {
	other := fairshare.NewBook()
	now := request(other, burst(100), 0.9)
	work := other.OwnWork(now)
	must.LessEq(t, 17, len(work))
	b := fairshare.NewBook()
	b.ReceiveHost(now, "other", "north", work)
	must.MapEmpty(t, b.AboveShare(now))
	for range 100 {
		b.RecordRequested(now, pool, "burst", 1)
	}
	must.MapLen(t, 1, b.AboveShare(now.Add(time.Second))[pool])
}

// The counts of a host that has died, and of an account that a configuration has removed,
// end by themselves.
func TestOutdatedCountsEnd(t *testing.T) {
	other, b := fairshare.NewBook(), fairshare.NewBook()
	now := request(other, burst(24, 3), 0.85)
	request(b, burst(24), 0.85)
	b.ReceiveHost(now, "other", "north", other.OwnWork(now))
	must.MapLen(t, 1, b.AboveShare(now)[pool])
	// The repeated report replaces the first one.
	before := b.Standing(now, pool, name(3))
	now = now.Add(60 * time.Millisecond)
	b.ReceiveHost(now, "other", "north", other.OwnWork(now))
	must.Less(t, before.Use+0.01, b.Standing(now, pool, name(3)).Use)
	now = now.Add(2100 * time.Millisecond)
	must.MapEmpty(t, b.AboveShare(now))
	b.Expire(now.Add(time.Minute))
	must.SliceEmpty(t, b.OwnWork(now))
}

// What relays report replaces what hosts report, where it is larger: nothing counts twice.
func TestRelayedWorkCountsOnce(t *testing.T) {
	other, b := fairshare.NewBook(), fairshare.NewBook()
	now := request(other, burst(4), 0.9)
	work := other.OwnWork(now)
	use := func() float64 { return b.Standing(now, pool, name(0)).Use }
	b.ReceiveHost(now, "other", "south", work)
	one := use()
	now = now.Add(60 * time.Millisecond)
	b.ReceiveDomain(now, "south", work)
	must.InDelta(t, one, use(), 1e-9)
	now = now.Add(60 * time.Millisecond)
	b.ReceiveFleet(now, work)
	must.InDelta(t, one, use(), 1e-9)
	must.SliceLen(t, 4, b.FleetWork(now))
	must.SliceEmpty(t, b.DomainWork(now, "north"))
}

func TestInvalidReportsAreIgnored(t *testing.T) {
	b := fairshare.NewBook()
	b.ReceiveHost(start, "other", "north", []fairshare.Work{{Pool: pool, Account: "a", Rate: math.NaN()}, {Pool: pool, Account: "b", Rate: math.Inf(1)}, {Pool: pool, Account: "c", Rate: -1}})
	must.SliceEmpty(t, b.FleetWork(start))
}
