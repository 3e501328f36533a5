package bench

import (
	"fmt"
	"testing"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/core/order"
)

// BenchmarkOrders measures the work of a lease holder in one tick, by the number
// of engines: it processes reports of a tenth of the engines and determines the
// orders that are due.
func BenchmarkOrders(b *testing.B) {
	for _, engines := range []int{48, 480, 4800} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			var desired []order.DesiredState
			for i := range engines {
				desired = append(desired, order.DesiredState{
					Endpoint: model.EndpointName(fmt.Sprintf("engine-%05d", i)), Address: "10.1.1.1:8000",
					Models: []model.ModelName{"model-00", "adapter-00"}, Role: "decode",
				})
			}
			report := order.Report{Models: []model.ModelName{"model-00", "adapter-00"}, Role: "decode"}
			p, heap := measureHeap(func() *order.Planner {
				p := order.New(order.Options{LoadRetryAfter: time.Minute})
				p.SetDesired(desired)
				for _, d := range desired {
					p.ObserveReport(d.Endpoint, report)
				}
				return p
			})
			now := start
			b.ResetTimer()
			reportCPUTime(b, func() {
				now = now.Add(250 * time.Millisecond)
				report.Made = now
				for _, d := range desired[:engines/10] {
					p.ObserveReport(d.Endpoint, report)
				}
				p.SetDesired(desired)
				p.TakeDue(now, 8)
			})
			b.ReportMetric(heap, "heap-B")
		})
	}
}
