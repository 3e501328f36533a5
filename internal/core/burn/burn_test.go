package burn

import (
	"errors"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/opconfig"
)

var start = time.Unix(1_800_000_000, 0)

func newRecorder(domain model.DomainName) *Recorder {
	r := NewRecorder(domain)
	r.SetClasses([]opconfig.Class{{
		Name:          "confirm",
		Objective:     0.99,
		FirstToken:    opconfig.Duration(time.Second),
		BetweenTokens: opconfig.Duration(30 * time.Millisecond),
	}})
	return r
}

func recordTimes(r *Recorder, at time.Time, times int, ev Event) {
	ev.Class = "confirm"
	for range times {
		r.Record(at, ev)
	}
}

// TestSummarizeAfterMerge merges the encoded counts of two hosts and checks each
// figure against a value computed by hand.
func TestSummarizeAfterMerge(t *testing.T) {
	now := start.Add(6 * time.Hour)
	recent := now.Add(-3 * time.Minute)
	north := newRecorder("north")
	recordTimes(north, recent, 980, Event{Result: ResultServed, FirstToken: time.Second, BetweenTokens: 30 * time.Millisecond, Tokens: 10})
	recordTimes(north, recent, 10, Event{Result: ResultServed, FirstToken: time.Second + 1, Tokens: 10})
	recordTimes(north, recent, 10, Event{Result: ResultServed, FirstToken: 1, BetweenTokens: 31 * time.Millisecond, Tokens: 10})
	recordTimes(north, recent, 50, Event{Result: ResultLimited})
	recordTimes(north, recent, 5, Event{Result: ResultCanceled})
	north.RecordWaste(recent, "confirm", WasteRetry, 3000)
	north.RecordWaste(recent, "confirm", WasteCallerGone, 2000)
	south := newRecorder("south")
	recordTimes(south, recent, 80, Event{Result: ResultServed, FirstToken: 1, Tokens: 10})
	recordTimes(south, recent, 14, Event{Result: ResultRefused})
	recordTimes(south, recent, 3, Event{Result: ResultFailed})
	recordTimes(south, recent, 2, Event{Result: ResultUnknown})
	recordTimes(south, recent, 1, Event{Result: ResultLost})

	var aggregate Aggregate
	for _, r := range []*Recorder{south, north} {
		data, err := Aggregate{Snapshot: r.Snapshot(now, 6*time.Hour), Answered: []model.HostID{"h"}}.Encode()
		must.NoError(t, err)
		part, err := Decode(data)
		must.NoError(t, err)
		aggregate.Add(part)
	}
	must.SliceLen(t, 2, aggregate.Answered)
	got := Summarize(aggregate.Snapshot, now, time.Hour)
	must.SliceLen(t, 3, got)
	all, n, s := got[0], got[1], got[2]

	must.Eq(t, Counts{Total: 1000, Good: 980, Late: 20, Limited: 50, Canceled: 5, Tokens: 10_000, GoodTokens: 9800, Wasted: [wasteCauseCount]uint64{2000, 0, 3000}}, n.Counts)
	must.Eq(t, Counts{Total: 100, Good: 80, Refused: 14, Failed: 3, Unknown: 2, Lost: 1, Tokens: 800, GoodTokens: 800}, s.Counts)
	must.Eq(t, 1100, all.Counts.Total)
	must.Eq(t, []model.DomainName{"", "north", "south"}, []model.DomainName{all.Domain, n.Domain, s.Domain})
	figures := []struct {
		name      string
		want, got float64
	}{
		{"attainment north", 0.98, n.Attainment},
		{"attainment south", 0.8, s.Attainment},
		{"attainment", 1060.0 / 1100, all.Attainment},
		{"budget left north", -1, n.BudgetLeft},
		{"budget left south", -19, s.BudgetLeft},
		{"goodput north", 980.0 / 3600, n.GoodPerSecond},
		{"token goodput north", 9800.0 / 3600, n.GoodTokensPerSecond},
		{"wasted share north", 5000.0 / 15_000, n.WastedShare},
		{"fast burn south", 20, s.Alerts[0].ShortBurn},
		{"slow burn north", 2, n.Alerts[1].LongBurn},
	}
	for _, f := range figures {
		must.InDelta(t, f.want, f.got, 1e-9, must.Sprint(f.name))
	}
	must.Eq(t, []CauseTokens{{"caller_gone", 2000}, {"retry", 3000}}, n.Wasted)
	must.False(t, n.Firing())
	must.True(t, s.Alerts[0].Firing)
	must.True(t, s.Alerts[1].Firing)
}

