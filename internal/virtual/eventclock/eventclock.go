// Package eventclock implements a virtual clock for discrete-event simulations.
package eventclock

import (
	"container/heap"
	"time"
)

// Clock runs events in the order of their time. Events of the same time run in
// the order in which they were scheduled. A Clock is not safe for concurrent
// use.
type Clock struct {
	now    time.Time
	events eventHeap
	// scheduled counts the events scheduled so far.
	scheduled uint64
}

type event struct {
	at    time.Time
	order uint64
	run   func()
}

// New returns a clock set to the Unix epoch.
func New() *Clock { return &Clock{now: time.Unix(0, 0).UTC()} }

// Now returns the virtual time, which is that of the current event.
func (c *Clock) Now() time.Time { return c.now }

// After schedules an event to run once d has passed. A negative d counts as 0.
func (c *Clock) After(d time.Duration, run func()) {
	c.scheduled++
	heap.Push(&c.events, event{at: c.now.Add(max(d, 0)), order: c.scheduled, run: run})
}

// Every schedules an event to run after first, and then every period until stop
// returns true. stop is called after each run.
func (c *Clock) Every(first, period time.Duration, stop func() bool, run func()) {
	c.After(first, func() {
		run()
		if !stop() {
			c.Every(period, period, stop, run)
		}
	})
}

// Drain runs events until none is left, including those that events schedule.
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
