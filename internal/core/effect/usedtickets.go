package effect

import (
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// ticketRetention is how long the use of a ticket is kept after its expiry.
const ticketRetention = 10 * time.Minute

// ticketUse is the first use of a ticket that this host issued.
type ticketUse struct {
	digest   Digest
	expires  time.Time
	finished bool
	outcome  model.Outcome
}

// usedTickets holds the tickets that have been used at this host. Tickets that
// were only issued take no memory.
type usedTickets struct {
	limit    int
	bySerial map[uint64]*ticketUse
}

func newUsedTickets(limit int) *usedTickets {
	return &usedTickets{limit: limit, bySerial: make(map[uint64]*ticketUse)}
}

func (u *usedTickets) isFull() bool { return len(u.bySerial) >= u.limit }

// finish records the outcome of the use of a ticket. Unused tickets are ignored.
func (u *usedTickets) finish(serial uint64, outcome model.Outcome) {
	if use := u.bySerial[serial]; use != nil {
		use.finished = true
		use.outcome = outcome
	}
}

// release makes a ticket usable again after a use that provably did not run.
func (u *usedTickets) release(serial uint64) { delete(u.bySerial, serial) }

// expire removes finished tickets that expired more than ticketRetention ago.
func (u *usedTickets) expire(now time.Time) {
	for serial, use := range u.bySerial {
		if use.finished && now.Sub(use.expires) > ticketRetention {
			delete(u.bySerial, serial)
		}
	}
}
