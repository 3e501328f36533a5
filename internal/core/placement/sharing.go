package placement

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// Sharing is how the hosts of a failure domain share the room of an endpoint.
type Sharing uint8

// The modes of sharing.
const (
	// SharingByDemand gives each host a share of every endpoint by its demand.
	SharingByDemand Sharing = iota
	// SharingDigests gives each host the room that the peers' last digests
	// leave.
	SharingDigests
	// SharingOwner gives each endpoint to one host, by rendezvous hashing.
	SharingOwner
)

// PeersView is the state of the other hosts of the domain at an endpoint.
type PeersView struct {
	// InFlight is the number of the peers' requests in flight at the endpoint,
	// by their last digests.
	InFlight int
	// Interval is this host's share of the room by demand.
	Interval Interval
	// Owner reports whether rendezvous hashing gives the endpoint to this host.
	Owner bool
}

// Interval is the part of the range from 0 to 1 that belongs to one host. The
// intervals of a domain's hosts are adjacent, each as long as the host's share
// of the demand.
type Interval struct{ From, To float64 }

// FullInterval is the interval of a host without peers.
var FullInterval = Interval{From: 0, To: 1}

// roomShare returns the host's share of a room. For hosts with the same view
// the shares add up to the room. The offset, from 0 to 1, varies by endpoint,
// so that rounding does not favor the same host everywhere.
func (p Interval) roomShare(room int, offset float64) int {
	from := math.Floor(float64(room)*p.From + offset)
	to := math.Floor(float64(room)*p.To + offset)
	return int(to - from)
}

// limit returns how many requests this host may have in flight at an endpoint.
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
		return v.Interval.roomShare(room, offset)
	}
}

// Owner returns the host that rendezvous hashing assigns to an endpoint.
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
