package gateway

import (
	"errors"
	"net/http"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/balance"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

var (
	errStopped  = errors.New("the control loop has stopped or is overloaded")
	errDeadline = errors.New("the request's time limit has passed")
	errSilent   = errors.New("the endpoint sent nothing within the timeout")
	// errUnsigned is the cause when a response lacks an endpoint's signature, so
	// that it may be incomplete or come from elsewhere.
	errUnsigned = errors.New("the response is not signed by an endpoint")
)

const (
	// notReadyRetryAfter is the Retry-After of a host without a configuration.
	// While the store or a peer answers, a host has one within milliseconds of
	// its start, so callers see this error only in an outage, which lasts
	// seconds.
	notReadyRetryAfter = 2 * time.Second
	// unconfirmedRetryAfter is the Retry-After of a host that does not know whether its
	// configuration is the newest one. It begins the next read within this time.
	unconfirmedRetryAfter = maxRetryDelay
	// noEndpointRetryAfter is the Retry-After when no endpoint was reached. The
	// longest pause before an endpoint is tried again starts out shorter than
	// this.
	noEndpointRetryAfter = 500 * time.Millisecond
)

// notReadyError is the error response of a host without a configuration.
func notReadyError() *port.RequestError {
	return &port.RequestError{
		Code: port.CodeNotReady, Status: http.StatusServiceUnavailable, Outcome: model.OutcomeNotRun,
		Message: "this host has no configuration yet", RetryAfter: notReadyRetryAfter,
	}
}

// unconfirmedError is the error response to a call that a newer configuration than the
// one in force may allow.
func unconfirmedError() *port.RequestError {
	return &port.RequestError{
		Code: port.CodeNotReady, Status: http.StatusServiceUnavailable, Outcome: model.OutcomeNotRun,
		Message: "this host does not know the newest configuration", RetryAfter: unconfirmedRetryAfter,
	}
}

// unknownRouteError is the error response to a call that matches no route.
func unknownRouteError(host, path string) *port.RequestError {
	return &port.RequestError{
		Code: port.CodeUnknownRoute, Status: http.StatusNotFound, Outcome: model.OutcomeNotRun,
		Message: "no route leads " + host + path,
	}
}

// unauthorizedError is the error response to a key without a client account.
func unauthorizedError() *port.RequestError {
	return &port.RequestError{
		Code: port.CodeUnauthorized, Status: http.StatusUnauthorized, Outcome: model.OutcomeNotRun,
		Message: "the key belongs to no client account",
	}
}

// cannotResumeRetryAfter is the Retry-After for a stream that cannot be resumed here.
// Another host may know where it began.
const cannotResumeRetryAfter = 300 * time.Millisecond

// cannotResumeError is the error response to a request that resumes a stream of which no
// host knows at which software version it began.
func cannotResumeError() *port.RequestError {
	return &port.RequestError{
		Code: port.CodeCannotResume, Status: http.StatusServiceUnavailable, Outcome: model.OutcomeNotRun,
		Message: "the stream cannot be resumed: it is not known which software version began it", RetryAfter: cannotResumeRetryAfter,
	}
}

// notRunError is the error response to a request that no endpoint has run.
func notRunError(reason balance.Reason, after time.Duration) *port.RequestError {
	code := port.CodeOverloaded
	switch reason {
	case balance.ReasonQuarantine, balance.ReasonSuspended:
		code = port.CodeQuarantined
	case balance.ReasonSoftware:
		code = port.CodeCannotResume
	}
	return &port.RequestError{
		Code: code, Status: http.StatusServiceUnavailable, Outcome: model.OutcomeNotRun,
		Message: "not run: " + string(reason), RetryAfter: after,
	}
}

// endpointFailedError is the error response to a request that an endpoint may
// have run.
func endpointFailedError(cause error) *port.RequestError {
	status := http.StatusBadGateway
	code := port.CodeEndpointFailed
	if errors.Is(cause, errDeadline) {
		status = http.StatusGatewayTimeout
		code = port.CodeDeadlineExceeded
	}
	return &port.RequestError{
		Code: code, Status: status, Outcome: model.OutcomeUnknown,
		Message: "the endpoint gave no whole answer", Cause: cause,
	}
}
