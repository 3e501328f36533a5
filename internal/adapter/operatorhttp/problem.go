package operatorhttp

import (
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/jx"
	"github.com/ogen-go/ogen/ogenerrors"

	"github.com/wigeonsail/wigeonsail/api/operatorapi"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

// The codes of errors that this package detects itself.
const (
	codeUnauthorized = "unauthorized"
	codeBadRequest   = "bad_request"
	codeInternal     = "internal"
)

var statusOf = map[port.OperatorErrorCode]int{
	port.OperatorInvalid:     http.StatusUnprocessableEntity,
	port.OperatorNotFound:    http.StatusNotFound,
	port.OperatorUnavailable: http.StatusServiceUnavailable,
	port.OperatorUnsettled:   http.StatusGatewayTimeout,
}

// problemOf converts any error of this package and of the host into the error
// response to the operator.
func problemOf(err error) *operatorapi.ProblemStatusCodeWithHeaders {
	var known *port.OperatorError
	if errors.As(err, &known) {
		return operatorProblem(known)
	}
	var security *ogenerrors.SecurityError
	if errors.As(err, &security) || errors.Is(err, errWrongToken) {
		return problem(http.StatusUnauthorized, codeUnauthorized, errWrongToken.Error(), model.OutcomeNotRun)
	}
	var params *ogenerrors.DecodeParamsError
	var request *ogenerrors.DecodeRequestError
	if errors.As(err, &params) || errors.As(err, &request) {
		return problem(http.StatusBadRequest, codeBadRequest, err.Error(), model.OutcomeNotRun)
	}
	return problem(http.StatusInternalServerError, codeInternal, "the host failed", model.OutcomeUnknown)
}

func problem(status int, code, message string, outcome model.Outcome) *operatorapi.ProblemStatusCodeWithHeaders {
	return &operatorapi.ProblemStatusCodeWithHeaders{
		StatusCode: status,
		Response: operatorapi.Problem{
			Code:    code,
			Message: message,
			Outcome: operatorapi.ProblemOutcome(outcome.String()),
		},
	}
}

func operatorProblem(err *port.OperatorError) *operatorapi.ProblemStatusCodeWithHeaders {
	out := problem(statusOf[err.Code], string(err.Code), err.Message, err.Outcome)
	if err.RetryAfter > 0 {
		seconds := ceilSeconds(err.RetryAfter)
		out.RetryAfter = operatorapi.NewOptInt(seconds)
		out.Response.RetryAfter = operatorapi.NewOptInt(seconds)
	}
	for _, f := range err.Fields {
		out.Response.Fields = append(out.Response.Fields, operatorapi.FieldProblem{Field: f.Field, Got: f.Got, Allowed: f.Allowed})
	}
	return out
}

// ceilSeconds rounds up to whole seconds, since Retry-After allows no fractions.
func ceilSeconds(d time.Duration) int { return int(math.Ceil(d.Seconds())) }

// writeProblem writes an error response outside the generated server.
func writeProblem(w http.ResponseWriter, p *operatorapi.ProblemStatusCodeWithHeaders) {
	var body jx.Encoder
	p.Response.Encode(&body)
	w.Header().Set("Content-Type", "application/json")
	if seconds, ok := p.RetryAfter.Get(); ok {
		w.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	w.WriteHeader(p.StatusCode)
	w.Write(body.Bytes())
}
