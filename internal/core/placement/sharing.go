package placement

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// Sharing is the way in which the hosts of a failure domain share the room of
// an endpoint.
type Sharing uint8

// The ways of sharing.
const (
	// SharingParts gives each host a part of each endpoint by its demand.
	SharingParts Sharing = iota
	// SharingDigests uses what the peers' last digests leave.
	SharingDigests
	// SharingOwner lets one host, by rendezvous hashing, use an endpoint.
	SharingOwner
)

// PeersView is what a host knows of the others before an endpoint.
type PeersView struct {
	// InFlight is the peers' work at the endpoint by their last digests.
	InFlight int
	// Part is this host's part of the room by demand.
	Part Part
	// Owner says that rendezvous hashing gives the endpoint to this host.
	Owner bool
}

// Part is a host's piece of the line from 0 to 1 on which the hosts of a domain
// stand one after another, each as long as its part of the demand.
type Part struct{ From, To float64 }

// Whole is the part of a host without peers.
var Whole = Part{From: 0, To: 1}

// of returns the part of a room. For hosts with the same view the parts add up
// to the room. The offset, from 0 to 1, varies by endpoint, so that rounding
// does not favor the same host everywhere.
func (p Part) of(room int, offset float64) int {
	from := math.Floor(float64(room)*p.From + offset)
	to := math.Floor(float64(room)*p.To + offset)
	return int(to - from)
}

// limit returns how many requests this host may have at an endpoint.
func (s Sharing) limit(room int, v PeersView, offset float64) int {
	switch s {
	case SharingDigests:
		return max(room-v.InFlight, 0)
	case SharingOwner:
		if v.Owner {
			return room
		}
		return 0
	default:
		return v.Part.of(room, offset)
	}
}

// Owner returns the host that rendezvous hashing gives an endpoint to.
func Owner(endpoint model.EndpointName, hosts []model.HostID) model.HostID {
	var best model.HostID
	var bestScore uint64
	for _, h := range hosts {
		score := xxhash.Sum64String(string(endpoint) + "\x00" + string(h))
		if best == "" || score > bestScore {
			best, bestScore = h, score
		}
	}
	return best
}
