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
	// headerReplayed marks a recorded answer.
	headerReplayed = "Idempotent-Replayed"
	// windowsPerRetention keeps the protection of a key well inside the time
	// that the log keeps its records.
	windowsPerRetention = 2
)

// newGuard builds the guard of requests that may not be repeated.
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

// liveMembers returns the other hosts of the own failure domain that are not
// gone. It does not wait for the control loop.
func (h *Host) liveMembers() []effects.Member {
	members := h.members.Load()
	if members == nil {
		return nil
	}
	return *members
}

// shareMembers publishes the view of the hosts to the traffic goroutines.
func (c *control) shareMembers(now time.Time) {
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

// IssueTicket makes a single-use key.
func (h *Host) IssueTicket(ctx context.Context, account model.AccountName) (port.Ticket, error) {
	if h.leaving.Load() {
		return port.Ticket{}, leaving()
	}
	text, expires, err := h.guard.IssueTicket(ctx, account)
	if errors.Is(err, effect.ErrNoSecret) {
		return port.Ticket{}, noTickets(err)
	}
	if err != nil {
		return port.Ticket{}, overloaded()
	}
	return port.Ticket{Text: text, Expires: expires}, nil
}

func noTickets(cause error) *port.RequestError {
	return &port.RequestError{
		Code:    port.CodeNotReady,
		Status:  http.StatusNotImplemented,
		Message: "the hosts issue no tickets: their settings have no peers.secret",
		Outcome: model.OutcomeNotRun,
		Cause:   cause,
	}
}

// needsRight says whether the request may be sent only by permission.
func (r *request) needsRight() bool {
	return r.call.Key != "" && !r.class.Idempotent && !isSafe(r.call.Method)
}

// serveOnce serves a request whose key must not take effect twice.
func (h *Host) serveOnce(ctx context.Context, req *request, w port.CallerResponseWriter) error {
	waitCtx, cancel := context.WithDeadline(ctx, req.model.Deadline)
	defer cancel()
	decision, err := h.guard.Begin(waitCtx, tryOf(req))
	if err != nil {
		return h.observeNotSent(req, refusedEffect(err))
	}
	switch decision.Kind {
	case effect.ActionReplay:
		err := replayAnswer(w, decision.Result)
		h.observeEnd(req, err)
		return err
	case effect.ActionForward:
		return h.observeNotSent(req, h.forwardTicket(waitCtx, req, decision.Address, w))
	default:
		return h.useRight(ctx, req, decision.Permit, w)
	}
}

// observeNotSent counts a request that this host did not send. A wrong key is
// the caller's fault and not a failure of the class.
func (h *Host) observeNotSent(req *request, err error) error {
	var known *port.RequestError
	if errors.As(err, &known) && known.Status == http.StatusUnprocessableEntity {
		return h.observeRejected(err)
	}
	h.observeEnd(req, err)
	return err
}

func tryOf(req *request) effect.Try {
	return effect.Try{
		Account:      req.model.Account,
		KeyText:      req.call.Key,
		Digest:       effect.NewDigest(req.call.Method, req.call.Path, req.call.Header.Get("Content-Type"), req.call.Body),
		First:        isFirstTry(req.call),
		Deduplicates: req.pool.Deduplicates,
		Forwarded:    req.call.Forwarded,
	}
}

func isFirstTry(call port.CallerRequest) bool { return call.Header.Get(port.HeaderFirstTry) == "true" }

// rejectedTry corrects the outcome of a request that was refused before its
// key was looked up: another try with the key may have run.
func rejectedTry(call port.CallerRequest, err error) error {
	var known *port.RequestError
	if !errors.As(err, &known) || call.Key == "" || isSafe(call.Method) {
		return err
	}
	if isFirstTry(call) || call.Permitted {
		return err
	}
	corrected := *known
	corrected.Outcome = model.OutcomeUnknown
	return &corrected
}

func isSafe(method string) bool { return method == http.MethodGet || method == http.MethodHead }

// useRight sends the request and records its answer. It goes on when the
// caller has gone, so that the caller's retry reads the answer.
func (h *Host) useRight(ctx context.Context, req *request, right effect.Permit, w port.CallerResponseWriter) error {
	rec := &recorder{to: w, limit: h.opts.MaxOutcome}
	err := h.serve(context.WithoutCancel(ctx), req, rec, h.serviceRunner(rec))
	h.guard.Finish(right, rec.end(err))
	return err
}

// replayAnswer answers with a recorded result.
func replayAnswer(w port.CallerResponseWriter, result effect.Result) error {
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

// recorder passes an answer on and keeps it. A caller that has gone does not
// end the answer.
type recorder struct {
	to     port.CallerResponseWriter
	limit  int
	result effect.Result
	gone   bool
}

// Start implements port.AnswerWriter.
func (r *recorder) Start(status int, header http.Header) error {
	r.result.Status = status
	r.result.ContentType = header.Get("Content-Type")
	r.gone = r.to.Start(status, header) != nil
	return nil
}

// WriteEvent implements port.AnswerWriter. Plain services send no events.
func (r *recorder) WriteEvent(data []byte, tokens int) error { return r.to.WriteEvent(data, tokens) }

// WriteBody implements port.AnswerWriter.
func (r *recorder) WriteBody(data []byte) error {
	if len(r.result.Body)+len(data) > r.limit {
		r.result.Truncated = true
		r.result.Body = nil
	}
	if !r.result.Truncated {
		r.result.Body = append(r.result.Body, data...)
	}
	if !r.gone {
		r.gone = r.to.WriteBody(data) != nil
	}
	return nil
}

// end returns what is recorded of a request that ended with err.
func (r *recorder) end(err error) effect.Result {
	if err == nil {
		r.result.Outcome = model.OutcomeRan
		return r.result
	}
	var known *port.RequestError
	if errors.As(err, &known) && r.result.Status == 0 {
		return effect.Result{Outcome: known.Outcome}
	}
	return effect.Result{Outcome: model.OutcomeUnknown}
}

// effectRefusal is how a caller sees one reason of a refusal.
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

// ticketHint ends the message of a refusal that a ticket avoids.
const ticketHint = "; a ticket from POST /v1/tickets works without it"

// refusedEffect translates a refusal of the guard.
func refusedEffect(err error) *port.RequestError {
	var refusal *effect.Refusal
	if !errors.As(err, &refusal) {
		return &port.RequestError{Code: port.CodeInternal, Status: http.StatusInternalServerError, Message: "the host failed", Cause: err}
	}
	known := effectRefusals[refusal.Code]
	message := known.message
	if refusal.SuggestTicket {
		message += ticketHint
	}
	return &port.RequestError{
		Code:       known.code,
		Status:     known.status,
		Message:    message,
		Outcome:    refusal.Outcome,
		RetryAfter: refusal.RetryAfter,
		Cause:      refusal,
	}
}
