// Package readers decides which hosts read the platform's lists. Calls to the
// platform's store are rate-limited and priced for all hosts together, so a few
// hosts read the lists and send the changes to the others.
package readers

import (
	"slices"
	"strings"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

const (
	// targetReaders is the number of hosts that read in normal operation. With
	// two, reads continue when one freezes or the store refuses its calls, and in
	// different failure domains when one domain is cut off.
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
	Host   model.HostID
	Domain model.DomainName
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

// ShouldRead reports whether host self of a failure domain should read the store: it is
// selected among the hosts that can read, or no other such host reads. A host whose
// reads fail keeps trying, but another one takes its place.
func ShouldRead(now time.Time, self model.HostID, domain model.DomainName, peers []Peer) bool {
	candidates := []Peer{{Host: self, Domain: domain}}
	otherReads := false
	for _, p := range peers {
		if p.canRead(now) {
			candidates = append(candidates, p)
			otherReads = otherReads || p.Reading
		}
	}
	isSelf := func(p Peer) bool { return p.Host == self }
	return !otherReads || slices.ContainsFunc(selectReaders(candidates), isSelf)
}

// selectReaders returns the first targetReaders hosts by name of different failure
// domains, and more of the same domains if there are too few.
func selectReaders(candidates []Peer) []Peer {
	slices.SortFunc(candidates, func(a, b Peer) int { return strings.Compare(string(a.Host), string(b.Host)) })
	var selected, others []Peer
	for _, c := range candidates {
		sameDomain := func(p Peer) bool { return p.Domain == c.Domain }
		if slices.ContainsFunc(selected, sameDomain) {
			others = append(others, c)
		} else {
			selected = append(selected, c)
		}
	}
	all := append(selected, others...)
	return all[:min(targetReaders, len(all))]
}
