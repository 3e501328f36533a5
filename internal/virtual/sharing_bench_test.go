package virtual_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/placement"
	"github.com/wigeonsail/wigeonsail/internal/virtual"
)

// BenchmarkSharing measures the grants that hosts sharing endpoints give
// wrongly, for each sharing mode, digest delay, and with and without isolated
// hosts. Run it with -benchtime 1x.
func BenchmarkSharing(b *testing.B) {
	modes := []struct {
		name    string
		sharing placement.Sharing
	}{
		{"digests", placement.SharingDigests},
		{"parts", placement.SharingByDemand},
		{"owner", placement.SharingOwner},
	}
	delays := []time.Duration{0, 200 * time.Millisecond, time.Second, 5 * time.Second}
	for _, mode := range modes {
		for _, delay := range delays {
			for _, isolate := range []bool{false, true} {
				b.Run(fmt.Sprintf("%s/delay=%s/cut=%t", mode.name, delay, isolate), func(b *testing.B) {
					benchSharing(b, virtual.Options{
						Seed: 1, Overload: 1.5, Duration: time.Minute,
						DigestDelay: delay, Sharing: mode.sharing, IsolateHosts: isolate,
					})
				})
			}
		}
	}
}

func benchSharing(b *testing.B, opts virtual.Options) {
	for range b.N {
		r := virtual.Run(opts)
		b.ReportMetric(100*r.Sharing.Overshoot, "%overshoot")
		b.ReportMetric(100*r.Sharing.Inversions, "%inverted")
		b.ReportMetric(r.Goodput, "tokens/s")
		protected, questions, n := 0.0, 0.0, 0.0
		for name, c := range r.Classes {
			switch {
			case c.Tier == 0:
				protected += c.Attained / 4
			case name == "office_question" || name == "brittany_question":
				questions += c.Attained / 2
			default:
				n++
			}
		}
		b.ReportMetric(100*protected, "%protected")
		b.ReportMetric(100*questions, "%questions")
	}
}
