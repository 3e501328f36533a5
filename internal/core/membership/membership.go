// Package membership keeps what a host knows of the other hosts: those of its
// own failure domain in full, and one digest of each other domain. Hosts are
// live by heartbeat; the platform's lagging list only gives addresses and
// confirms. It is a state machine without I/O, clock or goroutines.
package membership

import (
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/dispatch"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// State is what a host says of itself.
type State uint8

// The states of a host.
const (
	// Starting hosts have no configuration yet.
	Starting State = iota
	// Ready hosts take requests.
	Ready
	// Leaving hosts finish their work and take no more.
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

// Health is what this host thinks of another one.
type Health uint8

// The values of Health.
const (
	// Live hosts were heard from in time.
	Live Health = iota
	// Suspect hosts missed heartbeats; their work still counts.
	Suspect
	// Gone hosts are as good as stopped.
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

// Heartbeat is a heartbeat: what a host tells of itself and of failure domains.
type Heartbeat struct {
	Host        model.HostID
	Incarnation model.Incarnation
	Domain      model.DomainName
	Address     string
	State       State
	// Sequence rises with each heartbeat of the incarnation.
	Sequence uint64
	Version  model.Version
	// Work is the sender's work and demand.
	Work dispatch.PeerHost
	// Leaving are endpoints that the sender knows to be leaving.
	Leaving []model.EndpointName
	// Domains are the sender's own domain and some of the others.
	Domains []Digest
	// WorkSequence rises with each change of Work.
	WorkSequence uint64
	// SeenWork is the receiver's WorkSequence that the sender holds.
	SeenWork uint64
	// WorkUnchanged says that Work is left out, since the receiver holds that
	// of WorkSequence.
	WorkUnchanged bool
}

// Digest sums up a failure domain for the others.
type Digest struct {
	Domain model.DomainName
	// Sequence orders the digests of a domain; a later one is larger.
	Sequence uint64
	FreeRoom []dispatch.PoolRoom
	// Gateways are peer addresses of some live hosts of the domain.
	Gateways []string
	Version  model.Version
}

// Listed is an entry of the platform's host list.
type Listed struct {
	Host    model.HostID
	Domain  model.DomainName
	Address string
	Leaving bool
}

// Options configures a Table.
type Options struct {
	// Host, Incarnation, Domain and Address are this host's own.
	Host        model.HostID
	Incarnation model.Incarnation
	Domain      model.DomainName
	Address     string
	// Seeds are addresses to try while nothing else is known.
	Seeds []string
	// Every is the time between rounds of heartbeats in a domain of less than
	// largeDomain other hosts, and between calls of Round in any.
	Every time.Duration
}

// The bounds that keep a host's heartbeats small however many hosts there are.
const (
	// ownPerRound is the number of hosts of the own domain met in a round. A
	// domain of up to ownPerRound+1 hosts is a full mesh.
	ownPerRound = 2
	// largeDomain is the number of other hosts from which on the own domain has
	// longer rounds. Below, a pair of hosts meets within 2 s when Every is
	// 200 ms.
	largeDomain = 32
	// ticksPerLargeRound is the number of calls of Round for a round in a large
	// domain.
	ticksPerLargeRound = 2
	// crossEvery is the number of rounds between heartbeats to another domain.
	crossEvery = 5
	// digestsPerBeat is the number of other domains in a heartbeat.
	digestsPerBeat = 3
	// gatewaysPerDigest is the number of addresses in a digest.
	gatewaysPerDigest = 3
	// maxLeavingPerBeat is the number of leaving endpoints in a heartbeat.
	maxLeavingPerBeat = 32
)

// The time without a heartbeat, in expected gaps between two of them.
const (
	suspectGaps = 5
	goneGaps    = 20
)

// minSuspectAfter keeps short pauses of a host from making it suspect.
const minSuspectAfter = time.Second

// digestTTL is the age at which a digest says nothing any more.
const digestTTL = 15 * time.Second

// Member is a host of the own domain as this host knows it.
type Member struct {
	Host        model.HostID
	Incarnation model.Incarnation
	Domain      model.DomainName
	Address     string
	State       State
	Health      Health
	Version     model.Version
	// Heard is when its last heartbeat came.
	Heard time.Time
	// VersionSince is when the version was first heard.
	VersionSince time.Time
	// Listed says that the platform's list has the host.
	Listed bool
}
