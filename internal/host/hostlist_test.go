package host

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestHostListIntervalGrowsWithLength(t *testing.T) {
	for entries, want := range map[int]time.Duration{
		0:    time.Second,
		16:   time.Second,
		1600: 32 * time.Second,
	} {
		must.Eq(t, want, hostListInterval(time.Second, entries), must.Sprint(entries))
	}
}
