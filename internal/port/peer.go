package port

import (
	"context"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// HostState is what a host says of itself.
type HostState uint8

// The states of a host.
const (
	// HostStarting means that the host has no configuration yet.
	HostStarting HostState = iota
	// HostReady means that the host takes requests.
	HostReady
	// HostLeaving means that the host finishes its work and takes no more.
	HostLeaving
)

// EndpointDigest is a host's view of one endpoint.
type EndpointDigest struct {
	Name model.EndpointName
	// InFlight is the sender's own work at the endpoint.
	InFlight int
	// Room is the number of requests that the sender thinks fit.
	Room int
	// Leaving says that the sender knows the endpoint to be leaving.
	Leaving bool
}

// DemandDigest is a host's demand of one account in one class.
type DemandDigest struct {
	Account model.AccountName
	Class   model.ClassName
	// Rate is the offered load in requests a second.
	Rate float64
	// TokensInFlight counts the tokens of work in progress.
	TokensInFlight int
	// Queued counts the requests that wait.
	Queued int
}

// DomainDigest sums up a failure domain for the others.
type DomainDigest struct {
	Domain model.DomainName
	// Sequence rises with each digest of the domain.
	Sequence uint64
	// FreeRoom is the room left, by pool.
	FreeRoom []PoolRoom
	// Gateways are peer addresses of hosts that take forwarded requests.
	Gateways []string
	Version  model.Version
}

// PoolRoom is the room left in a pool of a domain.
type PoolRoom struct {
	Pool model.PoolName
	// Room is for any class, Protected for protected classes.
	Room      int
	Protected int
}

// Heartbeat is what hosts exchange. Its size depends on the sender's own
// domain and on the number of domains, never on the number of all hosts.
type Heartbeat struct {
	Host        model.HostID
	Incarnation model.Incarnation
	Domain      model.DomainName
	PeerAddress string
	State       HostState
	// Sequence rises with each heartbeat of the incarnation.
	Sequence uint64
	// Version is the configuration in force at the sender.
	Version   model.Version
	Endpoints []EndpointDigest
	Demand    []DemandDigest
	Domains   []DomainDigest
	// WorkSequence rises with each change of the in-flight counts and demand.
	WorkSequence uint64
	// SeenWork is the receiver's WorkSequence that the sender holds.
	SeenWork uint64
	// WorkUnchanged says that in-flight counts and demand are left out, since
	// the receiver holds those of WorkSequence.
	WorkUnchanged bool
}

// ConfigRecord is an accepted configuration as hosts relay it.
type ConfigRecord struct {
	Version model.Version
	// Offset is the record's offset on the log.
	Offset model.Offset
	// Data is the record exactly as it stands on the log.
	Data []byte
}

// ForwardCall hands a request to another host: to one of another failure
// domain that has room, or to the issuer of a ticket.
type ForwardCall struct {
	Request model.Request
	// Key is the caller's idempotency key or ticket; empty for none.
	Key string
	// Method, Path, ContentType and Body are the caller's request.
	Method      string
	Path        string
	ContentType string
	Body        []byte
	Stream      bool
	// Permitted says that the sender holds the right to send a request that
	// must not be repeated, and uses it for this call.
	Permitted bool
}

// ForwardPart is a part of the answer to a forwarded request. The first has
// a Status.
type ForwardPart struct {
	Status      int
	ContentType string
	Data        []byte
	Tokens      int
}

// ForwardStream is the answer in progress. Next ends with io.EOF, or with an
// *EndpointError that carries the outcome.
type ForwardStream interface {
	Next() (ForwardPart, error)
	Close() error
}

// ClaimEntry is one claim or outcome handed to the host that batches its
// partition.
type ClaimEntry struct {
	// Partition is the key's partition.
	Partition int
	// Data is the encoded record.
	Data []byte
}

// ClaimPlace is where a handed-over entry stands on the log.
type ClaimPlace struct {
	Offset model.Offset
	// Index is the entry's position in the batch at Offset.
	Index int
}

// BurnQuery asks a host for its service-level counts.
type BurnQuery struct {
	// Window is how far back to count.
	Window time.Duration
	// WholeDomain asks for the counts of all hosts of the peer's failure
	// domain, not just its own.
	WholeDomain bool
}

// Peers calls other hosts. Every call fails with a *PeerError.
type Peers interface {
	// Exchange sends a heartbeat and returns the peer's.
	Exchange(ctx context.Context, address string, beat Heartbeat) (Heartbeat, error)
	// FetchConfig returns the peer's configuration when it is newer.
	FetchConfig(ctx context.Context, address string, newerThan model.Version) (ConfigRecord, error)
	// Forward hands over a request.
	Forward(ctx context.Context, address string, call ForwardCall) (ForwardStream, error)
	// AppendClaims hands entries to the host that batches their partitions.
	AppendClaims(ctx context.Context, address string, entries []ClaimEntry) ([]ClaimPlace, error)
	// Burn returns the peer's encoded service-level counts.
	Burn(ctx context.Context, address string, query BurnQuery) ([]byte, error)
}

// PeerHandler answers the calls of other hosts.
type PeerHandler interface {
	HandleExchange(ctx context.Context, beat Heartbeat) (Heartbeat, error)
	HandleFetchConfig(ctx context.Context, newerThan model.Version) (ConfigRecord, error)
	// HandleForward runs the request and sends its parts.
	HandleForward(ctx context.Context, call ForwardCall, send func(ForwardPart) error) error
	HandleAppendClaims(ctx context.Context, entries []ClaimEntry) ([]ClaimPlace, error)
	HandleBurn(ctx context.Context, query BurnQuery) ([]byte, error)
}

// PeerError is a failed call to another host.
type PeerError struct {
	// Op names the call.
	Op string
	// Address is the peer's address.
	Address string
	// Sent says that the peer may have got the call.
	Sent bool
	// Cause is the underlying error.
	Cause error
}

// Error implements error.
func (e *PeerError) Error() string {
	return "peer " + e.Op + " at " + e.Address + ": " + errText(e.Cause)
}

// Unwrap returns the cause.
func (e *PeerError) Unwrap() error { return e.Cause }
