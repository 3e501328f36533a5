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

// testMachine returns a Machine with one partition that has been read up to its end.
func testMachine(host model.HostID) *Machine {
	m := New(Options{
		Self: HostRef{Host: host, Incarnation: 1}, Secret: []byte("secret"), Partitions: 1,
		Window: time.Hour, ClaimTimeout: 2 * time.Second, MaxTickets: 2, CacheBytes: 1000,
	})
	m.SetLogAvailable(start, true)
	_, _ = m.ApplyRecords(start, 0, Extent{}, nil)
	return m
}

// testTry returns a try with the key k.
func testTry(id TryID, body string) Try {
	return Try{ID: id, Account: "office", KeyText: "k", Digest: NewDigest("POST", "/confirm", "", []byte(body))}
}

// onlyAction asserts that there is a single action of the given kind and returns
// it.
func onlyAction(t *testing.T, actions []Action, kind ActionKind) Action {
	t.Helper()
	must.Len(t, 1, actions)
	must.Eq(t, kind, actions[0].Kind)
	return actions[0]
}

// testLog is a log with one partition, shared by all machines of a test.
type testLog struct{ records []LogRecord }

// add appends a batch with one record.
func (l *testLog) add(t *testing.T, rec Record) {
	t.Helper()
	entry, err := EncodeRecord(rec)
	must.NoError(t, err)
	data, err := EncodeBatch([][]byte{entry})
	must.NoError(t, err)
	l.records = append(l.records, LogRecord{Offset: model.Offset(len(l.records)), Data: data})
}

// read applies all records that m has not read yet and returns its actions.
func (l *testLog) read(t *testing.T, m *Machine, now time.Time) []Action {
	t.Helper()
	actions, err := m.ApplyRecords(now, 0, Extent{}, l.records[m.NextOffset(0):])
	must.NoError(t, err)
	return actions
}

func TestFirstClaimWinsAndItsResultIsReplayed(t *testing.T) {
	a, b, log := testMachine("a"), testMachine("b"), &testLog{}
	a.SetLiveHosts(start, []HostRef{b.opts.Self})
	log.add(t, onlyAction(t, b.Begin(start, testTry(1, "x")), ActionAppend).Record)
	log.add(t, onlyAction(t, a.Begin(start, testTry(1, "x")), ActionAppend).Record)
	must.Len(t, 0, log.read(t, a, start))
	permit := onlyAction(t, log.read(t, b, start), ActionSend).Permit
	must.Len(t, 0, b.Begin(start, testTry(2, "x")))
	must.Eq(t, CodeKeyReused, onlyAction(t, b.Begin(start, testTry(3, "y")), ActionRefuse).Refusal.Code)

	out := b.Finish(start, permit, Result{Outcome: model.OutcomeRan, Status: 201, Body: []byte("done")})
	must.Len(t, 2, out)
	must.Eq(t, ActionReplay, out[1].Kind)
	must.Len(t, 0, b.Finish(start, permit, Result{Outcome: model.OutcomeNotRun}))
	log.add(t, out[0].Record)
	fetch := onlyAction(t, log.read(t, a, start), ActionFetch)
	must.Eq(t, Position{Offset: 2}, fetch.Position)
	must.Eq(t, CodeKeyReused, onlyAction(t, a.Begin(start, testTry(4, "y")), ActionRefuse).Refusal.Code)
}

func TestClaimOfDeadHostHasUnknownOutcome(t *testing.T) {
	a, b, log := testMachine("a"), testMachine("b"), &testLog{}
	log.add(t, onlyAction(t, b.Begin(start, testTry(1, "x")), ActionAppend).Record)
	log.read(t, a, start)
	must.Len(t, 0, a.Begin(start, testTry(1, "x")))
	refusal := onlyAction(t, a.SetLiveHosts(start.Add(membershipLag), nil), ActionRefuse).Refusal
	must.Eq(t, Refusal{Outcome: model.OutcomeUnknown, Code: CodeSenderGone}, *refusal)

	a.opts.Domain = "north"
	must.Len(t, 0, a.Begin(start.Add(remoteClaimTimeout-1), testTry(2, "x")))
	onlyAction(t, a.SetLiveHosts(start.Add(remoteClaimTimeout), nil), ActionRefuse)
}

