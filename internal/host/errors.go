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

// The times to come back where nothing better is known.
const (
	retryAfterNotReady = 2 * time.Second
	retryAfterFailure  = time.Second
)

// statusClientClosed is logged for callers that went away. Nobody reads it.
const statusClientClosed = 499

func unauthorized() *port.RequestError {
	return &port.RequestError{
		Code:    port.CodeUnauthorized,
		Status:  http.StatusUnauthorized,
		Message: "the key belongs to no client account",
		Outcome: model.OutcomeNotRun,
		Field:   "Authorization",
	}
}

func unknownModel(name model.ModelName) *port.RequestError {
	return &port.RequestError{
		Code:    port.CodeUnknownModel,
		Status:  http.StatusNotFound,
		Message: "no pool serves the model " + string(name),
		Outcome: model.OutcomeNotRun,
		Field:   "model",
	}
}

func unknownRoute(method, path string) *port.RequestError {
	return &port.RequestError{
		Code:    port.CodeUnknownRoute,
		Status:  http.StatusNotFound,
		Message: "no route for " + method + " " + path,
		Outcome: model.OutcomeNotRun,
	}
}

func classNotAllowed(name model.ClassName) *port.RequestError {
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

func notReady() *port.RequestError {
	return &port.RequestError{
		Code:       port.CodeNotReady,
		Status:     http.StatusServiceUnavailable,
		Message:    "the host has no configuration yet",
		Outcome:    model.OutcomeNotRun,
		RetryAfter: retryAfterNotReady,
	}
}

func leaving() *port.RequestError {
	return &port.RequestError{
		Code:       port.CodeLeaving,
		Status:     http.StatusServiceUnavailable,
		Message:    "the host is leaving",
		Outcome:    model.OutcomeNotRun,
		RetryAfter: retryAfterFailure,
	}
}

func overloaded() *port.RequestError {
	return &port.RequestError{
		Code:       port.CodeOverloaded,
		Status:     http.StatusServiceUnavailable,
		Message:    "the host has more events than it can take",
		Outcome:    model.OutcomeNotRun,
		RetryAfter: retryAfterFailure,
	}
}

// refused translates a refusal of the dispatcher.
func refused(action dispatch.Action) *port.RequestError {
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

// ended translates the end of the request's own time or of its caller.
func ended(ctx context.Context, outcome model.Outcome) *port.RequestError {
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
		Status:  statusClientClosed,
		Message: "the caller went away",
		Outcome: outcome,
		Cause:   ctx.Err(),
	}
}

// failed translates an attempt that is not tried again.
func failed(err error, outcome model.Outcome) *port.RequestError {
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
	if isCallersFault(endpoint.Status) {
		out.Code = port.CodeServiceRefused
		out.Status = endpoint.Status
		out.Message = "the endpoint refused the request: " + endpoint.Cause.Error()
		out.RetryAfter = 0
	}
	return out
}

// isCallersFault says whether an endpoint's status blames the request itself,
// so that no other endpoint would answer differently.
func isCallersFault(status int) bool {
	return status >= http.StatusBadRequest &&
		status < http.StatusInternalServerError &&
		status != http.StatusTooManyRequests
}

// outcomeOf reads what an attempt's error tells of the effect.
func outcomeOf(err error) model.Outcome {
	var endpoint *port.EndpointError
	if errors.As(err, &endpoint) {
		return endpoint.Outcome
	}
	return model.OutcomeUnknown
}
