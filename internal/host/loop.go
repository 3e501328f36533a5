package host

import (
	"context"
	"time"
)

// maxQueuedEvents bounds the events that wait for the control loop.
const maxQueuedEvents = 16384

// tickEvery is the time between ticks of the control loop.
const tickEvery = 10 * time.Millisecond

// event is an input of the control loop.
type event interface {
	apply(now time.Time, c *control)
}

// loop is the one goroutine that owns all control state. Its events do no I/O
// and never wait.
type loop struct {
	events  chan event
	stopped chan struct{}
}

func newLoop() *loop {
	return &loop{
		events:  make(chan event, maxQueuedEvents),
		stopped: make(chan struct{}),
	}
}

// offer hands over an event without waiting. It returns false when the queue
// is full or the loop has ended.
func (l *loop) offer(ev event) bool {
	select {
	case <-l.stopped:
		return false
	default:
	}
	select {
	case l.events <- ev:
		return true
	default:
		return false
	}
}

// post hands over an event that must not be lost. It waits while the queue is
// full. After the end of the loop it does nothing.
func (l *loop) post(ev event) {
	select {
	case l.events <- ev:
	case <-l.stopped:
	}
}

// run applies events until ctx ends.
func (l *loop) run(ctx context.Context, c *control) {
	defer close(l.stopped)
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case ev := <-l.events:
			ev.apply(time.Now(), c)
		case now := <-ticker.C:
			c.tick(now)
		}
	}
}
