package duty

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// A holder that leaves makes no new calls, and releases the lease once the last one has
// ended.
func TestLeavingHolderEndsItsCallsAndReleases(t *testing.T) {
	now := simStart
	k := New(now, Options{Host: "h1", Incarnation: 1, Lease: simLease, CallTimeout: simCall, Margin: simLease / 10})
	situation := Situation{Candidate: true, CaughtUp: true}
	now = now.Add(5 * time.Second)
	claim, due := k.Due(now, situation, 1)
	must.True(t, due)
	data, err := claim.Encode()
	must.NoError(t, err)
	k.Apply(now, 0, data)
	_, ok := k.Fence(now)
	must.True(t, ok)

	situation.Leaving, situation.Busy = true, true
	_, due = k.Due(now, situation, 2)
	must.False(t, due)
	_, ok = k.Fence(now)
	must.False(t, ok, must.Sprint("no new call"))
	situation.Busy = false
	release, due := k.Due(now, situation, 3)
	must.True(t, due)
	must.True(t, release.Lease.Released)
}
