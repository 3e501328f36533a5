// Package loop runs the single goroutine that owns all control state of a host.
// Other goroutines send it events through a bounded queue.
package loop

import (
	"context"
	"time"
)

// maxQueuedEvents limits the number of queued events.
const maxQueuedEvents = 16384

// Event changes or reads the control state. Apply must not do I/O or block.
type Event interface {
	Apply(now time.Time)
}

// Func is a function used as an event.
type Func func(now time.Time)

// Apply implements Event.
func (f Func) Apply(now time.Time) { f(now) }

// Loop applies events one at a time.
type Loop struct {
	events  chan Event
	stopped chan struct{}
}

// New returns a Loop that applies nothing until Run is called.
func New() *Loop {
	return &Loop{
		events:  make(chan Event, maxQueuedEvents),
		stopped: make(chan struct{}),
	}
}

// TryPost queues an event without blocking. It returns false when the queue is
// full or the loop has ended.
func (l *Loop) TryPost(ev Event) bool {
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

// Post queues an event that must not be lost. It blocks while the queue is
// full. After the end of the loop it does nothing.
func (l *Loop) Post(ev Event) {
	select {
	case l.events <- ev:
	case <-l.stopped:
	}
}

// Stopped returns a channel that is closed when the loop has ended.
func (l *Loop) Stopped() <-chan struct{} { return l.stopped }

// Run applies events, and calls tick once per interval every, until ctx ends.
// It must be called only once.
func (l *Loop) Run(ctx context.Context, every time.Duration, tick func(now time.Time)) {
	defer close(l.stopped)
	t := newTicker(every)
	defer t.stop()
	for {
		select {
		case <-ctx.Done():
			return
		case ev := <-l.events:
			ev.Apply(time.Now())
		case <-t.ticks:
			now := time.Now()
			t.scheduleNext(now)
			tick(now)
		}
	}
}
