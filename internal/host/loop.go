package host

import (
	"context"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/loop"
)

// tickEvery is the interval between ticks of the control loop.
const tickEvery = 10 * time.Millisecond

// event is an input to the control loop. apply runs in the loop and may change
// the control state; it must not block.
type event interface {
	apply(now time.Time, c *control)
}

// controlLoop applies the host's events to its control state. The underlying
// loop also runs the events of the packages effects and orders.
type controlLoop struct {
	*loop.Loop
	control *control
}

// bind returns a loop event that applies ev to the control state.
func (l *controlLoop) bind(ev event) loop.Event {
	return loop.Func(func(now time.Time) { ev.apply(now, l.control) })
}

// tryPost queues an event without blocking; see loop.Loop.TryPost.
func (l *controlLoop) tryPost(ev event) bool {
	return l.TryPost(l.bind(ev))
}

// post queues an event that must not be lost; see loop.Loop.Post.
func (l *controlLoop) post(ev event) {
	l.Post(l.bind(ev))
}

// run applies events, and calls the control state's tick once per tickEvery, until
// ctx ends.
func (l *controlLoop) run(ctx context.Context) {
	l.Run(ctx, tickEvery, l.control.tick)
}
