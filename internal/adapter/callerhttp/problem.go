package callerhttp

import (
	"context"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/jx"
	"github.com/ogen-go/ogen/ogenerrors"
	"github.com/ogen-go/ogen/validate"

	"github.com/wigeonsail/wigeonsail/api/callerapi"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

// asRequestError converts any error of this package and of the router into the
// error returned to the caller.
func asRequestError(err error) *port.RequestError {
	var known *port.RequestError
	if errors.As(err, &known) {
		return known
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return &port.RequestError{
			Code:    port.CodeBodyTooLarge,
			Status:  http.StatusRequestEntityTooLarge,
			Message: "the body is larger than " + strconv.FormatInt(tooLarge.Limit, 10) + " bytes",
			Outcome: model.OutcomeNotRun,
			Cause:   err,
		}
	}
	var security *ogenerrors.SecurityError
	if errors.As(err, &security) {
		return unauthorized()
	}
	if isBadInput(err) {
		return badRequest(err)
	}
	return &port.RequestError{
		Code:    port.CodeInternal,
		Status:  http.StatusInternalServerError,
		Message: "the host failed",
		Outcome: model.OutcomeUnknown,
		Cause:   err,
	}
}

// isBadInput reports whether ogen could not decode the parameters or the body of a
// request.
func isBadInput(err error) bool {
	var params *ogenerrors.DecodeParamsError
	var request *ogenerrors.DecodeRequestError
	return errors.As(err, &params) || errors.As(err, &request)
}

func badRequest(err error) *port.RequestError {
	return &port.RequestError{
		Code:    port.CodeBadRequest,
		Status:  http.StatusBadRequest,
		Message: err.Error(),
		Outcome: model.OutcomeNotRun,
		Field:   fieldOf(err),
		Cause:   err,
	}
}

// fieldOf returns the name of the field that a decoding error refers to; empty if
// there is none.
func fieldOf(err error) string {
	var invalid *validate.Error
	if errors.As(err, &invalid) && len(invalid.Fields) > 0 {
		return invalid.Fields[0].Name
	}
	var param *ogenerrors.DecodeParamError
	if errors.As(err, &param) {
		return param.Name
	}
	return ""
}

func unauthorized() *port.RequestError {
	return &port.RequestError{
		Code:    port.CodeUnauthorized,
		Status:  http.StatusUnauthorized,
		Message: "send a client account's key as: Authorization: Bearer KEY",
		Outcome: model.OutcomeNotRun,
		Field:   "Authorization",
	}
}

// retrySeconds rounds up to whole seconds, since Retry-After allows no fractions.
func retrySeconds(d time.Duration) int {
	return int(math.Ceil(d.Seconds()))
}

func problemOf(ctx context.Context, err *port.RequestError) callerapi.Problem {
	p := callerapi.Problem{
		Code:      string(err.Code),
		Message:   err.Message,
		Outcome:   callerapi.ProblemOutcome(err.Outcome.String()),
		RequestID: string(requestID(ctx)),
	}
	if err.RetryAfter > 0 {
		p.RetryAfter = callerapi.NewOptInt(retrySeconds(err.RetryAfter))
	}
	if err.Field != "" {
		p.Field = callerapi.NewOptString(err.Field)
	}
	return p
}

func encodeProblem(ctx context.Context, err *port.RequestError) []byte {
	var e jx.Encoder
	p := problemOf(ctx, err)
	p.Encode(&e)
	return e.Bytes()
}

// writeProblem writes an error response. The response must not have started.
func writeProblem(ctx context.Context, w http.ResponseWriter, err *port.RequestError) {
	header := w.Header()
	header.Set("Content-Type", "application/json; charset=utf-8")
	if err.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(retrySeconds(err.RetryAfter)))
	}
	w.WriteHeader(err.Status)
	w.Write(encodeProblem(ctx, err))
}

// writeAPIError is ogen's error handler, for input that it could not decode.
func writeAPIError(ctx context.Context, w http.ResponseWriter, _ *http.Request, err error) {
	writeProblem(ctx, w, asRequestError(err))
}

func writeNotFound(w http.ResponseWriter, r *http.Request) {
	writeProblem(r.Context(), w, &port.RequestError{
		Code:    port.CodeUnknownRoute,
		Status:  http.StatusNotFound,
		Message: "no route for " + r.URL.Path,
		Outcome: model.OutcomeNotRun,
	})
}

func writeMethodNotAllowed(w http.ResponseWriter, r *http.Request, allowed string) {
	w.Header().Set("Allow", allowed)
	writeProblem(r.Context(), w, &port.RequestError{
		Code:    port.CodeMethodNotAllowed,
		Status:  http.StatusMethodNotAllowed,
		Message: r.Method + " is not allowed; allowed: " + allowed,
		Outcome: model.OutcomeNotRun,
	})
}