func TestReleasedKeyIsClaimedAgainDespiteDuplicateClaim(t *testing.T) {
	m, log := testMachine("a"), &testLog{}
	claim := onlyAction(t, m.Begin(start, testTry(1, "x")), ActionAppend).Record
	log.add(t, claim)
	permit := onlyAction(t, log.read(t, m, start), ActionSend).Permit
	release := onlyAction(t, m.Finish(start, permit, Result{Outcome: model.OutcomeNotRun}), ActionAppend).Record
	must.Len(t, 0, m.Begin(start, testTry(2, "x")))
	log.add(t, release)
	log.add(t, claim)
	again := onlyAction(t, log.read(t, m, start), ActionAppend).Record
	must.Eq(t, 1, again.Generation)
	log.add(t, again)
	must.Eq(t, TryID(2), onlyAction(t, log.read(t, m, start), ActionSend).Try)
}

func TestClaimWithStaleGenerationIsRetried(t *testing.T) {
	a, b, log := testMachine("a"), testMachine("b"), &testLog{}
	a.SetLiveHosts(start, []HostRef{b.opts.Self})
	claim := onlyAction(t, b.Begin(start, testTry(1, "x")), ActionAppend).Record
	release := claim
	release.Kind = KindRelease
	log.add(t, claim)
	log.add(t, release)
	log.add(t, onlyAction(t, a.Begin(start, testTry(1, "x")), ActionAppend).Record)
	must.Eq(t, 1, onlyAction(t, log.read(t, a, start), ActionAppend).Record.Generation)
}

func TestClaimReadBackAfterTimeoutIsReleased(t *testing.T) {
	m, log := testMachine("a"), &testLog{}
	log.add(t, onlyAction(t, m.Begin(start, testTry(1, "x")), ActionAppend).Record)
	later := start.Add(2 * time.Second)
	refused := onlyAction(t, m.Tick(later), ActionRefuse).Refusal
	must.Eq(t, model.OutcomeUnknown, refused.Outcome)
	must.Eq(t, KindRelease, onlyAction(t, log.read(t, m, later), ActionAppend).Record.Kind)
}

func TestOnlyOwnerCanEndClaim(t *testing.T) {
	m, log := testMachine("a"), &testLog{}
	claim := onlyAction(t, m.Begin(start, testTry(1, "x")), ActionAppend).Record
	log.add(t, claim)
	onlyAction(t, log.read(t, m, start), ActionSend)
	for _, kind := range []Kind{KindRelease, KindOutcome} {
		foreign := claim
		foreign.Kind, foreign.Nonce, foreign.Result = kind, claim.Nonce+1, &Result{Status: 200}
		log.add(t, foreign)
		must.Len(t, 0, log.read(t, m, start))
		must.Eq(t, stateClaimed, m.partitions[0].keys.entries[claim.Key].state)
	}
}

func TestAbandonedClaimOfSameHostGrantsNoPermit(t *testing.T) {
	m, log := testMachine("a"), &testLog{}
	log.add(t, onlyAction(t, m.Begin(start, testTry(1, "x")), ActionAppend).Record)
	later := start.Add(2 * time.Second)
	m.Tick(later)
	log.add(t, onlyAction(t, m.Begin(later, testTry(2, "x")), ActionAppend).Record)
	release := onlyAction(t, log.read(t, m, later), ActionAppend).Record
	must.Eq(t, 1, release.Nonce)
	log.add(t, release)
	again := onlyAction(t, log.read(t, m, later), ActionAppend).Record
	log.add(t, again)
	permit := onlyAction(t, log.read(t, m, later), ActionSend).Permit
	must.Len(t, 0, m.Finish(later, Permit{Key: permit.Key, Owner: release.owner()}, Result{Status: 200}))
}

