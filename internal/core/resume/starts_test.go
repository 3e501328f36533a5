package resume_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/core/directory"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/core/resume"
)

// listed is an entry of endpoint e that is seen at a time.
type listed struct {
	seen, started time.Duration
	software      model.SoftwareVersion
	// gap reports that the list was not up to date before.
	gap bool
}

// listKnown is a list that is known as of a time.
func listKnown(asOf time.Duration) resume.ListView {
	return resume.ListView{AsOf: at(asOf), Downtime: func(model.Instance) (first, last time.Time) { return first, last }}
}

// The version that wrote a stream is that of the start which served its connection.
func TestVersionOfASource(t *testing.T) {
	const s = time.Second
	for _, c := range []struct {
		name          string
		list          []listed
		running, asOf time.Duration
		want          model.SoftwareVersion
		settlement    resume.Settlement
	}{
		{"one start", []listed{{seen: 0, software: "v1"}}, 10 * s, 11 * s, "v1", resume.Settled},
		{"the list is older", []listed{{seen: 0, software: "v1"}}, 10 * s, 10 * s, "", resume.Unsettled},
		{"never listed", nil, 10 * s, 20 * s, "", resume.Unprovable},
		{"listed later, started before", []listed{{seen: 12 * s, started: 9 * s, software: "v1"}}, 10 * s, 20 * s, "v1", resume.Settled},
		{"listed later, started about then", []listed{{seen: 12 * s, started: 10 * s, software: "v1"}}, 10 * s, 20 * s, "", resume.Unprovable},
		{"no version stated", []listed{{seen: 0}}, 10 * s, 20 * s, "", resume.Unprovable},
		{"started again before", []listed{{seen: 0, software: "v1"}, {seen: 11 * s, started: 9 * s, software: "v2"}}, 10 * s, 11 * s, "v2", resume.Settled},
		{"started again after", []listed{{seen: 0, software: "v1"}, {seen: 11 * s, started: 10*s + 600*time.Millisecond, software: "v2"}}, 10 * s, 11 * s, "v1", resume.Settled},
		{"started again about then", []listed{{seen: 0, software: "v1"}, {seen: 11 * s, started: 10 * s, software: "v2"}}, 10 * s, 11 * s, "", resume.Unprovable},
		{"same version about then", []listed{{seen: 0, software: "v1"}, {seen: 11 * s, started: 10 * s, software: "v1"}}, 10 * s, 11 * s, "v1", resume.Settled},
		{"same version after a gap", []listed{{seen: 0, software: "v1"}, {seen: 11 * s, started: 10 * s, software: "v1", gap: true}}, 10 * s, 11 * s, "", resume.Unprovable},
		{"started again long after a gap", []listed{{seen: 0, software: "v1"}, {seen: 30 * s, started: 30 * s, software: "v2", gap: true}}, 10 * s, 31 * s, "", resume.Unprovable},
		{"began after the gap", []listed{{seen: 0, software: "v1"}, {seen: 30 * s, started: 30 * s, software: "v2", gap: true}}, 30 * s, 31 * s, "v2", resume.Settled},
		{"many starts of one version", []listed{
			{seen: 0, software: "v1"}, {seen: 8 * s, started: 8 * s, software: "v1"}, {seen: 12 * s, started: 12 * s, software: "v1"},
		}, 10 * s, 13 * s, "v1", resume.Settled},
	} {
		t.Run(c.name, func(t *testing.T) {
			state := resume.New()
			for _, l := range c.list {
				if l.gap {
					state.Interrupt(at(l.seen))
				}
				state.ObserveStart(at(l.seen), directory.Entry{Name: "e", Pool: "p", Software: l.software, Started: at(l.started).UnixMilli()})
			}
			software, settlement := state.Version(listKnown(c.asOf), resume.Source{Pool: "p", Endpoint: "e", RunningAt: at(c.running)})
			must.Eq(t, c.settlement, settlement)
			must.Eq(t, c.want, software)
		})
	}
}

