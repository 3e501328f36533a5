// Package eventclock runs events on a virtual clock.
package eventclock

import (
	"container/heap"
	"time"
)

// Clock runs events in the order of their time.
type Clock struct {
	now    time.Time
	events eventHeap
	order  uint64
}

type event struct {
	at    time.Time
	order uint64
	run   func()
}

// New returns a clock at the beginning of time.
func New() *Clock { return &Clock{now: time.Unix(0, 0).UTC()} }

// Now returns the time of the current event.
func (c *Clock) Now() time.Time { return c.now }

// After runs an event once d has passed.
func (c *Clock) After(d time.Duration, run func()) {
	c.order++
	heap.Push(&c.events, event{at: c.now.Add(max(d, 0)), order: c.order, run: run})
}

// Every runs an event again and again until stop says so.
func (c *Clock) Every(first, period time.Duration, stop func() bool, run func()) {
	c.After(first, func() {
		run()
		if !stop() {
			c.Every(period, period, stop, run)
		}
	})
}

// Drain runs all events.
func (c *Clock) Drain() {
	for len(c.events) > 0 {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.run()
	}
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].order < h[j].order
	}
	return h[i].at.Before(h[j].at)
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	last := len(old) - 1
	e := old[last]
	old[last] = event{}
	*h = old[:last]
	return e
}
