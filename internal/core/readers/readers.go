// Package readers decides which hosts read the platform's lists. Calls to the
// platform's store are rate-limited and priced for all hosts together, so a few
// hosts read and the others hear of changes from them.
package readers

import (
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

const (
	// wanted is the number of hosts that read while all is well: one may freeze
	// or be turned away without a gap.
	wanted = 2
	// readerHeardWithin and heardWithin are the ages of a digest up to which its
	// sender counts as live, if it reads and if not. They are above the longest
	// times between two digests: 1 s and 3 s.
	readerHeardWithin = 1500 * time.Millisecond
	heardWithin       = 4 * time.Second
	// lateRead is the age of its last read from which on a host that should read
	// counts as failing. Hosts read every second.
	lateRead = 1300 * time.Millisecond
)

// Peer is another host.
type Peer struct {
	Host model.HostID
	// Heard is when the host last told something, ReadAge the age of its last
	// own read of the store at that time.
	Heard   time.Time
	ReadAge time.Duration
	// Reading says that the host reads at regular times, Failing that its last
	// read failed.
	Reading bool
	Failing bool
}

// able says that the peer is live and can read, as far as is known.
func (p Peer) able(now time.Time) bool {
	silence := now.Sub(p.Heard)
	if !p.Reading {
		return silence <= heardWithin && !p.Failing
	}
	return silence <= readerHeardWithin && !p.Failing && p.ReadAge <= lateRead
}

// ShouldRead says whether a host reads the store itself: it is one of the first
// able hosts by name, or no other able host reads. A host that the store turns
// away goes on trying, but another one takes its place.
func ShouldRead(now time.Time, self model.HostID, peers []Peer) bool {
	before := 0
	others := false
	for _, p := range peers {
		if !p.able(now) {
			continue
		}
		if p.Host < self {
			before++
		}
		others = others || p.Reading
	}
	return before < wanted || !others
}

// Age returns the age of the newest read of any host that this host hears.
func Age(now time.Time, own time.Duration, peers []Peer) time.Duration {
	age := own
	for _, p := range peers {
		age = min(age, p.ReadAge+now.Sub(p.Heard))
	}
	return age
}
