package port

import (
	"context"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/balance"
	"github.com/wigeonsail/wigeonsail/internal/core/directory"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// LoadDigest is what a host tells the others of itself.
type LoadDigest struct {
	Host        model.HostID
	Incarnation model.Incarnation
	Domain      model.DomainName
	// Address is where the host serves its peers.
	Address string
	Leaving bool
	// Link is the speed of the host's link in Mbit/s.
	Link float64
	// Version is the configuration in force at the host.
	Version model.Version
	// ReadAge is the age of the host's last own read of the list of endpoints,
	// ListChange the offset after the last record that changed it.
	ReadAge    time.Duration
	ListChange model.Offset
	// Reading says that the host reads the list at regular times, ReadFailing
	// that its last read failed.
	Reading     bool
	ReadFailing bool
	// Loads is the host's work.
	Loads []balance.EndpointLoad
	// Marks tell which endpoints hold the shared parts of prompts.
	Marks []balance.CacheUpdate
	// Changes are those that the host has read in the list of endpoints.
	Changes ListChanges
	// Known are addresses of other hosts; empty when they did not change.
	Known []string
	// ByRelay says that relays tell the receiver's failure domain of the sender's
	// work: Loads and Marks are empty.
	ByRelay bool
	// KeepLoads says that Loads and Marks are empty because nothing is said of
	// the work: what was said before holds.
	KeepLoads bool
	// Domains are the sums that a relay passes on.
	Domains []DomainLoad
}

// DomainLoad is the work of all hosts of a failure domain.
type DomainLoad struct {
	Domain model.DomainName
	Loads  []balance.EndpointLoad
	Marks  []balance.CacheUpdate
}

// ListChanges are changes of the list of endpoints.
type ListChanges struct {
	// After is the offset after the changes before these, Upto that after these.
	After, Upto model.Offset
	Records     []ListRecord
}

// ListRecord is a change of an entry.
type ListRecord struct {
	Name  model.EndpointName
	Entry directory.Entry
	// Removed says that the entry was deleted.
	Removed bool
}

// LoadPeers tells other hosts what this one does.
type LoadPeers interface {
	// Share opens a stream of digests to a peer.
	Share(ctx context.Context, address string) (LoadStream, error)
	// FetchConfig returns the peer's configuration when it is newer.
	FetchConfig(ctx context.Context, address string, newerThan model.Version) (ConfigRecord, error)
	// FetchEndpoints returns the peer's list of endpoints.
	FetchEndpoints(ctx context.Context, address string) (EndpointList, error)
}

// LoadStream carries digests to one peer.
type LoadStream interface {
	// Send fails with a *PeerError when the stream has ended.
	Send(digest LoadDigest) error
	Close()
}

// LoadHandler takes what other hosts tell and ask.
type LoadHandler interface {
	HandleLoad(digest LoadDigest)
	HandleFetchConfig(ctx context.Context, newerThan model.Version) (ConfigRecord, error)
	HandleFetchEndpoints(ctx context.Context) (EndpointList, error)
}

// EndpointList is a host's list of endpoints.
type EndpointList struct {
	Entries []directory.Entry
	// Next is the offset after the records that the list is made of.
	Next model.Offset
}
