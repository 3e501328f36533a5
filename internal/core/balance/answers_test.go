package balance_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/core/balance"
)

// A refused endpoint has failed on its own only if this host has paths to others.
func TestOwnFailureNeedsAnswersOfOthers(t *testing.T) {
	for _, c := range []struct {
		name             string
		answered, failed int
		own              bool
	}{
		{"nothing is known", 0, 0, false},
		{"one answer", 1, 0, false},
		{"two answers", 2, 0, true},
		{"as many failures as answers", 2, 2, false},
		{"more answers than failures", 3, 2, true},
		{"failures only", 0, 5, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newFixture(3)
			id, d := b.submit(at(0), lookup())
			b.Finish(at(0), id, balance.Result{Failure: balance.FailureBroken})
			b.SetPeerLoad(at(0), "host-of-north", "north", nil, nil)
			now := at(10 * time.Millisecond)
			b.RequestChecks(d.Endpoint)
			answered, failed := c.answered, c.failed
			for _, check := range b.StartChecks(now) {
				switch {
				case check.Endpoint == d.Endpoint:
				case answered > 0:
					answered--
					b.RecordCheck(now, check.Endpoint, true)
				case failed > 0:
					failed--
					b.RecordCheck(now, check.Endpoint, false)
				}
			}
			must.Zero(t, answered+failed)
			must.Eq(t, c.own, b.IsOwnFailure(d.Endpoint, at(0)))
			must.False(t, b.IsOwnFailure(d.Endpoint, at(time.Second)), must.Sprint("what began before is no evidence"))
		})
	}
}
