package balance

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
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
