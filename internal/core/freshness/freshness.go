// Package freshness keeps when a host's configuration was last known to be the newest
// one of the platform's store.
package freshness

import (
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// Claim states that no version above Version was in the store at time At.
type Claim struct {
	Version model.Version
	At      time.Time
}

// State is the freshness of one host's configuration. The zero value knows nothing.
type State struct {
	version model.Version
	// confirmedAt is the latest time at which no higher version was in the store;
	// zero for none.
	confirmedAt time.Time
	// ahead is the latest claim about a higher version than the host's own.
	ahead Claim
}

// SetVersion sets the version in force. It never falls.
func (s *State) SetVersion(v model.Version) {
	s.version = max(s.version, v)
	s.Learn(s.ahead)
}

// Learn applies a claim of this host's reads or of another host. One about a higher
// version counts once that version is in force.
func (s *State) Learn(c Claim) {
	if c.Version == 0 {
		return
	}
	if c.Version > s.version {
		if c.At.After(s.ahead.At) {
			s.ahead = c
		}
		return
	}
	if c.At.After(s.confirmedAt) {
		s.confirmedAt = c.At
	}
}

// ConfirmedAt returns the latest time at which the version in force was known to be
// the newest one; zero for never.
func (s *State) ConfirmedAt() time.Time { return s.confirmedAt }

// RecordSuspension makes what is known older by the time in which the host was suspended.
func (s *State) RecordSuspension(length time.Duration) {
	for _, at := range []*time.Time{&s.confirmedAt, &s.ahead.At} {
		if !at.IsZero() {
			*at = at.Add(-length)
		}
	}
}
