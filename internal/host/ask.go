package host

import (
	"context"
	"time"
)

// askEvent reads something of the control state.
type askEvent[T any] struct {
	read  func(now time.Time, c *control) T
	reply chan T
}

func (e askEvent[T]) apply(now time.Time, c *control) { e.reply <- e.read(now, c) }

// ask lets the control loop run read, which must not wait, and returns its
// result.
func ask[T any](ctx context.Context, h *Host, read func(now time.Time, c *control) T) (T, error) {
	var none T
	reply := make(chan T, 1)
	if !h.loop.offer(askEvent[T]{read: read, reply: reply}) {
		return none, unavailable("the host is overloaded or has stopped", retryAfterFailure, nil)
	}
	select {
	case result := <-reply:
		return result, nil
	case <-ctx.Done():
		return none, unavailable("the call ended before the host answered", retryAfterFailure, ctx.Err())
	case <-h.loop.Stopped():
		return none, unavailable("the host has stopped", 0, nil)
	}
}

// background runs work outside the control loop until the host closes.
func (h *Host) background(work func(ctx context.Context)) {
	h.workers.Go(func() { work(h.ctx) })
}
