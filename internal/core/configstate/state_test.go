package configstate

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

func newRecord(t *testing.T, id string, base model.Version) []byte {
	t.Helper()
	return encode(t, &Record{Schema: RecordSchema, PublishID: id, Base: base, Version: base + 1, Author: "by " + id, Body: []byte(id)})
}

func carriedRecord(t *testing.T, of *Accepted, foldedTo model.Offset) []byte {
	t.Helper()
	return encode(t, of.CarryForward(foldedTo, of.Record.At))
}

func encode(t *testing.T, rec *Record) []byte {
	t.Helper()
	data, err := rec.Encode()
	must.NoError(t, err)
	return data
}

func applyRecord(s *State, offset model.Offset, data []byte) ChangeKind {
	changes := s.Apply(offset, data)
	if len(changes) == 0 {
		return 0
	}
	return changes[len(changes)-1].Kind
}

func TestConflictReportsWinningVersion(t *testing.T) {
	s := &State{}
	must.Eq(t, ChangeAccepted, applyRecord(s, 0, newRecord(t, "a", 0)))
	must.Eq(t, ChangeAccepted, applyRecord(s, 1, newRecord(t, "b", 1)))
	change := s.Apply(2, newRecord(t, "c", 1))[0]
	must.Eq(t, ChangeConflict, change.Kind)
	must.Eq(t, "by b", change.Current.Record.Author)
	must.Eq(t, 2, s.Version())
}

func TestSamePublishIDYieldsOneVersion(t *testing.T) {
	s := &State{}
	must.Eq(t, ChangeAccepted, applyRecord(s, 0, newRecord(t, "a", 0)))
	must.Eq(t, ChangeDuplicate, applyRecord(s, 1, newRecord(t, "a", 0)))
	must.Eq(t, ChangeDuplicate, applyRecord(s, 2, newRecord(t, "a", 1)))
	must.Eq(t, 1, s.Version())
}

func TestUnknownSchemaStopsTheFold(t *testing.T) {
	s := &State{}
	must.Eq(t, ChangeAccepted, applyRecord(s, 0, newRecord(t, "a", 0)))
	must.Eq(t, ChangeMalformed, applyRecord(s, 1, []byte("noise")))
	must.Eq(t, ChangeMalformed, applyRecord(&State{}, 0, []byte(`{"schema":1,"carried_forward":true}`)))
	must.Eq(t, ChangeMalformed, applyRecord(&State{}, 7, []byte(`{"schema":1,"carried_forward":true,"folded_to":8}`)))
	must.Eq(t, ChangeStopped, applyRecord(s, 2, []byte(`{"schema":2,"version":2}`)))
	must.Eq(t, ChangeStopped, applyRecord(s, 3, newRecord(t, "b", 1)))
	must.Eq(t, 1, s.Version())
	must.Eq(t, &StoppedError{Version: 1, Offset: 2, Schema: 2}, s.Stopped())
	_, err := s.Adopt(9, newRecord(t, "c", 8))
	must.ErrorIs(t, err, s.Stopped())
}

func TestCarriedRecordIsIdempotentAndStartsLateReader(t *testing.T) {
	s := &State{}
	applyRecord(s, 0, newRecord(t, "a", 0))
	applyRecord(s, 1, newRecord(t, "b", 1))
	// The copy of version 2 races with version 3.
	copied := carriedRecord(t, s.Current(), s.Next())
	must.Eq(t, ChangeAccepted, applyRecord(s, 2, newRecord(t, "c", 2)))
	must.Eq(t, ChangeStale, applyRecord(s, 3, copied))
	must.Eq(t, ChangeDuplicate, applyRecord(s, 4, carriedRecord(t, s.Current(), s.Next())))

	late := &State{}
	must.Eq(t, ChangePending, applyRecord(late, 2, newRecord(t, "c", 2)))
	must.Eq(t, 0, late.Version())
	must.Eq(t, ChangeStale, applyRecord(late, 3, copied))
	must.Eq(t, 3, late.Version())
	must.True(t, late.Settled())
}

func TestCarriedRecordBeforeGapStaysPending(t *testing.T) {
	s := &State{}
	applyRecord(s, 0, newRecord(t, "a", 0))
	copied := carriedRecord(t, s.Current(), s.Next())
	applyRecord(s, 1, newRecord(t, "b", 1))
	late := &State{}
	must.Eq(t, ChangePending, applyRecord(late, 2, copied))
	must.Eq(t, 0, late.Version())
}

func TestAdoptAcceptsPeerVersion(t *testing.T) {
	s := &State{}
	applyRecord(s, 0, newRecord(t, "a", 0))
	change, err := s.Adopt(5, newRecord(t, "f", 5))
	must.NoError(t, err)
	must.Eq(t, ChangeAccepted, change.Kind)
	must.Eq(t, 6, s.Version())
	must.Eq(t, 0, applyRecord(s, 1, newRecord(t, "b", 1)))
	must.Eq(t, ChangeAccepted, applyRecord(s, 6, newRecord(t, "g", 6)))
	change, err = s.Adopt(5, newRecord(t, "f", 5))
	must.NoError(t, err)
	must.Eq(t, ChangeStale, change.Kind)
	must.Eq(t, 7, s.Version())
}

func TestRetentionGapKeepsVersionInForce(t *testing.T) {
	s := &State{}
	applyRecord(s, 0, newRecord(t, "a", 0))
	s.SkipTo(7)
	must.Eq(t, ChangePending, applyRecord(s, 7, newRecord(t, "x", 4)))
	must.Eq(t, 1, s.Version())
	must.False(t, s.Settled())
	stale, err := s.Adopt(0, newRecord(t, "a", 0))
	must.NoError(t, err)
	must.Eq(t, ChangeStale, stale.Kind)
	_, err = s.Adopt(6, newRecord(t, "w", 3))
	must.NoError(t, err)
	must.True(t, s.Settled())
	must.Eq(t, 5, s.Version())
}

// The log was restored from a copy that lacks the version in force. The version
// stays in force, its older records have no effect again, and it is due to be
// appended again, which shows it to hosts that start later.
func TestRestoredLogKeepsVersionInForce(t *testing.T) {
	const eraStart = 1 << 40
	s := &State{}
	must.False(t, s.BeginEra(0))
	applyRecord(s, 0, newRecord(t, "a", 0))
	applyRecord(s, 1, newRecord(t, "b", 1))
	must.True(t, s.BeginEra(eraStart))
	must.True(t, s.Settled())
	must.Eq(t, 2, s.Version())
	must.Eq(t, ChangeConflict, applyRecord(s, eraStart, newRecord(t, "a", 0)))
	must.Eq(t, 2, s.Version())
	due, ok := s.CarryForwardDue(time.Hour, 0.5)
	must.True(t, ok)
	must.True(t, due.Before(time.Unix(0, 0)))

	late := &State{}
	must.False(t, late.BeginEra(eraStart), must.Sprint("a host that starts now has lost nothing"))
	must.Eq(t, ChangeAccepted, applyRecord(late, eraStart, newRecord(t, "a", 0)))
	must.Eq(t, ChangeAccepted, applyRecord(late, eraStart+1, carriedRecord(t, s.Current(), s.Next())))
	must.Eq(t, 2, late.Version())
	must.Eq(t, ChangeAccepted, applyRecord(late, eraStart+2, newRecord(t, "c", 2)))
}
