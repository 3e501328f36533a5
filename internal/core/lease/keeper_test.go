package lease

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// newTestKeeper returns a Keeper whose lease lasts 9 s, with an order timeout of
// 2 s and a margin of 1 s: a successor waits 12 s.
func newTestKeeper(host model.HostID) *Keeper {
	return New(start, Options{
		Host: host, Incarnation: 1,
		Duration: 9 * time.Second, OrderTimeout: 2 * time.Second, Margin: time.Second,
	})
}

// stream is a lease stream in memory.
type stream struct {
	t       *testing.T
	records [][]byte
}

func (s *stream) append(rec *Record) {
	data, err := rec.Encode()
	must.NoError(s.t, err)
	s.records = append(s.records, data)
}

// read lets the keepers read the stream to its end.
func (s *stream) read(now time.Time, keepers ...*Keeper) {
	for _, k := range keepers {
		for int(k.Next()) < len(s.records) {
			k.Apply(now, k.Next(), s.records[k.Next()])
		}
	}
}

// at returns the time that many seconds after start.
func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

func isPermitted(k *Keeper, now time.Time) bool {
	_, ok := k.FencingNumber(now)
	return ok
}

// newHeldLease returns a stream and the keepers a and b, of which a holds the
// lease since 12 s after start.
func newHeldLease(t *testing.T) (*stream, *Keeper, *Keeper) {
	s := &stream{t: t}
	a, b := newTestKeeper("a"), newTestKeeper("b")
	rec, due := a.DueRecord(at(12), 1)
	must.True(t, due)
	s.append(rec)
	s.read(at(12.5), a, b)
	must.True(t, isPermitted(a, at(12.5)))
	return s, a, b
}

func TestLeaseIsNotClaimedWhileItMayBeHeld(t *testing.T) {
	_, due := newTestKeeper("a").DueRecord(at(11.9), 1)
	must.False(t, due)
	_, a, b := newHeldLease(t)
	must.True(t, isPermitted(a, at(19.9)))
	must.False(t, isPermitted(a, at(20)))
	_, due = b.DueRecord(at(24.4), 2)
	must.False(t, due)
	_, due = b.DueRecord(at(24.5), 2)
	must.True(t, due)
}

func TestConcurrentAppendsHaveOneWinner(t *testing.T) {
	s := &stream{t: t}
	a, b := newTestKeeper("a"), newTestKeeper("b")
	first, _ := a.DueRecord(at(12), 1)
	second, _ := b.DueRecord(at(12), 2)
	s.append(second)
	s.append(first)
	s.read(at(13), a, b)
	must.False(t, isPermitted(a, at(13)))
	must.True(t, isPermitted(b, at(13)))
	late := newTestKeeper("c")
	late.SkipTo(1)
	s.read(at(13), late)
	holder, _ := late.Holder()
	must.Eq(t, "", holder)
}

func TestRenewalKeepsTheFencingNumber(t *testing.T) {
	s, a, b := newHeldLease(t)
	_, due := a.DueRecord(at(14.9), 2)
	must.False(t, due)
	rec, due := a.DueRecord(at(15), 2)
	must.True(t, due)
	s.append(rec)
	s.read(at(15), a, b)
	fencing, ok := a.FencingNumber(at(22.9))
	must.True(t, ok)
	must.Eq(t, 0, fencing)
	must.False(t, isPermitted(a, at(23)))
}

// A process that was paused may resume before it reads the stream. Only its own
// clock then shows that its lease has expired.
func TestPausedHolderMayNotGiveOrders(t *testing.T) {
	s, a, b := newHeldLease(t)
	rec, due := b.DueRecord(at(24.5), 2)
	must.True(t, due)
	s.append(rec)
	s.read(at(24.6), b)
	fencing, ok := b.FencingNumber(at(24.6))
	must.True(t, ok)
	must.Eq(t, 1, fencing)
	must.False(t, isPermitted(a, at(24.6)))
	// A renewal by a at an offset that b has already used is invalid.
	stale := &Record{Expected: 1, Holder: "a", Incarnation: 1, Nonce: 3, Renews: true, Duration: 9 * time.Second}
	s.append(stale)
	s.read(at(25), a, b)
	must.False(t, isPermitted(a, at(25)))
	must.True(t, isPermitted(b, at(25)))
}