func TestKeyReusedWithDifferentContent(t *testing.T) {
	a, b, log := testMachine("a"), testMachine("b"), &testLog{}
	log.add(t, onlyAction(t, b.Begin(start, testTry(1, "y")), ActionAppend).Record)
	onlyAction(t, a.Begin(start, testTry(1, "x")), ActionAppend)
	undecided := onlyAction(t, a.Begin(start, testTry(2, "y")), ActionRefuse).Refusal
	must.Eq(t, Refusal{Outcome: model.OutcomeUnknown, Code: CodeKeyReused}, *undecided)
	decided := onlyAction(t, log.read(t, a, start), ActionRefuse)
	must.Eq(t, Refusal{Outcome: model.OutcomeNotRun, Code: CodeKeyReused}, *decided.Refusal)

	a.SetLogAvailable(start, false)
	first := testTry(3, "y")
	first.First = true
	must.Eq(t, model.OutcomeUnknown, onlyAction(t, a.Begin(start, first), ActionRefuse).Refusal.Outcome)
	first.Account = "brittany"
	must.Eq(t, model.OutcomeNotRun, onlyAction(t, a.Begin(start, first), ActionRefuse).Refusal.Outcome)
}

func TestLogUnavailable(t *testing.T) {
	m := testMachine("a")
	m.SetLogAvailable(start, false)
	first := testTry(1, "x")
	first.First = true
	refused := onlyAction(t, m.Begin(start, first), ActionRefuse).Refusal
	must.Eq(t, Refusal{model.OutcomeNotRun, CodeLogUnavailable, logRetryAfter, true}, *refused)
	must.Eq(t, model.OutcomeUnknown, onlyAction(t, m.Begin(start, testTry(2, "x")), ActionRefuse).Refusal.Outcome)
	dedup := testTry(3, "x")
	dedup.Deduplicates = true
	must.True(t, onlyAction(t, m.Begin(start, dedup), ActionSend).Permit.Unlogged)
	dedup.ID = 4
	must.True(t, onlyAction(t, m.Begin(start, dedup), ActionSend).Permit.Unlogged)
}

func TestKeyWindow(t *testing.T) {
	m, log := testMachine("a"), &testLog{}
	claim := onlyAction(t, m.Begin(start, testTry(1, "x")), ActionAppend).Record
	log.add(t, claim)
	log.read(t, m, start)
	late := claim
	late.Host, late.UnixMilli = "b", start.Add(time.Hour-time.Second).UnixMilli()
	log.add(t, late)
	log.read(t, m, late.Time())
	must.Eq(t, "a", m.partitions[0].keys.entries[late.Key].owner.Host)
	late.UnixMilli = start.Add(time.Hour).UnixMilli()
	log.add(t, late)
	log.read(t, m, late.Time())
	must.Eq(t, "b", m.partitions[0].keys.entries[late.Key].owner.Host)

	m.Tick(late.Time().Add(time.Hour + 2*m.maxClaimAge() + time.Second))
	must.MapEmpty(t, m.partitions[0].keys.entries)

	try := testTry(2, "x")
	try.KeyText = "01b2e7c3-0000-7000-8000-000000000000" // made in 2029
	must.Eq(t, CodeKeyExpired, onlyAction(t, m.Begin(start, try), ActionRefuse).Refusal.Code)
	try.KeyText = "017f22e2-79b0-7cc3-98c4-dc0c0c07398f" // made in 2022
	must.Eq(t, CodeKeyExpired, onlyAction(t, m.Begin(start, try), ActionRefuse).Refusal.Code)
}

func TestDroppedRecordsBlockClaimsForTheirWindow(t *testing.T) {
	entry, err := EncodeRecord(Record{Kind: KindTimestamp, UnixMilli: start.Add(-time.Minute).UnixMilli()})
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
		_, err := m.ApplyRecords(start, 0, Extent{Earliest: 7}, c.records)
		must.NoError(t, err)
		at := c.until.Add(-time.Second)
		must.Eq(t, CodeLogUnavailable, onlyAction(t, m.Begin(at, testTry(1, "x")), ActionRefuse).Refusal.Code)
		onlyAction(t, m.Begin(c.until, testTry(2, "x")), ActionAppend)
	}
}

