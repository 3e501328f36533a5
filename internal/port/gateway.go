package port

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/directory"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/core/quarantine"
	"github.com/wigeonsail/wigeonsail/internal/core/resume"
	"github.com/wigeonsail/wigeonsail/internal/core/routing"
)

// RoutedCall is a caller's request that is forwarded to an endpoint unchanged.
type RoutedCall struct {
	// ID identifies the request; it is sent with every attempt.
	ID model.RequestID
	// Host and Path select the route. URI is the path with the query, exactly as
	// the caller sent it.
	Host   string
	Method string
	Path   string
	URI    string
	// Key is the caller's API key; empty for none.
	Key string
	// Header holds the headers to forward: without hop-by-hop headers, without
	// the API key and without headers that only this system may set.
	Header http.Header
	Body   []byte
	// Memory is what is held for the request; nil if that is not accounted for.
	Memory MemoryHold
	// CallerTimeout is the time that the caller waits, counted from Arrived; 0 if
	// the caller did not set one.
	CallerTimeout time.Duration
	Arrived       time.Time
	// LastEventID is the ID of the last event that the caller received of an
	// interrupted stream; empty for none.
	LastEventID string
	// Resumes is the ID of the caller's request that brought the first event of that
	// stream; empty if the caller does not name it.
	Resumes model.RequestID
	Prompt  model.Prompt
}

// RoutedResponseWriter writes the response to the caller.
type RoutedResponseWriter interface {
	// Respond sends a complete response.
	Respond(status int, header http.Header, body []byte) error
	// Start sends the header of a response of unknown length.
	Start(status int, header http.Header) error
	// Write sends a part of the body without buffering.
	Write(data []byte) error
	// RespondError sends an error response of this system.
	RespondError(err *RequestError) error
}

// CallRouter serves routed calls.
type CallRouter interface {
	// Route serves a call. It returns false if the response has begun but could
	// not be completed, if the caller has left before that, or if writing an error
	// response failed. The connection must then be closed, so that a caller that is
	// still there sees that the response is truncated.
	Route(ctx context.Context, call *RoutedCall, w RoutedResponseWriter) bool
	// HoldMemory holds the memory for a request before its body of a length, 0 if it is not
	// known, is read. It returns the error to send to the caller if there is no room.
	HoldMemory(bodyLength int64) (MemoryHold, *RequestError)
	// Limits returns the limits on the requests of callers.
	Limits() routing.Limits
	// Ready reports whether the host should get new connections.
	Ready() bool
	// Leaving reports whether the host is draining and about to shut down.
	Leaving() bool
	// LeavingError returns the error to send to the caller of a request that is not run since
	// the host leaves.
	LeavingError() *RequestError
	// ClosesConnections reports whether the connections of callers are to be closed after
	// their responses, so that the callers go to other hosts.
	ClosesConnections() bool
}

// RoutedAttempt is one attempt of a call at one endpoint.
type RoutedAttempt struct {
	Call     *RoutedCall
	Endpoint model.EndpointName
	Address  string
	// Account is the caller's client account; empty for none.
	Account model.AccountName
	// TimeLeft is the time after which the endpoint may abort the request.
	TimeLeft time.Duration
	// Priority is the engine's scheduling priority; lower values are served
	// first. It is sent with prompts only.
	Priority int
	// CacheSource is the address of an endpoint from which the engine may fetch
	// cached parts of the prompt; empty for none.
	CacheSource string
	// LastEventID resumes a resumable stream after the event with this ID.
	LastEventID string
	// MovedFrom is the handle of a stopped run that the endpoint continues; empty for none.
	MovedFrom string
}

// EndpointClient sends attempts to endpoints.
type EndpointClient interface {
	// Send sends an attempt and returns once the header of the response has been
	// received. The attempt is canceled when ctx ends. Errors are *EndpointError.
	Send(ctx context.Context, attempt RoutedAttempt) (EndpointResponse, error)
	// DropConnections stops the reuse of the currently open connections to an
	// endpoint. It is called when the endpoint has stopped responding.
	DropConnections(endpoint model.EndpointName, address string)
	// Probe opens a connection to an endpoint and keeps it for a later request.
	// If it fails, it returns an *EndpointError, and connections that were open
	// before are not reused.
	Probe(ctx context.Context, endpoint model.EndpointName, address string) error
}

