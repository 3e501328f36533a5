package host

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/effect"
	"github.com/wigeonsail/wigeonsail/internal/core/membership"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/effects"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

const (
	// headerReplayed is set on responses that are replayed from a record.
	headerReplayed = "Idempotent-Replayed"
	// windowsPerRetention is the retention of the platform's log divided by the
	// time for which a key is protected, so that protection ends well before
	// the log drops the records of the key.
	windowsPerRetention = 2
)

// newGuard returns the guard that keeps non-idempotent requests from taking
// effect twice.
func newGuard(h *Host) *effects.Guard {
	return effects.New(effects.Options{
		Loop:    h.loop.Loop,
		Self:    effect.HostRef{Host: h.opts.ID, Incarnation: h.opts.Incarnation},
		Domain:  h.opts.Domain,
		Address: h.opts.PeerAddress,
		Secret:  h.opts.Secret,
		Window:  h.opts.Retention / windowsPerRetention,
		Log:     h.opts.PlatformLog,
		Peers:   h.opts.Peers,
		Members: h.liveMembers,
		Logger:  h.opts.Log,
	})
}

// liveMembers returns the other hosts of this failure domain that are not gone, as
// of the last call of publishMembers. It does not wait for the control loop.
func (h *Host) liveMembers() []effects.Member {
	members := h.members.Load()
	if members == nil {
		return nil
	}
	return *members
}

// publishMembers stores the other hosts of this failure domain that are not gone,
// so that request goroutines can read them.
func (c *control) publishMembers(now time.Time) {
	var live []effects.Member
	for _, m := range c.members.Members(now) {
		if m.Host == c.host.opts.ID || m.Health == membership.Gone {
			continue
		}
		ref := effect.HostRef{Host: m.Host, Incarnation: m.Incarnation}
		live = append(live, effects.Member{HostRef: ref, Domain: m.Domain, Address: m.Address})
	}
	c.host.members.Store(&live)
}

// IssueTicket returns a new ticket, a single-use idempotency key, for the client
// account.
func (h *Host) IssueTicket(ctx context.Context, account model.AccountName) (port.Ticket, error) {
	if h.leaving.Load() {
		return port.Ticket{}, leavingError()
	}
	text, expires, err := h.guard.IssueTicket(ctx, account)
	if errors.Is(err, effect.ErrNoSecret) {
		return port.Ticket{}, ticketsDisabledError(err)
	}
	if err != nil {
		return port.Ticket{}, overloadedError()
	}
	return port.Ticket{Text: text, Expires: expires}, nil
}

// ticketsDisabledError is the error for hosts without a shared secret.
func ticketsDisabledError(cause error) *port.RequestError {
	return &port.RequestError{
		Code:    port.CodeNotReady,
		Status:  http.StatusNotImplemented,
		Message: "the hosts issue no tickets: their settings have no peers.secret",
		Outcome: model.OutcomeNotRun,
		Cause:   cause,
	}
}

// needsPermit reports whether the request may be sent only under a permit of the
// guard: it has an idempotency key, its class is not idempotent and its method is
// not safe.
func (r *request) needsPermit() bool {
	return r.call.Key != "" && !r.class.Idempotent && !isSafeMethod(r.call.Method)
}

// serveAtMostOnce serves a request whose idempotency key must take effect at most
// once: it sends the request, replays a recorded response, or forwards the request
// to the host that issued its ticket.
func (h *Host) serveAtMostOnce(ctx context.Context, req *request, w port.CallerResponseWriter) error {
	waitCtx, cancel := context.WithDeadline(ctx, req.model.Deadline)
	defer cancel()
	decision, err := h.guard.Begin(waitCtx, newTry(req))
	if err != nil {
		return h.observeNotSent(req, guardError(err))
	}
	switch decision.Kind {
	case effect.ActionReplay:
		err := replayResponse(w, decision.Result)
		h.observeEnd(req, err)
		return err
	case effect.ActionForward:
		return h.observeNotSent(req, h.forwardToIssuer(waitCtx, req, decision.Address, w))
	default:
		return h.sendAndRecord(ctx, req, decision.Permit, w)
	}
}

// observeNotSent counts a request that this host did not send, and returns err. A
// wrong key (status 422) is an error of the caller and does not count against the
// class.
func (h *Host) observeNotSent(req *request, err error) error {
	var reqErr *port.RequestError
	if errors.As(err, &reqErr) && reqErr.Status == http.StatusUnprocessableEntity {
		return h.observeRejected(err)
	}
	h.observeEnd(req, err)
	return err
}

// newTry describes the request to the guard.
func newTry(req *request) effect.Try {
	return effect.Try{
		Account:      req.model.Account,
		KeyText:      req.call.Key,
		Digest:       effect.NewDigest(req.call.Method, req.call.Path, req.call.Header.Get("Content-Type"), req.call.Body),
		First:        isFirstTry(req.call),
		Deduplicates: req.pool.Deduplicates,
		Forwarded:    req.call.Forwarded,
	}
}

// isFirstTry reports whether the caller declares that it has not sent the key
// before.
func isFirstTry(call port.CallerRequest) bool { return call.Header.Get(port.HeaderFirstTry) == "true" }

// correctRejectedOutcome sets the outcome of a request that was refused before
// its key was looked up to unknown, since an earlier try with the key may have
// run. It leaves the outcome as it is if there can have been no earlier try.
func correctRejectedOutcome(call port.CallerRequest, err error) error {
	var reqErr *port.RequestError
	if !errors.As(err, &reqErr) || call.Key == "" || isSafeMethod(call.Method) {
		return err
	}
	if isFirstTry(call) || call.Permitted {
		return err
	}
	corrected := *reqErr
	corrected.Outcome = model.OutcomeUnknown
	return &corrected
}

