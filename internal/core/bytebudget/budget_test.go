package bytebudget_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/wigeonsail/wigeonsail/internal/core/bytebudget"
)

const (
	testLimit = 50 << 20
	largeBody = 4 << 20
)

// While no large body is accepted, small ones are.
func TestSmallBodiesAreAcceptedBesideLargeOnes(t *testing.T) {
	b := bytebudget.New(testLimit)
	large := 0
	for b.Admit(largeBody) != nil {
		large++
	}
	must.Eq(t, 10, large)
	for range 50 {
		must.NotNil(t, b.Admit(1000))
	}
	must.Nil(t, b.Admit(largeBody))
}

// A body of unknown length is large once it has grown.
func TestGrowingBodyBecomesLarge(t *testing.T) {
	b := bytebudget.New(testLimit)
	for b.Admit(largeBody) != nil {
	}
	h := b.Admit(0)
	must.True(t, b.GrowBody(h, bytebudget.SmallBody))
	must.False(t, b.GrowBody(h, largeBody))
}

// Only for lack of room is a caller shed: the slowest one of the largest rank.
func TestSlowestCallerOfLargestRankIsShed(t *testing.T) {
	now := time.Unix(100, 0)
	b := bytebudget.New(10 << 20)
	holders := make([]*bytebudget.Holder, 4)
	for i := range holders {
		holders[i] = b.Admit(0)
		b.SetRank(holders[i], []int{0, 5, 5, 9}[i])
	}
	for i, at := range []int{0, 2, 1} {
		ok, _ := b.AddUnread(now, holders[i], 3<<20)
		must.True(t, ok)
		b.Send(now.Add(time.Duration(at)*time.Second), holders[i])
	}
	now = now.Add(10 * time.Second)
	for _, want := range []*bytebudget.Holder{holders[2], holders[1], holders[0], nil} {
		ok, victim := b.AddUnread(now, holders[3], 3<<20)
		must.False(t, ok)
		must.True(t, victim == want)
	}
	b.Release(holders[2])
	ok, _ := b.AddUnread(now, holders[3], 3<<20)
	must.True(t, ok)
}

// A caller that has read all there was for it does not wait: the endpoint was silent.
func TestCallerThatHasReadAllIsNotShed(t *testing.T) {
	now := time.Unix(100, 0)
	b := bytebudget.New(10 << 20)
	reader, other := b.Admit(0), b.Admit(0)
	b.Send(now, reader)
	b.AddUnread(now, reader, 1000)
	b.Read(now, reader, 1000)
	now = now.Add(10 * time.Second)
	b.AddUnread(now, reader, 1000)
	ok, victim := b.AddUnread(now, other, 10<<20)
	must.False(t, ok)
	must.Nil(t, victim)
	ok, victim = b.AddUnread(now.Add(2*time.Second), other, 10<<20)
	must.False(t, ok)
	must.True(t, victim == reader)
}

// Whatever happens, no more than the limit is held, and nothing when all requests have ended.
func TestBudgetIsKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := bytebudget.New(testLimit)
		now := time.Unix(100, 0)
		var holders []*bytebudget.Holder
		size := rapid.Int64Range(0, 5<<20)
		t.Repeat(map[string]func(*rapid.T){
			"admit": func(t *rapid.T) {
				if h := b.Admit(size.Draw(t, "body")); h != nil {
					holders = append(holders, h)
				}
			},
			"use": func(t *rapid.T) {
				if len(holders) == 0 {
					return
				}
				now = now.Add(time.Duration(rapid.Int64Range(0, 2e9).Draw(t, "passed")))
				h := holders[rapid.IntRange(0, len(holders)-1).Draw(t, "holder")]
				switch rapid.IntRange(0, 8).Draw(t, "use") {
				case 0:
					b.GrowBody(h, size.Draw(t, "grow"))
				case 1:
					b.AddUnread(now, h, size.Draw(t, "unread"))
				case 2:
					b.Read(now, h, size.Draw(t, "read"))
				case 3:
					b.Send(now, h)
				case 4:
					b.AddBuffer(now, h, size.Draw(t, "buffer"))
				case 5:
					b.KeepBuffer(h, size.Draw(t, "keep"))
				case 6:
					if broken, _ := b.BreakOff(now, h); broken != nil {
						b.Release(broken)
						holders = deleteHolder(holders, broken)
					}
				case 7:
					b.FreeBuffer(h, size.Draw(t, "free"))
				default:
					b.Release(h)
					holders = deleteHolder(holders, h)
				}
			},
			"": func(t *rapid.T) {
				must.GreaterEq(t, 0, b.Used())
				must.Eq(t, len(holders), b.Count())
				must.LessEq(t, testLimit+5<<20, b.Used())
			},
		})
		for _, h := range holders {
			b.Release(h)
		}
		must.Zero(t, b.Used())
	})
}

func deleteHolder(all []*bytebudget.Holder, h *bytebudget.Holder) []*bytebudget.Holder {
	var out []*bytebudget.Holder
	for _, other := range all {
		if other != h {
			out = append(out, other)
		}
	}
	return out
}

// Responses that wait for room are broken off one by one, the largest first, also if their own
// wait is short.
func TestLargestBlockedResponseIsBrokenOff(t *testing.T) {
	now := time.Unix(100, 0)
	b := bytebudget.New(10 << 20)
	small, large := b.Admit(0), b.Admit(0)
	add := func(h *bytebudget.Holder, n int64) bool {
		ok, victim := b.AddBuffer(now, h, n)
		must.Nil(t, victim)
		return ok
	}
	must.True(t, add(small, 1<<20))
	must.True(t, add(large, 4<<20))
	must.False(t, add(small, 4<<20))
	broken, _ := b.BreakOff(now, small)
	must.Nil(t, broken, must.Sprint("it has not waited"))
	now = now.Add(2 * time.Second)
	must.False(t, add(large, 4<<20))
	broken, chosen := b.BreakOff(now, small)
	must.True(t, broken == large && chosen)
	broken, chosen = b.BreakOff(now, small)
	must.True(t, broken == large && !chosen, must.Sprint("one at a time"))
	b.FreeBuffer(large, 4<<20)
	must.True(t, add(small, 4<<20))
	broken, _ = b.BreakOff(now, small)
	must.Nil(t, broken)
}