// RequestLimit is the number of requests per second that an endpoint takes from all
// hosts together.
type RequestLimit struct {
	// Stated reports that the response has a limit.
	Stated    bool
	PerSecond float64
}

// Brittleness is what an endpoint states of the rejections that it bears.
type Brittleness struct {
	// Stated reports that the response states it.
	Stated bool
	// Rejections is the number of requests that the endpoint may have to reject in a second
	// before it fails.
	Rejections float64
}

// MalformedLimitError is the error for a limit that is no number of requests per second.
type MalformedLimitError struct{ Text string }

// Error implements error.
func (e *MalformedLimitError) Error() string {
	return "malformed request limit " + strconv.Quote(e.Text)
}

// EndpointResponse is the response of an endpoint. Close must be called.
type EndpointResponse interface {
	Status() int
	// Header returns the headers that may be sent to the caller.
	Header() http.Header
	// HasSignature reports whether the response carries the endpoint's signature.
	HasSignature() bool
	// NotExecuted reports whether the endpoint states that it has not executed
	// the request.
	NotExecuted() bool
	// IsLeaving reports whether the endpoint states that it is about to shut down
	// and accepts no new requests.
	IsLeaving() bool
	// RetryAfter is the time for which an endpoint that refused the request wants
	// no more requests from this host; 0 for none.
	RetryAfter() time.Duration
	// RequestLimit returns the request rate that the endpoint states in this
	// response. It fails with a *MalformedLimitError if the value has no meaning.
	RequestLimit() (RequestLimit, error)
	// Brittleness returns whether the endpoint fails under rejections. It fails with a
	// *MalformedLimitError if the value has no meaning.
	Brittleness() (Brittleness, error)
	// ConnectedAt is when the connection of the response was opened to the endpoint; zero if
	// it is not known.
	ConnectedAt() time.Time
	// IsEventStream reports whether the response is a stream of events.
	IsEventStream() bool
	// EndsByClose reports whether the response has neither a length nor chunks: it ends
	// with its connection, and one that was stopped at the endpoint looks complete.
	EndsByClose() bool
	// Body returns the whole body, or an *EndpointError if it is incomplete, with an
	// *UnprovenEndError as the cause if that is not known.
	Body() ([]byte, error)
	// Next returns the next events, io.EOF at the end of a complete response, or
	// an *EndpointError like that of Body. The Data is valid until the next call.
	Next() (EventBatch, error)
	// KeepBatch makes the Data of the last batch valid beyond the next call of Next.
	KeepBatch()
	// Close ends the response, and cancels the request if it is still running.
	Close()
}

// UnprovenEndError is the cause of the error of a response that ended with its connection, while
// its endpoint accepts no other. All of the response has arrived, unless the endpoint itself
// has ended.
type UnprovenEndError struct {
	// EndedAt is when the connection was found to be closed.
	EndedAt time.Time
	// Body is what has arrived of a response that is no stream.
	Body []byte
	// Cause is why no other connection could be opened.
	Cause error
}

