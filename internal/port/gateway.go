package port

import (
	"context"
	"net/http"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/directory"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/core/routing"
)

// RoutedCall is a caller's request that goes to an endpoint unchanged.
type RoutedCall struct {
	// ID identifies the request; all attempts carry it.
	ID model.RequestID
	// Host and Path select the route. URI is the path with the query exactly as
	// the caller sent it.
	Host   string
	Method string
	Path   string
	URI    string
	// Key is the caller's API key; empty for none.
	Key string
	// Header holds what is passed on: no connection headers, no key and nothing
	// that only this system may set.
	Header http.Header
	Body   []byte
	// Patience is the time that the caller waits from Arrived on; 0 when the
	// caller did not say.
	Patience time.Duration
	Arrived  time.Time
	// LastEvent is the last event that the caller has of an earlier answer;
	// empty for none.
	LastEvent string
	Prompt    model.Prompt
}

// RoutedWriter passes an answer to the caller.
type RoutedWriter interface {
	// Answer sends a whole answer.
	Answer(status int, header http.Header, body []byte) error
	// Start begins an answer of unknown length.
	Start(status int, header http.Header) error
	// Write passes a part on at once.
	Write(data []byte) error
	// Refuse sends an answer of this system.
	Refuse(err *RequestError) error
}

// CallRouter serves routed calls.
type CallRouter interface {
	// Route serves a call. It returns false when the answer has begun and could
	// not be completed: the connection must then end so that this shows.
	Route(ctx context.Context, call *RoutedCall, w RoutedWriter) bool
	// Limits bounds what callers may send.
	Limits() routing.Limits
	// Ready says whether the host should get new connections.
	Ready() bool
	// Leaving says that the host is about to end.
	Leaving() bool
}

// RoutedAttempt is one attempt of a call at one endpoint.
type RoutedAttempt struct {
	Call     *RoutedCall
	Endpoint model.EndpointName
	Address  string
	// Account is the caller's client account; empty for none.
	Account model.AccountName
	// TimeLeft is the time after which the endpoint may stop working.
	TimeLeft time.Duration
	// Priority is the engine's; smaller is served first. It is sent with
	// prompts only.
	Priority int
	// FetchFrom is the address of an endpoint that caches parts of the prompt;
	// empty for none.
	FetchFrom string
	// LastEvent asks a resumable stream to go on after this event.
	LastEvent string
}

// RoutedEndpoints sends attempts.
type RoutedEndpoints interface {
	// Send sends an attempt and returns when the answer's header has come. The
	// attempt ends when ctx does. It fails with an *EndpointError.
	Send(ctx context.Context, attempt RoutedAttempt) (RoutedReply, error)
	// Distrust tells that an endpoint has fallen silent: connections that were
	// open before are not used again.
	Distrust(endpoint model.EndpointName, address string)
	// Check opens a connection to an endpoint and keeps it for a request. It
	// fails with an *EndpointError, and connections that were open before are
	// not used again.
	Check(ctx context.Context, endpoint model.EndpointName, address string) error
}

// RoutedReply is the answer of an endpoint. Close must be called.
type RoutedReply interface {
	Status() int
	// Header holds what the caller may see.
	Header() http.Header
	// Authentic says that the answer carries the endpoint's signature.
	Authentic() bool
	// Refused says that the endpoint states not to have run the request.
	Refused() bool
	// Events says that the answer is a stream of events.
	Events() bool
	// Body returns the whole body, or an *EndpointError when it broke off.
	Body() ([]byte, error)
	// Next returns the next events, io.EOF at the end of a whole answer, or an
	// *EndpointError. The Data is valid until the next call.
	Next() (EventBatch, error)
	// Close ends the answer. It cancels the work when that has not ended.
	Close()
}

// EventBatch holds whole events that arrived together.
type EventBatch struct {
	// Data are the events with their framing.
	Data []byte
	// Last is the ID of the last event; empty when it has none.
	Last string
	// Events is the number of events.
	Events int
}

// Topic is one of the platform's lists.
type Topic uint8

// The lists that hosts follow.
const (
	// TopicConfig holds the operator's configuration.
	TopicConfig Topic = iota
	// TopicEndpoints holds the entries of the endpoints.
	TopicEndpoints
)

// String returns the topic as it stands in logs.
func (t Topic) String() string {
	if t == TopicConfig {
		return "config"
	}
	return "endpoints"
}

// KeyedRecord is the newest value of a key.
type KeyedRecord struct {
	Key string
	// Value is empty when the key was removed.
	Value []byte
}

// KeyedBatch is a run of records.
type KeyedBatch struct {
	Records []KeyedRecord
	// Next is the offset to read on from.
	Next model.Offset
}

// Lists reads the platform's lists.
type Lists interface {
	// Newest returns all keys with their values.
	Newest(ctx context.Context, topic Topic) (KeyedBatch, error)
	// Changes returns the records from an offset on. It waits for the first
	// one. It fails with an *ExpiredError when the records are no longer kept.
	Changes(ctx context.Context, topic Topic, from model.Offset, wait time.Duration) (KeyedBatch, error)
}

// ListDecoder translates the values of the platform's lists.
type ListDecoder interface {
	// IsConfig says that a key of TopicConfig holds the configuration.
	IsConfig(key string) bool
	// Config decodes a configuration.
	Config(value []byte) (*routing.Config, error)
	// Endpoint decodes an endpoint's entry.
	Endpoint(key string, value []byte) (directory.Entry, error)
}

// ExpiredError says that records are no longer kept.
type ExpiredError struct {
	Topic Topic
	From  model.Offset
}

// Error implements error.
func (e *ExpiredError) Error() string { return "records of " + e.Topic.String() + " have expired" }
