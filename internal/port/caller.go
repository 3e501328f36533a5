package port

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// HeaderFirstTry is the header with which a caller declares, by the value
// "true", that it has sent nothing with the key before, to any host.
const HeaderFirstTry = "X-Wigeonsail-First-Try"

// CallerRequest is a request as the caller side hands it to the host.
type CallerRequest struct {
	// ID identifies the request.
	ID model.RequestID
	// Account is the authenticated client account.
	Account model.AccountName
	// Class is the class that the caller wishes; empty for none.
	Class model.ClassName
	// Budget is the time that the answer may take; 0 for the class's default.
	Budget time.Duration
	// Key is the caller's idempotency key or ticket; empty for none.
	Key string
	// Method and Path are the called method and path with query.
	Method string
	Path   string
	Header http.Header
	// Body is the whole body of a model call or of a call with a Key.
	Body []byte
	// BodyReader is the body of a plain service call that may be streamed;
	// nil when Body holds it.
	BodyReader io.Reader
	// BodyLength is the length of BodyReader in bytes; -1 when not known.
	BodyLength int64
	// Model is the model of a model call; empty for plain services.
	Model model.ModelName
	// Stream asks a model call for server-sent events.
	Stream bool
	// Forwarded says that another host sent the request here.
	Forwarded bool
	// Permitted says that the forwarding host holds the right to send the
	// request and uses it for this call.
	Permitted bool
}

// AnswerWriter takes the answer to a request. Start comes first and once.
type AnswerWriter interface {
	// Start sends the status and header.
	Start(status int, header http.Header) error
	// WriteEvent sends one event of a streamed answer at once.
	WriteEvent(data []byte, tokens int) error
	// WriteBody sends a part of an answer that is not streamed.
	WriteBody(data []byte) error
}

// Ticket is a single-use key of this host.
type Ticket struct {
	Text    string
	Expires time.Time
}

// Router serves the requests of callers. Errors are *RequestError.
type Router interface {
	// Authenticate finds the account of a key.
	Authenticate(key string) (model.AccountName, error)
	// Complete serves a model call.
	Complete(ctx context.Context, req CallerRequest, w AnswerWriter) error
	// Serve serves a call to a plain service.
	Serve(ctx context.Context, req CallerRequest, w AnswerWriter) error
	// Models lists the models that an account can use.
	Models(account model.AccountName) []model.ModelName
	// IssueTicket makes a single-use key for an account.
	IssueTicket(ctx context.Context, account model.AccountName) (Ticket, error)
	// Ready says whether the host takes requests.
	Ready() bool
}

// Code is the fixed name of an error that callers see.
type Code string

// The codes that callers see.
const (
	CodeBadRequest      Code = "bad_request"
	CodeUnauthorized    Code = "unauthorized"
	CodeForbidden       Code = "forbidden"
	CodeUnknownModel    Code = "unknown_model"
	CodeUnknownRoute    Code = "unknown_route"
	CodeBodyTooLarge    Code = "body_too_large"
	CodeHeaderTooLarge  Code = "header_too_large"
	CodeOverloaded      Code = "overloaded"
	CodeLimitReached    Code = "limit_reached"
	CodeDeadline        Code = "deadline_exceeded"
	CodeEndpointFailed  Code = "endpoint_failed"
	CodeNoEndpoint      Code = "no_endpoint"
	CodeNotReady        Code = "not_ready"
	CodeLeaving         Code = "leaving"
	CodeCanceled        Code = "canceled"
	CodeKeyReused       Code = "key_reused"
	CodeKeyExpired      Code = "key_expired"
	CodeKeyInvalid      Code = "key_invalid"
	CodeKeyInProgress   Code = "key_in_progress"
	CodeNoClaim         Code = "claim_unavailable"
	CodeOutcomeUnknown  Code = "outcome_unknown"
	CodeInternal        Code = "internal"
	CodeAnswerTooLarge  Code = "answer_too_large"
	CodeServiceRefused  Code = "service_refused"
	CodeMethodForbidden Code = "method_not_allowed"
)

// RequestError is the final answer to a request that was not served.
type RequestError struct {
	Code Code
	// Status is the HTTP status.
	Status int
	// Message tells the caller what is wrong, in plain words.
	Message string
	// Outcome is what is known of the request's effect.
	Outcome model.Outcome
	// RetryAfter is when to come back; 0 when coming back does not help.
	RetryAfter time.Duration
	// Field names the field that is wrong; empty for none.
	Field string
	// Cause is the underlying error; callers do not see it.
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
