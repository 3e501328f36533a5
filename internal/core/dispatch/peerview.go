package dispatch

import (
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// PeerView is the state of the other hosts by their last digests.
type PeerView struct {
	// Hosts are the live hosts of this host's failure domain, including this
	// host.
	Hosts []PeerHost
	// Domains are the other reachable failure domains.
	Domains []PeerDomain
}

// PeerHost is the last digest of a host.
type PeerHost struct {
	Host model.HostID
	// InFlight is the host's number of requests in flight by endpoint.
	InFlight []EndpointCount
	// Demand is the host's demand by account and class.
	Demand []AccountDemand
	// At is when the digest was made, by this host's clock.
	At time.Time
}

// EndpointCount is a number of requests in flight at an endpoint.
type EndpointCount struct {
	Endpoint model.EndpointName
	Count    int
}

// AccountDemand is the demand of one client account in one class. Rate is in
// requests per second.
type AccountDemand struct {
	Account        model.AccountName
	Class          model.ClassName
	Rate           float64
	TokensInFlight int
	Queued         int
}

// PeerDomain is the last digest of another failure domain.
type PeerDomain struct {
	Domain   model.DomainName
	FreeRoom []PoolRoom
	// Demand is the domain's demand by account and class; empty while unknown.
	Demand []AccountDemand
	At     time.Time
}

// PoolRoom is the free room of a pool, in requests.
type PoolRoom struct {
	Pool model.PoolName
	// Room is available to all classes.
	Room int
	// Protected is available to protected classes: it includes the headroom and
	// the room that can be freed by preemption.
	Protected int
}
