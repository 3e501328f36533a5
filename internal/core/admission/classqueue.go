package admission

import (
	"container/heap"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// itemCost is what one request costs its account in deficit round robin. The
// length of a response is unknown, so all requests of a class cost the same.
const itemCost = 1

// accountQueue holds the queued requests of one account in one class.
type accountQueue struct {
	items   deadlineHeap
	share   int
	deficit int
	// hasQuantum reports whether the account has received its quantum in the
	// current round.
	hasQuantum bool
}

// ClassQueue holds the queued requests of one class. Accounts are served by
// deficit round robin weighted by share, so that a burst from one account
// lengthens only its own queue.
type ClassQueue struct {
	accounts map[model.AccountName]*accountQueue
	// activeAccounts are the accounts with queued requests in round robin
	// order, cursor the index of the current one, and activeShares the sum of
	// their shares.
	activeAccounts []*accountQueue
	cursor         int
	length         int
	activeShares   int
	// pushes counts the pushed items.
	pushes   uint64
	arrivals arrivalList
	// resumed holds the requests that have run before. They are served first.
	resumed accountQueue
}

// NewClassQueue returns an empty queue.
func NewClassQueue() *ClassQueue {
	return &ClassQueue{accounts: map[model.AccountName]*accountQueue{}}
}

// Len returns the number of queued requests.
func (q *ClassQueue) Len() int { return q.length }

// AccountLen returns the number of queued requests of an account.
func (q *ClassQueue) AccountLen(name model.AccountName) int {
	if a := q.accounts[name]; a != nil {
		return len(a.items)
	}
	return 0
}

// GrantsAhead returns the number of grants of the class that come before a
// further request of the account.
func (q *ClassQueue) GrantsAhead(name model.AccountName, share int) int {
	own := q.AccountLen(name)
	shares := q.activeShares
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
	q.pushes++
	it.order = q.pushes
	it.account = a
	heap.Push(&a.items, it)
	q.length++
	q.arrivals.add(it)
}

// activate returns the account's queue and adds it to the round if it is empty.
func (q *ClassQueue) activate(name model.AccountName, share int) *accountQueue {
	a := q.accounts[name]
	if a == nil {
		a = &accountQueue{}
		q.accounts[name] = a
	}
	if len(a.items) == 0 {
		a.share = max(share, 1)
		q.activeAccounts = append(q.activeAccounts, a)
		q.activeShares += a.share
	}
	return a
}

// Next returns the item to be served next without removing it, or nil. It
// advances the round robin to the account of the item.
func (q *ClassQueue) Next() *Item {
	if q.length == 0 {
		return nil
	}
	if len(q.resumed.items) > 0 {
		return q.resumed.items[0]
	}
	for {
		a := q.activeAccounts[q.cursor]
		if !a.hasQuantum {
			a.hasQuantum = true
			a.deficit = min(a.deficit+a.share*itemCost, a.share*itemCost)
		}
		if a.deficit >= itemCost {
			return a.items[0]
		}
		a.hasQuantum = false
		q.cursor = (q.cursor + 1) % len(q.activeAccounts)
	}
}

// Oldest returns the item that has been queued longest, or nil.
func (q *ClassQueue) Oldest() *Item { return q.arrivals.oldest() }

// OldestWait returns how long the oldest item has been queued; 0 for an empty
// queue.
func (q *ClassQueue) OldestWait(now time.Time) time.Duration {
	it := q.arrivals.oldest()
	if it == nil {
		return 0
	}
	return now.Sub(it.Enqueued)
}

// Serve removes an item that is being served and charges its account.
func (q *ClassQueue) Serve(it *Item) {
	it.account.deficit -= itemCost
	q.Remove(it)
}

// Remove removes an item without charging its account. Items that are not
// queued are ignored.
func (q *ClassQueue) Remove(it *Item) {
	a := it.account
	if a == nil {
		return
	}
	heap.Remove(&a.items, it.heapIndex)
	it.account = nil
	q.length--
	if len(a.items) == 0 && a != &q.resumed {
		q.deactivate(a)
	}
}

// deactivate removes an account without queued requests from the round.
func (q *ClassQueue) deactivate(a *accountQueue) {
	a.deficit = 0
	a.hasQuantum = false
	q.activeShares -= a.share
	for i, other := range q.activeAccounts {
		if other != a {
			continue
		}
		q.activeAccounts = append(q.activeAccounts[:i], q.activeAccounts[i+1:]...)
		if i < q.cursor {
			q.cursor--
		}
		break
	}
	if q.cursor >= len(q.activeAccounts) {
		q.cursor = 0
	}
}

// arrivalEntry is an item with its push number, since an item can be pushed
// again after a preemption.
type arrivalEntry struct {
	item  *Item
	order uint64
}

// arrivalList holds items in order of arrival. Entries of items that are no
// longer queued are skipped, and removed once they are more than half of the
// list.
type arrivalList struct {
	entries []arrivalEntry
	head    int
}

// minCompaction is the number of skipped entries below which the list is not
// compacted, so that short lists are not copied on every call.
const minCompaction = 64

// add appends an item that was pushed.
func (l *arrivalList) add(it *Item) {
	l.entries = append(l.entries, arrivalEntry{item: it, order: it.order})
}

// oldest returns the item that has been queued longest, or nil.
func (l *arrivalList) oldest() *Item {
	for l.head < len(l.entries) {
		e := l.entries[l.head]
		if e.item.IsQueued() && e.item.order == e.order {
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

// compact removes the skipped entries if they are more than half of the list.
func (l *arrivalList) compact() {
	if l.head < minCompaction || l.head*2 < len(l.entries) {
		return
	}
	n := copy(l.entries, l.entries[l.head:])
	clear(l.entries[n:])
	l.entries = l.entries[:n]
	l.head = 0
}