// The last order that a holder may give ends before a successor may claim the
// lease, checked for order times over 30 s in steps of 50 ms.
func TestOrdersOfTwoHoldersNeverOverlap(t *testing.T) {
	for ms := 0; ms < 30000; ms += 50 {
		now := at(12.5).Add(time.Duration(ms) * time.Millisecond)
		_, a, b := newHeldLease(t)
		if isPermitted(a, now) {
			_, due := b.DueRecord(now.Add(2*time.Second), 2)
			must.False(t, due)
		}
	}
}

func TestReleaseShortensTakeover(t *testing.T) {
	s, a, b := newHeldLease(t)
	rec, ok := a.Release(at(13), 2)
	must.True(t, ok)
	must.False(t, isPermitted(a, at(13)))
	s.append(rec)
	s.read(at(13), a, b)
	_, due := b.DueRecord(at(15.9), 3)
	must.False(t, due)
	_, due = b.DueRecord(at(16), 3)
	must.True(t, due)
}

// The stream was restored from a copy that lacks a renewal which the holder has
// read. Another host claims only once that renewal must have expired as well, and
// its fencing number is above the earlier ones.
func TestRestoredStreamDelaysClaims(t *testing.T) {
	const eraStart = 1 << 40
	s, a, b := newHeldLease(t)
	renewal, due := a.DueRecord(at(15), 2)
	must.True(t, due)
	s.append(renewal)
	s.read(at(15.1), a)
	must.True(t, isPermitted(a, at(22.9)))
	b.BeginEra(at(15.2), eraStart)
	_, due = b.DueRecord(at(24.5), 3)
	must.False(t, due, must.Sprint("without the restoration the claim would be due"))
	claim, due := b.DueRecord(at(27.2), 3)
	must.True(t, due)
	must.Eq(t, eraStart, claim.Expected)
	data, err := claim.Encode()
	must.NoError(t, err)
	b.Apply(at(27.3), eraStart, data)
	fencing, ok := b.FencingNumber(at(27.3))
	must.True(t, ok)
	must.Eq(t, eraStart, fencing)
}

// A process that holds the lease, or held it last, begins a new term with a higher fencing
// number at once. It fails if another host has claimed meanwhile.
func TestHolderClaimsAnew(t *testing.T) {
	s, a, b := newHeldLease(t)
	_, ok := b.ClaimAnew(at(13), 2)
	must.False(t, ok, must.Sprint("b is not the holder"))
	rec, ok := a.ClaimAnew(at(13), 2)
	must.True(t, ok)
	must.False(t, isPermitted(a, at(13)), must.Sprint("the old term is over"))
	s.append(rec)
	s.read(at(13.1), a, b)
	fencing, ok := a.FencingNumber(at(13.1))
	must.True(t, ok)
	must.Eq(t, 1, fencing)

	claim, due := b.DueRecord(at(26), 3)
	must.True(t, due)
	s.append(claim)
	late, ok := a.ClaimAnew(at(26), 4)
	must.True(t, ok, must.Sprint("a has not read the claim"))
	s.append(late)
	s.read(at(26.1), a, b)
	must.False(t, isPermitted(a, at(26.1)))
	must.True(t, isPermitted(b, at(26.1)))
	_, ok = a.ClaimAnew(at(26.1), 5)
	must.False(t, ok)
}

// After the stream was restored, the claim of another host may be lost.
func TestRestoredStreamDelaysNewTerm(t *testing.T) {
	_, a, _ := newHeldLease(t)
	a.BeginEra(at(30), 1<<40)
	_, ok := a.ClaimAnew(at(31), 2)
	must.False(t, ok)
	_, ok = a.ClaimAnew(at(42), 2)
	must.True(t, ok)
}