func TestClaimAfterDroppedRecordsGrantsNoPermit(t *testing.T) {
	m, log := testMachine("a"), &testLog{}
	log.add(t, onlyAction(t, m.Begin(start, testTry(1, "x")), ActionAppend).Record)
	log.records[0].Offset = 3
	out, err := m.ApplyRecords(start, 0, Extent{Earliest: 3}, log.records)
	must.NoError(t, err)
	must.Len(t, 2, out)
	must.Eq(t, KindRelease, out[0].Record.Kind)
	must.Eq(t, model.OutcomeUnknown, out[1].Refusal.Outcome)
}

func TestClaimOfFrozenHostGrantsNoPermit(t *testing.T) {
	m, log := testMachine("a"), &testLog{}
	log.add(t, onlyAction(t, m.Begin(start, testTry(1, "x")), ActionAppend).Record)
	out := log.read(t, m, start.Add(m.maxClaimAge()+time.Second))
	must.Len(t, 2, out)
	must.Eq(t, KindRelease, out[0].Record.Kind)
	must.Eq(t, ActionRefuse, out[1].Kind)
}

func TestUnknownSchemaHaltsPartition(t *testing.T) {
	m := testMachine("a")
	onlyAction(t, m.Begin(start, testTry(1, "x")), ActionAppend)
	out, err := m.ApplyRecords(start, 0, Extent{}, []LogRecord{{Offset: 0, Data: []byte(`{"schema":2}`)}})
	var schema *SchemaError
	must.True(t, errors.As(err, &schema))
	must.Eq(t, 2, schema.Schema)
	must.Eq(t, CodeLogUnavailable, onlyAction(t, out, ActionRefuse).Refusal.Code)
	must.Eq(t, CodeLogUnavailable, onlyAction(t, m.Begin(start, testTry(2, "x")), ActionRefuse).Refusal.Code)
}

func TestTickets(t *testing.T) {
	a, b := testMachine("a"), testMachine("b")
	a.SetLogAvailable(start, false)
	text, err := a.IssueTicket(start, "office", time.Minute)
	must.NoError(t, err)
	try := testTry(1, "x")
	try.KeyText = text
	gone := onlyAction(t, b.Begin(start, try), ActionRefuse).Refusal
	must.Eq(t, model.OutcomeUnknown, gone.Outcome)
	b.SetLiveHosts(start, []HostRef{a.opts.Self})
	must.Eq(t, "a", onlyAction(t, b.Begin(start, try), ActionForward).Host)
	for _, forged := range []string{text + "A", text[:len(text)-4], "wst1.e30.AA", text[:10] + "\n" + text[10:]} {
		bad := try
		bad.KeyText = forged
		must.Eq(t, CodeTicketInvalid, onlyAction(t, a.Begin(start, bad), ActionRefuse).Refusal.Code)
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
	must.Eq(t, CodeTicketInvalid, onlyAction(t, open.Begin(start, unsigned), ActionRefuse).Refusal.Code)
	stolen := try
	stolen.Account = "brittany"
	must.Eq(t, CodeTicketInvalid, onlyAction(t, a.Begin(start, stolen), ActionRefuse).Refusal.Code)

	permit := onlyAction(t, a.Begin(start, try), ActionSend).Permit
	must.Len(t, 0, a.Begin(start, Try{ID: 2, Account: try.Account, KeyText: text, Digest: try.Digest}))
	a.results.limit = 0
	out := a.Finish(start, permit, Result{Outcome: model.OutcomeRan, Status: 200})
	must.Eq(t, ActionReplay, out[1].Kind)
	must.Eq(t, CodeAnswerUnavailable, onlyAction(t, a.Begin(start, try), ActionRefuse).Refusal.Code)
	other := try
	other.Digest = NewDigest("POST", "/confirm", "", []byte("y"))
	must.Eq(t, CodeKeyReused, onlyAction(t, a.Begin(start, other), ActionRefuse).Refusal.Code)

	log := &testLog{}
	log.add(t, out[0].Record)
	log.read(t, b, start)
	b.SetLiveHosts(start, nil)
	onlyAction(t, b.Begin(start, try), ActionFetch)
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
			must.Eq(t, CodeTooManyTickets, onlyAction(t, out, ActionRefuse).Refusal.Code)
			late := onlyAction(t, m.Begin(start.Add(time.Minute), try), ActionRefuse).Refusal
			must.Eq(t, Refusal{Outcome: model.OutcomeNotRun, Code: CodeTicketExpired}, *late)
			forgotten := onlyAction(t, m.Begin(start.Add(time.Minute+ticketRetention), try), ActionRefuse).Refusal
			must.Eq(t, model.OutcomeUnknown, forgotten.Outcome)
			return
		}
		m.Finish(start, onlyAction(t, out, ActionSend).Permit, Result{Outcome: model.OutcomeRan})
	}
}

