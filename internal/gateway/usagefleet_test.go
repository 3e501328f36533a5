package gateway

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/core/usage"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

// countUsage lets all hosts count usage. wrongClock is how much the wall clock of the host
// h-0-1 is ahead.
func (f *fleet) countUsage(wrongClock time.Duration) {
	for address, c := range f.hosts {
		wall := func() time.Time { return f.now }
		if address == "h-0-1" {
			wall = func() time.Time { return f.now.Add(wrongClock) }
		}
		c.gateway.opts.Duties = &Duties{
			Held: []port.Duty{port.DutyUsage}, Lease: 3 * time.Second, UsageWindow: 5 * time.Second, UsageDue: 10 * time.Second,
			CallsPerSecond: 10, Steady: func() time.Time { return f.now }, Wall: wall,
		}
		c.duties = newDutyKeeper(c)
		c.usage = newUsageReporter(c)
	}
}

// count lets all hosts count a request of each of two accounts in the current window, and
// returns the window.
func (f *fleet) count() usage.Window {
	window := usage.Window(0)
	for _, c := range f.hosts {
		u := c.usage
		window = u.windows.Of(u.trueTime())
		u.add(f.now, "a")
		u.add(f.now, "b")
	}
	return window
}

// The hosts that may hold the duties know the counts of all hosts before a window is
// reported, also those of a host that has died half a second after it counted.
func TestUsageReachesReaders(t *testing.T) {
	cases := []struct {
		name          string
		domains, each int
	}{{"small", 3, 3}, {"domains of few hosts", 8, 5}, {"large", 4, 22}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(t, c.domains, c.each)
			f.countUsage(0)
			f.runReaders(8 * time.Second)
			window := f.count()
			f.runReaders(500 * time.Millisecond)
			f.stop("h-2-2")
			f.runReaders(2 * time.Second)
			readers := 0
			want := int64(c.domains * c.each)
			for address, host := range f.hosts {
				if host.gateway.reading.Load() {
					readers++
					must.Eq(t, usage.Counts{"a": want, "b": want}, host.usage.table.Total(window), must.Sprint(address))
				}
			}
			must.Between(t, 1, readers, 4)
		})
	}
}

// A host whose wall clock is wrong when it starts counts in the window of the others.
func TestWrongClockIsCorrected(t *testing.T) {
	f := newFleet(t, 3, 3)
	f.countUsage(7 * time.Second)
	f.runReaders(8 * time.Second)
	host := f.hosts["h-0-1"]
	must.Eq(t, 7*time.Second, host.usage.trueTime().Sub(f.now))
	host.usage.tick(f.now)
	must.Less(t, 100*time.Millisecond, host.usage.trueTime().Sub(f.now).Abs())
}

// What a host has counted before it was suspended for longer than two windows is sent when
// it goes on, also in a digest with all counts of recent windows.
func TestCountsFromBeforeASuspensionAreSent(t *testing.T) {
	f := newFleet(t, 1, 1)
	f.countUsage(0)
	u := f.hosts["h-0-0"].usage
	must.SliceEmpty(t, u.takeDirect(f.now))
	window := f.count()
	f.now = f.now.Add(11 * time.Second)
	must.Eq(t, []usage.Record{{Source: u.self, Window: window, Counts: usage.Counts{"a": 1, "b": 1}}}, u.takeDirect(f.now))
}
