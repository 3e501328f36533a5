package balance_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/core/balance"
)

// Relays that report to each other what they have adopted do not do so for ever: nothing
// is reported that no host has observed of late.
func TestReportsOfSpeedEndBetweenRelays(t *testing.T) {
	const delay = 5 * time.Millisecond
	member := newFixture(3)
	relays := []*fixture{newFixture(3), newFixture(3)}
	now := member.answerAll(at(0), "engines-1")
	relays[0].ApplyEngineSpeeds(now, member.EngineSpeeds(now, false, 8))
	must.Len(t, 3, relays[0].EngineSpeeds(now, true, 8))
	for end := now.Add(10 * time.Second); now.Before(end); now = now.Add(100 * time.Millisecond) {
		reports := [][]balance.EngineSpeed{relays[0].EngineSpeeds(now, true, 8), relays[1].EngineSpeeds(now, true, 8)}
		relays[1].ApplyEngineSpeeds(now.Add(delay), reports[0])
		relays[0].ApplyEngineSpeeds(now.Add(delay), reports[1])
	}
	must.Len(t, 0, relays[0].EngineSpeeds(now, true, 8))
	must.Len(t, 0, relays[1].EngineSpeeds(now, true, 8))
}
