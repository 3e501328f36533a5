package configstate

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

func record(t *testing.T, id string, base model.Version) []byte {
	t.Helper()
	return encode(t, &Record{Schema: RecordSchema, PublishID: id, Base: base, Version: base + 1, Author: "by " + id, Body: []byte(id)})
}

func carried(t *testing.T, of *Accepted, foldedTo model.Offset) []byte {
	t.Helper()
	return encode(t, of.Copy(foldedTo, of.Record.At))
}

func encode(t *testing.T, rec *Record) []byte {
	t.Helper()
	data, err := rec.Encode()
	must.NoError(t, err)
	return data
}

func apply(s *State, offset model.Offset, data []byte) ChangeKind {
	changes := s.Apply(offset, data)
	if len(changes) == 0 {
		return 0
	}
	return changes[len(changes)-1].Kind
}

func TestConflictNamesTheWinner(t *testing.T) {
	s := &State{}
	must.Eq(t, ChangeAccepted, apply(s, 0, record(t, "a", 0)))
	must.Eq(t, ChangeAccepted, apply(s, 1, record(t, "b", 1)))
	change := s.Apply(2, record(t, "c", 1))[0]
	must.Eq(t, ChangeConflict, change.Kind)
	must.Eq(t, "by b", change.Current.Record.Author)
	must.Eq(t, 2, s.Version())
}

func TestSamePublishIDYieldsOneVersion(t *testing.T) {
	s := &State{}
	must.Eq(t, ChangeAccepted, apply(s, 0, record(t, "a", 0)))
	must.Eq(t, ChangeDuplicate, apply(s, 1, record(t, "a", 0)))
	must.Eq(t, ChangeDuplicate, apply(s, 2, record(t, "a", 1)))
	must.Eq(t, 1, s.Version())
}

func TestUnknownSchemaStopsTheFold(t *testing.T) {
	s := &State{}
	must.Eq(t, ChangeAccepted, apply(s, 0, record(t, "a", 0)))
	must.Eq(t, ChangeMalformed, apply(s, 1, []byte("noise")))
	must.Eq(t, ChangeMalformed, apply(&State{}, 0, []byte(`{"schema":1,"carried_forward":true}`)))
	must.Eq(t, ChangeMalformed, apply(&State{}, 7, []byte(`{"schema":1,"carried_forward":true,"folded_to":8}`)))
	must.Eq(t, ChangeStopped, apply(s, 2, []byte(`{"schema":2,"version":2}`)))
	must.Eq(t, ChangeStopped, apply(s, 3, record(t, "b", 1)))
	must.Eq(t, 1, s.Version())
	must.Eq(t, &StoppedError{Version: 1, Offset: 2, Schema: 2}, s.Stopped())
	_, err := s.Adopt(9, record(t, "c", 8))
	must.ErrorIs(t, err, s.Stopped())
}

func TestCopyIsHarmlessAndStartsALateReader(t *testing.T) {
	s := &State{}
	apply(s, 0, record(t, "a", 0))
	apply(s, 1, record(t, "b", 1))
	// The copy of version 2 races with version 3.
	copied := carried(t, s.Current(), s.Next())
	must.Eq(t, ChangeAccepted, apply(s, 2, record(t, "c", 2)))
	must.Eq(t, ChangeStale, apply(s, 3, copied))
	must.Eq(t, ChangeDuplicate, apply(s, 4, carried(t, s.Current(), s.Next())))

	late := &State{}
	must.Eq(t, ChangePending, apply(late, 2, record(t, "c", 2)))
	must.Eq(t, 0, late.Version())
	must.Eq(t, ChangeStale, apply(late, 3, copied))
	must.Eq(t, 3, late.Version())
	must.True(t, late.Settled())
}

func TestCopyThatLeavesAGapTellsNothing(t *testing.T) {
	s := &State{}
	apply(s, 0, record(t, "a", 0))
	copied := carried(t, s.Current(), s.Next())
	apply(s, 1, record(t, "b", 1))
	late := &State{}
	must.Eq(t, ChangePending, apply(late, 2, copied))
	must.Eq(t, 0, late.Version())
}

func TestAdoptFollowsAPeer(t *testing.T) {
	s := &State{}
	apply(s, 0, record(t, "a", 0))
	change, err := s.Adopt(5, record(t, "f", 5))
	must.NoError(t, err)
	must.Eq(t, ChangeAccepted, change.Kind)
	must.Eq(t, 6, s.Version())
	must.Eq(t, 0, apply(s, 1, record(t, "b", 1)))
	must.Eq(t, ChangeAccepted, apply(s, 6, record(t, "g", 6)))
	change, err = s.Adopt(5, record(t, "f", 5))
	must.NoError(t, err)
	must.Eq(t, ChangeStale, change.Kind)
	must.Eq(t, 7, s.Version())
}

func TestRetentionGapKeepsTheVersionInForce(t *testing.T) {
	s := &State{}
	apply(s, 0, record(t, "a", 0))
	s.SkipTo(7)
	must.Eq(t, ChangePending, apply(s, 7, record(t, "x", 4)))
	must.Eq(t, 1, s.Version())
	must.False(t, s.Settled())
	stale, err := s.Adopt(0, record(t, "a", 0))
	must.NoError(t, err)
	must.Eq(t, ChangeStale, stale.Kind)
	_, err = s.Adopt(6, record(t, "w", 3))
	must.NoError(t, err)
	must.True(t, s.Settled())
	must.Eq(t, 5, s.Version())
}