// A stream whose version is not certain yet is neither found nor reported until it is.
func TestPendingStreamIsReportedOnceItsVersionIsCertain(t *testing.T) {
	s := resume.New()
	s.ObserveStart(at(0), directory.Entry{Name: "e", Pool: "p", Software: "v1", Started: at(0).UnixMilli()})
	source := resume.Source{Pool: "p", Endpoint: "e", RunningAt: at(10 * time.Second)}
	begun := resume.SourcedStreams{Streams: []resume.StreamID{1, 2}, Source: source}
	s.RecordSource(at(11*time.Second), listKnown(10*time.Second), begun)
	must.Eq(t, []resume.SourcedStreams{begun}, s.TakeUnsentSources(at(11*time.Second), false))
	must.SliceEmpty(t, s.TakeUnsentSources(at(11*time.Second), false), must.Sprint("they are reported once"))
	_, known := s.Origin(1)
	must.False(t, known)
	pending, found := s.Pending(2)
	must.True(t, found)
	must.Eq(t, source, pending)
	must.SliceEmpty(t, s.TakeUnsent(at(11*time.Second), false))
	s.Settle(at(12*time.Second), listKnown(12*time.Second))
	_, found = s.Pending(2)
	must.False(t, found)
	must.Eq(t, []resume.Begin{begin(1, "v1"), begin(2, "v1")}, s.TakeUnsent(at(12*time.Second), false))
}

func TestStartsAreBoundedAndForgotten(t *testing.T) {
	s := resume.New()
	for i := range 100 {
		s.ObserveStart(at(time.Duration(i)*time.Second), directory.Entry{Name: "e", Software: "v1", Started: at(time.Duration(i) * time.Second).UnixMilli()})
	}
	source := resume.Source{Endpoint: "e", RunningAt: at(50 * time.Second)}
	_, settlement := s.Version(listKnown(200*time.Second), source)
	must.Eq(t, resume.Unprovable, settlement, must.Sprint("no older start is remembered"))
	source.RunningAt = at(150 * time.Second)
	_, settlement = s.Version(listKnown(200*time.Second), source)
	must.Eq(t, resume.Settled, settlement)
	s.Expire(at(time.Hour), func(model.EndpointName) bool { return true })
	_, settlement = s.Version(listKnown(2*time.Hour), source)
	must.Eq(t, resume.Settled, settlement, must.Sprint("it is still listed"))
	s.Expire(at(2*time.Hour), func(model.EndpointName) bool { return false })
	_, settlement = s.Version(listKnown(2*time.Hour), source)
	must.Eq(t, resume.Unprovable, settlement)
}

// A start that was found to be down is not the source of the next connections.
func TestStartThatWasDownIsNotTheSource(t *testing.T) {
	s := resume.New()
	s.ObserveStart(at(0), directory.Entry{Name: "e", Pool: "p", Software: "v1", Started: at(0).UnixMilli()})
	source := resume.Source{Pool: "p", Endpoint: "e", RunningAt: at(10 * time.Second), BeganAt: at(11 * time.Second)}
	view := func(asOf, down time.Duration) resume.ListView {
		return resume.ListView{AsOf: at(asOf), Downtime: func(i model.Instance) (first, last time.Time) {
			if i == (model.Instance{Name: "e", Started: at(0).UnixMilli()}) {
				first, last = at(down), at(down+time.Second)
			}
			return first, last
		}}
	}
	_, settlement := s.Version(view(12*time.Second, 9*time.Second), source)
	must.Eq(t, resume.Unsettled, settlement)
	software, _ := s.Version(view(12*time.Second, 11*time.Second), source)
	must.Eq(t, "v1", software, must.Sprint("it was down later"))
	_, settlement = s.Version(view(time.Minute, 9*time.Second), source)
	must.Eq(t, resume.Unsettled, settlement)
	later := source
	later.BeganAt = at(13 * time.Second)
	_, settlement = s.Version(view(12*time.Second, 9*time.Second), later)
	must.Eq(t, resume.Unsettled, settlement, must.Sprint("the list may not show the restart yet"))
	software, _ = s.Version(view(13*time.Second, 9*time.Second), later)
	must.Eq(t, "v1", software, must.Sprint("the connection is older than the stream"))
	software, _ = s.Version(view(12*time.Second, 6*time.Second), source)
	must.Eq(t, "v1", software, must.Sprint("it is still listed, so it was not down"))
	s.ObserveStart(at(12*time.Second), directory.Entry{Name: "e", Pool: "p", Software: "v2", Started: at(10 * time.Second).UnixMilli()})
	software, _ = s.Version(view(12*time.Second, 9*time.Second), source)
	must.Eq(t, "v2", software)
}
