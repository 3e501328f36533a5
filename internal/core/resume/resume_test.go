package resume_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/wigeonsail/wigeonsail/internal/core/directory"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/core/resume"
)

func at(d time.Duration) time.Time { return time.Unix(1000, 0).Add(d) }

func begin(id uint64, software model.SoftwareVersion) resume.Begin {
	return resume.Begin{Stream: resume.StreamID(id), Origin: resume.Origin{Pool: "p", Software: software}}
}

// list returns entries of pool p with the given versions.
func list(versions ...model.SoftwareVersion) []directory.Entry {
	var out []directory.Entry
	for i, software := range versions {
		out = append(out, directory.Entry{Name: model.EndpointName(fmt.Sprint("e", i)), Pool: "p", Software: software})
	}
	return out
}

func TestBeginsAreKnownUntilStreamsAreTooOld(t *testing.T) {
	s := resume.New()
	s.RecordBegin(at(0), begin(1, "v1"))
	s.RecordReport(at(time.Second), begin(2, "v2"))
	for id, want := range map[resume.StreamID]model.SoftwareVersion{1: "v1", 2: "v2"} {
		origin, known := s.Origin(id)
		must.True(t, known)
		must.Eq(t, want, origin.Software)
	}
	_, known := s.Origin(3)
	must.False(t, known)
	s.Expire(at(10*time.Minute+time.Second/2), func(model.EndpointName) bool { return true })
	_, known = s.Origin(1)
	must.False(t, known)
	_, known = s.Origin(2)
	must.True(t, known)
}

// Callers may reuse the ID of a request, or name another caller's one.
func TestStreamsOfSeveralVersionsWithOneIDGoOnNowhere(t *testing.T) {
	s := resume.New()
	s.RecordBegin(at(0), begin(1, "v1"))
	s.RecordBegin(at(0), begin(1, "v1"))
	origin, _ := s.Origin(1)
	must.True(t, origin.IsKnown())
	s.RecordReport(at(0), begin(1, "v2"))
	origin, known := s.Origin(1)
	must.True(t, known)
	must.False(t, origin.IsKnown())
	s.RecordReport(at(0), begin(1, "v1"))
	origin, _ = s.Origin(1)
	must.False(t, origin.IsKnown(), must.Sprint("it stays ambiguous"))
}

func TestSoleVersionOfAPoolIsProvenOnceNoOlderStreamCanBeResumed(t *testing.T) {
	s := resume.New()
	must.Eq(t, []model.PoolName{"p"}, s.Observe(at(0), list("v1", "v1")))
	must.SliceEmpty(t, s.Observe(at(time.Second), list("v1")))
	_, sole := s.SoleVersion(at(resume.MinStreamLife-1), "p", resume.MinStreamLife)
	must.False(t, sole)
	software, sole := s.SoleVersion(at(resume.MinStreamLife), "p", resume.MinStreamLife)
	must.True(t, sole)
	must.Eq(t, "v1", software)
	_, sole = s.SoleVersion(at(resume.MinStreamLife), "p", 2*resume.MinStreamLife)
	must.False(t, sole, must.Sprint("streams may last longer"))

	now := 2 * resume.MinStreamLife
	s.Observe(at(now), list("v1", "v2"))
	_, sole = s.SoleVersion(at(now+resume.MinStreamLife), "p", resume.MinStreamLife)
	must.False(t, sole, must.Sprint("two versions serve"))
	s.Observe(at(3*now), list("v2"))
	_, sole = s.SoleVersion(at(3*now+resume.MinStreamLife-1), "p", resume.MinStreamLife)
	must.False(t, sole, must.Sprint("the other one has just left"))
	software, _ = s.SoleVersion(at(3*now+resume.MinStreamLife), "p", resume.MinStreamLife)
	must.Eq(t, "v2", software)
}

func TestNothingIsProvenOfVersionsThatAreNotKnown(t *testing.T) {
	s := resume.New()
	s.Observe(at(0), list("", ""))
	_, sole := s.SoleVersion(at(time.Hour), "p", resume.MinStreamLife)
	must.False(t, sole, must.Sprint("the endpoints state none"))
	s.Observe(at(0), list("v1"))
	s.Interrupt(at(time.Hour))
	_, sole = s.SoleVersion(at(time.Hour+time.Second), "p", resume.MinStreamLife)
	must.False(t, sole, must.Sprint("the list was not up to date"))
	_, sole = s.SoleVersion(at(time.Hour), "other", resume.MinStreamLife)
	must.False(t, sole)
}

