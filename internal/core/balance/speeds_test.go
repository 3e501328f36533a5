package balance_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/core/balance"
	"github.com/wigeonsail/wigeonsail/internal/core/directory"
	"github.com/wigeonsail/wigeonsail/internal/core/enginespeed"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// answerAll lets the host send requests to idle engines, of which slow takes five
// times as long as the others, until each has answered some.
func (b *fixture) answerAll(now time.Time, slow model.EndpointName) time.Time {
	for i := range 60 {
		req := draft(0)
		req.Prompt = prompt(model.PartID(1000+i), 1, 6000)
		id, d := b.submit(now, req)
		took := 200 * time.Millisecond
		if d.Endpoint == slow {
			took *= 5
		}
		now = now.Add(took)
		b.RecordFirstResponse(now, id)
		b.Finish(now, id, balance.Result{})
	}
	return now
}

// One host learns that an engine is slow. Another one that has never used it expects
// so after a report, and forgets it when the endpoint restarts.
func TestSlowEngineIsKnownToOtherHosts(t *testing.T) {
	const slow = model.EndpointName("engines-1")
	a, b := newFixture(3), newFixture(3)
	now := a.answerAll(at(0), slow)
	reports := a.EngineSpeeds(now, false, 8)
	must.Len(t, 3, reports)
	b.ApplyEngineSpeeds(now, reports)
	expectedAt := func(name model.EndpointName) time.Duration {
		req := draft(0)
		req.Prompt = prompt(5000, 1, 6000)
		for i := range 3 {
			if other := model.EndpointName(fmt.Sprint("engines-", i)); other != name {
				req.Avoid = append(req.Avoid, other)
			}
		}
		id, d := b.submit(now, req)
		must.Eq(t, name, d.Endpoint)
		b.Finish(now, id, balance.Result{})
		return d.Expected
	}
	must.Greater(t, 2*expectedAt("engines-0"), expectedAt(slow))

	// What is known of another start does not apply.
	reports[0].Instance.Started++
	c := newFixture(3)
	c.ApplyEngineSpeeds(now, reports[:1])
	must.Len(t, 0, c.EngineSpeeds(now, true, 8))
}

// A host reports its own observations, the newest first, and a relay also what it has
// adopted. The number of reports is bounded, and old ones are left out.
func TestSpeedReportsAreBounded(t *testing.T) {
	b := newFixture(20)
	var reports []balance.EngineSpeed
	for i := range 20 {
		reports = append(reports, balance.EngineSpeed{
			Instance: model.Instance{Name: model.EndpointName(fmt.Sprint("engines-", i))},
			Estimate: enginespeed.Estimate{PrefillMS: 0.05, Weight: 5},
		})
	}
	b.ApplyEngineSpeeds(at(0), reports)
	must.Len(t, 0, b.EngineSpeeds(at(0), false, 8))
	must.Len(t, 8, b.EngineSpeeds(at(0), true, 8))
	must.Len(t, 0, b.EngineSpeeds(at(time.Minute), true, 8))
	b.Apply(directory.Change{Entry: directory.Entry{Name: "engines-3"}, Removed: true})
	must.Len(t, 19, b.EngineSpeeds(at(0), true, 100))
}