// isSafeMethod reports whether the HTTP method is GET or HEAD.
func isSafeMethod(method string) bool { return method == http.MethodGet || method == http.MethodHead }

// sendAndRecord sends the request and records its response. It continues after the
// caller has disconnected, so that a retry of the caller gets the response.
func (h *Host) sendAndRecord(ctx context.Context, req *request, permit effect.Permit, w port.CallerResponseWriter) error {
	rec := &responseRecorder{to: w, limit: h.opts.MaxOutcome}
	err := h.serve(context.WithoutCancel(ctx), req, rec, h.newServiceAttemptFunc(rec))
	h.guard.Finish(permit, rec.finalResult(err))
	return err
}

// replayResponse writes a recorded response to the caller.
func replayResponse(w port.CallerResponseWriter, result effect.Result) error {
	header := http.Header{}
	header.Set("Content-Type", result.ContentType)
	header.Set(headerReplayed, "true")
	if err := w.Start(result.Status, header); err != nil {
		return &callerError{cause: err}
	}
	if err := w.WriteBody(result.Body); err != nil {
		return &callerError{cause: err}
	}
	return nil
}

// responseRecorder forwards a response to the caller and keeps a copy. It continues
// to record after the caller has disconnected.
type responseRecorder struct {
	to port.CallerResponseWriter
	// limit is the largest body in bytes that is kept.
	limit      int
	result     effect.Result
	callerGone bool
}

// Start implements port.CallerResponseWriter.
func (r *responseRecorder) Start(status int, header http.Header) error {
	r.result.Status = status
	r.result.ContentType = header.Get("Content-Type")
	r.callerGone = r.to.Start(status, header) != nil
	return nil
}

// WriteEvent implements port.CallerResponseWriter. Plain services send no events.
func (r *responseRecorder) WriteEvent(data []byte, tokens int) error {
	return r.to.WriteEvent(data, tokens)
}

// WriteBody implements port.CallerResponseWriter.
func (r *responseRecorder) WriteBody(data []byte) error {
	if len(r.result.Body)+len(data) > r.limit {
		r.result.Truncated = true
		r.result.Body = nil
	}
	if !r.result.Truncated {
		r.result.Body = append(r.result.Body, data...)
	}
	if !r.callerGone {
		r.callerGone = r.to.WriteBody(data) != nil
	}
	return nil
}

// finalResult returns the result to record for a request that ended with err.
func (r *responseRecorder) finalResult(err error) effect.Result {
	if err == nil {
		r.result.Outcome = model.OutcomeRan
		return r.result
	}
	var reqErr *port.RequestError
	if errors.As(err, &reqErr) && r.result.Status == 0 {
		return effect.Result{Outcome: reqErr.Outcome}
	}
	return effect.Result{Outcome: model.OutcomeUnknown}
}

// effectRefusal is the error that a caller gets for one refusal code of the
// guard.
type effectRefusal struct {
	code    port.Code
	status  int
	message string
}

var effectRefusals = map[effect.Code]effectRefusal{
	effect.CodeKeyReused:         {port.CodeKeyReused, http.StatusUnprocessableEntity, "the idempotency key was used for another request"},
	effect.CodeKeyExpired:        {port.CodeKeyExpired, http.StatusConflict, "the time in the idempotency key is outside the time that keys are protected"},
	effect.CodeInProgress:        {port.CodeKeyInProgress, http.StatusConflict, "the request with this idempotency key is still running"},
	effect.CodeSenderGone:        {port.CodeOutcomeUnknown, http.StatusConflict, "the host that may have sent the request does not answer"},
	effect.CodeEarlierTryUnknown: {port.CodeOutcomeUnknown, http.StatusConflict, "an earlier try ended without an answer"},
	effect.CodeLogUnavailable:    {port.CodeClaimUnavailable, http.StatusServiceUnavailable, "the platform's log is out of reach; this try was not sent"},
	effect.CodeTicketInvalid:     {port.CodeKeyInvalid, http.StatusUnprocessableEntity, "the ticket was not issued to this account"},
	effect.CodeTicketExpired:     {port.CodeKeyExpired, http.StatusConflict, "the ticket has expired"},
	effect.CodeTooManyTickets:    {port.CodeOverloaded, http.StatusServiceUnavailable, "too many tickets are in use"},
	effect.CodeAnswerUnavailable: {port.CodeOutcomeUnknown, http.StatusConflict, "the request has ended and its answer cannot be read now"},
	effect.CodeEarlierTryNotRun:  {port.CodeNoEndpoint, http.StatusServiceUnavailable, "the try that was waited for was not run"},
}

// ticketHint is appended to the message of a refusal that a ticket would have
// avoided.
const ticketHint = "; a ticket from POST /v1/tickets works without it"

// guardError converts an error of the guard to the error for the caller.
func guardError(err error) *port.RequestError {
	var refusal *effect.Refusal
	if !errors.As(err, &refusal) {
		return &port.RequestError{Code: port.CodeInternal, Status: http.StatusInternalServerError, Message: "the host failed", Cause: err}
	}
	mapped := effectRefusals[refusal.Code]
	message := mapped.message
	if refusal.SuggestTicket {
		message += ticketHint
	}
	return &port.RequestError{
		Code:       mapped.code,
		Status:     mapped.status,
		Message:    message,
		Outcome:    refusal.Outcome,
		RetryAfter: refusal.RetryAfter,
		Cause:      refusal,
	}
}
