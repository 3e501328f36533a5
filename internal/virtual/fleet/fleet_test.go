package fleet_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/virtual/fleet"
)

// small is a fleet that is played in a fraction of a second.
func small() fleet.Options {
	o := fleet.Brittany(16)
	o.Duration = 14 * time.Second
	o.Sharing = fleet.Sharing{Near: 45 * time.Millisecond, Far: 60 * time.Millisecond}
	return o
}

func TestSameSeedSameReport(t *testing.T) {
	first, err := json.Marshal(fleet.Run(small()))
	must.NoError(t, err)
	second, err := json.Marshal(fleet.Run(small()))
	must.NoError(t, err)
	must.Eq(t, string(first), string(second))
}

// Load: drafts come 2.6 times as often as usual, more than the engines read, and
// then questions three times as often. Questions are answered in time, and most
// of the drafts that are in time at all are not made late by those that are not.
func TestQuestionsStayQuickWhileDraftsSurge(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		o := small()
		o.Seed = seed
		r := fleet.Run(o)
		must.Greater(t, 0.9, r.Classes["question"].Worth, must.Sprint("seed ", seed))
		must.Greater(t, 0.7, r.Classes["review"].Worth, must.Sprint("seed ", seed))
		must.Greater(t, 0.6, r.Classes["draft"].Worth, must.Sprint("seed ", seed))
	}
}

// Load: the usual one, which leaves engines room.
func TestUsualLoadIsServedInTime(t *testing.T) {
	o := small()
	o.Surges = nil
	r := fleet.Run(o)
	for name, class := range r.Classes {
		must.Greater(t, 0.9, class.Worth, must.Sprint(name))
		must.Eq(t, 0, class.Refused)
	}
}

// Hosts that know of each other's work do better than hosts that do not.
func TestDigestsEarnTheirCost(t *testing.T) {
	o := small()
	shared := fleet.Run(o)
	o.Sharing = fleet.Sharing{}
	alone := fleet.Run(o)
	must.Greater(t, alone.Worth+0.05, shared.Worth)
	must.Less(t, alone.ReadAgain, shared.ReadAgain)
}

// The first event of a prompt on an idle engine comes after the engine's own
// time, the steps in which the prompt is read and two messages.
func TestIdleEnginesAnswerByTheirFigures(t *testing.T) {
	o := fleet.Brittany(1)
	o.Domains, o.Hosts = 1, 1
	o.Duration = time.Second
	o.Surges = nil
	o.Classes = []fleet.Class{{
		Name: "one", Rate: 1.5, Target: time.Second, Patience: 10 * time.Second, MaxGap: time.Second, Worth: 1, Things: 1,
		Shared: fleet.Size{Mean: 1024, Max: 1024}, Own: fleet.Size{Mean: 1024, Max: 1024}, Output: fleet.Size{Mean: 1, Max: 1},
	}}
	r := fleet.Run(o)
	must.Positive(t, r.Classes["one"].Offered)
	const (
		engineTime = 93.0
		twoChunks  = 2 * (6.45 + 1024/56.1)
		messages   = 2 * (1 + 0.1)
	)
	must.InDelta(t, engineTime+twoChunks+messages, r.Classes["one"].P95, 1)
}