// TestAlertNeedsBothWindows evaluates one burst of failures, first while it is
// recent, then after it has left the short windows, and at last with long windows
// that many good requests dilute.
func TestAlertNeedsBothWindows(t *testing.T) {
	r := newRecorder("north")
	recordTimes(r, start, 50, Event{Result: ResultFailed})
	recordTimes(r, start.Add(-50*time.Minute), 50, Event{Result: ResultServed})
	firing := func(now time.Time) []bool {
		s := Summarize(r.Snapshot(now, 6*time.Hour), now, time.Hour)[0]
		return []bool{s.Alerts[0].Firing, s.Alerts[1].Firing}
	}
	must.Eq(t, []bool{true, true}, firing(start.Add(4*time.Minute)))
	must.Eq(t, []bool{false, true}, firing(start.Add(5*time.Minute)))
	must.Eq(t, []bool{false, false}, firing(start.Add(30*time.Minute)))
	recordTimes(r, start.Add(-45*time.Minute), 2000, Event{Result: ResultServed})
	must.Eq(t, []bool{false, false}, firing(start.Add(4*time.Minute)))
}

func TestMergeKeepsStrictestObjective(t *testing.T) {
	a := Snapshot{Rows: []Row{{Class: "confirm", Domain: "north", Objective: 0.999}}}
	b := Snapshot{Rows: []Row{{Class: "confirm", Domain: "north", Objective: 0.9}}}
	must.Eq(t, a, Merge(a, b))
}

// TestBucketIsReusedAfterRetention checks that a bucket is reused only after
// Retention and that events older than that are ignored.
func TestBucketIsReusedAfterRetention(t *testing.T) {
	r := newRecorder("north")
	good := Event{Result: ResultServed}
	recordTimes(r, start, 1, good)
	recordTimes(r, start.Add(Retention-bucketWidth), 2, good)
	total := func(now time.Time) uint64 {
		s := r.Snapshot(now, Retention)
		return s.Rows[0].SumWindow(now, Retention).Total
	}
	must.Eq(t, 3, total(start.Add(Retention-bucketWidth)))
	recordTimes(r, start.Add(Retention), 4, good)
	recordTimes(r, start, 1, good)
	must.Eq(t, 6, total(start.Add(Retention)))
	must.Eq(t, 4, r.Snapshot(start.Add(Retention), bucketWidth).Rows[0].Buckets[0].Good)
}

func TestNumberOfClassesIsBounded(t *testing.T) {
	r := NewRecorder("north")
	for i := range 10 * maxClasses {
		r.Record(start, Event{Class: model.ClassName(rune('a' + i)), Result: ResultFailed})
	}
	must.MapLen(t, maxClasses, r.rings)
	must.Eq(t, 10*maxClasses-maxClasses+1, r.rings[OtherClass].bucketAt(start).Failed)
}

func TestSummaryWithoutRequestsAndWithObjectiveOne(t *testing.T) {
	empty := Summarize(Snapshot{Rows: []Row{{Class: "confirm"}}}, start, time.Hour)
	must.Eq(t, 1.0, empty[0].Attainment)
	must.Eq(t, 1.0, empty[0].BudgetLeft)
	strict := Row{Objective: 1, Buckets: []Bucket{{Minute: bucketNumber(start), Counts: Counts{Total: 1}}}}
	must.Eq(t, 1e6, evaluateRule(strict, start, AlertRules[0]).ShortBurn)
}

func TestDecodeRejectsInvalidData(t *testing.T) {
	for _, data := range []string{"", "{", `{"snapshot":{"rows":[{"objective":2}]}}`} {
		_, err := Decode([]byte(data))
		var decode *DecodeError
		must.True(t, errors.As(err, &decode))
	}
}
