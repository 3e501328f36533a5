// Package admission decides in which order waiting requests are served: strict
// tiers with floors, deficit round robin between client accounts, earliest
// deadline first inside an account, and limits over all hosts.
package admission

import (
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// Item is a waiting request.
type Item struct {
	// ID identifies the request.
	ID model.RequestID
	// Account is the caller's client account.
	Account model.AccountName
	// Deadline orders the items of an account.
	Deadline time.Time
	// LatestStart is when the item can no longer meet its deadline.
	LatestStart time.Time
	// Enqueued is when the request began to wait.
	Enqueued time.Time

	// Resumed says that the request has run before. It is served before the
	// others of its class, so that what was generated is not wasted.
	Resumed bool

	account  *accountQueue
	order    uint64
	position int
	expiry   int
}

// Queued says whether the item waits in a queue.
func (it *Item) Queued() bool { return it.account != nil }
