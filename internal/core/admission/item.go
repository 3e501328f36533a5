// Package admission decides in which order queued requests are served: strict
// tiers with floors, deficit round robin between client accounts, earliest
// deadline first within an account, and limits that apply to all hosts
// together.
package admission

import (
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// Item is a queued request.
type Item struct {
	// ID identifies the request.
	ID model.RequestID
	// Account is the caller's client account.
	Account model.AccountName
	// Deadline orders the items of one account.
	Deadline time.Time
	// LatestStart is when the item can no longer meet its deadline unless it
	// has started.
	LatestStart time.Time
	// Enqueued is when the request was queued.
	Enqueued time.Time

	// Resumed reports whether the request has run before. It is served before
	// the others of its class, so that the tokens generated so far are not
	// wasted.
	Resumed bool

	// account is the queue that holds the item; nil while it is not queued.
	// order is its push number. heapIndex and expiryIndex are its positions in
	// the heaps.
	account     *accountQueue
	order       uint64
	heapIndex   int
	expiryIndex int
}

// IsQueued reports whether the item is queued.
func (it *Item) IsQueued() bool { return it.account != nil }
