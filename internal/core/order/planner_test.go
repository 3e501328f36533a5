package order

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func at(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }

func planner(desired ...DesiredState) *Planner {
	p := New(Options{LoadRetryAfter: 30 * time.Second, RoleRetryAfter: 5 * time.Second})
	p.SetDesired(desired)
	return p
}

func report(second int, role string, models ...model.ModelName) Report {
	return Report{Made: at(second), Role: role, Models: models}
}

var testDesired = DesiredState{Endpoint: "e1", Address: "a:1", Models: []model.ModelName{"m", "n"}, Role: "decode"}

func TestOrdersReachDesiredState(t *testing.T) {
	p := planner(testDesired)
	must.SliceEmpty(t, p.TakeDue(at(0), 9))
	p.ObserveReport("e1", report(0, "decode", "m"))
	load := Order{Endpoint: "e1", Address: "a:1", Kind: LoadModel, Target: "n"}
	must.Eq(t, []Order{load}, p.TakeDue(at(0), 9))
	must.SliceEmpty(t, p.TakeDue(at(1), 9))
	p.Done(at(1), load)
	p.ObserveReport("e1", report(2, "prefill", "m", "n"))
	role := Order{Endpoint: "e1", Address: "a:1", Kind: ChangeRole, Target: "decode"}
	must.Eq(t, []Order{role}, p.TakeDue(at(2), 9))
	p.Done(at(3), role)
	p.ObserveReport("e1", report(4, "decode", "m", "n"))
	must.SliceEmpty(t, p.TakeDue(at(100), 9))
}

func TestOrderIsNotRepeatedOnStaleReportOrBeforeRetryDelay(t *testing.T) {
	p := planner(testDesired)
	p.ObserveReport("e1", report(0, "decode", "m"))
	due := p.TakeDue(at(0), 9)
	p.Done(at(5), due[0])
	p.ObserveReport("e1", report(4, "decode", "m"))
	must.SliceEmpty(t, p.TakeDue(at(60), 9))
	p.ObserveReport("e1", report(6, "decode", "m"))
	must.SliceEmpty(t, p.TakeDue(at(34), 9))
	must.Len(t, 1, p.TakeDue(at(35), 9))
}

func TestStaleOrderAfterSuccessIsCorrectedImmediately(t *testing.T) {
	p := planner(testDesired)
	p.ObserveReport("e1", report(0, "prefill", "m", "n"))
	due := p.TakeDue(at(0), 9)
	p.Done(at(1), due[0])
	p.ObserveReport("e1", report(2, "decode", "m", "n"))
	p.ObserveReport("e1", report(3, "prefill", "m", "n"))
	must.Eq(t, due, p.TakeDue(at(3), 9))
}

func TestStaleOrderBeforeReportedSuccessIsCorrectedAfterRetryDelay(t *testing.T) {
	p := planner(testDesired)
	p.ObserveReport("e1", report(0, "prefill", "m", "n"))
	due := p.TakeDue(at(0), 9)
	p.Done(at(1), due[0])
	p.ObserveReport("e1", report(5, "prefill", "m", "n"))
	must.SliceEmpty(t, p.TakeDue(at(5), 9))
	must.Eq(t, due, p.TakeDue(at(6), 9))
}

func TestOutdatedReportsAndRemovedEndpointsAreIgnored(t *testing.T) {
	p := planner(testDesired)
	p.ObserveReport("e1", report(5, "decode", "m", "n"))
	p.ObserveReport("e1", report(4, "prefill", "m", "n"))
	p.ObserveReport("other", report(5, "", "m"))
	must.SliceEmpty(t, p.TakeDue(at(5), 9))
	p.SetDesired(nil)
	must.MapEmpty(t, p.reports)
	must.MapEmpty(t, p.progress)
}

func TestTakeDueHonorsLimit(t *testing.T) {
	two := testDesired
	two.Endpoint = "e2"
	p := planner(testDesired, two)
	p.ObserveReport("e2", report(0, "decode"))
	p.ObserveReport("e1", report(0, "decode"))
	must.Eq(t, "e1", p.TakeDue(at(0), 1)[0].Endpoint)
	must.Eq(t, "e2", p.TakeDue(at(0), 1)[0].Endpoint)
	must.SliceEmpty(t, p.TakeDue(at(0), 1))
}
