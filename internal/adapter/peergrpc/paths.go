package peergrpc

import (
	"math"

	"github.com/wigeonsail/wigeonsail/api/peer"
	"github.com/wigeonsail/wigeonsail/internal/core/balance"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

func pathsToWire(p port.EndpointPaths, out *peer.LoadDigest) {
	out.TakesAttempts, out.Endpoints, out.Unreached = p.TakesAttempts, countToWire(p.Endpoints), countToWire(p.Unreached)
	for _, key := range p.UnreachedKeys {
		out.UnreachedKeys = append(out.UnreachedKeys, uint64(key))
	}
}

func pathsFromWire(d *peer.LoadDigest) port.EndpointPaths {
	out := port.EndpointPaths{TakesAttempts: d.GetTakesAttempts(), Endpoints: int(d.GetEndpoints()), Unreached: int(d.GetUnreached())}
	for _, key := range d.GetUnreachedKeys() {
		out.UnreachedKeys = append(out.UnreachedKeys, balance.EndpointKey(key))
	}
	return out
}

// countToWire returns a count, which is never negative.
func countToWire(n int) uint32 { return uint32(min(max(n, 0), math.MaxInt32)) }

// notBrittle is the number of rejections on the wire of an endpoint that is no longer brittle.
const notBrittle = -1

func brittleToWire(b port.BrittleEndpoint) *peer.BrittleEndpoint {
	rejections := b.Rejections
	if !b.Brittle {
		rejections = notBrittle
	}
	return &peer.BrittleEndpoint{
		Endpoint: instanceToWire(b.Instance), Rejections: rejections, AgeMs: b.Age.Milliseconds(), Rejected: countToWire(b.Rejected),
	}
}

func brittleFromWire(b *peer.BrittleEndpoint) port.BrittleEndpoint {
	out := port.BrittleEndpoint{
		Instance: instanceFromWire(b.GetEndpoint()), Age: ageFromWire(b.GetAgeMs()), Rejected: int(b.GetRejected()),
	}
	if n := b.GetRejections(); n >= 0 {
		out.Brittle, out.Rejections = true, n
	}
	return out
}
