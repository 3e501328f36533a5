package host

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/dispatch"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

// The retry delays that are reported if no better estimate is available.
const (
	retryAfterNotReady = 2 * time.Second
	retryAfterFailure  = time.Second
	// retryAfterUnconfirmed covers a read of the log that is lost and the next one.
	retryAfterUnconfirmed = time.Second
)

// statusClientClosedRequest is the status for callers that disconnected. It is
// only logged, since no caller receives it.
const statusClientClosedRequest = 499

func unauthorizedError() *port.RequestError {
	return &port.RequestError{
		Code:    port.CodeUnauthorized,
		Status:  http.StatusUnauthorized,
		Message: "the key belongs to no client account",
		Outcome: model.OutcomeNotRun,
		Field:   "Authorization",
	}
}

func unknownModelError(name model.ModelName) *port.RequestError {
	return &port.RequestError{
		Code:    port.CodeUnknownModel,
		Status:  http.StatusNotFound,
		Message: "no pool serves the model " + string(name),
		Outcome: model.OutcomeNotRun,
		Field:   "model",
	}
}

func unknownRouteError(method, path string) *port.RequestError {
	return &port.RequestError{
		Code:    port.CodeUnknownRoute,
		Status:  http.StatusNotFound,
		Message: "no route for " + method + " " + path,
		Outcome: model.OutcomeNotRun,
	}
}

func classNotAllowedError(name model.ClassName) *port.RequestError {
	message := "neither route, header nor account names a request class"
	if name != "" {
		message = "the account may not use the request class " + string(name)
	}
	return &port.RequestError{
		Code:    port.CodeForbidden,
		Status:  http.StatusForbidden,
		Message: message,
		Outcome: model.OutcomeNotRun,
		Field:   "X-Wigeonsail-Class",
	}
}

func notReadyError() *port.RequestError {
	return &port.RequestError{
		Code:       port.CodeNotReady,
		Status:     http.StatusServiceUnavailable,
		Message:    "the host has no configuration yet",
		Outcome:    model.OutcomeNotRun,
		RetryAfter: retryAfterNotReady,
	}
}

// maxDenialAge is the time since the last read of the log of configurations up to which
// a host denies calls by the configuration in force. Reads wait 5 s, and one that is
// lost takes 1 s more.
const maxDenialAge = 8 * time.Second

// deny returns the error for a call that the configuration in force does not allow.
// While a newer one may allow the call, the caller is asked to come back.
func (h *Host) deny(denied *port.RequestError) *port.RequestError {
	readAt := h.configReadAt.Load()
	if readAt != nil && time.Since(*readAt) <= maxDenialAge {
		return denied
	}
	return &port.RequestError{
		Code:       port.CodeNotReady,
		Status:     http.StatusServiceUnavailable,
		Message:    "the host does not know the newest configuration",
		Outcome:    model.OutcomeNotRun,
		RetryAfter: retryAfterUnconfirmed,
	}
}

func leavingError() *port.RequestError {
	return &port.RequestError{
		Code:       port.CodeLeaving,
		Status:     http.StatusServiceUnavailable,
		Message:    "the host is leaving",
		Outcome:    model.OutcomeNotRun,
		RetryAfter: retryAfterFailure,
	}
}

func overloadedError() *port.RequestError {
	return &port.RequestError{
		Code:       port.CodeOverloaded,
		Status:     http.StatusServiceUnavailable,
		Message:    "the host has more events than it can take",
		Outcome:    model.OutcomeNotRun,
		RetryAfter: retryAfterFailure,
	}
}

// dispatchRefusalError converts a refusal of the dispatcher.
func dispatchRefusalError(action dispatch.Action) *port.RequestError {
	err := &port.RequestError{
		Code:       port.CodeOverloaded,
		Status:     http.StatusServiceUnavailable,
		Outcome:    model.OutcomeNotRun,
		RetryAfter: action.RetryAfter,
	}
	switch action.Reason {
	case dispatch.ReasonDeadline:
		err.Message = "the request cannot be served before its deadline"
	case dispatch.ReasonQueueFull:
		err.Code, err.Status = port.CodeOverloaded, http.StatusTooManyRequests
		err.Message = "the account's queue in this request class is full"
	case dispatch.ReasonLimit:
		err.Code, err.Status = port.CodeLimitReached, http.StatusTooManyRequests
		err.Message = "the account's limit in this request class is used up"
	case dispatch.ReasonNoEndpoint:
		err.Code = port.CodeNoEndpoint
		err.Message = "no endpoint can take the request"
	case dispatch.ReasonRetryBudget:
		err.Message = "the endpoint failed and the class has no retries left"
	default:
		err.Message = "the request was refused"
	}
	return err
}

// contextEndError converts the end of the request's context: the deadline has
// passed or the caller has disconnected.
func contextEndError(ctx context.Context, outcome model.Outcome) *port.RequestError {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return &port.RequestError{
			Code:       port.CodeDeadlineExceeded,
			Status:     http.StatusGatewayTimeout,
			Message:    "the deadline has passed",
			Outcome:    outcome,
			RetryAfter: retryAfterFailure,
			Cause:      ctx.Err(),
		}
	}
	return &port.RequestError{
		Code:    port.CodeCanceled,
		Status:  statusClientClosedRequest,
		Message: "the caller went away",
		Outcome: outcome,
		Cause:   ctx.Err(),
	}
}

// attemptFailedError converts the error of an attempt that is not retried.
func attemptFailedError(err error, outcome model.Outcome) *port.RequestError {
	out := &port.RequestError{
		Code:       port.CodeEndpointFailed,
		Status:     http.StatusBadGateway,
		Message:    "the endpoint failed",
		Outcome:    outcome,
		RetryAfter: retryAfterFailure,
		Cause:      err,
	}
	var endpoint *port.EndpointError
	if !errors.As(err, &endpoint) {
		return out
	}
	if endpoint.RetryAfter > 0 {
		out.RetryAfter = endpoint.RetryAfter
	}
	if isClientError(endpoint.Status) {
		out.Code = port.CodeServiceRefused
		out.Status = endpoint.Status
		out.Message = "the endpoint refused the request: " + endpoint.Cause.Error()
		out.RetryAfter = 0
	}
	return out
}

// isClientError reports whether the status of an endpoint means that the request
// itself is wrong, so that no other endpoint would answer differently.
func isClientError(status int) bool {
	return status >= http.StatusBadRequest &&
		status < http.StatusInternalServerError &&
		status != http.StatusTooManyRequests
}

// outcomeOf returns the outcome that the error of an attempt states; unknown if it
// states none.
func outcomeOf(err error) model.Outcome {
	var endpoint *port.EndpointError
	if errors.As(err, &endpoint) {
		return endpoint.Outcome
	}
	return model.OutcomeUnknown
}
