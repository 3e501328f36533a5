package admission

import "container/heap"

// deadlineHeap orders the items of one account, earliest deadline first.
type deadlineHeap []*Item

func (h deadlineHeap) Len() int { return len(h) }

func (h deadlineHeap) Less(i, j int) bool {
	if h[i].Deadline.Equal(h[j].Deadline) {
		return h[i].order < h[j].order
	}
	return h[i].Deadline.Before(h[j].Deadline)
}

func (h deadlineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].position = i
	h[j].position = j
}

// Push implements heap.Interface.
func (h *deadlineHeap) Push(x any) {
	it := x.(*Item)
	it.position = len(*h)
	*h = append(*h, it)
}

// Pop implements heap.Interface.
func (h *deadlineHeap) Pop() any {
	old := *h
	last := len(old) - 1
	it := old[last]
	old[last] = nil
	*h = old[:last]
	return it
}

// Expiry orders waiting items by their latest start.
type Expiry struct{ items expiryHeap }

// Add takes an item in.
func (e *Expiry) Add(it *Item) { heap.Push(&e.items, it) }

// Remove takes an item out; items that are not in are ignored.
func (e *Expiry) Remove(it *Item) {
	if it.expiry < len(e.items) && e.items[it.expiry] == it {
		heap.Remove(&e.items, it.expiry)
	}
}

// First returns the item with the earliest latest start, or nil.
func (e *Expiry) First() *Item {
	if len(e.items) == 0 {
		return nil
	}
	return e.items[0]
}

type expiryHeap []*Item

func (h expiryHeap) Len() int { return len(h) }

func (h expiryHeap) Less(i, j int) bool {
	return h[i].LatestStart.Before(h[j].LatestStart)
}

func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].expiry = i
	h[j].expiry = j
}

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) {
	it := x.(*Item)
	it.expiry = len(*h)
	*h = append(*h, it)
}

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	old := *h
	last := len(old) - 1
	it := old[last]
	old[last] = nil
	*h = old[:last]
	return it
}
