package balance_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// A host that no longer hears the others reserves engines as if they had a load like its
// own: the same engines stay reserved for urgent requests at all hosts.
func TestHostCutOffFromOthersKeepsReservation(t *testing.T) {
	reserved := func(silence time.Duration) int {
		b := newFixture(8)
		for _, host := range []model.HostID{"h2", "h3", "h4"} {
			b.SetPeerLoad(at(0), host, "north", nil, nil)
		}
		now := at(silence)
		b.ExpirePeers(now)
		small := draft(1)
		small.Prompt = prompt(1, 1, 7000)
		b.submit(now, small)
		for i := range 6 {
			now = now.Add(60 * time.Millisecond)
			b.submit(now, question(model.PartID(2+i)))
		}
		return b.ReservedEngines()["engines"]
	}
	must.Eq(t, 0, reserved(0))
	must.Positive(t, reserved(3*time.Second))
	must.Eq(t, 0, reserved(time.Minute))
}
