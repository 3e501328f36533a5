package balance

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/core/attempt"
	"github.com/wigeonsail/wigeonsail/internal/core/directory"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// newBrittleBalancer returns a Balancer with two endpoints of two slots, of which the first
// has stated that it bears two rejections in a second.
func newBrittleBalancer(t *testing.T, now time.Time) *Balancer {
	b := New(Options{Domain: "north", Budget: attempt.SharedBudgetOptions{Window: 10 * time.Second}, Seed: 1})
	for _, name := range []model.EndpointName{"a", "b"} {
		b.Apply(directory.Change{Entry: directory.Entry{Name: name, Pool: "p", Address: string(name), Domain: "north", Slots: 2}})
	}
	instance := model.Instance{Name: "a"}
	must.Len(t, 1, b.ApplyBrittleReports(now, "other", []BrittleReport{{Instance: instance, Brittle: true, Rejections: 2, At: now}}))
	return b
}

// submitBrittle submits a request that is not urgent.
func submitBrittle(b *Balancer, now time.Time, id model.RequestID) Decision {
	return b.Submit(now, Request{ID: id, Pool: "p", Rank: 1, Target: time.Second, Arrived: now})
}

// Endpoints that have not responded since their start are filled like brittle ones.
func TestUnheardEndpointsOfBrittlePoolAreNotOverfilled(t *testing.T) {
	now := time.Unix(1000, 0)
	b := newBrittleBalancer(t, now)
	placed := 0
	for i := range 100 {
		now = now.Add(100 * time.Millisecond)
		d := submitBrittle(b, now, model.RequestID(rune('A'+i)))
		if d.IsRefused() {
			must.Eq(t, ReasonBrittle, d.Reason)
			continue
		}
		must.True(t, d.Brittle)
		placed++
	}
	must.Eq(t, 4, placed)
}

// Rejections that other hosts report stop this host's requests, for a second.
func TestRejectionsOfOtherHostsStopRequestsToBrittleEndpoint(t *testing.T) {
	now := time.Unix(1000, 0)
	b := newBrittleBalancer(t, now)
	b.Apply(directory.Change{Removed: true, Entry: directory.Entry{Name: "b"}})
	must.False(t, submitBrittle(b, now, "first").IsRefused())
	report := BrittleReport{Instance: model.Instance{Name: "a"}, Brittle: true, Rejections: 2, At: now.Add(time.Millisecond), Rejected: 1}
	b.ApplyBrittleReports(now, "other", []BrittleReport{report})
	must.True(t, submitBrittle(b, now, "second").IsRefused())
	now = now.Add(rejectionWindow + time.Millisecond)
	must.False(t, submitBrittle(b, now, "third").IsRefused())
}

// The end of brittleness ends all of this.
func TestEndOfBrittlenessOpensTheQueueAgain(t *testing.T) {
	now := time.Unix(1000, 0)
	b := newBrittleBalancer(t, now)
	now = now.Add(time.Second)
	ended := BrittleReport{Instance: model.Instance{Name: "a"}, At: now}
	must.Len(t, 1, b.ApplyBrittleReports(now, "other", []BrittleReport{ended}))
	for i := range 20 {
		must.False(t, submitBrittle(b, now, model.RequestID(rune('A'+i))).IsRefused())
	}
	must.Zero(t, b.CountBrittle())
	must.Len(t, 1, b.BrittleReports(now))
	must.Len(t, 0, b.BrittleReports(now.Add(brittleMemory+time.Second)))
}
