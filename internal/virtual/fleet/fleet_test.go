package fleet_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/virtual/fleet"
)

// small returns a fleet whose simulation takes a fraction of a second.
func small() fleet.Options {
	o := fleet.Brittany(16)
	o.Duration = 14 * time.Second
	o.Sharing = fleet.Sharing{LocalInterval: 45 * time.Millisecond, CrossDomainInterval: 60 * time.Millisecond}
	return o
}

func TestSameSeedGivesSameReport(t *testing.T) {
	first, err := json.Marshal(fleet.Run(small()))
	must.NoError(t, err)
	second, err := json.Marshal(fleet.Run(small()))
	must.NoError(t, err)
	must.Eq(t, string(first), string(second))
}

// Drafts arrive at 2.6 times their usual rate, which exceeds the engines' prefill
// capacity, and then questions at three times theirs. Questions have to be
// answered in time, and drafts that are late anyway must not delay most of those
// that can be answered in time.
func TestQuestionsMeetTargetsDuringDraftSurge(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		o := small()
		o.Seed = seed
		r := fleet.Run(o)
		must.Greater(t, 0.9, r.Classes["question"].Worth, must.Sprint("seed ", seed))
		must.Greater(t, 0.7, r.Classes["review"].Worth, must.Sprint("seed ", seed))
		must.Greater(t, 0.6, r.Classes["draft"].Worth, must.Sprint("seed ", seed))
	}
}

// Engines that differ in speed by a factor of two are loaded evenly: the busiest tenth
// works at most 1.3 times as long as the mean.
func TestUnevenEnginesAreLoadedEvenly(t *testing.T) {
	r := fleet.Run(fleet.Uneven(45))
	must.Between(t, 1, r.Spread.BusiestTenth, 1.3)
	must.Between(t, 0, r.Spread.IdleWhileQueued, 0.3)
	must.Greater(t, 0.7, r.Worth)
}

// Without surges the load is the usual one, which leaves the engines spare
// capacity.
func TestBaseLoadMeetsTargets(t *testing.T) {
	o := small()
	o.Surges = nil
	r := fleet.Run(o)
	for name, class := range r.Classes {
		must.Greater(t, 0.9, class.Worth, must.Sprint(name))
		must.Eq(t, 0, class.Refused)
	}
}

// Hosts that exchange load digests earn more and prefill fewer prefixes again
// than hosts that do not.
func TestDigestsRaiseWorthAndReduceRepeatedPrefill(t *testing.T) {
	o := small()
	exchanging := fleet.Run(o)
	o.Sharing = fleet.Sharing{}
	alone := fleet.Run(o)
	must.Greater(t, alone.Worth+0.05, exchanging.Worth)
	must.Less(t, alone.RepeatedPrefillK, exchanging.RepeatedPrefillK)
}

// The time to the first event on an idle engine is the sum of the engine's fixed
// delay, the steps that prefill the prompt, and the latency of the messages from
// the caller through the host to the engine and back.
func TestIdleEngineFirstEventTimeMatchesSpec(t *testing.T) {
	o := fleet.Brittany(1)
	o.Domains, o.Hosts = 1, 1
	o.Duration = time.Second
	o.Surges = nil
	o.Classes = []fleet.Class{{
		Name: "one", Rate: 1.5, Target: time.Second, Patience: 10 * time.Second, MaxGap: time.Second, Worth: 1, SharedParts: 1,
		Shared: fleet.Size{Mean: 1024, Max: 1024}, Unshared: fleet.Size{Mean: 1024, Max: 1024}, Output: fleet.Size{Mean: 1, Max: 1},
	}}
	r := fleet.Run(o)
	must.Positive(t, r.Classes["one"].Offered)
	const (
		fixedDelay = 93.0
		twoChunks  = 2 * (6.45 + 1024/56.1)
		messages   = 2 * (1 + 0.1)
	)
	must.InDelta(t, fixedDelay+twoChunks+messages, r.Classes["one"].P95MS, 1)
}
