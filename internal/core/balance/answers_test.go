package balance_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/core/balance"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
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

// Failures that are known to have other causes are no sign that this host has lost its paths.
func TestKnownFailuresOfOthersAreTheirOwn(t *testing.T) {
	for _, c := range []struct {
		name string
		// explain gives the failures of others a cause before the broken connection at time 0.
		explain func(b *fixture, others []model.EndpointName)
		own     bool
	}{
		{"no known cause", func(b *fixture, others []model.EndpointName) {
			b.fail(at(-100*time.Millisecond), others)
		}, false},
		{"crashes", func(b *fixture, others []model.EndpointName) {
			b.fail(at(-100*time.Millisecond), others)
			b.crash(at(-100*time.Millisecond), others)
		}, true},
		{"crashes before the last answer", func(b *fixture, others []model.EndpointName) {
			b.crash(at(-300*time.Millisecond), others)
			b.answer(at(-200*time.Millisecond), others)
			b.fail(at(-100*time.Millisecond), others)
		}, false},
		{"down for longer, and tried again", func(b *fixture, others []model.EndpointName) {
			b.fail(at(-2*time.Second), others)
			b.fail(at(-100*time.Millisecond), others)
		}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newFixture(fixtureSize)
			id, d := b.submit(at(-3*time.Second), lookup())
			others := slices.DeleteFunc(b.names(), func(name model.EndpointName) bool { return name == d.Endpoint })
			c.explain(b, others[:5])
			b.Finish(at(0), id, balance.Result{Failure: balance.FailureBroken})
			b.answer(at(10*time.Millisecond), others[5:8])
			must.Eq(t, c.own, b.IsOwnFailure(d.Endpoint, at(0)))
		})
	}
}

// fixtureSize is the number of engines, and that of services, of the fixture of a test.
const fixtureSize = 8

// names returns the endpoints of a fixture of fixtureSize.
func (b *fixture) names() []model.EndpointName {
	var out []model.EndpointName
	for i := range fixtureSize {
		out = append(out, model.EndpointName(fmt.Sprintf("engines-%d", i)), model.EndpointName(fmt.Sprintf("services-%d", i)))
	}
	return out
}

// check records a check of each of the endpoints.
func (b *fixture) check(now time.Time, names []model.EndpointName, reached bool) {
	for _, name := range names {
		b.StartCheck(now, name)
		b.RecordCheck(now, name, reached)
	}
}

func (b *fixture) fail(now time.Time, names []model.EndpointName)   { b.check(now, names, false) }
func (b *fixture) answer(now time.Time, names []model.EndpointName) { b.check(now, names, true) }

// crash records that the endpoints have crashed.
func (b *fixture) crash(now time.Time, names []model.EndpointName) {
	for _, name := range names {
		b.RecordCrash(now, now, model.Instance{Name: name})
	}
}
