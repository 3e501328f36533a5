package host

import (
	"context"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/loop"
)

// tickEvery is the time between ticks of the control loop.
const tickEvery = 10 * time.Millisecond

// event is an input of the host's control state.
type event interface {
	apply(now time.Time, c *control)
}

// controlLoop is the host's end of the control loop, which effects and orders
// share.
type controlLoop struct {
	*loop.Loop
	control *control
}

// bind ties an event to the state that it is for.
func (l *controlLoop) bind(ev event) loop.Event {
	return loop.Func(func(now time.Time) { ev.apply(now, l.control) })
}

// offer hands over an event without waiting; see loop.Loop.Offer.
func (l *controlLoop) offer(ev event) bool {
	return l.TryPost(l.bind(ev))
}

// post hands over an event that must not be lost; see loop.Loop.Post.
func (l *controlLoop) post(ev event) {
	l.Post(l.bind(ev))
}

// run applies events until ctx ends.
func (l *controlLoop) run(ctx context.Context) {
	l.Run(ctx, tickEvery, l.control.tick)
}
