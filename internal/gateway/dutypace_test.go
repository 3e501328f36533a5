package gateway

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// A holder that has made no calls for a time makes no more in the next second than the
// platform takes.
func TestCallsOfDutiesStayWithinThePaceInEachSecond(t *testing.T) {
	for perSecond := 1; perSecond <= 40; perSecond++ {
		d := Duties{CallsPerSecond: float64(perSecond)}
		limiter := d.newLimiter()
		calls := 0
		for elapsed := time.Duration(0); elapsed < time.Second; elapsed += time.Millisecond {
			if limiter.AllowN(at(10).Add(elapsed), 1) {
				calls++
			}
		}
		must.LessEq(t, perSecond, calls)
		must.Positive(t, calls)
	}
}
