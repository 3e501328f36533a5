package usage

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

var start = time.Unix(1_700_000_000, 0)

var windows = Windows{Length: 5 * time.Second, Due: 10 * time.Second}

// at returns the time that many seconds after start, the beginning of a window.
func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

func TestClockFollowsMostHosts(t *testing.T) {
	cases := []struct {
		name string
		own  float64
		// peers are the differences of the other hosts' clocks to the true time, want that
		// of the corrected clock.
		peers []float64
		want  float64
	}{
		{"alone", 7, nil, 7},
		{"ahead of two", 7, []float64{0, 0.05}, 0.05},
		{"behind", -3, []float64{0, 0, 0}, 0},
		{"one of three has jumped", 0, []float64{0.02, -5}, 0},
		{"most have jumped", 0, []float64{4, 4, 0}, 0},
		{"small difference stays", 0.1, []float64{0, 0, 0}, 0.1},
		{"two that differ", 2, []float64{0}, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			clock := NewClock(start, at(c.own))
			for i, offset := range c.peers {
				clock.ObservePeer(at(1), string(rune('a'+i)), at(1+offset))
			}
			clock.Correct(at(2), clock.At(at(2)))
			must.InDelta(t, c.want, clock.At(at(3)).Sub(at(3)).Seconds(), 0.001)
		})
	}
}

func TestClockIgnoresAWallClockThatJumps(t *testing.T) {
	clock := NewClock(start, start)
	must.Zero(t, clock.Correct(at(1), at(8)))
	must.Eq(t, at(2), clock.At(at(2)))
	clock.Correct(at(3), at(3.05))
	must.Eq(t, at(4.05), clock.At(at(4)))
}

func TestClockForgetsSilentHosts(t *testing.T) {
	clock := NewClock(start, start)
	clock.ObservePeer(start, "a", at(9))
	clock.ObservePeer(start, "b", at(9))
	must.Zero(t, clock.Correct(at(6), at(6)))
}

// Records reach a host in any order, more than once, and in parts. The total is that of the
// last counts of each source.
func TestTotalDoesNotDependOnTheOrderOfRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sources := []Source{{Host: "h1", Incarnation: 1}, {Host: "h1", Incarnation: 2}, {Host: "h2", Incarnation: 1}}
		accounts := []model.AccountName{"a", "b", "c"}
		counting, want := NewTable(), make(Counts)
		change := make(map[Source]int64)
		var sent []Record
		for range rapid.IntRange(0, 60).Draw(t, "requests") {
			source := rapid.SampledFrom(sources).Draw(t, "source")
			account := rapid.SampledFrom(accounts).Draw(t, "account")
			counting.Add(source, "north", 7, account)
			want[account]++
			if rapid.Bool().Draw(t, "sent") {
				sent = append(sent, counting.ChangedSince(source, 0, change[source])...)
				change[source] = counting.Changes()
			}
		}
		for _, source := range sources {
			sent = append(sent, counting.ChangedSince(source, 0, change[source])...)
		}
		sent = append(sent, sent...)
		received := NewTable()
		for _, i := range rapid.Permutation(indexes(len(sent))).Draw(t, "order") {
			received.Merge("north", sent[i])
		}
		must.Eq(t, want, received.Total(7))
		merged := NewTable()
		for _, rec := range MergeRecords(sent[:len(sent)/2], sent[len(sent)/2:]) {
			merged.Merge("north", rec)
		}
		must.Eq(t, want, merged.Total(7))
	})
}

func indexes(n int) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = i
	}
	return out
}

// A failure domain counts once, whether its hosts or its relays have sent its counts.
func TestTotalOfDomains(t *testing.T) {
	relay := NewTable()
	relay.Add(Source{Host: "h1"}, "north", 7, "a")
	relay.Add(Source{Host: "h2"}, "north", 7, "a")
	relay.Add(Source{Host: "h2"}, "north", 7, "b")
	relay.Add(Source{Host: "h9"}, "south", 7, "a")
	sums := relay.DomainChangedSince("north", 0, 0)
	must.Eq(t, []Record{{Source: DomainSource("north"), Window: 7, Counts: Counts{"a": 2, "b": 1}}}, sums)

	holder := NewTable()
	holder.Add(Source{Host: "h9"}, "south", 7, "a")
	holder.Merge("north", sums[0])
	must.Eq(t, Counts{"a": 3, "b": 1}, holder.Total(7))
	holder.Merge("north", Record{Source: Source{Host: "h1"}, Window: 7, Counts: Counts{"a": 1}})
	must.Eq(t, Counts{"a": 3, "b": 1}, holder.Total(7), must.Sprint("h1 is part of the sum"))
	must.MapEmpty(t, holder.Total(8))
	holder.Forget(8)
	must.MapEmpty(t, holder.Total(7))
}

func TestDomainSumsOfChangedAccounts(t *testing.T) {
	relay := NewTable()
	relay.Add(Source{Host: "h1"}, "north", 7, "a")
	relay.Add(Source{Host: "h2"}, "north", 7, "b")
	change := relay.Changes()
	must.SliceEmpty(t, relay.DomainChangedSince("north", 0, change))
	relay.Add(Source{Host: "h2"}, "north", 7, "a")
	must.Eq(t, Counts{"a": 2}, relay.DomainChangedSince("north", 0, change)[0].Counts)
	must.SliceEmpty(t, relay.DomainChangedSince("north", 8, 0))
}

func TestNextReport(t *testing.T) {
	first := windows.Of(start)
	none := func(Window) bool { return false }
	only := func(offsets ...Window) func(Window) bool {
		return func(w Window) bool {
			for _, o := range offsets {
				if w == first+o {
					return true
				}
			}
			return false
		}
	}
	cases := []struct {
		name            string
		now, lost       float64
		covered         Window
		isCovered       bool
		fixed, reported func(Window) bool
		// want is the window to report, counted from the first one; -1 for none.
		want Window
		// leftOut reports whether the first window is left out.
		leftOut bool
	}{
		{"the window has not settled", 7.4, 0, 0, false, none, none, -1, false},
		{"the first window", 7.6, 0, 0, false, none, none, 0, false},
		{"it is reported", 7.6, 0, 0, false, only(0), only(0), -1, false},
		{"it is fixed", 7.6, 100, 0, false, only(0), none, 0, false},
		{"the oldest one first", 17.6, 0, 0, false, none, none, 0, false},
		{"the next one", 17.6, 0, 0, false, only(0), only(0), 1, false},
		{"none once a later one is fixed", 17.6, 0, 0, false, only(2), none, 2, false},
		{"a report may be lost", 12.6, 7.6, 0, false, none, none, 1, true},
		{"no report was possible then", 12.6, 6.9, 0, false, none, none, 0, false},
		{"later reports are known", 17.6, 17.6, 1, true, only(1), only(1), 2, true},
		{"too old", 31, 0, 0, false, none, none, 1, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			knowledge := Knowledge{
				LostAt: at(c.lost), Covered: first + c.covered, IsCovered: c.isCovered, IsFixed: c.fixed,
				IsReported: func(w Window) bool { return w < first || c.reported(w) },
			}
			got, ok := windows.NextReport(at(c.now), knowledge)
			must.Eq(t, c.want >= 0, ok)
			must.Eq(t, c.leftOut, windows.IsLeftOut(first, knowledge))
			if ok {
				must.Eq(t, c.want, got-first)
			}
		})
	}
}
