package admission

import "container/heap"

// deadlineHeap is a heap of the items of one account, ordered by deadline and
// then by push number.
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
	h[i].heapIndex = i
	h[j].heapIndex = j
}

// Push implements heap.Interface.
func (h *deadlineHeap) Push(x any) {
	it := x.(*Item)
	it.heapIndex = len(*h)
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

// Expiry orders queued items by their latest start.
type Expiry struct{ items expiryHeap }

// Add adds an item.
func (e *Expiry) Add(it *Item) { heap.Push(&e.items, it) }

// Remove removes an item. Items that were not added are ignored.
func (e *Expiry) Remove(it *Item) {
	if it.expiryIndex < len(e.items) && e.items[it.expiryIndex] == it {
		heap.Remove(&e.items, it.expiryIndex)
	}
}

// First returns the item with the earliest latest start, or nil.
func (e *Expiry) First() *Item {
	if len(e.items) == 0 {
		return nil
	}
	return e.items[0]
}

// expiryHeap is a heap of items ordered by latest start.
type expiryHeap []*Item

func (h expiryHeap) Len() int { return len(h) }

func (h expiryHeap) Less(i, j int) bool {
	return h[i].LatestStart.Before(h[j].LatestStart)
}

func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].expiryIndex = i
	h[j].expiryIndex = j
}

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) {
	it := x.(*Item)
	it.expiryIndex = len(*h)
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
