package balance

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/core/directory"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// Times at which an endpoint was found to be down belong together unless an endpoint that was down
// would have been listed anew in between.
func TestDowntimesAreJoinedWhileTheyMayBeOne(t *testing.T) {
	at := func(s float64) time.Time { return time.Unix(1000, 0).Add(time.Duration(s * float64(time.Second))) }
	span := func(first, last float64) downtime { return downtime{at(first), at(last)} }
	for _, c := range []struct{ a, b, want downtime }{
		{downtime{}, span(1, 2), span(1, 2)},
		{span(1, 2), downtime{}, span(1, 2)},
		{span(1, 2), span(4, 4), span(1, 4)},
		{span(4, 4), span(1, 2), span(1, 4)},
		{span(1, 2), span(6, 7), span(6, 7)},
		{span(6, 7), span(1, 2), span(6, 7)},
		{span(1, 9), span(2, 3), span(1, 9)},
	} {
		got := c.a
		got.add(c.b)
		must.Eq(t, c.want.first, got.first)
		must.Eq(t, c.want.last, got.last)
	}
}

// Another host reports an endpoint until it has checked it again. A report on a young start may be on
// the one before, and is no downtime of this one.
func TestReportsOnYoungStartsAreNoDowntime(t *testing.T) {
	now := time.Unix(1000, 0)
	for age, want := range map[time.Duration]bool{3 * time.Second: false, 10 * time.Second: true} {
		b := New(Options{})
		entry := directory.Entry{Name: "e", Pool: "p", Started: now.Add(-age).UnixMilli()}
		b.Apply(directory.Change{Entry: entry})
		b.DoubtSoftware(now, []EndpointKey{KeyOf("e")})
		_, last := b.Downtime(model.Instance{Name: "e", Started: entry.Started})
		must.Eq(t, want, !last.IsZero())
	}
}
