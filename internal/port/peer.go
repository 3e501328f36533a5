package port

import (
	"context"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// HostState is the state that a host reports in its heartbeats.
type HostState uint8

// The states of a host.
const (
	// HostStarting means that the host has no configuration yet.
	HostStarting HostState = iota
	// HostReady means that the host accepts requests.
	HostReady
	// HostLeaving means that the host is draining: it finishes requests in
	// flight and accepts no new ones.
	HostLeaving
)

// EndpointDigest is the sending host's view of one endpoint.
type EndpointDigest struct {
	Name model.EndpointName
	// InFlight is the number of the sender's own requests at the endpoint.
	InFlight int
	// Room is the endpoint's capacity in requests. The host never sets it when it
	// sends, and ignores it when it receives.
	Room int
	// Leaving reports whether the sender considers the endpoint draining.
	Leaving bool
}

// DemandDigest is the demand of one client account in one class at the sender.
type DemandDigest struct {
	Account model.AccountName
	Class   model.ClassName
	// Rate is the offered load in requests per second.
	Rate float64
	// TokensInFlight is the number of tokens of the requests in flight.
	TokensInFlight int
	// Queued is the number of queued requests.
	Queued int
}

// DomainDigest summarizes a failure domain for hosts of other failure domains.
type DomainDigest struct {
	Domain model.DomainName
	// Sequence increases with each digest of the domain.
	Sequence uint64
	// FreeRoom is the free capacity by pool.
	FreeRoom []PoolRoom
	// Gateways are the peer addresses of hosts that accept forwarded requests.
	Gateways []string
	Version  model.Version
}

// PoolRoom is the free capacity of a pool in a failure domain, in requests.
type PoolRoom struct {
	Pool model.PoolName
	// Room is free for any class, Protected for protected classes.
	Room      int
	Protected int
}

// Heartbeat is the state that hosts exchange periodically. Its size depends on
// the sender's failure domain and on the number of failure domains, never on the
// total number of hosts.
type Heartbeat struct {
	Host        model.HostID
	Incarnation model.Incarnation
	Domain      model.DomainName
	PeerAddress string
	State       HostState
	// Sequence increases with each heartbeat of the incarnation.
	Sequence uint64
	// Version is the version of the configuration in force at the sender.
	Version   model.Version
	Endpoints []EndpointDigest
	Demand    []DemandDigest
	Domains   []DomainDigest
	// WorkSequence increases with each change of the in-flight counts and demand.
	WorkSequence uint64
	// AckedWorkSequence acknowledges the last WorkSequence that the sender has
	// received from the receiver.
	AckedWorkSequence uint64
	// WorkUnchanged reports that in-flight counts and demand are omitted, because
	// the receiver has acknowledged those of WorkSequence, or because it is in
	// another failure domain. Such a receiver does not use them and never
	// acknowledges them.
	WorkUnchanged bool
}

// ConfigRecord is an accepted configuration, as it is passed between hosts.
type ConfigRecord struct {
	Version model.Version
	// Offset is the record's offset on the log.
	Offset model.Offset
	// Data is the log record, byte for byte.
	Data []byte
}

// ForwardCall forwards a request to another host: to one of another failure
// domain with free capacity, or to the issuer of a ticket.
type ForwardCall struct {
	Request model.Request
	// Key is the caller's idempotency key or ticket; empty for none.
	Key string
	// Method, Path, ContentType and Body are those of the caller's request.
	Method      string
	Path        string
	ContentType string
	Body        []byte
	Stream      bool
	// Permitted reports that the sender holds the permit to send this
	// non-idempotent request once, and uses it for this call.
	Permitted bool
}

// ForwardPart is a part of the response to a forwarded request. Only the first
// part carries a Status.
type ForwardPart struct {
	Status      int
	ContentType string
	Data        []byte
	Tokens      int
}

// ForwardStream is the response to a forwarded request in progress. Next
// returns io.EOF at the end, or an *EndpointError that carries the outcome.
type ForwardStream interface {
	Next() (ForwardPart, error)
	Close() error
}

// ClaimEntry is one claim or outcome record sent to the host that batches the
// appends of its partition.
type ClaimEntry struct {
	// Partition is the key's partition.
	Partition int
	// Data is the encoded record.
	Data []byte
}

// ClaimPosition is the position of an appended entry on the log.
type ClaimPosition struct {
	Offset model.Offset
	// Index is the entry's position in the batch at Offset.
	Index int
}

// BurnQuery requests a host's service-level counts, from which the burn rate of
// the error budget is computed.
type BurnQuery struct {
	// Window is the length of the counted period, which ends now.
	Window time.Duration
	// WholeDomain requests the counts of all hosts of the peer's failure
	// domain instead of the peer's own.
	WholeDomain bool
}

// PeerTransport calls other hosts. Errors are *PeerError.
type PeerTransport interface {
	// Exchange sends a heartbeat and returns the peer's heartbeat.
	Exchange(ctx context.Context, address string, beat Heartbeat) (Heartbeat, error)
	// FetchConfig returns the peer's configuration if it is newer than
	// newerThan, and a zero ConfigRecord otherwise.
	FetchConfig(ctx context.Context, address string, newerThan model.Version) (ConfigRecord, error)
	// Forward forwards a request.
	Forward(ctx context.Context, address string, call ForwardCall) (ForwardStream, error)
	// AppendClaims sends entries to the host that batches the appends of their
	// partitions, and returns their positions on the log.
	AppendClaims(ctx context.Context, address string, entries []ClaimEntry) ([]ClaimPosition, error)
	// Burn returns the peer's encoded service-level counts.
	Burn(ctx context.Context, address string, query BurnQuery) ([]byte, error)
}

// PeerHandler handles the calls of other hosts, made through PeerTransport.
type PeerHandler interface {
	HandleExchange(ctx context.Context, beat Heartbeat) (Heartbeat, error)
	HandleFetchConfig(ctx context.Context, newerThan model.Version) (ConfigRecord, error)
	// HandleForward serves the request and passes each part of the response to
	// send.
	HandleForward(ctx context.Context, call ForwardCall, send func(ForwardPart) error) error
	HandleAppendClaims(ctx context.Context, entries []ClaimEntry) ([]ClaimPosition, error)
	HandleBurn(ctx context.Context, query BurnQuery) ([]byte, error)
}

// PeerError reports a failed call to another host.
type PeerError struct {
	// Op is the name of the call.
	Op string
	// Address is the peer's address.
	Address string
	// Sent reports whether the peer may have received the call.
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
