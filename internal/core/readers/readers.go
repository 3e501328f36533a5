// Package readers decides which hosts read the platform's lists. Calls to the
// platform's store are rate-limited and priced for all hosts together, so a few
// hosts read the lists and send the changes to the others.
package readers

import (
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

const (
	// targetReaders is the number of hosts that read in normal operation. With
	// two, reads continue when one freezes or the store refuses its calls.
	targetReaders = 2
	// readerTimeout and nonReaderTimeout are the ages of a host's last digest
	// up to which it counts as live, if it reads and if not. They exceed the
	// longest times between two digests: 1 s and 3 s.
	readerTimeout    = 1500 * time.Millisecond
	nonReaderTimeout = 4 * time.Second
	// maxReadAge is the age of its last read above which a host that should
	// read counts as failing. Hosts read every second.
	maxReadAge = 1300 * time.Millisecond
)

// Peer is the state of another host's reads, from its last digest.
type Peer struct {
	Host model.HostID
	// LastSeen is when the host's last digest was received, ReadAge the age of
	// its last own read of the store at that time.
	LastSeen time.Time
	ReadAge  time.Duration
	// Reading reports that the host reads at regular times, Failing that its
	// last read failed.
	Reading bool
	Failing bool
}

// canRead reports whether the peer is live and, as far as is known, able to
// read.
func (p Peer) canRead(now time.Time) bool {
	silence := now.Sub(p.LastSeen)
	if !p.Reading {
		return silence <= nonReaderTimeout && !p.Failing
	}
	return silence <= readerTimeout && !p.Failing && p.ReadAge <= maxReadAge
}

// ShouldRead reports whether host self should read the store: it is one of the
// first targetReaders by name among the hosts that can read, or no other such
// host reads. A host whose reads fail keeps trying, but another one takes its
// place.
func ShouldRead(now time.Time, self model.HostID, peers []Peer) bool {
	capableBefore := 0
	otherReads := false
	for _, p := range peers {
		if !p.canRead(now) {
			continue
		}
		if p.Host < self {
			capableBefore++
		}
		otherReads = otherReads || p.Reading
	}
	return capableBefore < targetReaders || !otherReads
}
