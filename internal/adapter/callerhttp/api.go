package callerhttp

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/ogen-go/ogen/middleware"

	"github.com/wigeonsail/wigeonsail/api/callerapi"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

// apiHandler implements the handlers that ogen generated.
type apiHandler struct {
	router port.Router
}

type accountCtxKey struct{}

type rawRequestKey struct{}

// rawRequest is what the generated handlers do not pass on.
type rawRequest struct {
	body []byte
	http *http.Request
}

// keepRawBody passes the caller's body on as it came, so that engines see
// exactly what the caller wrote.
func keepRawBody(req middleware.Request, next middleware.Next) (middleware.Response, error) {
	raw := rawRequest{body: req.RawBody, http: req.Raw}
	req.SetContext(context.WithValue(req.Context, rawRequestKey{}, raw))
	return next(req)
}

// HandleAccountKey authenticates the client account.
func (h *apiHandler) HandleAccountKey(ctx context.Context, _ callerapi.OperationName, key callerapi.AccountKey) (context.Context, error) {
	account, err := h.router.Authenticate(key.Token)
	if err != nil {
		return nil, err
	}
	return context.WithValue(ctx, accountCtxKey{}, account), nil
}

func accountOf(ctx context.Context) model.AccountName {
	account, _ := ctx.Value(accountCtxKey{}).(model.AccountName)
	return account
}

// CreateChatCompletion serves a chat call.
func (h *apiHandler) CreateChatCompletion(ctx context.Context, body *callerapi.ChatRequest, params callerapi.CreateChatCompletionParams, w http.ResponseWriter) error {
	req := modelCall(ctx, params.XWigeonsailClass, params.XWigeonsailDeadlineMs, params.IdempotencyKey)
	req.Model = model.ModelName(body.Model)
	req.Stream = body.Stream.Or(false)
	return h.complete(ctx, req, hasPriority(body.AdditionalProps), w)
}

// CreateCompletion serves a plain completion call.
func (h *apiHandler) CreateCompletion(ctx context.Context, body *callerapi.CompletionRequest, params callerapi.CreateCompletionParams, w http.ResponseWriter) error {
	req := modelCall(ctx, params.XWigeonsailClass, params.XWigeonsailDeadlineMs, params.IdempotencyKey)
	req.Model = model.ModelName(body.Model)
	req.Stream = body.Stream.Or(false)
	return h.complete(ctx, req, hasPriority(body.AdditionalProps), w)
}

// priorityField orders requests in an engine. Only the host sets it.
const priorityField = "priority"

func hasPriority[V any](props map[string]V) bool {
	_, found := props[priorityField]
	return found
}

func modelCall(ctx context.Context, class callerapi.OptString, deadlineMS callerapi.OptInt, key callerapi.OptString) port.CallerRequest {
	raw, _ := ctx.Value(rawRequestKey{}).(rawRequest)
	return port.CallerRequest{
		ID:      requestID(ctx),
		Account: accountOf(ctx),
		Class:   model.ClassName(class.Or("")),
		Budget:  time.Duration(deadlineMS.Or(0)) * time.Millisecond,
		Key:     key.Or(""),
		Method:  raw.http.Method,
		Path:    raw.http.URL.Path,
		Header:  raw.http.Header,
		Body:    raw.body,
	}
}

func (h *apiHandler) complete(ctx context.Context, req port.CallerRequest, priority bool, w http.ResponseWriter) error {
	if priority {
		return &port.RequestError{
			Code:    port.CodeBadRequest,
			Status:  http.StatusBadRequest,
			Message: "priority follows from the request class and cannot be set",
			Outcome: model.OutcomeNotRun,
			Field:   priorityField,
		}
	}
	answer := newAnswerWriter(ctx, w, req.Stream)
	err := h.router.Complete(ctx, req, answer)
	if err == nil {
		return nil
	}
	if !answer.started {
		return err
	}
	answer.abort(asRequestError(err))
	return nil
}

// ListModels lists the models.
func (h *apiHandler) ListModels(ctx context.Context) (*callerapi.ModelList, error) {
	list := &callerapi.ModelList{Object: "list", Data: []callerapi.Model{}}
	for _, name := range h.router.Models(accountOf(ctx)) {
		list.Data = append(list.Data, callerapi.Model{ID: string(name), Object: "model"})
	}
	return list, nil
}

// CreateTicket issues a single-use key.
func (h *apiHandler) CreateTicket(ctx context.Context) (*callerapi.Ticket, error) {
	ticket, err := h.router.IssueTicket(ctx, accountOf(ctx))
	if err != nil {
		return nil, err
	}
	return &callerapi.Ticket{Ticket: ticket.Text, ExpiresAt: ticket.Expires}, nil
}

// NewError translates an error for the caller.
func (h *apiHandler) NewError(ctx context.Context, err error) *callerapi.ProblemStatusCodeWithHeaders {
	known := asRequestError(err)
	out := &callerapi.ProblemStatusCodeWithHeaders{
		StatusCode: known.Status,
		Response:   problemOf(ctx, known),
	}
	if known.RetryAfter > 0 {
		out.RetryAfter = callerapi.NewOptInt(retrySeconds(known.RetryAfter))
	}
	return out
}

// bearerKey reads the key of an Authorization header.
func bearerKey(header http.Header) (string, bool) {
	scheme, key, ok := strings.Cut(header.Get("Authorization"), " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") {
		return "", false
	}
	return key, true
}