// Error implements error.
func (e *UnprovenEndError) Error() string {
	return "the connection was closed, and the endpoint accepts no other: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *UnprovenEndError) Unwrap() error { return e.Cause }

// EventBatch holds whole events that arrived together.
type EventBatch struct {
	// Data are the events with their framing.
	Data []byte
	// LastID is the ID of the last event; empty if it has none.
	LastID string
	// Events is the number of events.
	Events int
}

// StoredSuspect is a suspect as kept in the store.
type StoredSuspect struct {
	Suspect quarantine.Suspect
	// Crashes is the number of crashes at different moments, At the time of the last one.
	Crashes int
	At      time.Time
}

// QuarantineStore keeps the suspects that are in quarantine or suspended while no host
// runs, and selects the host that may send a suspended request. Errors are *PlatformError.
type QuarantineStore interface {
	// Suspects returns the suspects that were saved and not released since.
	Suspects(ctx context.Context) ([]StoredSuspect, error)
	// SaveSuspect saves a suspect, ReleaseSuspect removes it. Both may be repeated.
	SaveSuspect(ctx context.Context, suspect StoredSuspect) error
	ReleaseSuspect(ctx context.Context, suspect quarantine.Suspect) error
	// ClaimTrial reserves a suspect for a trial by this host until a time, unless another
	// host has reserved it. It returns whether this host has the trial.
	ClaimTrial(ctx context.Context, suspect quarantine.Suspect, until time.Time) (bool, error)
	// EndTrial ends a trial of this host.
	EndTrial(ctx context.Context, suspect quarantine.Suspect) error
}

// VersionStore keeps which software versions the pools have had while no host runs. Errors
// are *PlatformError.
type VersionStore interface {
	// VersionHistories returns the histories that were saved last.
	VersionHistories(ctx context.Context) (VersionHistories, error)
	// SaveVersionHistory saves the history of a pool. It may be repeated.
	SaveVersionHistory(ctx context.Context, pool model.PoolName, h resume.History) error
}

// VersionHistories are the saved histories of pools.
type VersionHistories struct {
	// Era is the era of the store in which they were read.
	Era    model.Era
	ByPool map[model.PoolName]resume.History
}

// Topic identifies one of the platform's lists, each of which is a compacted
// log of keyed records.
type Topic uint8

// The lists that hosts read.
const (
	// TopicConfig holds the operator's configuration.
	TopicConfig Topic = iota
	// TopicEndpoints holds the entries of the endpoints.
	TopicEndpoints
)

// String returns the name of the topic for logs and metrics.
func (t Topic) String() string {
	if t == TopicConfig {
		return "config"
	}
	return "endpoints"
}

// KeyedRecord is a value of a key.
type KeyedRecord struct {
	// Offset is the record's offset. It is set in changes only.
	Offset model.Offset
	Key    string
	// Value is empty if the key was removed.
	Value []byte
}

// KeyedBatch is the result of a read of a list.
type KeyedBatch struct {
	Records []KeyedRecord
	// Next is the position at which to continue reading.
	Next model.Position
}

// ListReader reads the platform's lists.
type ListReader interface {
	// LatestValues returns all keys with their latest values.
	LatestValues(ctx context.Context, topic Topic) (KeyedBatch, error)
	// Changes returns the records from a position on. It waits up to wait for the
	// first one. It fails with an *ExpiredError if the records are no longer kept,
	// and with a *RestoredError if the store is in another era.
	Changes(ctx context.Context, topic Topic, from model.Position, wait time.Duration) (KeyedBatch, error)
}

// ListDecoder decodes the values of the platform's lists.
type ListDecoder interface {
	// IsConfig reports whether a key of TopicConfig holds the configuration.
	IsConfig(key string) bool
	// Config decodes a configuration.
	Config(value []byte) (*routing.Config, error)
	// Endpoint decodes the list entry of an endpoint.
	Endpoint(key string, value []byte) (directory.Entry, error)
}

// ExpiredError reports that the records of a topic from an offset on have passed
// their retention and are no longer kept.
type ExpiredError struct {
	Topic Topic
	From  model.Position
}

// Error implements error.
func (e *ExpiredError) Error() string { return "records of " + e.Topic.String() + " have expired" }

// RestoredError reports that the store was restored from an older copy since the
// position from which to read was obtained, so that the offset has no meaning any
// more.
type RestoredError struct {
	Topic Topic
	// From is the position from which the read was requested, Era the era of the
	// store.
	From model.Position
	Era  model.Era
}

// Error implements error.
func (e *RestoredError) Error() string {
	return fmt.Sprintf("the store was restored: %s was read in era %d, the store is in era %d", e.Topic, e.From.Era, e.Era)
}
