package configstate

import (
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// CarryForward returns a copy of the record for an accepted configuration,
// which keeps it on the log beyond the log's retention. foldedTo is the State's
// Next while the configuration is in force, at is the time of the copy.
func (a *Accepted) CarryForward(foldedTo model.Offset, at time.Time) *Record {
	rec := *a.Record
	rec.CarriedForward = true
	rec.FoldedTo = foldedTo
	rec.CarriedAt = at
	return &rec
}

// CarryForwardDue returns when the current version is to be carried forward, so
// that the log's retention never drops its last record. It returns false while
// no version is in force or the State is not settled. spread, from 0 to 1,
// differs between hosts, so that one host appends the copy and the others see it
// before they would append theirs.
func (s *State) CarryForwardDue(retention time.Duration, spread float64) (time.Time, bool) {
	if s.current == nil || !s.Settled() {
		return time.Time{}, false
	}
	wait := retention / 2
	wait += time.Duration(spread * float64(retention/4))
	return s.current.CarriedForwardAt.Add(wait), true
}
