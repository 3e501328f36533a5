package gateway

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/port"
)

const (
	// endlessResponses share the memory for requests of a host with 112 MB.
	endlessResponses = 200
	endlessMemory    = 112 << 20 * 45 / 100
	// endlessBytes is the size at which an endless response counts as broken.
	endlessBytes = 4 << 20
	// endlessTimeout is the time limit of their requests.
	endlessTimeout = 15 * time.Second
)

// readEndless reads an endless response into a buffer that doubles, until it is too large. It
// returns the error of the first buffer for which there is no memory.
func readEndless(ctx context.Context, hold port.MemoryHold) error {
	defer hold.Release()
	total := int64(0)
	defer func() { hold.FreeBuffer(total) }()
	for size := int64(4 << 10); total < 2*endlessBytes; size *= 2 {
		if err := hold.AddBuffer(ctx, size); err != nil {
			return err
		}
		total += size
	}
	return nil
}

// Endless responses at once must neither stop the requests of others nor wait for each other
// until their time limits.
func TestEndlessResponsesLeaveRoomForOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newLongFleet(endlessMemory)
		defer f.close()
		g := f.gateways[0]
		ctx, cancel := context.WithTimeout(t.Context(), endlessTimeout)
		defer cancel()
		ended := make(chan error, endlessResponses)
		var holds []port.MemoryHold
		for range endlessResponses {
			hold, refusal := g.HoldMemory(0)
			must.Nil(t, refusal)
			holds = append(holds, hold)
		}
		for _, hold := range holds {
			go func() { ended <- readEndless(ctx, hold) }()
		}
		refused, late := 0, 0
		for range 50 {
			time.Sleep(20 * time.Millisecond)
			hold, refusal := g.HoldMemory(4000)
			if refusal != nil {
				refused++
				continue
			}
			for _, limit := range []time.Duration{100 * time.Millisecond, 2 * time.Second} {
				waited, stop := context.WithTimeout(t.Context(), limit)
				if hold.AddBuffer(waited, 8<<10) != nil {
					late++
				}
				stop()
			}
			hold.Release()
		}
		timedOut := 0
		for range endlessResponses {
			if err := <-ended; errors.Is(err, context.DeadlineExceeded) {
				timedOut++
			}
		}
		must.Eq(t, []int{0, 0, 0}, []int{refused, late, timedOut}, must.Sprint("small requests refused, without memory; endless ones that waited for their time limit"))
		used, _ := g.memory.held()
		must.Zero(t, used)
	})
}
