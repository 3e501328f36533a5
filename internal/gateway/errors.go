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
	errStopped  = errors.New("the host has stopped")
	errDeadline = errors.New("the time limit has passed")
	errSilent   = errors.New("the endpoint has been silent for too long")
	// errUnsigned is the cause for an answer that did not come whole from an
	// endpoint.
	errUnsigned = errors.New("the answer carries no signature of an endpoint")
)

const (
	// notReadyRetryAfter is when to come back to a host without a configuration.
	// It has one within milliseconds of its start while the store or a peer
	// answers, so a caller sees this only in an outage, which lasts seconds.
	notReadyRetryAfter = 2 * time.Second
	// noEndpointRetryAfter is when to come back when no endpoint was reached: the
	// longest pause of an endpoint that is tried again begins shorter.
	noEndpointRetryAfter = 500 * time.Millisecond
)

func notReady() *port.RequestError {
	return &port.RequestError{
		Code: port.CodeNotReady, Status: http.StatusServiceUnavailable, Outcome: model.OutcomeNotRun,
		Message: "this host has no configuration yet", RetryAfter: notReadyRetryAfter,
	}
}

func unknownRoute(host, path string) *port.RequestError {
	return &port.RequestError{
		Code: port.CodeUnknownRoute, Status: http.StatusNotFound, Outcome: model.OutcomeNotRun,
		Message: "no route leads " + host + path,
	}
}

func unauthorized() *port.RequestError {
	return &port.RequestError{
		Code: port.CodeUnauthorized, Status: http.StatusUnauthorized, Outcome: model.OutcomeNotRun,
		Message: "the key belongs to no client account",
	}
}

// refused is the answer to a request that no endpoint has run.
func refused(reason balance.Reason, after time.Duration) *port.RequestError {
	return &port.RequestError{
		Code: port.CodeOverloaded, Status: http.StatusServiceUnavailable, Outcome: model.OutcomeNotRun,
		Message: "not run: " + string(reason), RetryAfter: after,
	}
}

// failed is the answer to a request that an endpoint may have run.
func failed(cause error) *port.RequestError {
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
