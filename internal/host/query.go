package host

import (
	"context"
	"time"
)

// queryEvent evaluates a function of the control state in the control loop.
type queryEvent[T any] struct {
	read  func(now time.Time, c *control) T
	reply chan T
}

func (e queryEvent[T]) apply(now time.Time, c *control) { e.reply <- e.read(now, c) }

// queryControl runs read in the control loop and returns its result. read must
// not block. It fails with a *port.OperatorError when ctx ends, or when the loop
// has stopped or its queue is full; read may run nevertheless.
func queryControl[T any](ctx context.Context, h *Host, read func(now time.Time, c *control) T) (T, error) {
	var none T
	reply := make(chan T, 1)
	if !h.loop.tryPost(queryEvent[T]{read: read, reply: reply}) {
		return none, unavailableError("the host is overloaded or has stopped", retryAfterFailure, nil)
	}
	select {
	case result := <-reply:
		return result, nil
	case <-ctx.Done():
		return none, unavailableError("the call ended before the host answered", retryAfterFailure, ctx.Err())
	case <-h.loop.Stopped():
		return none, unavailableError("the host has stopped", 0, nil)
	}
}

// background runs work in a goroutine of its own, whose context ends when the
// host closes.
func (h *Host) background(work func(ctx context.Context)) {
	h.workers.Go(func() { work(h.ctx) })
}
