package engine

import (
	"container/heap"
	"context"
	"sync"
)

// slots bounds the number of concurrently running requests. Waiting requests
// get slots by priority, lowest number first, then in order of arrival.
type slots struct {
	mu       sync.Mutex
	free     int
	total    int
	arrivals int
	waiting  waiters
}

type slotWaiter struct {
	priority int
	arrival  int
	index    int
	ready    chan struct{}
}

func newSlots(n int) *slots { return &slots{free: n, total: n} }

// acquire waits for a slot. It returns ctx's error if ctx is done first.
func (s *slots) acquire(ctx context.Context, priority int) error {
	s.mu.Lock()
	if s.free > 0 {
		s.free--
		s.mu.Unlock()
		return nil
	}
	s.arrivals++
	w := &slotWaiter{priority: priority, arrival: s.arrivals, ready: make(chan struct{})}
	heap.Push(&s.waiting, w)
	s.mu.Unlock()
	select {
	case <-w.ready:
		return nil
	case <-ctx.Done():
		s.cancelWait(w)
		return ctx.Err()
	}
}

// cancelWait removes a waiter from the queue, or releases its slot if it was
// granted one meanwhile.
func (s *slots) cancelWait(w *slotWaiter) {
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

// load returns the number of running and of queued requests.
func (s *slots) load() (running, queued int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total - s.free, s.waiting.Len()
}

// waiters is a heap of waiting requests, the next one to be served first. It
// implements heap.Interface.
type waiters []*slotWaiter

func (w waiters) Len() int { return len(w) }

func (w waiters) Less(i, j int) bool {
	if w[i].priority != w[j].priority {
		return w[i].priority < w[j].priority
	}
	return w[i].arrival < w[j].arrival
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
