package effects

import (
	"testing"

	"github.com/shoenig/test/must"
	"golang.org/x/time/rate"
)

func TestDomainsShareAppendRate(t *testing.T) {
	for domains, want := range map[int]rate.Limit{0: 25, 1: 25, 4: 18.75, 25: 3} {
		must.Eq(t, want, appendRate(domains), must.Sprint(domains))
		must.LessEq(t, rate.Limit(maxTotalAppendsPerSecond), appendRate(domains)*Partitions*rate.Limit(domains))
	}
}
