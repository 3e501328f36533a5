package load

import (
	"context"
	"sync"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/clock"
)

// Run sends the plan's requests to the targets in turn and waits for all
// answers. It sends each request at its planned time, whether or not earlier
// ones have ended. When ctx ends, it sends no more requests, but waits for those
// in progress.
func Run(ctx context.Context, plan Plan, targets []Target) Results {
	r := newRecorder()
	runPlan(ctx, plan, targets, r)
	return r.computeResults()
}

// runPlan does what Run does, and records the requests in r.
func runPlan(ctx context.Context, plan Plan, targets []Target, r *recorder) {
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
		r.begin()
		running.Go(func() {
			t := &timings{}
			r.end(a.entry.Class, t, c.send(context.WithoutCancel(ctx), target, a, t))
		})
	}
}
