package port

import (
	"context"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/balance"
	"github.com/wigeonsail/wigeonsail/internal/core/capacity"
	"github.com/wigeonsail/wigeonsail/internal/core/directory"
	"github.com/wigeonsail/wigeonsail/internal/core/fairshare"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/core/quarantine"
	"github.com/wigeonsail/wigeonsail/internal/core/resume"
	"github.com/wigeonsail/wigeonsail/internal/core/usage"
)

// EndpointLimit is what is known of the request limit of an endpoint.
type EndpointLimit struct {
	Instance model.Instance
	// Limited reports that it has one, PerSecond which one.
	Limited   bool
	PerSecond float64
	// Age is the time since the endpoint stated it.
	Age time.Duration
}

// CrashReport is a request that was in progress at an endpoint when it crashed.
type CrashReport struct {
	// ID identifies the attempt among all hosts.
	ID       uint64
	Endpoint model.Instance
	// Parts are the shared parts of the prompt, in order; none if the endpoint had begun
	// to answer.
	Parts []model.PartID
	// Request identifies the content of the request; 0 if it is not known.
	Request model.Fingerprint
	// Generation is the number of crashes at different moments by the request, this one
	// included, that the host knew of when it sent the request.
	Generation int
	// Age is the time since the crash.
	Age time.Duration
}

// SuspectAge is the time since something became known of a suspect.
type SuspectAge struct {
	Suspect quarantine.Suspect
	// Crashes is the number of crashes at different moments; 0 if it was cleared.
	Crashes int
	Age     time.Duration
}

// UnknownAge is the age reported for something that a host has never learned.
const UnknownAge = time.Hour

// LoadDigest is the state that a host sends to its peers: its load, its view of
// the list of endpoints, and its configuration version.
type LoadDigest struct {
	Host        model.HostID
	Incarnation model.Incarnation
	Domain      model.DomainName
	// Address is the host's peer address.
	Address string
	Leaving bool
	// LinkSpeedMbps is the speed of the host's network link in Mbit/s.
	LinkSpeedMbps float64
	// Version is the version of the configuration in force at the host.
	Version model.Version
	// ConfigAge is the time since Version was known to be the newest one in the
	// platform's store.
	ConfigAge time.Duration
	// ListReadAge is the time since the host itself last read the list of
	// endpoints from the platform. ListChange is the position after the last
	// record that changed the list.
	ListReadAge time.Duration
	ListChange  model.Position
	// LeavingEndpoints are the endpoints that have reported, to this host or to
	// others, that they are leaving.
	LeavingEndpoints []model.Instance
	// ReadsList reports whether the host polls the list at regular intervals,
	// and ListReadFailing whether its last read failed.
	ReadsList       bool
	ListReadFailing bool
	// Limits are the request limits that endpoints have stated, to this host or to
	// others, and those that have ended of late.
	Limits []EndpointLimit
	// Crashes are the requests under which endpoints have crashed of late. Suspects are
	// in quarantine or suspended, with the time since the last crash that is evidence
	// against them, ClearedSuspects were cleared of late.
	Crashes         []CrashReport
	Suspects        []SuspectAge
	ClearedSuspects []SuspectAge
	// StreamBegins are streams that have begun at the host since the last digest that lists
	// some.
	StreamBegins []resume.Begin
	// StreamSources are the same for streams of whose version the host is not certain.
	StreamSources []resume.SourcedStreams
	// Clock is the sender's estimate of the true time; zero for none.
	Clock time.Time
	// Usage are the counts of begun requests that the sender knows, its own and those of
	// other hosts.
	Usage []usage.Record
	// Demand is the work that callers of the sender have requested.
	Demand []capacity.Demand
	// EngineSpeeds is what the sender has learned of late of the speed of engines.
	EngineSpeeds []balance.EngineSpeed
	// AccountWork is the work that client accounts request of the sender, or with ViaRelay
	// of its failure domain or of the fleet.
	AccountWork []fairshare.Work
	// Loads is the host's load by endpoint. Report numbers it; 0 without Loads.
	Loads  []balance.EndpointLoad
	Report int64
	// Unpacks reports that the sender understands packed loads and numbers its reports.
	// PackLoads reports that the receiver does; it is not sent.
	Unpacks   bool
	PackLoads bool
	// CacheUpdates are the sender's prefix cache updates since the last digest
	// with Loads: which endpoints hold shared prompt prefixes in their prefix
	// caches, or are computing them.
	CacheUpdates []balance.CacheUpdate
	// Changes are the changes of the list of endpoints that the host has read.
	Changes ListChanges
	// ListKnownAge is the time since any host that the sender knows of last read
	// the list.
	ListKnownAge time.Duration
	// Hosts are hosts that the sender knows. Most digests omit them; the receiver
	// then keeps the hosts that it has.
	Hosts []HostInfo
	// Subscribes requests digests of the receiver for some seconds.
	Subscribes bool
	// SentAt is the time from the sender's start to when it made the digest; 0 if it does not
	// state that.
	SentAt time.Duration
	// Build is the build of the sender. Most digests omit it.
	Build model.Build
	// Echo is the latest digest of the receiver that the sender has. Most digests omit it.
	Echo DigestEcho
	// ViaRelay reports that the receiver's failure domain gets the sender's load
	// through relays; the receiver then ignores Loads.
	ViaRelay bool
	// LoadsUnchanged reports that Loads and CacheUpdates are omitted, and that the
	// last Loads of the sender stay valid. A digest with ViaRelay alone withdraws
	// them.
	LoadsUnchanged bool
	// Domains are the totals of failure domains that a relay sends or forwards.
	Domains []DomainLoad
	// Paths are the sender's paths to endpoints.
	Paths EndpointPaths
	// Brittle are the endpoints that have stated, to the sender or to others, that they fail
	// under rejections, and those that no longer are.
	Brittle []BrittleEndpoint
}

