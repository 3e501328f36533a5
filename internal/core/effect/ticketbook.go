package effect

import (
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// ticketKeep is how long the use of a ticket is remembered past its expiry.
const ticketKeep = 10 * time.Minute

// ticketUse is the first use of a ticket that this host issued.
type ticketUse struct {
	digest   Digest
	expires  time.Time
	finished bool
	outcome  model.Outcome
}

// ticketBook remembers the tickets in use. Tickets that were only issued need
// no memory.
type ticketBook struct {
	limit    int
	bySerial map[uint64]*ticketUse
}

func newTicketBook(limit int) *ticketBook {
	return &ticketBook{limit: limit, bySerial: make(map[uint64]*ticketUse)}
}

func (b *ticketBook) isFull() bool { return len(b.bySerial) >= b.limit }

func (b *ticketBook) finish(serial uint64, outcome model.Outcome) {
	if use := b.bySerial[serial]; use != nil {
		use.finished = true
		use.outcome = outcome
	}
}

// release makes a ticket usable again after a use that was proved not run.
func (b *ticketBook) release(serial uint64) { delete(b.bySerial, serial) }

// drop forgets the tickets that expired long ago.
func (b *ticketBook) drop(now time.Time) {
	for serial, use := range b.bySerial {
		if use.finished && now.Sub(use.expires) > ticketKeep {
			delete(b.bySerial, serial)
		}
	}
}
