package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/virtual/fleet"
)

func TestX(t *testing.T) {
	for _, n := range []int{16, 90} {
		for _, surge := range []bool{true, false} {
			o := fleet.Brittany(n)
			o.Duration = 14 * time.Second
			o.Sharing.Far = 150 * time.Millisecond
			if n == 16 {
				o.Sharing.Far = 60 * time.Millisecond
			}
			if !surge {
				o.Surges = nil
			}
			r := fleet.Run(o)
			s := ""
			for _, k := range []string{"draft", "review", "question"} {
				for name, c := range r.Classes {
					if string(name) == k {
						s += fmt.Sprintf(" | %s %.3f in %d late %d left %d ref %d p50 %.0f p95 %.0f gap %.0f err %.2f %.2f", k, c.Worth, c.InTime, c.Late, c.Left, c.Refused, c.Median, c.P95, c.Gap, c.Error, c.Windows)
					}
				}
			}
			t.Logf("%d %v worth %.3f again %d moved %d%s", n, surge, r.Worth, r.ReadAgain, r.Moved, s)
		}
	}
}