// DigestEcho names a digest that was received.
type DigestEcho struct {
	// Incarnation and SentAt are those of the digest.
	Incarnation model.Incarnation
	SentAt      time.Duration
	// ReceivedAt is the time from the start of its receiver to when it was received.
	ReceivedAt time.Duration
}

// EndpointPaths describes which endpoints a host can reach.
type EndpointPaths struct {
	// TakesAttempts reports that the host sends attempts for other hosts, and is neither
	// leaving nor without paths to endpoints itself.
	TakesAttempts bool
	// Endpoints is the number of endpoints in service in the host's list, Unreached the
	// number of those that it cannot reach. Hosts of earlier builds report 0 endpoints.
	Endpoints int
	Unreached int
	// UnreachedKeys identify the endpoints that it cannot reach, some of them if they are
	// many.
	UnreachedKeys []balance.EndpointKey
}

// BrittleEndpoint is an endpoint that fails if it must reject more requests in a second, of
// all hosts together, than it states.
type BrittleEndpoint struct {
	Instance model.Instance
	// Brittle reports that it is brittle, Rejections how many rejections in a second it bears.
	Brittle    bool
	Rejections float64
	// Age is the time since the endpoint stated it.
	Age time.Duration
	// Rejected is the number of the sender's requests that the endpoint has rejected for want
	// of room in the last second.
	Rejected int
}

// DomainLoad holds the totals of a failure domain: the load of all its hosts
// except the receiver, and their prefix cache updates.
type DomainLoad struct {
	Domain model.DomainName
	// Hosts is the number of hosts of the domain, as far as its relay knows.
	Hosts        int
	Loads        []balance.EndpointLoad
	CacheUpdates []balance.CacheUpdate
	// Included is the report of the receiver whose loads Loads include nevertheless; 0 for
	// none.
	Included int64
	// Encoded keeps the encoded form of Loads for all receivers; nil to encode them for
	// each one.
	Encoded *EncodedLoads
}

// HostInfo describes a host to other hosts.
type HostInfo struct {
	Host   model.HostID
	Domain model.DomainName
	// Address is the host's peer address.
	Address string
	// LinkSpeedMbps is the speed of the host's network link in Mbit/s.
	LinkSpeedMbps float64
	// Age is the time since the host was last heard from.
	Age time.Duration
}

// ListChanges is a range of consecutive changes of the list of endpoints.
type ListChanges struct {
	// After is the position after the changes that precede this range, and UpTo
	// the position after the last change of this range. Both are of one era.
	After, UpTo model.Position
	Records     []ListRecord
}

// ListRecord is a change of one entry of the list of endpoints.
type ListRecord struct {
	// At is the position of the record, in the era of the changes that it is part of.
	At    model.Offset
	Name  model.EndpointName
	Entry directory.Entry
	// Removed reports whether the entry was deleted.
	Removed bool
}

// LoadShareClient sends this host's load to other hosts and fetches their state.
type LoadShareClient interface {
	// OpenLoadStream opens a stream of digests to a peer.
	OpenLoadStream(ctx context.Context, address string) (LoadStream, error)
	// FetchConfig returns the peer's configuration if it is newer than
	// newerThan, and a zero ConfigRecord otherwise.
	FetchConfig(ctx context.Context, address string, newerThan model.Version) (ConfigRecord, error)
	// FetchEndpoints returns the peer's list of endpoints.
	FetchEndpoints(ctx context.Context, address string) (EndpointList, error)
	// FetchHosts describes this host to a peer and returns hosts that the peer
	// knows: those of this host's failure domain, and some of other ones.
	FetchHosts(ctx context.Context, address string, self HostInfo) ([]HostInfo, error)
	// FindStream returns where a stream began, as far as the peer knows. The origin is
	// empty if several streams have the ID.
	FindStream(ctx context.Context, address string, id resume.StreamID) (origin resume.Origin, known bool, err error)
}

// LoadStream sends digests to one peer.
type LoadStream interface {
	// Send sends a digest. It fails with a *PeerError after the stream has ended.
	Send(digest LoadDigest) error
	Close()
}

// LoadHandler handles the digests and the calls of other hosts, made through
// LoadShareClient.
type LoadHandler interface {
	HandleDigest(digest LoadDigest)
	HandleFetchConfig(ctx context.Context, newerThan model.Version) (ConfigRecord, error)
	HandleFetchEndpoints(ctx context.Context) (EndpointList, error)
	HandleFetchHosts(ctx context.Context, caller HostInfo) ([]HostInfo, error)
	HandleFindStream(ctx context.Context, id resume.StreamID) (origin resume.Origin, known bool, err error)
}

// EndpointList is a host's list of endpoints.
type EndpointList struct {
	Entries []directory.Entry
	// Withheld are entries that the host does not use since the store was restored from
	// a copy: the endpoints were removed before.
	Withheld []directory.Entry
	// Next is the position after the last record included in the list.
	Next model.Position
}
