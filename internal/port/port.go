// Package port declares the interfaces between the host and its environment:
// the platform's services, the endpoints, the other hosts, callers and
// operators. The adapters implement the outgoing ones and call the incoming
// ones.
package port

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// StreamName names a stream of the platform's log.
type StreamName string

// Record is one entry of a stream.
type Record struct {
	// Offset is the record's position in its stream.
	Offset model.Offset
	// Data is the record's content.
	Data []byte
}

// Batch is the result of a read of a stream.
type Batch struct {
	// Records are in offset order, without gaps.
	Records []Record
	// EraStart is the lowest offset of the log's era. Records before it are void,
	// because the log was restored from a copy: some of them are lost, and the
	// others appear again from EraStart on.
	EraStart model.Offset
	// Earliest is the lowest offset that the log still retains.
	Earliest model.Offset
	// NextOffset is the offset that the next append will get.
	NextOffset model.Offset
}

// Log is the platform's append-only log service. It accepts several hundred
// appends per second in total, retains records for a limited time, and has
// outages. After it was restored from a copy, offsets continue above all earlier
// ones.
type Log interface {
	// Append appends one record and returns its offset. After an error the
	// record may or may not be in the log, unless the error is a PlatformError
	// with outcome not_run.
	Append(ctx context.Context, stream StreamName, data []byte) (model.Offset, error)
	// Read returns up to max records starting at offset from. If there is none,
	// it waits up to wait for one.
	Read(ctx context.Context, stream StreamName, from model.Offset, max int, wait time.Duration) (Batch, error)
}

// ListedHost is an entry of the platform's host list.
type ListedHost struct {
	// Name is the host's or the endpoint's name.
	Name string
	// Domain is its failure domain.
	Domain model.DomainName
	// PeerAddress is the address at which an entry host, that is, a host that runs
	// this router, serves its peers; empty for hosts of endpoints.
	PeerAddress string
	// Leaving reports whether the host has been requested to drain.
	Leaving bool
}

// HostList is the platform's list of live and draining hosts. It lags behind
// their actual state.
type HostList interface {
	// Hosts returns the current list.
	Hosts(ctx context.Context) ([]ListedHost, error)
	// Announce adds or renews this host's own entry.
	Announce(ctx context.Context, host ListedHost) error
}

// WeightStore is the platform's rate-limited store of model weights.
type WeightStore interface {
	// Stat returns the size in bytes of a model's or adapter's weights.
	Stat(ctx context.Context, name model.ModelName) (int64, error)
}

// PlatformError reports a failed call to one of the platform's services.
type PlatformError struct {
	// Op is the name of the call, for example "append".
	Op string
	// Outcome states whether the call took effect.
	Outcome model.Outcome
	// RetryAfter is the delay before a retry; 0 if unknown.
	RetryAfter time.Duration
	// Cause is the underlying error.
	Cause error
}

// Error implements error.
func (e *PlatformError) Error() string {
	return "platform " + e.Op + " (" + e.Outcome.String() + "): " + errText(e.Cause)
}

// Unwrap returns the cause.
func (e *PlatformError) Unwrap() error { return e.Cause }

// EngineCall is one attempt of a request at a model engine.
type EngineCall struct {
	// Address is the endpoint's host:port.
	Address string
	// Path is the requested path, for example "/v1/chat/completions".
	Path string
	// Body is the JSON body of the caller's request.
	Body []byte
	// Stream requests server-sent events.
	Stream bool
	// Priority is the engine's scheduling priority; lower values are served
	// first.
	Priority int
	// Request and Attempt identify the attempt.
	Request model.RequestID
	Attempt model.Attempt
	// ResumeFrom is the number of tokens already sent to the caller; the engine
	// resumes the stream after them.
	ResumeFrom int
}

// EngineEvent is one part of an engine's response.
type EngineEvent struct {
	// Data is the event's payload without framing; the whole body of a response
	// that is not streamed.
	Data []byte
	// Tokens is the number of tokens that the event carries.
	Tokens int
	// Last marks the end of a complete response.
	Last bool
}

// ErrNoResume is the cause of an *EndpointError if an engine did not resume a
// stream.
var ErrNoResume = errors.New("engine did not resume the stream")

// EngineStream is an engine's response in progress.
type EngineStream interface {
	// Next returns the next event, or an *EndpointError. The event's Data is
	// valid until the next call.
	Next() (EngineEvent, error)
	// Close cancels the request if it is still running.
	Close() error
}

// EngineLoad is an engine's own load report. It lags behind the actual load.
type EngineLoad struct {
	Running int
	Queued  int
	Leaving bool
	// CanResume reports whether the engine can resume a stream at a token number.
	CanResume bool
	// Models are the loaded models and adapters.
	Models []model.ModelName
	// Role is the engine's role; empty for an engine without roles.
	Role string
	// Age is the age of the report as stated by the engine.
	Age time.Duration
}

// EngineOrder is a control command that brings an engine to a desired state.
type EngineOrder struct {
	// Kind is "load_model", "load_adapter" or "change_role".
	Kind string
	// Target is the model, adapter or role.
	Target string
	// Fencing is the fencing number: the offset of the log record that began the
	// lease term in which the order is sent.
	Fencing model.Offset
}

// EngineClient calls model engines.
type EngineClient interface {
	// Open starts an attempt.
	Open(ctx context.Context, call EngineCall) (EngineStream, error)
	// Load fetches the engine's load report.
	Load(ctx context.Context, address string) (EngineLoad, error)
	// Order sends an order and returns once the engine has accepted it.
	Order(ctx context.Context, address string, order EngineOrder) error
}

// ServiceCall is one attempt of a request at a plain service.
type ServiceCall struct {
	Address string
	Method  string
	// Path is the path and query below the service's root.
	Path   string
	Header http.Header
	// Body is sent at most once; nil for none.
	Body io.Reader
	// Length is the length of Body in bytes; -1 if unknown.
	Length int64
	// Key is the idempotency key sent to the service; empty for none.
	Key     string
	Request model.RequestID
	Attempt model.Attempt
}

// ServiceResponse is a plain service's response. The receiver must close Body.
type ServiceResponse struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
}

// ServiceClient calls plain services: endpoints that are not model engines.
type ServiceClient interface {
	// Do sends one attempt. The outcome of a returned *EndpointError states
	// whether a byte of the request may have been sent.
	Do(ctx context.Context, call ServiceCall) (*ServiceResponse, error)
	// Leaving queries whether the endpoint itself reports that it is draining.
	Leaving(ctx context.Context, address string) (bool, error)
}

// EndpointError reports a failed attempt at an endpoint.
type EndpointError struct {
	// Outcome is not_run only if no byte of the request was written to the
	// connection, or if the endpoint's response proves that it rejected the
	// request.
	Outcome model.Outcome
	// Status is the HTTP status of the endpoint's response; 0 for none.
	Status int
	// RetryAfter is the retry delay that the endpoint requested; 0 for none.
	RetryAfter time.Duration
	// Cause is the underlying error.
	Cause error
}

// Error implements error.
func (e *EndpointError) Error() string {
	return "endpoint attempt (" + e.Outcome.String() + "): " + errText(e.Cause)
}

// Unwrap returns the cause.
func (e *EndpointError) Unwrap() error { return e.Cause }

func errText(err error) string {
	if err == nil {
		return "no cause given"
	}
	return err.Error()
}
