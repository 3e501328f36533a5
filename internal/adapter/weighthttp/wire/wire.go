// Package wire holds the JSON bodies, the path and the header of the weight
// store, as the adapter and the stand-in both speak them.
package wire

// HostHeader carries the name of the calling host.
const HostHeader = "Wigeonsail-Host"

// WeightsPath is followed by the name of a model or adapter.
const WeightsPath = "/v1/weights/"

// WeightResponse answers a call to the weight store.
type WeightResponse struct {
	Bytes int64 `json:"bytes"`
}

// ErrorCode names the kind of a refusal.
type ErrorCode string

// The kinds of refusals.
const (
	// CodeBadRequest means that the request cannot be understood.
	CodeBadRequest ErrorCode = "bad_request"
	// CodeNotFound means that there is no such entry.
	CodeNotFound ErrorCode = "not_found"
	// CodeTooLarge means that the record is too large.
	CodeTooLarge ErrorCode = "too_large"
	// CodeRateLimited means that the rate limit is used up.
	CodeRateLimited ErrorCode = "rate_limited"
	// CodeUnavailable means that the service is out of order.
	CodeUnavailable ErrorCode = "unavailable"
)

// ErrorResponse is the body of every refusal.
type ErrorResponse struct {
	Code    ErrorCode `json:"code"`
	Message string    `json:"message"`
	// NotApplied says that the request took no effect and will take none.
	NotApplied bool `json:"not_applied"`
	// RetryAfterMillis is when to try again, in milliseconds; 0 for unknown.
	RetryAfterMillis int64 `json:"retry_after_ms,omitempty"`
}
