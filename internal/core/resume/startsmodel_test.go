package resume_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/wigeonsail/wigeonsail/internal/core/directory"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/core/resume"
)

// modelStart is a start of the endpoint: when it begins and ends, when the store lists it, and
// its own clock's time of the start.
type modelStart struct {
	from, until, listed, born time.Duration
	software                  model.SoftwareVersion
}

// modelSource is a stream with the version that wrote it.
type modelSource struct {
	resume.Source
	software model.SoftwareVersion
}

// startsModel is one endpoint that starts again and again, and a host that reads its entries.
type startsModel struct {
	t      *rapid.T
	state  *resume.State
	starts []modelStart
	// read is when the host last read the list, seen the number of starts that it has seen.
	read time.Duration
	seen int
	// downFirst and downLast are when the host found the start that is listed to be down.
	downFirst, downLast time.Duration
	sources             []modelSource
	settled             int
}

func drawMS(t *rapid.T, name string, from, to int) time.Duration {
	return time.Duration(rapid.IntRange(from, to).Draw(t, name)) * time.Millisecond
}

// drawStarts draws starts that are listed within resume.StartReportTime, with clocks that are off
// by less than half a second.
func drawStarts(t *rapid.T) []modelStart {
	var out []modelStart
	at := time.Duration(0)
	for range rapid.IntRange(1, 6).Draw(t, "starts") {
		s := modelStart{from: at, until: at + drawMS(t, "up", 50, 8000), software: rapid.SampledFrom([]model.SoftwareVersion{"v1", "v2"}).Draw(t, "software")}
		s.listed = s.from + drawMS(t, "lag", 0, 499)
		s.born = s.from + drawMS(t, "skew", -499, 499)
		if s.listed >= s.until {
			// It ends before it can be listed.
			s.listed = s.until
		}
		at = s.until + drawMS(t, "down", 1, 4000)
		out = append(out, s)
	}
	return out
}

// readList reads the list at a time. After a gap the host sees only the newest entry.
func (m *startsModel) readList(now time.Duration, gap bool) {
	newest := m.seen
	for newest < len(m.starts) && m.starts[newest].listed <= now {
		newest++
	}
	if gap && m.seen > 0 {
		m.state.Interrupt(at(now))
		m.seen = max(m.seen, newest-1)
	}
	for ; m.seen < newest; m.seen++ {
		s := m.starts[m.seen]
		m.state.ObserveStart(at(now), directory.Entry{Name: "e", Pool: "p", Software: s.software, Started: at(s.born).UnixMilli()})
		m.downFirst, m.downLast = 0, 0
	}
	m.read = now
}

// running returns the start that serves at a time.
func (m *startsModel) running(now time.Duration) (modelStart, bool) {
	for _, s := range m.starts {
		if s.from <= now && now < s.until {
			return s, true
		}
	}
	return modelStart{}, false
}

// connect opens a connection, and begins a stream on it some time later.
func (m *startsModel) connect(now time.Duration) {
	s, up := m.running(now)
	if !up {
		if m.downLast == 0 || now-m.downLast > directory.RestartListTime {
			m.downFirst = now
		}
		m.downLast = now
		return
	}
	if m.seen == 0 {
		return
	}
	began := min(now+drawMS(m.t, "idle", 0, 5000), s.until-1)
	m.sources = append(m.sources, modelSource{resume.Source{Pool: "p", Endpoint: "e", RunningAt: at(now), BeganAt: at(began)}, s.software})
}

// check fails if a version is settled that did not write the stream.
func (m *startsModel) check() {
	view := resume.ListView{AsOf: at(m.read), Downtime: func(i model.Instance) (first, last time.Time) {
		if m.seen > 0 && m.downLast > 0 && i.Started == at(m.starts[m.seen-1].born).UnixMilli() {
			return at(m.downFirst), at(m.downLast)
		}
		return first, last
	}}
	for _, source := range m.sources {
		software, settlement := m.state.Version(view, source.Source)
		if settlement != resume.Settled {
			continue
		}
		m.settled++
		if software != source.software {
			m.t.Fatalf("%v settled as %s, written by %s; starts %v, read at %v", source.Source, software, source.software, m.starts, m.read)
		}
	}
}

// Whatever starts, lists, connections and gaps come in which order, a settled version is the one
// that wrote the stream.
func TestSettledVersionsAreThoseThatWroteTheStreams(t *testing.T) {
	settled := 0
	rapid.Check(t, func(t *rapid.T) {
		m := &startsModel{t: t, state: resume.New(), starts: drawStarts(t)}
		now := time.Duration(0)
		for range rapid.IntRange(5, 40).Draw(t, "steps") {
			now += drawMS(t, "wait", 1, 1500)
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0, 1, 2, 3:
				m.connect(now)
			case 4:
				m.readList(now, true)
			default:
				m.readList(now, false)
			}
			m.check()
		}
		settled += m.settled
	})
	if settled == 0 {
		t.Fatal("no version was settled")
	}
	t.Logf("%d versions settled", settled)
}
