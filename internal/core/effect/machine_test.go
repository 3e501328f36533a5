package effect

import (
	"encoding/base64"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

var start = time.Unix(1_800_000_000, 0)

func testMachine(host model.HostID) *Machine {
	m := New(Options{
		Self: HostRef{Host: host, Incarnation: 1}, Secret: []byte("secret"), Partitions: 1,
		Window: time.Hour, ClaimTimeout: 2 * time.Second, MaxTickets: 2, CacheBytes: 1000,
	})
	m.SetLog(start, true)
	_, _ = m.Applied(start, 0, 0, nil)
	return m
}

func testTry(id TryID, body string) Try {
	return Try{ID: id, Account: "office", KeyText: "k", Digest: NewDigest("POST", "/confirm", "", []byte(body))}
}

func only(t *testing.T, actions []Action, kind ActionKind) Action {
	t.Helper()
	must.Len(t, 1, actions)
	must.Eq(t, kind, actions[0].Kind)
	return actions[0]
}

// testLog is one partition that all machines of a test read.
type testLog struct{ records []LogRecord }

func (l *testLog) add(t *testing.T, rec Record) {
	t.Helper()
	entry, err := EncodeRecord(rec)
	must.NoError(t, err)
	data, err := EncodeBatch([][]byte{entry})
	must.NoError(t, err)
	l.records = append(l.records, LogRecord{Offset: model.Offset(len(l.records)), Data: data})
}

func (l *testLog) read(t *testing.T, m *Machine, now time.Time) []Action {
	t.Helper()
	actions, err := m.Applied(now, 0, 0, l.records[m.NextOffset(0):])
	must.NoError(t, err)
	return actions
}

func TestFirstClaimWinsAndItsAnswerIsReplayed(t *testing.T) {
	a, b, log := testMachine("a"), testMachine("b"), &testLog{}
	a.SetLive(start, []HostRef{b.opts.Self})
	log.add(t, only(t, b.Begin(start, testTry(1, "x")), ActionAppend).Record)
	log.add(t, only(t, a.Begin(start, testTry(1, "x")), ActionAppend).Record)
	must.Len(t, 0, log.read(t, a, start))
	right := only(t, log.read(t, b, start), ActionSend).Right
	must.Len(t, 0, b.Begin(start, testTry(2, "x")))
	must.Eq(t, CodeKeyReused, only(t, b.Begin(start, testTry(3, "y")), ActionRefuse).Refusal.Code)

	out := b.Finish(start, right, Result{Outcome: model.OutcomeRan, Status: 201, Body: []byte("done")})
	must.Len(t, 2, out)
	must.Eq(t, ActionReplay, out[1].Kind)
	must.Len(t, 0, b.Finish(start, right, Result{Outcome: model.OutcomeNotRun}))
	log.add(t, out[0].Record)
	fetch := only(t, log.read(t, a, start), ActionFetch)
	must.Eq(t, Place{Offset: 2}, fetch.Place)
	must.Eq(t, CodeKeyReused, only(t, a.Begin(start, testTry(4, "y")), ActionRefuse).Refusal.Code)
}

func TestClaimOfGoneHostIsUnknown(t *testing.T) {
	a, b, log := testMachine("a"), testMachine("b"), &testLog{}
	log.add(t, only(t, b.Begin(start, testTry(1, "x")), ActionAppend).Record)
	log.read(t, a, start)
	must.Len(t, 0, a.Begin(start, testTry(1, "x")))
	refusal := only(t, a.SetLive(start.Add(viewLag), nil), ActionRefuse).Refusal
	must.Eq(t, Refusal{Outcome: model.OutcomeUnknown, Code: CodeHostGone}, *refusal)

	a.opts.Domain = "north"
	must.Len(t, 0, a.Begin(start.Add(foreignWait-1), testTry(2, "x")))
	only(t, a.SetLive(start.Add(foreignWait), nil), ActionRefuse)
}

func TestReleasedKeyIsClaimedAgainAndOldCopiesDoNotWin(t *testing.T) {
	m, log := testMachine("a"), &testLog{}
	claim := only(t, m.Begin(start, testTry(1, "x")), ActionAppend).Record
	log.add(t, claim)
	right := only(t, log.read(t, m, start), ActionSend).Right
	release := only(t, m.Finish(start, right, Result{Outcome: model.OutcomeNotRun}), ActionAppend).Record
	must.Len(t, 0, m.Begin(start, testTry(2, "x")))
	log.add(t, release)
	log.add(t, claim)
	again := only(t, log.read(t, m, start), ActionAppend).Record
	must.Eq(t, 1, again.Generation)
	log.add(t, again)
	must.Eq(t, TryID(2), only(t, log.read(t, m, start), ActionSend).Try)
}

func TestClaimMadeBeforeAReleaseWasReadIsRepeated(t *testing.T) {
	a, b, log := testMachine("a"), testMachine("b"), &testLog{}
	a.SetLive(start, []HostRef{b.opts.Self})
	claim := only(t, b.Begin(start, testTry(1, "x")), ActionAppend).Record
	release := claim
	release.Kind = KindRelease
	log.add(t, claim)
	log.add(t, release)
	log.add(t, only(t, a.Begin(start, testTry(1, "x")), ActionAppend).Record)
	must.Eq(t, 1, only(t, log.read(t, a, start), ActionAppend).Record.Generation)
}

func TestClaimReadBackLateIsReleased(t *testing.T) {
	m, log := testMachine("a"), &testLog{}
	log.add(t, only(t, m.Begin(start, testTry(1, "x")), ActionAppend).Record)
	later := start.Add(2 * time.Second)
	refused := only(t, m.Tick(later), ActionRefuse).Refusal
	must.Eq(t, model.OutcomeUnknown, refused.Outcome)
	must.Eq(t, KindRelease, only(t, log.read(t, m, later), ActionAppend).Record.Kind)
}

func TestOnlyTheOwnerEndsAClaim(t *testing.T) {
	m, log := testMachine("a"), &testLog{}
	claim := only(t, m.Begin(start, testTry(1, "x")), ActionAppend).Record
	log.add(t, claim)
	only(t, log.read(t, m, start), ActionSend)
	for _, kind := range []Kind{KindRelease, KindOutcome} {
		foreign := claim
		foreign.Kind, foreign.Nonce, foreign.Result = kind, claim.Nonce+1, &Result{Status: 200}
		log.add(t, foreign)
		must.Len(t, 0, log.read(t, m, start))
		must.Eq(t, stateClaimed, m.partitions[0].fold.entries[claim.Key].state)
	}
}

func TestEarlierClaimOfTheSameHostGivesNoRight(t *testing.T) {
	m, log := testMachine("a"), &testLog{}
	log.add(t, only(t, m.Begin(start, testTry(1, "x")), ActionAppend).Record)
	later := start.Add(2 * time.Second)
	m.Tick(later)
	log.add(t, only(t, m.Begin(later, testTry(2, "x")), ActionAppend).Record)
	release := only(t, log.read(t, m, later), ActionAppend).Record
	must.Eq(t, 1, release.Nonce)
	log.add(t, release)
	again := only(t, log.read(t, m, later), ActionAppend).Record
	log.add(t, again)
	right := only(t, log.read(t, m, later), ActionSend).Right
	must.Len(t, 0, m.Finish(later, Right{Key: right.Key, Owner: release.owner()}, Result{Status: 200}))
}

func TestOtherContentOfAClaimedKey(t *testing.T) {
	a, b, log := testMachine("a"), testMachine("b"), &testLog{}
	log.add(t, only(t, b.Begin(start, testTry(1, "y")), ActionAppend).Record)
	only(t, a.Begin(start, testTry(1, "x")), ActionAppend)
	undecided := only(t, a.Begin(start, testTry(2, "y")), ActionRefuse).Refusal
	must.Eq(t, Refusal{Outcome: model.OutcomeUnknown, Code: CodeKeyReused}, *undecided)
	decided := only(t, log.read(t, a, start), ActionRefuse)
	must.Eq(t, Refusal{Outcome: model.OutcomeNotRun, Code: CodeKeyReused}, *decided.Refusal)

	a.SetLog(start, false)
	first := testTry(3, "y")
	first.First = true
	must.Eq(t, model.OutcomeUnknown, only(t, a.Begin(start, first), ActionRefuse).Refusal.Outcome)
	first.Account = "brittany"
	must.Eq(t, model.OutcomeNotRun, only(t, a.Begin(start, first), ActionRefuse).Refusal.Outcome)
}

func TestWithoutTheLog(t *testing.T) {
	m := testMachine("a")
	m.SetLog(start, false)
	first := testTry(1, "x")
	first.First = true
	refused := only(t, m.Begin(start, first), ActionRefuse).Refusal
	must.Eq(t, Refusal{model.OutcomeNotRun, CodeLogUnavailable, logRetryAfter, true}, *refused)
	must.Eq(t, model.OutcomeUnknown, only(t, m.Begin(start, testTry(2, "x")), ActionRefuse).Refusal.Outcome)
	dedup := testTry(3, "x")
	dedup.Deduplicates = true
	must.True(t, only(t, m.Begin(start, dedup), ActionSend).Right.Unprotected)
	dedup.ID = 4
	must.True(t, only(t, m.Begin(start, dedup), ActionSend).Right.Unprotected)
}

func TestWindow(t *testing.T) {
	m, log := testMachine("a"), &testLog{}
	claim := only(t, m.Begin(start, testTry(1, "x")), ActionAppend).Record
	log.add(t, claim)
	log.read(t, m, start)
	late := claim
	late.Host, late.UnixMilli = "b", start.Add(time.Hour-time.Second).UnixMilli()
	log.add(t, late)
	log.read(t, m, late.Time())
	must.Eq(t, "a", m.partitions[0].fold.entries[late.Key].owner.Host)
	late.UnixMilli = start.Add(time.Hour).UnixMilli()
	log.add(t, late)
	log.read(t, m, late.Time())
	must.Eq(t, "b", m.partitions[0].fold.entries[late.Key].owner.Host)

	m.Tick(late.Time().Add(time.Hour + 2*m.maxClaimAge() + time.Second))
	must.MapEmpty(t, m.partitions[0].fold.entries)

	try := testTry(2, "x")
	try.KeyText = "01b2e7c3-0000-7000-8000-000000000000" // made in 2029
	must.Eq(t, CodeKeyExpired, only(t, m.Begin(start, try), ActionRefuse).Refusal.Code)
	try.KeyText = "017f22e2-79b0-7cc3-98c4-dc0c0c07398f" // made in 2022
	must.Eq(t, CodeKeyExpired, only(t, m.Begin(start, try), ActionRefuse).Refusal.Code)
}

func TestLostRecordsBlockTheirWindow(t *testing.T) {
	entry, err := EncodeRecord(Record{Kind: KindMark, UnixMilli: start.Add(-time.Minute).UnixMilli()})
	must.NoError(t, err)
	data, err := EncodeBatch([][]byte{entry})
	must.NoError(t, err)
	for _, c := range []struct {
		records []LogRecord
		until   time.Time
	}{
		{nil, start.Add(time.Hour)},
		{[]LogRecord{{Offset: 7, Data: data}}, start.Add(time.Hour - time.Minute)},
	} {
		m := testMachine("a")
		_, err := m.Applied(start, 0, 7, c.records)
		must.NoError(t, err)
		at := c.until.Add(-time.Second)
		must.Eq(t, CodeLogUnavailable, only(t, m.Begin(at, testTry(1, "x")), ActionRefuse).Refusal.Code)
		only(t, m.Begin(c.until, testTry(2, "x")), ActionAppend)
	}
}

func TestClaimAfterLostRecordsGivesNoRight(t *testing.T) {
	m, log := testMachine("a"), &testLog{}
	log.add(t, only(t, m.Begin(start, testTry(1, "x")), ActionAppend).Record)
	log.records[0].Offset = 3
	out, err := m.Applied(start, 0, 3, log.records)
	must.NoError(t, err)
	must.Len(t, 2, out)
	must.Eq(t, KindRelease, out[0].Record.Kind)
	must.Eq(t, model.OutcomeUnknown, out[1].Refusal.Outcome)
}

func TestClaimOfAFrozenHostGivesNoRight(t *testing.T) {
	m, log := testMachine("a"), &testLog{}
	log.add(t, only(t, m.Begin(start, testTry(1, "x")), ActionAppend).Record)
	out := log.read(t, m, start.Add(m.maxClaimAge()+time.Second))
	must.Len(t, 2, out)
	must.Eq(t, KindRelease, out[0].Record.Kind)
	must.Eq(t, ActionRefuse, out[1].Kind)
}

func TestUnknownSchemaStopsThePartition(t *testing.T) {
	m := testMachine("a")
	only(t, m.Begin(start, testTry(1, "x")), ActionAppend)
	out, err := m.Applied(start, 0, 0, []LogRecord{{Offset: 0, Data: []byte(`{"schema":2}`)}})
	var schema *SchemaError
	must.True(t, errors.As(err, &schema))
	must.Eq(t, 2, schema.Schema)
	must.Eq(t, CodeLogUnavailable, only(t, out, ActionRefuse).Refusal.Code)
	must.Eq(t, CodeLogUnavailable, only(t, m.Begin(start, testTry(2, "x")), ActionRefuse).Refusal.Code)
}

func TestTickets(t *testing.T) {
	a, b := testMachine("a"), testMachine("b")
	a.SetLog(start, false)
	text, err := a.IssueTicket(start, "office", time.Minute)
	must.NoError(t, err)
	try := testTry(1, "x")
	try.KeyText = text
	gone := only(t, b.Begin(start, try), ActionRefuse).Refusal
	must.Eq(t, model.OutcomeUnknown, gone.Outcome)
	b.SetLive(start, []HostRef{a.opts.Self})
	must.Eq(t, "a", only(t, b.Begin(start, try), ActionForward).Host)
	for _, forged := range []string{text + "A", text[:len(text)-4], "wst1.e30.AA", text[:10] + "\n" + text[10:]} {
		bad := try
		bad.KeyText = forged
		must.Eq(t, CodeTicketInvalid, only(t, a.Begin(start, bad), ActionRefuse).Refusal.Code)
	}
	open := testMachine("c")
	open.opts.Secret = nil
	_, err = open.IssueTicket(start, "office", time.Minute)
	must.ErrorIs(t, err, ErrNoSecret)
	payload, _, _ := strings.Cut(strings.TrimPrefix(text, ticketPrefix), ".")
	unsigned := try
	content, err := base64.RawURLEncoding.DecodeString(payload)
	must.NoError(t, err)
	mac := base64.RawURLEncoding.EncodeToString(ticketMAC(nil, "office", content))
	unsigned.KeyText = ticketPrefix + payload + "." + mac
	must.Eq(t, CodeTicketInvalid, only(t, open.Begin(start, unsigned), ActionRefuse).Refusal.Code)
	stolen := try
	stolen.Account = "brittany"
	must.Eq(t, CodeTicketInvalid, only(t, a.Begin(start, stolen), ActionRefuse).Refusal.Code)

	right := only(t, a.Begin(start, try), ActionSend).Right
	must.Len(t, 0, a.Begin(start, Try{ID: 2, Account: try.Account, KeyText: text, Digest: try.Digest}))
	a.answers.limit = 0
	out := a.Finish(start, right, Result{Outcome: model.OutcomeRan, Status: 200})
	must.Eq(t, ActionReplay, out[1].Kind)
	must.Eq(t, CodeAnswerUnavailable, only(t, a.Begin(start, try), ActionRefuse).Refusal.Code)
	other := try
	other.Digest = NewDigest("POST", "/confirm", "", []byte("y"))
	must.Eq(t, CodeKeyReused, only(t, a.Begin(start, other), ActionRefuse).Refusal.Code)

	log := &testLog{}
	log.add(t, out[0].Record)
	log.read(t, b, start)
	b.SetLive(start, nil)
	only(t, b.Begin(start, try), ActionFetch)
}

func TestTicketExpiryAndLimit(t *testing.T) {
	m := testMachine("a")
	for i := range 3 {
		text, err := m.IssueTicket(start, "office", time.Minute)
		must.NoError(t, err)
		try := testTry(TryID(i), "x")
		try.KeyText = text
		out := m.Begin(start, try)
		if i == 2 {
			must.Eq(t, CodeTicketsFull, only(t, out, ActionRefuse).Refusal.Code)
			late := only(t, m.Begin(start.Add(time.Minute), try), ActionRefuse).Refusal
			must.Eq(t, Refusal{Outcome: model.OutcomeNotRun, Code: CodeTicketExpired}, *late)
			forgotten := only(t, m.Begin(start.Add(time.Minute+ticketKeep), try), ActionRefuse).Refusal
			must.Eq(t, model.OutcomeUnknown, forgotten.Outcome)
			return
		}
		m.Finish(start, only(t, out, ActionSend).Right, Result{Outcome: model.OutcomeRan})
	}
}

func TestQuietPartitionIsMarked(t *testing.T) {
	m := testMachine("a")
	must.Len(t, 0, m.Tick(start.Add(time.Minute)))
	quiet := start.Add(time.Hour / 6)
	mark := only(t, m.Tick(quiet), ActionAppend).Record
	must.Eq(t, KindMark, mark.Kind)
	must.Len(t, 0, m.Tick(quiet.Add(time.Second)))
}
