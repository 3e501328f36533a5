package quarantine_test

import (
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/core/quarantine"
)

// suspects returns the suspects of a host with their numbers of crashes.
func suspects(s *quarantine.State) map[quarantine.Suspect]int {
	out := make(map[quarantine.Suspect]int)
	for _, e := range s.Suspects() {
		out[e.Suspect] = e.Crashes
	}
	return out
}

// drawReport returns a report of crashes, suspects and clears of a few seconds.
func drawReport(t *rapid.T, id *int) quarantine.Report {
	var out quarantine.Report
	second := func() time.Duration { return time.Duration(rapid.IntRange(0, 30).Draw(t, "s")) * time.Second }
	suspect := rapid.SampledFrom([]quarantine.Suspect{quarantine.Part(1), quarantine.Part(2), quarantine.Request(1), quarantine.Request(2)})
	for range rapid.IntRange(0, 6).Draw(t, "crashes") {
		*id++
		c := crash(*id, second(), rapid.SliceOfNDistinct(rapid.SampledFrom([]model.PartID{1, 2, 3}), 0, 2, rapid.ID).Draw(t, "parts")...)
		c.Request, c.Generation = model.Fingerprint(rapid.IntRange(1, 3).Draw(t, "request")), rapid.IntRange(1, 3).Draw(t, "generation")
		out.Crashes = append(out.Crashes, c)
	}
	for range rapid.IntRange(0, 1).Draw(t, "suspects") {
		out.Suspects = append(out.Suspects, quarantine.SuspectEvidence{
			Suspect: suspect.Draw(t, "suspect"), Evidence: quarantine.Evidence{Crashes: rapid.IntRange(1, 3).Draw(t, "count"), At: at(second())},
		})
	}
	for range rapid.IntRange(0, 1).Draw(t, "cleared") {
		out.Cleared = append(out.Cleared, quarantine.ClearedSuspect{Suspect: suspect.Draw(t, "cleared suspect"), At: at(second())})
	}
	return out
}

// In whatever order reports reach hosts, and however often, hosts that exchange what they know agree on the
// suspects, and reports that they have change nothing.
func TestHostsAgreeOnSuspects(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := at(31 * time.Second)
		id := 0
		var reports []quarantine.Report
		for range rapid.IntRange(1, 5).Draw(t, "reports") {
			reports = append(reports, drawReport(t, &id))
		}
		a, b := quarantine.New(), quarantine.New()
		for _, r := range reports {
			a.Merge(now, r)
		}
		for _, r := range rapid.Permutation(slices.Concat(reports, reports)).Draw(t, "order") {
			b.Merge(now, r)
		}
		for range 3 {
			// Old clears are no longer reported.
			for _, r := range reports {
				a.Merge(now, quarantine.Report{Cleared: r.Cleared})
				b.Merge(now, quarantine.Report{Cleared: r.Cleared})
			}
			a.Merge(now, b.Report(now))
			b.Merge(now, a.Report(now))
		}
		if !maps.Equal(suspects(a), suspects(b)) {
			t.Fatalf("hosts disagree: %v and %v", suspects(a), suspects(b))
		}
		if _, news := a.Merge(now, b.Report(now)); news {
			t.Fatal("a report of what a host knows is news to it")
		}
	})
}
