package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/core/resume"
	"github.com/wigeonsail/wigeonsail/internal/loop"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

// breakFirst makes the endpoints break off the first attempt of one stream in each few after some
// events.
func (f *versionFleet) breakFirst(events, oneIn int) {
	f.endpoints.mu.Lock()
	defer f.endpoints.mu.Unlock()
	streams := 0
	f.endpoints.breakAfter = func(a port.RoutedAttempt) int {
		if a.LastEventID != "" {
			return 0
		}
		if streams++; streams%oneIn != 0 {
			return 0
		}
		return events
	}
}

// A stream begins at an endpoint that has just crashed and started again, breaks off and is
// taken up at another host. It must go on: the list shows which version the endpoint has had.
func TestStreamThatBeganSoonAfterACrashGoesOn(t *testing.T) {
	for _, versions := range [][]string{{"v1"}, {"v1", "v2"}} {
		synctest.Test(t, func(t *testing.T) {
			f := newVersionFleet(3)
			defer f.close()
			f.addVersions(3, versions...)
			f.run()
			time.Sleep(5 * time.Second)
			for range 4 {
				f.crash("e-v1-0")
				f.play(time.Second)
				f.restart("e-v1-0", "v1")
				// Endpoints that break off one stream after the other are paused.
				f.breakFirst(8, 4)
				f.play(2 * time.Second)
			}
			got := f.results()
			must.Zero(t, got.joined)
			must.Positive(t, f.endpoints.resumed)
			must.Eq(t, len(f.callers), got.complete)
		})
	}
}

// An idle endpoint crashes and starts again with another version, which no host notices before
// the list shows it. The streams that begin meanwhile belong to the new version.
func TestStreamOfAnEndpointThatStartedAgainUnnoticedIsNotJoined(t *testing.T) {
	for _, delay := range []time.Duration{0, 100 * time.Millisecond, 700 * time.Millisecond, 2 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			f := newVersionFleet(2)
			defer f.close()
			f.addVersions(2, "v1")
			f.addVersions(1, "v2")
			f.run()
			f.play(time.Second)
			time.Sleep(5 * time.Second)
			f.crash("e-v1-0")
			time.Sleep(2 * time.Second)
			f.restart("e-v1-0", "v2")
			time.Sleep(delay)
			f.breakFirst(10, 1)
			f.play(500 * time.Millisecond)
			must.Zero(t, f.results().joined, must.Sprint(delay))
		})
	}
}

// A stream is taken up at an endpoint that has started again with another version unnoticed.
func TestStreamDoesNotGoOnAtAnEndpointThatStartedAgainUnnoticed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newVersionFleet(2)
		defer f.close()
		f.addVersions(2, "v1")
		f.run()
		f.breakFirst(10, 1)
		time.Sleep(5 * time.Second)
		f.crash("e-v1-0")
		time.Sleep(10 * time.Millisecond)
		for range 10 {
			f.call(0)
		}
		f.restart("e-v1-0", "v2")
		must.Zero(t, f.results().joined)
	})
}

// An endpoint crashes just after streams have begun there on new connections, which other hosts report.
// It has had one start since the connections were opened, and its streams go on elsewhere.
func TestStreamThatBeganJustBeforeACrashGoesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newVersionFleet(4)
		defer f.close()
		f.addVersions(2, "v1")
		f.addVersions(1, "v2")
		f.run()
		f.endpoints.mu.Lock()
		f.endpoints.breakAfter = func(a port.RoutedAttempt) int {
			if a.LastEventID == "" && a.Endpoint == "e-v1-0" {
				return 3
			}
			return 0
		}
		f.endpoints.mu.Unlock()
		for range 60 {
			f.call(len(f.callers) % 4)
		}
		time.Sleep(3*versionedGap - versionedGap/2)
		f.crash("e-v1-0")
		got := f.results()
		must.Zero(t, got.joined)
		must.Positive(t, f.endpoints.resumed)
		must.Eq(t, len(f.callers), got.complete)
	})
}

// The report of a host that is not certain of a version, as older builds send it, says nothing.
func TestReportsWithoutAVersionAreIgnored(t *testing.T) {
	s := resume.New()
	now := time.Now()
	s.RecordReport(now, resume.Begin{Stream: 1, Origin: resume.Origin{Pool: "p"}})
	_, known := s.Origin(1)
	must.False(t, known)
	s.RecordReport(now, resume.Begin{Stream: 1, Origin: resume.Origin{Pool: "p", Software: "v1"}})
	origin, _ := s.Origin(1)
	must.Eq(t, "v1", origin.Software)
}

// The store does not answer: streams that break off go on at an endpoint of the pool's only
// version, unless their endpoint was found to be down before.
func TestStreamGoesOnWhileTheStoreIsDown(t *testing.T) {
	for _, crashed := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			f := newCuttableFleet(1)
			defer f.close()
			f.addVersions(3, "v1")
			f.run()
			if crashed {
				f.crash("e-v1-0")
				f.crash("e-v1-1")
				f.play(time.Second / 2)
			}
			f.stores["h0"].cut()
			g := f.gateways[0]
			g.loop.Post(loop.Func(func(time.Time) { g.control.recordListFailure() }))
			time.Sleep(time.Second)
			f.restart("e-v1-0", "v2")
			f.restart("e-v1-1", "v2")
			f.endpoints.mu.Lock()
			delete(f.endpoints.software, "e-v1-2")
			if !crashed {
				f.endpoints.software["e-v1-0"], f.endpoints.software["e-v1-1"] = "v1", "v1"
			}
			f.endpoints.mu.Unlock()
			f.breakFirst(5, 1)
			f.callers = nil
			f.play(time.Second / 2)
			got := f.results()
			must.Zero(t, got.joined)
			if !crashed {
				must.Eq(t, len(f.callers), got.complete)
			}
		})
	}
}
