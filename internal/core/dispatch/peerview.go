package dispatch

import (
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// PeerView is what the other hosts told of themselves.
type PeerView struct {
	// Hosts are the live hosts of this host's failure domain, this host
	// included.
	Hosts []PeerHost
	// Domains are the other failure domains that can be reached.
	Domains []PeerDomain
}

// PeerHost is another host's last digest.
type PeerHost struct {
	Host model.HostID
	// InFlight is the host's work by endpoint.
	InFlight []EndpointCount
	// Demand is the host's demand by account and class.
	Demand []AccountDemand
	// At is when the digest was made, by this host's clock.
	At time.Time
}

// EndpointCount is a number of requests at an endpoint.
type EndpointCount struct {
	Endpoint model.EndpointName
	Count    int
}

// AccountDemand is a demand of one account in one class.
type AccountDemand struct {
	Account        model.AccountName
	Class          model.ClassName
	Rate           float64
	TokensInFlight int
	Queued         int
}

// PeerDomain is another domain's last digest.
type PeerDomain struct {
	Domain   model.DomainName
	FreeRoom []PoolRoom
	// Demand is the domain's demand by account and class; empty while unknown.
	Demand []AccountDemand
	At     time.Time
}

// PoolRoom is the room left in a pool.
type PoolRoom struct {
	Pool model.PoolName
	// Room is open to all classes.
	Room int
	// Protected is open to protected classes: it counts the headroom and what
	// others will free.
	Protected int
}
