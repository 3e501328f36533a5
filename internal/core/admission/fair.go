package admission

import (
	"container/heap"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// itemCost is what one request takes from its account's deficit. Nobody knows
// the length of an answer, so all requests of a class cost the same.
const itemCost = 1

// accountQueue holds the waiting requests of one account in one class.
type accountQueue struct {
	items   deadlineHeap
	share   int
	deficit int
	// turn says that the account got its quantum in this round.
	turn bool
}

// ClassQueue holds the waiting requests of one class. Accounts are served by
// deficit round robin weighted by share, so that the burst of one account
// lengthens only its own queue.
type ClassQueue struct {
	accounts map[model.AccountName]*accountQueue
	active   []*accountQueue
	cursor   int
	length   int
	shares   int
	order    uint64
	arrivals arrivalList
	// resumed holds requests that have run before.
	resumed accountQueue
}

// NewClassQueue returns an empty queue.
func NewClassQueue() *ClassQueue {
	return &ClassQueue{accounts: map[model.AccountName]*accountQueue{}}
}

// Len returns the number of waiting requests.
func (q *ClassQueue) Len() int { return q.length }

// AccountLen returns the number of waiting requests of an account.
func (q *ClassQueue) AccountLen(name model.AccountName) int {
	if a := q.accounts[name]; a != nil {
		return len(a.items)
	}
	return 0
}

// Ahead returns how many grants of the class come before a further request of
// the account.
func (q *ClassQueue) Ahead(name model.AccountName, share int) int {
	own := q.AccountLen(name)
	shares := q.shares
	if own == 0 {
		shares += share
	}
	byShare := (own+1)*shares/max(share, 1) - 1 + len(q.resumed.items)
	return min(q.length, byShare)
}

// Push adds an item of an account with the given share.
func (q *ClassQueue) Push(it *Item, share int) {
	a := &q.resumed
	if !it.Resumed {
		a = q.activate(it.Account, share)
	}
	q.order++
	it.order = q.order
	it.account = a
	heap.Push(&a.items, it)
	q.length++
	q.arrivals.add(it)
}

// activate returns the account's queue in the round.
func (q *ClassQueue) activate(name model.AccountName, share int) *accountQueue {
	a := q.accounts[name]
	if a == nil {
		a = &accountQueue{}
		q.accounts[name] = a
	}
	if len(a.items) == 0 {
		a.share = max(share, 1)
		q.active = append(q.active, a)
		q.shares += a.share
	}
	return a
}

// Next returns the item that round robin serves next, or nil.
func (q *ClassQueue) Next() *Item {
	if q.length == 0 {
		return nil
	}
	if len(q.resumed.items) > 0 {
		return q.resumed.items[0]
	}
	for {
		a := q.active[q.cursor]
		if !a.turn {
			a.turn = true
			a.deficit = min(a.deficit+a.share*itemCost, a.share*itemCost)
		}
		if a.deficit >= itemCost {
			return a.items[0]
		}
		a.turn = false
		q.cursor = (q.cursor + 1) % len(q.active)
	}
}

// Oldest returns the item that has waited longest, or nil.
func (q *ClassQueue) Oldest() *Item { return q.arrivals.oldest() }

// OldestWait returns how long the oldest item has waited.
func (q *ClassQueue) OldestWait(now time.Time) time.Duration {
	it := q.arrivals.oldest()
	if it == nil {
		return 0
	}
	return now.Sub(it.Enqueued)
}

// Take removes an item that is served and charges its account.
func (q *ClassQueue) Take(it *Item) {
	it.account.deficit -= itemCost
	q.Remove(it)
}

// Remove removes an item without charging its account.
func (q *ClassQueue) Remove(it *Item) {
	a := it.account
	if a == nil {
		return
	}
	heap.Remove(&a.items, it.position)
	it.account = nil
	q.length--
	if len(a.items) == 0 && a != &q.resumed {
		q.deactivate(a)
	}
}

func (q *ClassQueue) deactivate(a *accountQueue) {
	a.deficit = 0
	a.turn = false
	q.shares -= a.share
	for i, other := range q.active {
		if other != a {
			continue
		}
		q.active = append(q.active[:i], q.active[i+1:]...)
		if i < q.cursor {
			q.cursor--
		}
		break
	}
	if q.cursor >= len(q.active) {
		q.cursor = 0
	}
}

// arrivalEntry remembers an item with the order of its push, since an item can
// be pushed again after a preemption.
type arrivalEntry struct {
	item  *Item
	order uint64
}

// arrivalList keeps items in the order of their arrival. Items that are no
// longer queued are skipped, and dropped once they are the greater part.
type arrivalList struct {
	entries []arrivalEntry
	head    int
}

// minCompaction keeps short lists from being copied on every call.
const minCompaction = 64

func (l *arrivalList) add(it *Item) {
	l.entries = append(l.entries, arrivalEntry{item: it, order: it.order})
}

func (l *arrivalList) oldest() *Item {
	for l.head < len(l.entries) {
		e := l.entries[l.head]
		if e.item.Queued() && e.item.order == e.order {
			l.compact()
			return e.item
		}
		l.entries[l.head] = arrivalEntry{}
		l.head++
	}
	l.entries = l.entries[:0]
	l.head = 0
	return nil
}

func (l *arrivalList) compact() {
	if l.head < minCompaction || l.head*2 < len(l.entries) {
		return
	}
	n := copy(l.entries, l.entries[l.head:])
	clear(l.entries[n:])
	l.entries = l.entries[:n]
	l.head = 0
}
