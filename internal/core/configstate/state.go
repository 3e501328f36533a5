package configstate

import (
	"errors"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// The bounds of what a State remembers.
const (
	// maxHistory is the number of versions that history can show.
	maxHistory = 256
	// maxPending is the number of records kept while no version is known.
	maxPending = 4096
)

// Accepted is an accepted configuration.
type Accepted struct {
	Record *Record
	// Offset is such that Version is in force after the record there: the
	// offset of the original, or the last one that a copy covers.
	Offset model.Offset
	// Data is the record as it stands on the log.
	Data []byte
	// CopiedAt is the author's time of the newest copy on the log.
	CopiedAt time.Time
}

// ChangeKind tells what a record did.
type ChangeKind uint8

// The kinds of changes.
const (
	// ChangeAccepted means that the record's version is in force.
	ChangeAccepted ChangeKind = iota + 1
	// ChangeConflict means that the record's base was not the current version.
	ChangeConflict
	// ChangeDuplicate means that the same publication or a copy of the
	// current version came again.
	ChangeDuplicate
	// ChangeStale means that the record is a copy of an older version.
	ChangeStale
	// ChangeMalformed means that the record is no configuration.
	ChangeMalformed
	// ChangePending means that the record cannot be judged until the current
	// version is known from a copy or from a peer.
	ChangePending
	// ChangeStopped means that the fold has stopped; see StoppedError.
	ChangeStopped
)

// Change is the effect of one record.
type Change struct {
	Kind   ChangeKind
	Offset model.Offset
	// Record is the record; nil when it could not be read.
	Record *Record
	// Current is the version in force after the record; nil for none. For a
	// conflict it is the one that won.
	Current *Accepted
	// Err is set for ChangeMalformed and ChangeStopped.
	Err error
}

// Entry is a line of the history.
type Entry struct {
	Version   model.Version
	Offset    model.Offset
	PublishID string
	Author    string
	Note      string
	At        time.Time
}

// State is the fold. The zero value stands before offset 0 of the stream.
type State struct {
	current *Accepted
	next    model.Offset
	// gap says that records before next were missed, so that the version
	// after them is not known.
	gap     bool
	pending []pendingRecord
	history []Entry
	stopped *StoppedError
}

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

// Settled reports whether the State can judge the next record.
func (s *State) Settled() bool { return !s.gap && s.stopped == nil }

// Stopped returns the reason why the fold stopped, or nil.
func (s *State) Stopped() *StoppedError { return s.stopped }

// History returns the accepted versions known here, oldest first.
func (s *State) History() []Entry { return append([]Entry(nil), s.history...) }

// Apply folds the record at the offset. Records below Next are passed over.
// It returns more than one Change when the record lets pending ones be judged.
func (s *State) Apply(offset model.Offset, data []byte) []Change {
	if s.stopped != nil {
		return []Change{s.change(ChangeStopped, offset, nil, s.stopped)}
	}
	if offset < s.next {
		return nil
	}
	s.SkipTo(offset)
	s.next = offset + 1
	rec, err := Decode(data)
	if err != nil {
		return []Change{s.unreadable(offset, err)}
	}
	if s.gap {
		return s.applyAfterGap(offset, rec, data)
	}
	return []Change{s.judge(offset, rec, data)}
}

// SkipTo tells that the log's earliest record is at the offset. Where records
// were missed, the State waits for a copy or a peer to tell the version.
func (s *State) SkipTo(earliest model.Offset) {
	if s.stopped != nil || earliest <= s.next {
		return
	}
	s.next = earliest
	s.gap = true
	s.pending = nil
}

// Adopt takes an accepted record from a peer: data stands in force after the
// offset. Versions not above the current one, and records at offsets that this
// State has itself read, are passed over.
func (s *State) Adopt(offset model.Offset, data []byte) (Change, error) {
	if s.stopped != nil {
		return Change{}, s.stopped
	}
	rec, err := Decode(data)
	if err != nil {
		return Change{}, err
	}
	inLog := !s.gap && offset < s.next
	if rec.Version <= s.Version() || inLog {
		return s.change(ChangeStale, offset, rec, nil), nil
	}
	s.accept(offset, rec, data)
	switch {
	case offset+1 >= s.next:
		s.next = offset + 1
		s.close()
	case covers(s.pending, offset+1, s.next):
		s.replay(s.close(), offset)
	}
	return s.change(ChangeAccepted, offset, rec, nil), nil
}

// close ends a gap and returns the records kept meanwhile.
func (s *State) close() []pendingRecord {
	pending := s.pending
	s.pending = nil
	s.gap = false
	return pending
}

// covers reports whether the records from an offset up to next are all kept.
func covers(records []pendingRecord, from, next model.Offset) bool {
	return len(records) > 0 && records[0].offset <= from && records[len(records)-1].offset+1 == next
}

func (s *State) unreadable(offset model.Offset, err error) Change {
	var schema *SchemaError
	if errors.As(err, &schema) {
		s.next = offset
		s.stopped = &StoppedError{Version: s.Version(), Offset: offset, Schema: schema.Schema}
		return s.change(ChangeStopped, offset, nil, s.stopped)
	}
	if s.gap {
		s.keep(offset, nil)
	}
	return s.change(ChangeMalformed, offset, nil, err)
}

// judge decides on a record when the version before it is known.
func (s *State) judge(offset model.Offset, rec *Record, data []byte) Change {
	if rec.CarriedForward {
		return s.judgeCopy(offset, rec, data)
	}
	if s.current != nil && rec.PublishID == s.current.Record.PublishID {
		return s.change(ChangeDuplicate, offset, rec, nil)
	}
	if rec.Base != s.Version() || rec.Version != rec.Base+1 {
		return s.change(ChangeConflict, offset, rec, nil)
	}
	s.accept(offset, rec, data)
	return s.change(ChangeAccepted, offset, rec, nil)
}

func (s *State) judgeCopy(offset model.Offset, rec *Record, data []byte) Change {
	switch {
	case rec.Version < s.Version():
		return s.change(ChangeStale, offset, rec, nil)
	case rec.Version == s.Version():
		s.current.CopiedAt = rec.CarriedAt
		return s.change(ChangeDuplicate, offset, rec, nil)
	default:
		s.accept(offset, rec, data)
		return s.change(ChangeAccepted, offset, rec, nil)
	}
}

// applyAfterGap keeps records until a copy tells which version was in force
// at an offset from which on all records are kept.
func (s *State) applyAfterGap(offset model.Offset, rec *Record, data []byte) []Change {
	s.keep(offset, data)
	if !rec.CarriedForward || rec.FoldedTo == 0 || s.pending[0].offset > rec.FoldedTo {
		return []Change{s.change(ChangePending, offset, rec, nil)}
	}
	pending := s.close()
	after := rec.FoldedTo - 1
	var out []Change
	if rec.Version > s.Version() {
		s.accept(after, rec, data)
		out = append(out, s.change(ChangeAccepted, offset, rec, nil))
	} else {
		after = max(after, s.current.Offset)
	}
	return append(out, s.replay(pending, after)...)
}

// replay judges the kept records after the offset.
func (s *State) replay(records []pendingRecord, after model.Offset) []Change {
	var out []Change
	for _, p := range records {
		if p.offset <= after || p.data == nil {
			continue
		}
		rec, err := Decode(p.data)
		if err != nil {
			continue
		}
		out = append(out, s.judge(p.offset, rec, p.data))
	}
	return out
}

func (s *State) keep(offset model.Offset, data []byte) {
	if len(s.pending) == maxPending {
		s.pending = s.pending[1:]
	}
	s.pending = append(s.pending, pendingRecord{offset: offset, data: data})
}

func (s *State) accept(offset model.Offset, rec *Record, data []byte) {
	copied := rec.At
	if rec.CarriedForward {
		copied = rec.CarriedAt
	}
	s.current = &Accepted{Record: rec, Offset: offset, Data: data, CopiedAt: copied}
	if len(s.history) == maxHistory {
		s.history = s.history[1:]
	}
	s.history = append(s.history, Entry{
		Version:   rec.Version,
		Offset:    offset,
		PublishID: rec.PublishID,
		Author:    rec.Author,
		Note:      rec.Note,
		At:        rec.At,
	})
}

func (s *State) change(kind ChangeKind, offset model.Offset, rec *Record, err error) Change {
	return Change{Kind: kind, Offset: offset, Record: rec, Current: s.current, Err: err}
}
