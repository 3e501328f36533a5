// Package wire holds the JSON bodies, paths and headers of the platform's
// services, as the adapter and the stand-in both speak them.
package wire

// HostHeader carries the name of the calling host.
const HostHeader = "Wigeonsail-Host"

// The paths of the services. Each takes a name as its last variable part.
const (
	// StreamsPath is followed by the stream's name and RecordsSuffix.
	StreamsPath   = "/v1/streams/"
	RecordsSuffix = "/records"
	// HostsPath lists the hosts; followed by "/" and a name it is one entry.
	HostsPath = "/v1/hosts"
	// WeightsPath is followed by the name of a model or adapter.
	WeightsPath = "/v1/weights/"
)

// The query parameters of a read.
const (
	// FromParam is the offset of the first wanted record.
	FromParam = "from"
	// MaxParam is the largest number of wanted records.
	MaxParam = "max"
	// WaitParam is how long to wait for a record, as a Go duration.
	WaitParam = "wait"
)

// AppendRequest is the body of an append.
type AppendRequest struct {
	Data []byte `json:"data"`
}

// AppendResponse answers an append.
type AppendResponse struct {
	Offset uint64 `json:"offset"`
}

// Record is one record of a stream.
type Record struct {
	Offset uint64 `json:"offset"`
	Data   []byte `json:"data"`
}

// ReadResponse answers a read.
type ReadResponse struct {
	Records  []Record `json:"records"`
	Earliest uint64   `json:"earliest"`
	Next     uint64   `json:"next"`
}

// Host is an entry of the host list.
type Host struct {
	Name        string `json:"name"`
	Domain      string `json:"domain"`
	PeerAddress string `json:"peer_address,omitempty"`
	Leaving     bool   `json:"leaving,omitempty"`
}

// HostsResponse answers a read of the host list.
type HostsResponse struct {
	Hosts []Host `json:"hosts"`
}

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
