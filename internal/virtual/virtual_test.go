package virtual_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/virtual"
)

var short = virtual.Options{Seed: 7, Overload: 3, DigestDelay: 200 * time.Millisecond, Duration: 4 * time.Second}

func TestSameSeedGivesSameReport(t *testing.T) {
	first, err := json.Marshal(virtual.Compare(short))
	must.NoError(t, err)
	second, err := json.Marshal(virtual.Compare(short))
	must.NoError(t, err)
	must.Eq(t, string(first), string(second))
	must.StrContains(t, string(first), `"fifo_least_in_flight":{"classes":{"brittany_feed_order":{"tier":0,"idempotent":false,"offered":`)
}

func TestProtectedClassesAreNeverShedOrPreempted(t *testing.T) {
	r := virtual.Run(short)
	for name, c := range r.Classes {
		must.Positive(t, c.Offered)
		if c.Tier == 0 {
			must.Eq(t, 0, c.Shed+c.Preempted, must.Sprint(name))
		}
	}
	must.Positive(t, r.Classes["office_roster_draft"].Preempted)
}
