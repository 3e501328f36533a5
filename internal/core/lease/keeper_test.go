package lease

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// The lease lasts 9 s, an order 2 s, the margin is 1 s: a successor waits 12 s.
func keeper(host model.HostID) *Keeper {
	return New(start, Options{
		Host: host, Incarnation: 1,
		Duration: 9 * time.Second, OrderTimeout: 2 * time.Second, Margin: time.Second,
	})
}

// stream is a lease stream that every keeper reads to the end.
type stream struct {
	t       *testing.T
	records [][]byte
}

func (s *stream) append(rec *Record) {
	data, err := rec.Encode()
	must.NoError(s.t, err)
	s.records = append(s.records, data)
}

func (s *stream) read(now time.Time, keepers ...*Keeper) {
	for _, k := range keepers {
		for int(k.Next()) < len(s.records) {
			k.Apply(now, k.Next(), s.records[k.Next()])
		}
	}
}

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

func permitted(k *Keeper, now time.Time) bool {
	_, ok := k.Permit(now)
	return ok
}

// held returns a stream on which a holds the lease since 12 s.
func held(t *testing.T) (*stream, *Keeper, *Keeper) {
	s := &stream{t: t}
	a, b := keeper("a"), keeper("b")
	rec, due := a.Due(at(12), 1)
	must.True(t, due)
	s.append(rec)
	s.read(at(12.5), a, b)
	must.True(t, permitted(a, at(12.5)))
	return s, a, b
}

func TestNobodyTakesALeaseThatMayBeHeld(t *testing.T) {
	_, due := keeper("a").Due(at(11.9), 1)
	must.False(t, due)
	_, a, b := held(t)
	must.True(t, permitted(a, at(19.9)))
	must.False(t, permitted(a, at(20)))
	_, due = b.Due(at(24.4), 2)
	must.False(t, due)
	_, due = b.Due(at(24.5), 2)
	must.True(t, due)
}

func TestOfTwoAppendsOneWins(t *testing.T) {
	s := &stream{t: t}
	a, b := keeper("a"), keeper("b")
	first, _ := a.Due(at(12), 1)
	second, _ := b.Due(at(12), 2)
	s.append(second)
	s.append(first)
	s.read(at(13), a, b)
	must.False(t, permitted(a, at(13)))
	must.True(t, permitted(b, at(13)))
	late := keeper("c")
	late.SkipTo(1)
	s.read(at(13), late)
	holder, _ := late.Holder()
	must.Eq(t, "", holder)
}

func TestRenewalKeepsTheFencingNumber(t *testing.T) {
	s, a, b := held(t)
	_, due := a.Due(at(14.9), 2)
	must.False(t, due)
	rec, due := a.Due(at(15), 2)
	must.True(t, due)
	s.append(rec)
	s.read(at(15), a, b)
	fencing, ok := a.Permit(at(22.9))
	must.True(t, ok)
	must.Eq(t, 0, fencing)
	must.False(t, permitted(a, at(23)))
}

// A paused holder wakes before it has read the stream, so only its own clock
// can tell that its lease is over.
func TestPausedHolderGivesNoOrder(t *testing.T) {
	s, a, b := held(t)
	rec, due := b.Due(at(24.5), 2)
	must.True(t, due)
	s.append(rec)
	s.read(at(24.6), b)
	fencing, ok := b.Permit(at(24.6))
	must.True(t, ok)
	must.Eq(t, 1, fencing)
	must.False(t, permitted(a, at(24.6)))
	// Its renewal comes too late to count.
	stale := &Record{Expected: 1, Holder: "a", Incarnation: 1, Nonce: 3, Renews: true, Duration: 9 * time.Second}
	s.append(stale)
	s.read(at(25), a, b)
	must.False(t, permitted(a, at(25)))
	must.True(t, permitted(b, at(25)))
}

// The last order before the lease ends is over before a successor may start,
// for every pair of times.
func TestOrdersOfTwoHoldersNeverOverlap(t *testing.T) {
	for ms := 0; ms < 30000; ms += 50 {
		now := at(12.5).Add(time.Duration(ms) * time.Millisecond)
		_, a, b := held(t)
		if permitted(a, now) {
			_, due := b.Due(now.Add(2*time.Second), 2)
			must.False(t, due)
		}
	}
}

func TestReleaseHandsOverSooner(t *testing.T) {
	s, a, b := held(t)
	rec, ok := a.Release(at(13), 2)
	must.True(t, ok)
	must.False(t, permitted(a, at(13)))
	s.append(rec)
	s.read(at(13), a, b)
	_, due := b.Due(at(15.9), 3)
	must.False(t, due)
	_, due = b.Due(at(16), 3)
	must.True(t, due)
}
