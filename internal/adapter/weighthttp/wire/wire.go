// Package wire defines the JSON bodies, the path and the header of the weight
// store's protocol, shared by the adapter and the stand-in.
package wire

// HostHeader is the request header with the name of the calling host.
const HostHeader = "Wigeonsail-Host"

// WeightsPath is the path prefix of weights; the name of a model or adapter
// follows it.
const WeightsPath = "/v1/weights/"

// WeightResponse is the response of the weight store.
type WeightResponse struct {
	Bytes int64 `json:"bytes"`
}

// ErrorCode is the kind of an error response.
type ErrorCode string

// The kinds of error responses.
const (
	// CodeBadRequest means that the request is malformed.
	CodeBadRequest ErrorCode = "bad_request"
	// CodeNotFound means that there is no such entry.
	CodeNotFound ErrorCode = "not_found"
	// CodeTooLarge means that the record is too large.
	CodeTooLarge ErrorCode = "too_large"
	// CodeRateLimited means that the rate limit is exceeded.
	CodeRateLimited ErrorCode = "rate_limited"
	// CodeUnavailable means that the service is unavailable.
	CodeUnavailable ErrorCode = "unavailable"
)

// ErrorResponse is the body of every error response.
type ErrorResponse struct {
	Code    ErrorCode `json:"code"`
	Message string    `json:"message"`
	// NotApplied reports that the request took no effect and will take none.
	NotApplied bool `json:"not_applied"`
	// RetryAfterMillis is the retry delay in milliseconds; 0 if unknown.
	RetryAfterMillis int64 `json:"retry_after_ms,omitempty"`
}