func TestHistoryOfEarlierProcessesCountsForTheSameVersions(t *testing.T) {
	stored := resume.History{Software: []model.SoftwareVersion{"v1"}, Since: at(-time.Hour)}
	for _, c := range []struct {
		name  string
		adopt func(s *resume.State)
		want  bool
	}{
		{"before the list is read", func(s *resume.State) { s.Adopt("p", stored); s.Observe(at(0), list("v1")) }, true},
		{"after the list was read", func(s *resume.State) { s.Observe(at(0), list("v1")); s.Adopt("p", stored) }, true},
		{"another version is listed", func(s *resume.State) { s.Adopt("p", stored); s.Observe(at(0), list("v2")) }, false},
		{"two versions are listed", func(s *resume.State) { s.Adopt("p", stored); s.Observe(at(0), list("v1", "v2")) }, false},
		{"another version was listed meanwhile", func(s *resume.State) {
			s.Observe(at(0), list("v1", "v2"))
			s.Observe(at(0), list("v1"))
			s.Adopt("p", stored)
		}, false},
	} {
		s := resume.New()
		c.adopt(s)
		_, sole := s.SoleVersion(at(time.Second), "p", resume.MinStreamLife)
		must.Eq(t, c.want, sole, must.Sprint(c.name))
	}
}

// Streams are reported once, and only while other hosts cannot conclude where they began.
func TestBeginsAreReportedWhileNotProven(t *testing.T) {
	s := resume.New()
	s.Observe(at(-time.Hour), list("v1"))
	s.RecordBegin(at(0), begin(1, "v1"))
	s.RecordReport(at(0), begin(2, "v1"))
	must.SliceEmpty(t, s.TakeUnsent(at(0), true))
	s.RecordBegin(at(0), begin(3, "v1"))
	must.Len(t, 2, s.TakeUnsent(at(0), false), must.Sprint("the list is not up to date"))
	s.RecordBegin(at(0), begin(4, "v1"))
	s.Observe(at(time.Second), list("v1", "v2"))
	must.Eq(t, []resume.Begin{begin(4, "v1")}, s.TakeUnsent(at(time.Second), true))
	must.SliceEmpty(t, s.TakeUnsent(at(time.Second), true))
}

// In whatever order begins reach hosts, and however often, they agree on each stream.
func TestHostsAgreeOnOrigins(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		begins := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) resume.Begin {
			return begin(rapid.Uint64Range(1, 6).Draw(t, "id"), rapid.SampledFrom([]model.SoftwareVersion{"v1", "v2"}).Draw(t, "software"))
		}), 1, 20).Draw(t, "begins")
		a, b := resume.New(), resume.New()
		for _, x := range begins {
			a.RecordReport(at(0), x)
		}
		for _, x := range rapid.Permutation(append(begins, begins...)).Draw(t, "order") {
			b.RecordReport(at(0), x)
		}
		for id := range resume.StreamID(7) {
			origin, known := a.Origin(id)
			other, otherKnown := b.Origin(id)
			if origin != other || known != otherKnown {
				t.Fatalf("stream %d: %v %v and %v %v", id, origin, known, other, otherKnown)
			}
		}
	})
}

func TestStateIsBounded(t *testing.T) {
	s := resume.New()
	for i := range uint64(200000) {
		s.RecordBegin(at(0), begin(i, "v1"))
		s.Adopt(model.PoolName(fmt.Sprint(i)), resume.History{})
	}
	must.LessEq(t, 1<<12, len(s.TakeUnsent(at(0), true)))
	_, known := s.Origin(0)
	must.False(t, known)
	_, known = s.Origin(199999)
	must.True(t, known)
}

// BenchmarkTakeUnsent is the work for each digest while nothing has to be reported.
func BenchmarkTakeUnsent(b *testing.B) {
	s := resume.New()
	s.Observe(at(-time.Hour), list("v1"))
	for i := range uint64(1 << 12) {
		s.RecordBegin(at(0), begin(i, "v1"))
	}
	for b.Loop() {
		s.TakeUnsent(at(0), true)
	}
}
