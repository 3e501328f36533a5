package load

import (
	"context"
	"sync"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/clock"
)

// Run sends the plan's requests to the targets in turn, each at its time
// whether or not earlier ones have ended, and waits for all answers. When ctx
// ends, no more requests are sent; those in progress go on.
func Run(ctx context.Context, plan Plan, targets []Target) Figures {
	m := newMeasure()
	drive(ctx, plan, targets, m)
	return m.result()
}

func drive(ctx context.Context, plan Plan, targets []Target, m *measure) {
	c := newClient()
	defer c.close()
	var running sync.WaitGroup
	defer running.Wait()
	started := time.Now()
	for _, a := range plan.arrivals() {
		if !clock.Sleep(ctx, time.Until(started.Add(a.at))) {
			return
		}
		target := targets[a.number%len(targets)]
		m.begin()
		running.Go(func() {
			n := &notes{}
			m.end(a.mix.Class, n, c.send(context.WithoutCancel(ctx), target, a, n))
		})
	}
}
