package peergrpc

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/core/balance"
	"github.com/wigeonsail/wigeonsail/internal/core/enginespeed"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

func TestDigestRoundTripsEngineSpeeds(t *testing.T) {
	want := []balance.EngineSpeed{{
		Instance: model.Instance{Name: "e-1", Started: 7},
		Estimate: enginespeed.Estimate{PrefillMS: 0.03125, Weight: 3.5},
	}}
	got := loadDigestFromWire(loadDigestToWire(port.LoadDigest{EngineSpeeds: want}))
	must.Eq(t, want, got.EngineSpeeds)
}
