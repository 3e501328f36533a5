// Package virtual compares the project's decisions with plain baselines on a
// virtual clock: seeded arrivals, small fakes of engines and services, and the
// same dispatcher that an entry host runs.
package virtual

import (
	"container/heap"
	"time"
)

// clock runs events in the order of their time.
type clock struct {
	now    time.Time
	events eventHeap
	order  uint64
}

type event struct {
	at    time.Time
	order uint64
	run   func()
}

func newClock() *clock { return &clock{now: time.Unix(0, 0).UTC()} }

// after runs an event once d has passed.
func (c *clock) after(d time.Duration, run func()) {
	c.order++
	heap.Push(&c.events, event{at: c.now.Add(max(d, 0)), order: c.order, run: run})
}

// every runs an event again and again until stop says so.
func (c *clock) every(first, period time.Duration, stop func() bool, run func()) {
	c.after(first, func() {
		run()
		if !stop() {
			c.every(period, period, stop, run)
		}
	})
}

// drain runs all events.
func (c *clock) drain() {
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
