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
	// SharingBorrow uses what the peers' digests leave, but no more than this
	// host's part while a peer has requests waiting or is silent.
	SharingBorrow Sharing = iota
	// SharingDigests uses what the peers' last digests leave.
	SharingDigests
	// SharingParts gives each host a part of each endpoint by its demand.
	SharingParts
	// SharingOwner lets one host, by rendezvous hashing, use an endpoint.
	SharingOwner
)

// PeersView is what a host knows of the others before an endpoint.
type PeersView struct {
	// InFlight is the peers' work at the endpoint by their last digests.
	InFlight int
	// Part is this host's part of the room by demand, from 0 to 1.
	Part float64
	// Waiting says that a peer has requests waiting.
	Waiting bool
	// Silent says that a peer's digest is old.
	Silent bool
	// Owner says that rendezvous hashing gives the endpoint to this host.
	Owner bool
}

// Limit returns how many requests this host may have at an endpoint.
func (s Sharing) Limit(room int, v PeersView) int {
	left := max(room-v.InFlight, 0)
	part := max(int(math.Round(float64(room)*v.Part)), 1)
	switch s {
	case SharingDigests:
		return left
	case SharingParts:
		return part
	case SharingOwner:
		if v.Owner {
			return room
		}
		return 0
	default:
		if v.Waiting || v.Silent {
			return min(left, part)
		}
		return left
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
