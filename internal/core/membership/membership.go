// Package membership tracks the other hosts: those of the local failure domain
// in full, and one digest of each other domain. Heartbeats determine which
// hosts are live. The platform's host list lags behind, so it only supplies
// addresses and confirms hosts. The package is a state machine without I/O,
// clock or goroutines.
package membership

import (
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/dispatch"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// State is a host's state as it reports it.
type State uint8

// The states of a host.
const (
	// Starting hosts have no configuration yet.
	Starting State = iota
	// Ready hosts accept requests.
	Ready
	// Leaving hosts finish their work and accept no more.
	Leaving
)

// String returns the state as tables show it.
func (s State) String() string {
	switch s {
	case Ready:
		return "ready"
	case Leaving:
		return "leaving"
	default:
		return "starting"
	}
}

// Health is this host's estimate of another host's condition.
type Health uint8

// The values of Health.
const (
	// Live hosts sent a heartbeat in time.
	Live Health = iota
	// Suspect hosts missed heartbeats; their work still counts.
	Suspect
	// Gone hosts are treated as stopped.
	Gone
)

// String returns the health as tables show it.
func (h Health) String() string {
	switch h {
	case Suspect:
		return "suspect"
	case Gone:
		return "gone"
	default:
		return "live"
	}
}

// Heartbeat is a host's report about itself and about failure domains.
type Heartbeat struct {
	Host        model.HostID
	Incarnation model.Incarnation
	Domain      model.DomainName
	Address     string
	State       State
	// Sequence increases with each heartbeat of the incarnation.
	Sequence uint64
	Version  model.Version
	// Work is the sender's requests in flight and its demand.
	Work dispatch.PeerHost
	// LeavingEndpoints are the endpoints that the sender knows to be leaving.
	LeavingEndpoints []model.EndpointName
	// Domains are digests of the sender's own failure domain and of some
	// others.
	Domains []Digest
	// WorkSequence increases with each change of Work.
	WorkSequence uint64
	// AckedWorkSequence is the receiver's WorkSequence whose Work the sender
	// holds.
	AckedWorkSequence uint64
	// WorkUnchanged reports that Work is omitted, because the receiver has
	// acknowledged the Work of WorkSequence, or because it is in another failure
	// domain. Such a receiver does not use Work and never acknowledges it.
	WorkUnchanged bool
}

// Digest is the summary of a failure domain in heartbeats.
type Digest struct {
	Domain model.DomainName
	// Sequence orders the digests of a domain; later ones are larger.
	Sequence uint64
	FreeRoom []dispatch.PoolRoom
	// Gateways are peer addresses of some live hosts of the domain.
	Gateways []string
	Version  model.Version
}

// ListedHost is an entry of the platform's host list.
type ListedHost struct {
	Host    model.HostID
	Domain  model.DomainName
	Address string
	Leaving bool
}

// Options configures a Table.
type Options struct {
	// Host, Incarnation, Domain and Address identify this host.
	Host        model.HostID
	Incarnation model.Incarnation
	Domain      model.DomainName
	Address     string
	// Seeds are the addresses to try while no other host is known.
	Seeds []string
	// RoundInterval is the time between two calls of Round. In a domain of
	// fewer than largeDomain other hosts, each call is a round of heartbeats.
	RoundInterval time.Duration
}

// The limits that keep the heartbeats of a host small for any number of hosts.
const (
	// localTargetsPerRound is the number of hosts of the local failure domain
	// that get a heartbeat in a round. A domain of up to localTargetsPerRound+1
	// hosts is a full mesh.
	localTargetsPerRound = 2
	// largeDomain is the number of other hosts at which rounds in the local
	// domain become longer. Below it, any two hosts exchange heartbeats within
	// 2 s when RoundInterval is 200 ms.
	largeDomain = 32
	// ticksPerLargeRound is the number of calls of Round per round in a large
	// domain.
	ticksPerLargeRound = 2
	// roundsPerRemoteHeartbeat is the number of rounds between two heartbeats
	// to other failure domains.
	roundsPerRemoteHeartbeat = 5
	// remoteDigestsPerHeartbeat is the maximum number of digests of other
	// domains in a heartbeat.
	remoteDigestsPerHeartbeat = 3
	// gatewaysPerDigest is the maximum number of addresses in a digest.
	gatewaysPerDigest = 3
	// maxLeavingPerHeartbeat is the maximum number of leaving endpoints in a
	// heartbeat.
	maxLeavingPerHeartbeat = 32
)

// The times without a heartbeat after which a host is suspect or gone, in
// expected gaps between two heartbeats.
const (
	suspectAfterGaps = 5
	goneAfterGaps    = 20
)

// minSuspectAfter is the minimum time without a heartbeat before a host is
// suspect. It keeps short pauses of a host from making it suspect.
const minSuspectAfter = time.Second

// digestTTL is the age at which a digest is no longer used.
const digestTTL = 15 * time.Second

// Member is the state of a host of the local failure domain.
type Member struct {
	Host        model.HostID
	Incarnation model.Incarnation
	Domain      model.DomainName
	Address     string
	State       State
	Health      Health
	Version     model.Version
	// LastSeen is when the host's last heartbeat was received.
	LastSeen time.Time
	// VersionSince is when the version was first reported.
	VersionSince time.Time
	// Listed reports whether the host is in the platform's list.
	Listed bool
}
