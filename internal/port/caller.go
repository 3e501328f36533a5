package port

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// HeaderFirstTry is the request header by which a caller declares, with the
// value "true", that it has not yet sent a request with this key to any host.
const HeaderFirstTry = "X-Wigeonsail-First-Try"

// CallerRequest is a caller's request, as the caller API passes it to the Router.
type CallerRequest struct {
	// ID identifies the request.
	ID model.RequestID
	// Account is the authenticated client account.
	Account model.AccountName
	// Class is the requested class; empty for none.
	Class model.ClassName
	// Budget is the time limit for the response; 0 for the class's default.
	Budget time.Duration
	// Key is the caller's idempotency key or ticket; empty for none.
	Key string
	// Method is the HTTP method, and Path the path with the query.
	Method string
	Path   string
	Header http.Header
	// Body is the whole body of a model call or of a request with a Key.
	Body []byte
	// BodyReader is the body of a plain service call that may be streamed;
	// nil if Body holds the body.
	BodyReader io.Reader
	// BodyLength is the length of BodyReader in bytes; -1 if unknown.
	BodyLength int64
	// Model is the model of a model call; empty for plain services.
	Model model.ModelName
	// Stream requests server-sent events from a model call.
	Stream bool
	// Forwarded reports whether another host forwarded the request.
	Forwarded bool
	// Permitted reports that the forwarding host holds the permit to send this
	// request once, and uses it for this call.
	Permitted bool
}

// CallerResponseWriter writes the response to a request. Start must be called
// exactly once, before any other method.
type CallerResponseWriter interface {
	// Start sends the status and header.
	Start(status int, header http.Header) error
	// WriteEvent sends one event of a streamed response without buffering. The
	// event carries the given number of tokens.
	WriteEvent(data []byte, tokens int) error
	// WriteBody sends a part of a response that is not streamed.
	WriteBody(data []byte) error
}

// Ticket is a single-use idempotency key issued by this host.
type Ticket struct {
	Text    string
	Expires time.Time
}

// Router serves the requests of callers. Errors are *RequestError.
type Router interface {
	// Authenticate returns the client account of an API key.
	Authenticate(key string) (model.AccountName, error)
	// Complete serves a model call.
	Complete(ctx context.Context, req CallerRequest, w CallerResponseWriter) error
	// Serve serves a call to a plain service.
	Serve(ctx context.Context, req CallerRequest, w CallerResponseWriter) error
	// Models returns the models that a client account may use.
	Models(account model.AccountName) []model.ModelName
	// IssueTicket issues a single-use idempotency key to a client account.
	IssueTicket(ctx context.Context, account model.AccountName) (Ticket, error)
	// Ready reports whether the host accepts requests.
	Ready() bool
}

// Code is the machine-readable code of an error response to a caller.
type Code string

// The codes of error responses to callers.
const (
	CodeBadRequest       Code = "bad_request"
	CodeUnauthorized     Code = "unauthorized"
	CodeForbidden        Code = "forbidden"
	CodeUnknownModel     Code = "unknown_model"
	CodeUnknownRoute     Code = "unknown_route"
	CodeBodyTooLarge     Code = "body_too_large"
	CodeHeaderTooLarge   Code = "header_too_large"
	CodeOverloaded       Code = "overloaded"
	CodeQuarantined      Code = "quarantined"
	CodeCannotResume     Code = "cannot_resume"
	CodeLimitReached     Code = "limit_reached"
	CodeDeadlineExceeded Code = "deadline_exceeded"
	CodeEndpointFailed   Code = "endpoint_failed"
	CodeNoEndpoint       Code = "no_endpoint"
	CodeNotReady         Code = "not_ready"
	CodeLeaving          Code = "leaving"
	CodeCanceled         Code = "canceled"
	CodeKeyReused        Code = "key_reused"
	CodeKeyExpired       Code = "key_expired"
	CodeKeyInvalid       Code = "key_invalid"
	CodeKeyInProgress    Code = "key_in_progress"
	CodeClaimUnavailable Code = "claim_unavailable"
	CodeOutcomeUnknown   Code = "outcome_unknown"
	CodeInternal         Code = "internal"
	CodeAnswerTooLarge   Code = "answer_too_large"
	CodeServiceRefused   Code = "service_refused"
	CodeMethodNotAllowed Code = "method_not_allowed"
)

// RequestError is the error response to a request that was not served.
type RequestError struct {
	Code Code
	// Status is the HTTP status.
	Status int
	// Message describes the error to the caller.
	Message string
	// Outcome states whether the request may have taken effect.
	Outcome model.Outcome
	// RetryAfter is the delay before a retry; 0 if a retry does not help.
	RetryAfter time.Duration
	// Field names the invalid field of the request; empty for none.
	Field string
	// Cause is the underlying error; it is not sent to callers.
	Cause error
}

// Error implements error.
func (e *RequestError) Error() string {
	text := string(e.Code) + " (" + e.Outcome.String() + "): " + e.Message
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *RequestError) Unwrap() error { return e.Cause }
