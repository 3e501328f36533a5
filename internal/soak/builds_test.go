package soak

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestExchangesOfBuildsAreSpreadOverTheRun(t *testing.T) {
	opts := Options{Hosts: 4, Duration: 10 * time.Second, OldBinary: "old", OldShare: 0.5}
	must.Eq(t, []exchange{{10 * time.Second / 3, 0, false}, {2 * (10 * time.Second / 3), 1, false}}, opts.exchanges())
	opts.RollBack, opts.OldShare = true, 0.25
	must.Eq(t, []exchange{{10 * time.Second / 3, 0, false}, {2 * (10 * time.Second / 3), 0, true}}, opts.exchanges())
	opts.OldShare, opts.Together = 0.75, 2
	gap := 10 * time.Second / 5
	must.Eq(t, []exchange{{gap, 0, false}, {gap, 1, false}, {2 * gap, 2, false}, {3 * gap, 0, true}, {3 * gap, 1, true}, {4 * gap, 2, true}}, opts.exchanges())
	opts.OldBinary = ""
	must.SliceEmpty(t, opts.exchanges())
	h := &hostProcess{environment: &environment{opts: Options{Binary: "new", OldBinary: "old"}}, old: true}
	must.Eq(t, "old", h.binary())
	h.old = false
	must.Eq(t, "new", h.binary())
}