func TestQuietPartitionGetsTimestamp(t *testing.T) {
	m := testMachine("a")
	must.Len(t, 0, m.Tick(start.Add(time.Minute)))
	quiet := start.Add(time.Hour / 6)
	timestamp := onlyAction(t, m.Tick(quiet), ActionAppend).Record
	must.Eq(t, KindTimestamp, timestamp.Kind)
	must.Len(t, 0, m.Tick(quiet.Add(time.Second)))
}

// restored returns the records of a log that was restored from its first n records,
// with the offsets of a new era.
func (l *testLog) restored(n int, eraStart model.Offset) *testLog {
	out := &testLog{}
	for _, rec := range l.records[:n] {
		out.records = append(out.records, LogRecord{Offset: eraStart + rec.Offset, Data: rec.Data})
	}
	return out
}

// The log was restored from a copy that lacks a claim. No host that has read the log
// before decides a claim until every lost claim is out of its window, and neither
// does one that starts then and reads that the log was restored.
func TestRestoredLogBlocksClaimsForTheirWindow(t *testing.T) {
	const eraStart = 1 << 40
	extent := Extent{EraStart: eraStart, Earliest: eraStart}
	known := testMachine("known")
	actions, err := known.ApplyRecords(start, 0, extent, nil)
	must.NoError(t, err)
	must.Eq(t, eraStart, known.NextOffset(0))
	rec := onlyAction(t, actions, ActionAppend).Record
	must.True(t, rec.Restored)

	fresh := New(testMachine("fresh").opts)
	fresh.SetLogAvailable(start, true)
	log := &testLog{}
	log.add(t, rec)
	_, err = fresh.ApplyRecords(start, 0, extent, log.restored(1, eraStart).records)
	must.NoError(t, err)
	for _, m := range []*Machine{known, fresh} {
		refused := onlyAction(t, m.Begin(start.Add(time.Hour-time.Second), testTry(2, "x")), ActionRefuse)
		must.Eq(t, CodeLogUnavailable, refused.Refusal.Code)
		onlyAction(t, m.Begin(start.Add(time.Hour), testTry(3, "x")), ActionAppend)
	}
}

// A claim that was read before the log was restored stays in force.
func TestRestoredLogKeepsClaimsThatWereRead(t *testing.T) {
	const eraStart = 1 << 40
	a, b := testMachine("a"), testMachine("b")
	log := &testLog{}
	log.add(t, onlyAction(t, a.Begin(start, testTry(1, "x")), ActionAppend).Record)
	send := onlyAction(t, log.read(t, a, start), ActionSend)
	log.read(t, b, start)
	log.add(t, onlyAction(t, a.Finish(start, send.Permit, Result{Outcome: model.OutcomeRan, Status: 200}), ActionAppend).Record)
	log.read(t, b, start)
	_, err := b.ApplyRecords(start, 0, Extent{EraStart: eraStart, Earliest: eraStart}, nil)
	must.NoError(t, err)
	fetch := onlyAction(t, b.Begin(start.Add(time.Second), testTry(2, "x")), ActionFetch)
	must.Eq(t, send.Permit.Key, fetch.Key)
}

// A host that starts in a later era has missed nothing.
func TestFirstReadInLaterEraBlocksNothing(t *testing.T) {
	const eraStart = 3 << 40
	m := New(testMachine("a").opts)
	m.SetLogAvailable(start, true)
	actions, err := m.ApplyRecords(start, 0, Extent{EraStart: eraStart, Earliest: eraStart}, nil)
	must.NoError(t, err)
	must.SliceEmpty(t, actions)
	onlyAction(t, m.Begin(start, testTry(1, "x")), ActionAppend)
}
