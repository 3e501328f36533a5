package callerhttp

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

// servicesPrefix is the path prefix of plain services.
const servicesPrefix = "/services/"

// The headers that callers of plain services may send.
const (
	headerClass    = "X-Wigeonsail-Class"
	headerDeadline = "X-Wigeonsail-Deadline-Ms"
	headerKey      = "Idempotency-Key"
)

// Limits of those headers. They must equal those in api/caller.yaml.
const (
	maxKeyBytes   = 256
	maxClassBytes = 64
	maxDeadline   = 24 * time.Hour
)

// serviceHandler forwards requests with any method below /services/ to plain
// services.
type serviceHandler struct {
	router  port.Router
	maxBody int64
}

// ServeHTTP serves one request.
func (h *serviceHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ctx := r.Context()
	req, err := h.request(r)
	if err != nil {
		writeProblem(ctx, w, asRequestError(err))
		return
	}
	rw := newResponseWriter(ctx, w, false)
	err = h.router.Serve(ctx, req, rw)
	switch {
	case err == nil:
	case rw.started:
		rw.abort(asRequestError(err))
	default:
		writeProblem(ctx, w, asRequestError(err))
	}
}

// request authenticates a request and converts it to the router's form. It reads the
// body of a request with a key.
func (h *serviceHandler) request(r *http.Request) (port.CallerRequest, error) {
	key, ok := bearerKey(r.Header)
	if !ok {
		return port.CallerRequest{}, unauthorized()
	}
	account, err := h.router.Authenticate(key)
	if err != nil {
		return port.CallerRequest{}, unprovenOutcome(r, err)
	}
	req := port.CallerRequest{
		ID:         requestID(r.Context()),
		Account:    account,
		Class:      model.ClassName(r.Header.Get(headerClass)),
		Key:        r.Header.Get(headerKey),
		Method:     r.Method,
		Path:       r.URL.RequestURI(),
		Header:     r.Header,
		BodyReader: r.Body,
		BodyLength: r.ContentLength,
	}
	if err := checkHeaders(&req, r.Header); err != nil {
		return port.CallerRequest{}, err
	}
	if r.ContentLength > h.maxBody {
		return port.CallerRequest{}, &http.MaxBytesError{Limit: h.maxBody}
	}
	if req.Key != "" {
		return readBody(req)
	}
	return req, nil
}

// unprovenOutcome changes the outcome of a request that this host cannot serve
// yet to unknown, unless the request is safe or is the first with its key: an
// earlier request with the same key may have run through another host.
func unprovenOutcome(r *http.Request, err error) error {
	var known *port.RequestError
	safe := r.Method == http.MethodGet || r.Method == http.MethodHead
	first := r.Header.Get(port.HeaderFirstTry) == "true"
	if !errors.As(err, &known) || r.Header.Get(headerKey) == "" || safe || first {
		return err
	}
	if known.Status < http.StatusInternalServerError {
		return err
	}
	corrected := *known
	corrected.Outcome = model.OutcomeUnknown
	return &corrected
}

// readBody reads the whole body of a request with a key: retries are compared
// with it, and it may have to be forwarded to another host.
func readBody(req port.CallerRequest) (port.CallerRequest, error) {
	body, err := io.ReadAll(req.BodyReader)
	if err != nil {
		return port.CallerRequest{}, err
	}
	req.Body = body
	req.BodyReader = nil
	return req, nil
}

// checkHeaders checks the headers against their limits and sets the time limit of the
// request.
func checkHeaders(req *port.CallerRequest, header http.Header) error {
	if len(req.Key) > maxKeyBytes {
		return invalidHeader(headerKey, "at most "+strconv.Itoa(maxKeyBytes)+" bytes")
	}
	if len(req.Class) > maxClassBytes {
		return invalidHeader(headerClass, "at most "+strconv.Itoa(maxClassBytes)+" bytes")
	}
	text := header.Get(headerDeadline)
	if text == "" {
		return nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms < 1 || ms > maxDeadline.Milliseconds() {
		return invalidHeader(headerDeadline, "1 to "+strconv.FormatInt(maxDeadline.Milliseconds(), 10)+" milliseconds")
	}
	req.Budget = time.Duration(ms) * time.Millisecond
	return nil
}

func invalidHeader(name, allowed string) error {
	return &port.RequestError{
		Code:    port.CodeBadRequest,
		Status:  http.StatusBadRequest,
		Message: name + ": allowed are " + allowed,
		Outcome: model.OutcomeNotRun,
		Field:   name,
	}
}
