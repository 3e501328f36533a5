package host

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestLongListsAreReadLessOften(t *testing.T) {
	for entries, want := range map[int]time.Duration{
		0:    time.Second,
		16:   time.Second,
		1600: 32 * time.Second,
	} {
		must.Eq(t, want, listInterval(time.Second, entries), must.Sprint(entries))
	}
}
