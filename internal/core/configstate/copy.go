package configstate

import (
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// Copy returns the record that carries an accepted configuration forward.
// foldedTo is the State's Next when it was in force.
func (a *Accepted) Copy(foldedTo model.Offset, at time.Time) *Record {
	rec := *a.Record
	rec.CarriedForward = true
	rec.FoldedTo = foldedTo
	rec.CarriedAt = at
	return &rec
}

// CopyDue returns when the current version is to be copied, so that the log's
// retention never drops the last record of it. spread, from 0 to 1, differs
// from host to host, so that one copies and the others see its copy first.
func (s *State) CopyDue(retention time.Duration, spread float64) (time.Time, bool) {
	if s.current == nil || !s.Settled() {
		return time.Time{}, false
	}
	wait := retention / 2
	wait += time.Duration(spread * float64(retention/4))
	return s.current.CopiedAt.Add(wait), true
}
