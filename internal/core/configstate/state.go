package configstate

import (
	"errors"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// The limits on the state that a State keeps.
const (
	// maxHistory is the number of versions in the history.
	maxHistory = 256
	// maxPending is the number of records kept while the current version is
	// unknown.
	maxPending = 4096
)

// Accepted is an accepted configuration.
type Accepted struct {
	Record *Record
	// Offset is the offset of a record after which Version is in force: the
	// original record, or the last record that a copy covers.
	Offset model.Offset
	// Data is the record as stored on the log.
	Data []byte
	// CarriedForwardAt is when the newest copy was appended, by its author's
	// clock, or when the original was published.
	CarriedForwardAt time.Time
}

// ChangeKind is the effect of a record.
type ChangeKind uint8

// The kinds of changes.
const (
	// ChangeAccepted means that the record's version came into force.
	ChangeAccepted ChangeKind = iota + 1
	// ChangeConflict means that the record's base was not the current version.
	ChangeConflict
	// ChangeDuplicate means that the record repeats the current version's
	// publication, or is a copy of the current version.
	ChangeDuplicate
	// ChangeStale means that the record is a copy of an older version.
	ChangeStale
	// ChangeMalformed means that the record is not a configuration.
	ChangeMalformed
	// ChangePending means that the record cannot be evaluated until the current
	// version is known from a copy or from a peer.
	ChangePending
	// ChangeStopped means that the State has stopped; see StoppedError.
	ChangeStopped
)

// Change describes the effect of one record.
type Change struct {
	Kind   ChangeKind
	Offset model.Offset
	// Record is the decoded record; nil when it could not be decoded.
	Record *Record
	// Current is the version in force after the record; nil for none. For a
	// conflict it is the version that won.
	Current *Accepted
	// Err is set for ChangeMalformed and ChangeStopped.
	Err error
}

// HistoryEntry is an accepted version in the history.
type HistoryEntry struct {
	Version   model.Version
	Offset    model.Offset
	PublishID string
	Author    string
	Note      string
	At        time.Time
}

// State is the result of folding the records of the stream. The zero value is
// the state before offset 0.
type State struct {
	current *Accepted
	next    model.Offset
	// hasGap reports that records before next were missed, so that the version
	// after them is unknown.
	hasGap  bool
	pending []pendingRecord
	history []HistoryEntry
	stopped *StoppedError
}

// pendingRecord is a record kept during a gap. data is nil if it is malformed.
type pendingRecord struct {
	offset model.Offset
	data   []byte
}

// Current returns the version in force, or nil.
func (s *State) Current() *Accepted { return s.current }

// Version returns the number of the version in force; 0 for none.
func (s *State) Version() model.Version {
	if s.current == nil {
		return 0
	}
	return s.current.Record.Version
}

// Next returns the offset of the next record to read.
func (s *State) Next() model.Offset { return s.next }

// Settled reports whether the State can evaluate the next record.
func (s *State) Settled() bool { return !s.hasGap && s.stopped == nil }

// Stopped returns the reason why the State stopped, or nil.
func (s *State) Stopped() *StoppedError { return s.stopped }

// History returns the accepted versions known to this State, oldest first.
func (s *State) History() []HistoryEntry { return append([]HistoryEntry(nil), s.history...) }

// Apply folds the record at the offset into the State. It ignores records below
// Next. It returns more than one Change when the record allows pending ones to
// be evaluated.
func (s *State) Apply(offset model.Offset, data []byte) []Change {
	if s.stopped != nil {
		return []Change{s.newChange(ChangeStopped, offset, nil, s.stopped)}
	}
	if offset < s.next {
		return nil
	}
	s.SkipTo(offset)
	s.next = offset + 1
	rec, err := Decode(data)
	if err != nil {
		return []Change{s.handleUnreadable(offset, err)}
	}
	if s.hasGap {
		return s.applyInGap(offset, rec, data)
	}
	return []Change{s.evaluate(offset, rec, data)}
}

// BeginEra continues at start, the lowest offset of the log's era. It returns true
// if the log was restored from a copy since it was read. The version in force stays
// in force then, although its record may be lost, and is due to be carried forward;
// records of the copy up to that version have no effect.
func (s *State) BeginEra(start model.Offset) bool {
	if s.stopped != nil || start <= s.next {
		return false
	}
	restored := s.next > 0 || s.current != nil
	s.next = start
	s.endGap()
	if s.current != nil {
		s.current.CarriedForwardAt = time.Time{}
	}
	return restored
}

// SkipTo sets the offset of the log's earliest record. If records were missed,
// the State waits for a copy, or a peer's record, that shows the current
// version.
func (s *State) SkipTo(earliest model.Offset) {
	if s.stopped != nil || earliest <= s.next {
		return
	}
	s.next = earliest
	s.hasGap = true
	s.pending = nil
}

// Adopt applies an accepted record from a peer. The record's version is in
// force after the offset. Adopt ignores versions not above the current one, and
// records at offsets that this State has itself read.
func (s *State) Adopt(offset model.Offset, data []byte) (Change, error) {
	if s.stopped != nil {
		return Change{}, s.stopped
	}
	rec, err := Decode(data)
	if err != nil {
		return Change{}, err
	}
	inLog := !s.hasGap && offset < s.next
	if rec.Version <= s.Version() || inLog {
		return s.newChange(ChangeStale, offset, rec, nil), nil
	}
	s.accept(offset, rec, data)
	switch {
	case offset+1 >= s.next:
		s.next = offset + 1
		s.endGap()
	case covers(s.pending, offset+1, s.next):
		s.evaluatePending(s.endGap(), offset)
	}
	return s.newChange(ChangeAccepted, offset, rec, nil), nil
}

// endGap ends a gap and returns the records kept during it.
func (s *State) endGap() []pendingRecord {
	pending := s.pending
	s.pending = nil
	s.hasGap = false
	return pending
}

// covers reports whether all records from an offset up to next are kept.
func covers(records []pendingRecord, from, next model.Offset) bool {
	return len(records) > 0 && records[0].offset <= from && records[len(records)-1].offset+1 == next
}

// handleUnreadable ignores a malformed record. It stops the State at a record with
// an unsupported schema.
func (s *State) handleUnreadable(offset model.Offset, err error) Change {
	var schema *SchemaError
	if errors.As(err, &schema) {
		s.next = offset
		s.stopped = &StoppedError{Version: s.Version(), Offset: offset, Schema: schema.Schema}
		return s.newChange(ChangeStopped, offset, nil, s.stopped)
	}
	if s.hasGap {
		s.addPending(offset, nil)
	}
	return s.newChange(ChangeMalformed, offset, nil, err)
}

// evaluate decides on a record when the version before it is known.
func (s *State) evaluate(offset model.Offset, rec *Record, data []byte) Change {
	if rec.CarriedForward {
		return s.evaluateCarried(offset, rec, data)
	}
	if s.current != nil && rec.PublishID == s.current.Record.PublishID {
		return s.newChange(ChangeDuplicate, offset, rec, nil)
	}
	if rec.Base != s.Version() || rec.Version != rec.Base+1 {
		return s.newChange(ChangeConflict, offset, rec, nil)
	}
	s.accept(offset, rec, data)
	return s.newChange(ChangeAccepted, offset, rec, nil)
}

// evaluateCarried decides on a copy of an accepted record.
func (s *State) evaluateCarried(offset model.Offset, rec *Record, data []byte) Change {
	switch {
	case rec.Version < s.Version():
		return s.newChange(ChangeStale, offset, rec, nil)
	case rec.Version == s.Version():
		s.current.CarriedForwardAt = rec.CarriedAt
		return s.newChange(ChangeDuplicate, offset, rec, nil)
	default:
		s.accept(offset, rec, data)
		return s.newChange(ChangeAccepted, offset, rec, nil)
	}
}

// applyInGap keeps records until a copy shows which version was in force at an
// offset, and all records starting there are kept.
func (s *State) applyInGap(offset model.Offset, rec *Record, data []byte) []Change {
	s.addPending(offset, data)
	if !rec.CarriedForward || rec.FoldedTo == 0 || s.pending[0].offset > rec.FoldedTo {
		return []Change{s.newChange(ChangePending, offset, rec, nil)}
	}
	pending := s.endGap()
	after := rec.FoldedTo - 1
	var out []Change
	if rec.Version > s.Version() {
		s.accept(after, rec, data)
		out = append(out, s.newChange(ChangeAccepted, offset, rec, nil))
	} else {
		after = max(after, s.current.Offset)
	}
	return append(out, s.evaluatePending(pending, after)...)
}

// evaluatePending evaluates the kept records after an offset.
func (s *State) evaluatePending(records []pendingRecord, after model.Offset) []Change {
	var out []Change
	for _, p := range records {
		if p.offset <= after || p.data == nil {
			continue
		}
		rec, err := Decode(p.data)
		if err != nil {
			continue
		}
		out = append(out, s.evaluate(p.offset, rec, p.data))
	}
	return out
}

// addPending keeps a record, in place of the oldest one when maxPending are kept.
func (s *State) addPending(offset model.Offset, data []byte) {
	if len(s.pending) == maxPending {
		s.pending = s.pending[1:]
	}
	s.pending = append(s.pending, pendingRecord{offset: offset, data: data})
}

// accept puts the version of a record in force.
func (s *State) accept(offset model.Offset, rec *Record, data []byte) {
	publishedAt := rec.At
	if rec.CarriedForward {
		publishedAt = rec.CarriedAt
	}
	s.current = &Accepted{Record: rec, Offset: offset, Data: data, CarriedForwardAt: publishedAt}
	if len(s.history) == maxHistory {
		s.history = s.history[1:]
	}
	s.history = append(s.history, HistoryEntry{
		Version:   rec.Version,
		Offset:    offset,
		PublishID: rec.PublishID,
		Author:    rec.Author,
		Note:      rec.Note,
		At:        rec.At,
	})
}

func (s *State) newChange(kind ChangeKind, offset model.Offset, rec *Record, err error) Change {
	return Change{Kind: kind, Offset: offset, Record: rec, Current: s.current, Err: err}
}
