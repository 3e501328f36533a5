// Package loop runs the one goroutine that owns all control state of a host.
// Everything else hands it events through a bounded queue.
package loop

import (
	"context"
	"time"
)

// maxQueuedEvents bounds the events that wait.
const maxQueuedEvents = 16384

// Event is an input of the control state. Apply does no I/O and never waits.
type Event interface {
	Apply(now time.Time)
}

// Func is an event that calls a function.
type Func func(now time.Time)

// Apply implements Event.
func (f Func) Apply(now time.Time) { f(now) }

// Loop applies events one after another.
type Loop struct {
	events  chan Event
	stopped chan struct{}
}

// New returns a loop that applies nothing until Run.
func New() *Loop {
	return &Loop{
		events:  make(chan Event, maxQueuedEvents),
		stopped: make(chan struct{}),
	}
}

// Offer hands over an event without waiting. It returns false when the queue
// is full or the loop has ended.
func (l *Loop) Offer(ev Event) bool {
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

// Post hands over an event that must not be lost. It waits while the queue is
// full. After the end of the loop it does nothing.
func (l *Loop) Post(ev Event) {
	select {
	case l.events <- ev:
	case <-l.stopped:
	}
}

// Stopped is closed when the loop has ended.
func (l *Loop) Stopped() <-chan struct{} { return l.stopped }

// Run applies events, and calls tick at regular times, until ctx ends. It runs
// once.
func (l *Loop) Run(ctx context.Context, every time.Duration, tick func(now time.Time)) {
	defer close(l.stopped)
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case ev := <-l.events:
			ev.Apply(time.Now())
		case now := <-ticker.C:
			tick(now)
		}
	}
}
