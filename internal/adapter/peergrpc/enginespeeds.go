package peergrpc

import (
	"github.com/wigeonsail/wigeonsail/api/peer"
	"github.com/wigeonsail/wigeonsail/internal/core/balance"
	"github.com/wigeonsail/wigeonsail/internal/core/enginespeed"
)

// microsPerMilli converts milliseconds to the unit of engine speeds on the wire.
const microsPerMilli = 1000

func engineSpeedToWire(s balance.EngineSpeed) *peer.EngineSpeed {
	return &peer.EngineSpeed{Instance: instanceToWire(s.Instance), PrefillUs: s.PrefillMS * microsPerMilli, Weight: s.Weight}
}

func engineSpeedFromWire(s *peer.EngineSpeed) balance.EngineSpeed {
	return balance.EngineSpeed{
		Instance: instanceFromWire(s.GetInstance()),
		Estimate: enginespeed.Estimate{PrefillMS: s.GetPrefillUs() / microsPerMilli, Weight: s.GetWeight()},
	}
}
