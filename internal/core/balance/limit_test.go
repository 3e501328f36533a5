package balance_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/core/balance"
)

func TestLimitIsKnownUntilItIsNoLongerStated(t *testing.T) {
	b := newFixture(1)
	id, _ := b.submit(at(0), read())
	report, changed := b.RecordLimit(at(time.Second), id, true, 20)
	must.True(t, changed)
	must.Eq(t, balance.LimitReport{Instance: report.Instance, Limited: true, PerSecond: 20, At: at(time.Second)}, report)
	must.Eq(t, 1, b.CountLimited())
	_, changed = b.RecordLimit(at(2*time.Second), id, true, 21)
	must.False(t, changed, must.Sprint("nearly the same limit"))
	_, changed = b.RecordLimit(at(2*time.Second), id, false, 0)
	must.False(t, changed, must.Sprint("the request is older than the limit"))
	must.Eq(t, 1, b.CountLimited())
	_, refused := b.submit(at(8*time.Second), read())
	must.Eq(t, balance.ReasonLimit, refused.Reason, must.Sprint("a host starts with nothing"))
	must.Positive(t, refused.RetryAfter)
	later, d := b.submit(at(9*time.Second), read())
	must.Eq(t, 21, d.Limit)
	_, changed = b.RecordLimit(at(10*time.Second), later, false, 0)
	must.True(t, changed)
	must.Eq(t, 0, b.CountLimited())
}

func TestAbsurdLimits(t *testing.T) {
	b := newFixture(1)
	id, _ := b.submit(at(0), read())
	report, _ := b.RecordLimit(at(1), id, true, 0)
	must.Positive(t, report.PerSecond, must.Sprint("some requests must find out when the limit ends"))
	report, changed := b.RecordLimit(at(2), id, true, 1e300)
	must.True(t, changed)
	must.False(t, report.Limited)
}
