package bench

import (
	"fmt"
	"testing"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/core/order"
)

// BenchmarkOrders does what a lease holder does in one tick: it takes a tenth
// of the engines' reports and looks for orders, by the number of engines.
func BenchmarkOrders(b *testing.B) {
	for _, engines := range []int{48, 480, 4800} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			var wanted []order.DesiredState
			for i := range engines {
				wanted = append(wanted, order.DesiredState{
					Endpoint: model.EndpointName(fmt.Sprintf("engine-%05d", i)), Address: "10.1.1.1:8000",
					Models: []model.ModelName{"model-00", "adapter-00"}, Role: "decode",
				})
			}
			report := order.Report{Models: []model.ModelName{"model-00", "adapter-00"}, Role: "decode"}
			p, heap := heapOf(func() *order.Planner {
				p := order.New(order.Options{LoadRetryAfter: time.Minute})
				p.SetDesired(wanted)
				for _, w := range wanted {
					p.ObserveReport(w.Endpoint, report)
				}
				return p
			})
			now := start
			b.ResetTimer()
			reportProcessor(b, func() {
				now = now.Add(250 * time.Millisecond)
				report.Made = now
				for _, w := range wanted[:engines/10] {
					p.ObserveReport(w.Endpoint, report)
				}
				p.SetDesired(wanted)
				p.TakeDue(now, 8)
			})
			b.ReportMetric(heap, "heap-B")
		})
	}
}
