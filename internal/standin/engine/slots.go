package engine

import (
	"container/heap"
	"context"
	"sync"
)

// slots lets a number of requests run at once. Those that wait are served by
// priority, then in the order they came.
type slots struct {
	mu      sync.Mutex
	free    int
	total   int
	arrived int
	waiting waiters
}

type slotWaiter struct {
	priority int
	order    int
	index    int
	ready    chan struct{}
}

func newSlots(n int) *slots { return &slots{free: n, total: n} }

// acquire waits for a slot. It returns the context's error when ctx ends
// first.
func (s *slots) acquire(ctx context.Context, priority int) error {
	s.mu.Lock()
	if s.free > 0 {
		s.free--
		s.mu.Unlock()
		return nil
	}
	s.arrived++
	w := &slotWaiter{priority: priority, order: s.arrived, ready: make(chan struct{})}
	heap.Push(&s.waiting, w)
	s.mu.Unlock()
	select {
	case <-w.ready:
		return nil
	case <-ctx.Done():
		s.abandon(w)
		return ctx.Err()
	}
}

// abandon withdraws a waiter, or gives back the slot that it got meanwhile.
func (s *slots) abandon(w *slotWaiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-w.ready:
		s.releaseLocked()
	default:
		heap.Remove(&s.waiting, w.index)
	}
}

func (s *slots) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.releaseLocked()
}

func (s *slots) releaseLocked() {
	if s.waiting.Len() == 0 {
		s.free++
		return
	}
	w := heap.Pop(&s.waiting).(*slotWaiter)
	close(w.ready)
}

// load returns the numbers of running and waiting requests.
func (s *slots) load() (running, queued int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total - s.free, s.waiting.Len()
}

// waiters implements heap.Interface.
type waiters []*slotWaiter

func (w waiters) Len() int { return len(w) }

func (w waiters) Less(i, j int) bool {
	if w[i].priority != w[j].priority {
		return w[i].priority < w[j].priority
	}
	return w[i].order < w[j].order
}

func (w waiters) Swap(i, j int) {
	w[i], w[j] = w[j], w[i]
	w[i].index = i
	w[j].index = j
}

func (w *waiters) Push(x any) {
	item := x.(*slotWaiter)
	item.index = len(*w)
	*w = append(*w, item)
}

func (w *waiters) Pop() any {
	old := *w
	item := old[len(old)-1]
	*w = old[:len(old)-1]
	return item
}
