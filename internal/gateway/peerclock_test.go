package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

// Digests of a short cut arrive after it, before the sender has counted as silent.
func TestDigestsOfAShortCutDoNotMakeKnowledgeFresh(t *testing.T) {
	for _, length := range []time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			f := newCuttableFleet(3)
			defer f.close()
			f.runSole()
			for _, g := range f.gateways {
				must.Less(t, 2*time.Second, g.configAge(time.Now()))
			}
			for _, store := range f.stores {
				store.cut()
				defer store.heal()
			}
			// Reads that are in progress still return.
			time.Sleep(configPollTimeout)
			unknownFrom := time.Now()
			f.links["h1"].cut()
			time.Sleep(length)
			f.links["h1"].heal()
			for range 20 {
				time.Sleep(tickInterval)
				for _, g := range f.gateways {
					must.GreaterEq(t, time.Since(unknownFrom), g.configAge(time.Now()), must.Sprint(length, g.opts.Host))
				}
			}
		})
	}
}

// clockedHost is a host with a clock that is ahead of the time of the test by a start and runs
// at a speed of its own.
type clockedHost struct {
	incarnation model.Incarnation
	start       time.Duration
	drift       float64
	peer        peerClock
}

func (h *clockedHost) read(at time.Duration) time.Duration {
	return h.start + at + time.Duration(h.drift*float64(at))
}

// sentDigest is a digest on its way.
type sentDigest struct {
	to               *clockedHost
	digest           port.LoadDigest
	sentAt, arriveAt time.Duration
}

// A digest was never on its way for longer than the bound, whatever the clocks and delays.
func TestWayOfADigestIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		drift := rapid.Float64Range(-1.0/4/clockDriftDivisor, 1.0/4/clockDriftDivisor)
		second := rapid.Int64Range(1, 3600)
		a := &clockedHost{incarnation: 1, start: time.Duration(second.Draw(t, "a")) * time.Second, drift: drift.Draw(t, "drift of a")}
		b := &clockedHost{incarnation: 2, start: time.Duration(second.Draw(t, "b")) * time.Second, drift: drift.Draw(t, "drift of b")}
		var onWay []sentDigest
		bounded := 0
		for at := time.Duration(0); at < 20*time.Second; at += 50 * time.Millisecond {
			for i := 0; i < len(onWay); i++ {
				if s := onWay[i]; s.arriveAt <= at {
					onWay = append(onWay[:i], onWay[i+1:]...)
					i--
					bounded += s.receive(t, at)
				}
			}
			for from, to := range map[*clockedHost]*clockedHost{a: b, b: a} {
				delay := time.Duration(rapid.Int64Range(0, 3000).Draw(t, "delay")) * time.Millisecond
				d := port.LoadDigest{Incarnation: from.incarnation, SentAt: from.read(at)}
				d.Echo = from.peer.echo(to.incarnation)
				onWay = append(onWay, sentDigest{to, d, at, at + delay})
			}
		}
		if bounded == 0 {
			t.Fatal("no digest was bounded")
		}
	})
}

// receive applies the digest at its receiver, and returns 1 if its way is bounded.
func (s sentDigest) receive(t *rapid.T, at time.Duration) int {
	now := s.to.read(at)
	s.to.peer.learn(now, s.to.incarnation, &s.digest)
	most, known := s.to.peer.maxWay(now, s.digest.SentAt)
	if !known {
		return 0
	}
	// The clocks may have run at other speeds than the time of the test meanwhile.
	if way := at - s.sentAt; most < way-2*time.Millisecond {
		t.Fatalf("a digest on its way for %s is bounded by %s", way, most)
	}
	return 1
}
