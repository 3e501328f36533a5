package loop_test

import (
	"context"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/loop"
)

// TestTickWhileAnEventIsApplied plays events that last until ticks are due. The race detector
// crashes if two loops poll the channels of a time.Ticker at once then.
func TestTickWhileAnEventIsApplied(t *testing.T) {
	const loops, rounds = 8, 20000
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		var applied atomic.Int64
		var ticked [loops]int
		for i := range loops {
			l := loop.New()
			running.Go(func() { l.Run(ctx, time.Millisecond, func(time.Time) { ticked[i]++ }) })
			running.Go(func() {
				for round := range int64(rounds) {
					l.Post(loop.Func(func(time.Time) {
						time.Sleep(1500 * time.Microsecond)
						meet(&applied, (round+1)*loops)
					}))
					time.Sleep(2 * time.Millisecond)
				}
			})
		}
		time.Sleep(rounds*2*time.Millisecond - time.Microsecond)
		cancel()
		running.Wait()
		must.Eq(t, loops*rounds, applied.Load())
		for i := range loops {
			must.Between(t, rounds, ticked[i], 2*rounds)
		}
	})
}

// meet adds one to count and returns when it has reached total.
func meet(count *atomic.Int64, total int64) {
	for count.Add(1); count.Load() < total; {
		runtime.Gosched()
	}
}
