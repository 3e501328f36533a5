// Package port declares what the host needs from the world outside: the
// platform, the endpoints and the other hosts. Adapters implement it.
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

// Batch is the answer to a read of a stream.
type Batch struct {
	// Records are in offset order, without gaps.
	Records []Record
	// Earliest is the smallest offset that the log still keeps.
	Earliest model.Offset
	// Next is the offset that the next append will get.
	Next model.Offset
}

// Log is the platform's append-only log service. It takes several hundred
// appends a second in all, keeps records for a limited time and has outages.
type Log interface {
	// Append adds one record and returns its offset. After an error the
	// record may or may not stand in the log, unless the error is a
	// PlatformError with outcome not_run.
	Append(ctx context.Context, stream StreamName, data []byte) (model.Offset, error)
	// Read returns up to max records from offset on. With wait > 0 it waits
	// that long for a record when there is none.
	Read(ctx context.Context, stream StreamName, from model.Offset, max int, wait time.Duration) (Batch, error)
}

// ListedHost is an entry of the platform's host list.
type ListedHost struct {
	// Name is the host's or the endpoint's name.
	Name string
	// Domain is its failure domain.
	Domain model.DomainName
	// PeerAddress is where an entry host serves its peers; empty for hosts
	// of endpoints.
	PeerAddress string
	// Leaving says that the host has been told to leave.
	Leaving bool
}

// HostList is the platform's lagging list of live and leaving hosts.
type HostList interface {
	// Hosts returns the list as the platform knows it.
	Hosts(ctx context.Context) ([]ListedHost, error)
	// Announce adds or renews this host's own entry.
	Announce(ctx context.Context, host ListedHost) error
}

// WeightStore is the platform's rate-limited store of model weights.
type WeightStore interface {
	// Stat returns the size in bytes of a model's or adapter's weights.
	Stat(ctx context.Context, name model.ModelName) (int64, error)
}

// PlatformError is an error of the platform's services.
type PlatformError struct {
	// Op names the call, for example "append".
	Op string
	// Outcome says whether the call took effect.
	Outcome model.Outcome
	// RetryAfter is when to try again; 0 when not known.
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
	// Path is the called path, for example "/v1/chat/completions".
	Path string
	// Body is the JSON body of the caller.
	Body []byte
	// Stream asks for server-sent events.
	Stream bool
	// Priority is the engine's priority; smaller is served first.
	Priority int
	// Request and Attempt identify the try.
	Request model.RequestID
	Attempt model.Attempt
	// ResumeFrom is the number of tokens that were already relayed.
	ResumeFrom int
}

// EngineEvent is one part of an engine's answer.
type EngineEvent struct {
	// Data is the event's payload without framing; the whole body for an
	// answer that is not streamed.
	Data []byte
	// Tokens is the number of tokens that the event carries.
	Tokens int
	// Last marks the end of a whole answer.
	Last bool
}

// ErrNoResume is the cause when an engine did not resume a stream.
var ErrNoResume = errors.New("engine did not resume the stream")

// EngineStream is an engine's answer in progress.
type EngineStream interface {
	// Next returns the next event, or an *EndpointError. The event's Data is
	// valid until the next call.
	Next() (EngineEvent, error)
	// Close cancels the work when it is still running.
	Close() error
}

// EngineLoad is an engine's own load report. It lags.
type EngineLoad struct {
	Running int
	Queued  int
	Leaving bool
	// CanResume says that the engine resumes a stream at a token number.
	CanResume bool
	// Models are the models and adapters loaded.
	Models []model.ModelName
	// Role is the engine's role; empty for an engine that knows none.
	Role string
	// Age is how old the report says it is.
	Age time.Duration
}

// EngineOrder is an order to an engine to reach a wanted state.
type EngineOrder struct {
	// Kind is "load_model", "load_adapter" or "change_role".
	Kind string
	// Target is the model, adapter or role.
	Target string
	// Fencing is the offset of the lease record that permits the order.
	Fencing model.Offset
}

// Engines speaks to model engines.
type Engines interface {
	// Open starts an attempt.
	Open(ctx context.Context, call EngineCall) (EngineStream, error)
	// Load asks for the engine's load report.
	Load(ctx context.Context, address string) (EngineLoad, error)
	// Order gives an order and returns once the engine accepted it.
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
	// Length is the length of Body in bytes; -1 when it is not known.
	Length int64
	// Key is the idempotency key that the service sees; empty for none.
	Key     string
	Request model.RequestID
	Attempt model.Attempt
}

// ServiceAnswer is a plain service's answer. The receiver closes Body.
type ServiceAnswer struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
}

// Services speaks to plain services.
type Services interface {
	// Do sends one attempt. An *EndpointError tells whether a byte of it
	// may have left.
	Do(ctx context.Context, call ServiceCall) (*ServiceAnswer, error)
	// Leaving asks whether the endpoint is leaving by its own report.
	Leaving(ctx context.Context, address string) (bool, error)
}

// EndpointError is a failed attempt at an endpoint.
type EndpointError struct {
	// Outcome is not_run only when no byte of the request was handed to the
	// connection, or the endpoint's answer proves refusal.
	Outcome model.Outcome
	// Status is the endpoint's HTTP status; 0 when there was none.
	Status int
	// RetryAfter is the endpoint's own wish; 0 for none.
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
