package gateway

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/attempt"
	"github.com/wigeonsail/wigeonsail/internal/core/balance"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/core/quarantine"
	"github.com/wigeonsail/wigeonsail/internal/core/resume"
	"github.com/wigeonsail/wigeonsail/internal/core/routing"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

const (
	// deadlineGrace is how long after the time limit the endpoint's own response
	// about the expired limit is awaited. The rules count a request as held
	// beyond its limit from 250 ms after it on.
	deadlineGrace = 120 * time.Millisecond
	// maxDelivered limits the number of attempts per request that reach an
	// endpoint, including those that the endpoint did not run.
	maxDelivered = 4
	// maxUnreachable limits the number of attempts per request that reach no
	// endpoint. It is large because a network partition may leave few reachable
	// endpoints among many.
	maxUnreachable = 24
	// minRetryTime is the minimum time left before the deadline for another
	// attempt.
	minRetryTime = 30 * time.Millisecond
	// defaultTimeLimit applies to callers that send no time limit.
	defaultTimeLimit = 30 * time.Second
)

// exchange is the state of one request and its response.
type exchange struct {
	gateway *Gateway
	call    *port.RoutedCall
	w       port.RoutedResponseWriter
	version model.Version
	route   *routing.Route
	account model.AccountName
	// deadline is when the caller stops waiting for the response.
	deadline time.Time
	req      balance.Request
	// fingerprint identifies the content of the request. trialTried reports that a trial
	// was requested for it, onTrial is set if it is on trial, and crashReported reports
	// that an endpoint may have crashed under it.
	fingerprint   model.Fingerprint
	trialTried    bool
	onTrial       *quarantine.Suspect
	crashReported bool

	// delivered counts the attempts that reached an endpoint, possibleRuns
	// those that may have run, and unreachable those that reached no endpoint.
	delivered    int
	possibleRuns int
	unreachable  int
	// reserved is the next attempt; nil unless the last one was given up.
	reserved *reservation
	// began reports whether the first event of the response was recorded, and source is who
	// wrote it; the rest must come from the same version. It is in req once it is certain.
	began  bool
	source resume.Source
	// counted reports that the request was counted for its account.
	counted bool
	// headerSent reports whether the response's header was sent to the caller.
	headerSent bool
	// firstResponseAt is when the first events of a stream, or the whole of
	// another response, were received from the endpoint.
	firstResponseAt time.Time
	// lastEvent is the ID of the last event sent to the caller.
	lastEvent  string
	eventsSent int
	// lastEventAt is when the last event was forwarded. longestGap is the
	// longest time between two events.
	lastEventAt time.Time
	longestGap  time.Duration
	// placed is where the present attempt was placed.
	placed balance.Decision
	// movedRun is a stopped run that goes on with the next attempt, movedFrom that of the
	// present one.
	movedRun  movedRun
	movedFrom string
	// stays reports that the run is not moved any more.
	stays bool
	// endpointFinished reports that the endpoint has sent the whole response.
	endpointFinished bool
	// fallback is an endpoint's own error response. The caller receives it when
	// no other endpoint succeeds.
	fallback *bufferedResponse
}

// bufferedResponse is an endpoint's response with its complete body.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// Route serves a call: it rejects the call or tries endpoints, and writes the
// response to w. It returns false when the caller has left or the response is
// incomplete. It implements port.CallRouter.
func (g *Gateway) Route(ctx context.Context, call *port.RoutedCall, w port.RoutedResponseWriter) bool {
	x, refusal := g.admit(call, w)
	if refusal != nil {
		g.logRejected(call, refusal)
		return w.RespondError(refusal) == nil
	}
	ctx, release := g.departure.bind(ctx)
	defer release()
	ctx, cancel := context.WithDeadlineCause(ctx, x.deadline.Add(deadlineGrace), errDeadline)
	defer cancel()
	if refusal := x.restrictToOrigin(ctx); refusal != nil {
		g.logFailed(x, refusal, nil)
		return w.RespondError(refusal) == nil
	}
	return x.run(ctx)
}

// admit checks a call against the configuration in force. It returns the
// request state, or the error to send to the caller.
func (g *Gateway) admit(call *port.RoutedCall, w port.RoutedResponseWriter) (*exchange, *port.RequestError) {
	table := g.table.Load()
	if table == nil {
		return nil, notReadyError()
	}
	route, ok := table.Route(call.Host, call.Path)
	if !ok {
		return nil, g.deny(unknownRouteError(call.Host, call.Path))
	}
	var account *routing.Account
	if !route.Public {
		if account, ok = table.Account(call.Key); !ok {
			return nil, g.deny(unauthorizedError())
		}
	}
	x := newExchange(g, call, table.Version(), route, account)
	x.w = w
	if refusal := x.refuseLeaving(); refusal != nil {
		return nil, refusal
	}
	x.req.Pool = route.PickPool(g.rng.fraction())
	return x, nil
}

// newExchange returns the state of a request on a route without its pool. The account is nil
// for a public route, and if the configuration has no accounts.
func newExchange(g *Gateway, call *port.RoutedCall, version model.Version, route *routing.Route, account *routing.Account) *exchange {
	x := &exchange{gateway: g, call: call, route: route, version: version, lastEvent: call.LastEventID}
	tier := route.Tier
	if account != nil {
		x.account = account.Name
		if account.HasTier {
			tier = account.Tier
		}
	}
	x.fingerprint = model.NewFingerprint(call.Host, call.Method, call.URI, x.account, call.Body)
	x.req = balance.Request{
		Account: x.account,
		Prompt:  call.Prompt,
		Tier:    tier,
		Rank:    route.Tier,
		Target:  route.LatencyTarget,
		Arrived: call.Arrived,
	}
	x.deadline = call.Arrived.Add(x.timeLimit())
	holdOf(call).setRank(tier, route.Tier)
	x.req.Deadline = x.deadline
	return x
}

// maxDenialAge is the longest time since the configuration in force was known to be the
// newest one for which a host denies requests by it. It exceeds the age that the
// knowledge reaches between two reads and two digests, 2.2 s, and is below the 3 s after
// an outage from which on a host must have the newest configuration.
const maxDenialAge = 2500 * time.Millisecond

// deny returns the error response to a call that the configuration in force does not
// allow. While a newer one may allow the call, the caller is asked to come back.
func (g *Gateway) deny(denied *port.RequestError) *port.RequestError {
	if g.configAge(time.Now()) > maxDenialAge {
		return unconfirmedError()
	}
	return denied
}

// nextID makes the caller's request ID unique by a sequence number, because
// callers may reuse an ID.
func (g *Gateway) nextID(id model.RequestID) model.RequestID {
	return id + "/" + model.RequestID(strconv.FormatUint(g.sequence.Add(1), 10))
}

// timeLimit returns the shorter of the caller's and the route's time limit.
func (x *exchange) timeLimit() time.Duration {
	limit := x.call.CallerTimeout
	if limit <= 0 {
		limit = defaultTimeLimit
	}
	if x.route.Timeout > 0 {
		limit = min(limit, x.route.Timeout)
	}
	return limit
}

// attemptResult is the result of one attempt.
type attemptResult struct {
	// answered reports that the caller received the complete response.
	answered bool
	outcome  model.Outcome
	// delivered reports that the endpoint received the request.
	delivered bool
	failure   balance.Failure
	// retryAfter is the time for which the endpoint wants no more requests from
	// this host; 0 for none.
	retryAfter time.Duration
	// final reports that another endpoint would give the same response.
	final bool
	// events is the number of events that the endpoint has sent, silent reports that it
	// was given up because it sent nothing more.
	events int
	silent bool
	// moved is the run of the attempt if it was stopped to go on elsewhere.
	moved movedRun
	err   error
}

// run tries endpoints until one answers or no further attempt is allowed. It
// returns false when the caller has left or the response is incomplete.
func (x *exchange) run(ctx context.Context) bool {
	defer x.endTrial()
	defer x.releaseReserved()
	for {
		decision, ok := x.placeMovedOrNext(ctx)
		if !ok {
			// The control loop may still have placed the request.
			x.gateway.finish(x.req.ID, balance.Result{})
			return x.fail(ctx, attemptResult{outcome: model.OutcomeNotRun, err: context.Cause(ctx)})
		}
		x.logPlaced(decision)
		if decision.IsRefused() {
			return x.fail(ctx, attemptResult{outcome: model.OutcomeNotRun, err: &noEndpointError{decision: decision.Decision}})
		}
		result := x.tryEndpoint(ctx, decision)
		if x.noteMoved(&result) {
			x.gateway.finish(x.req.ID, balance.Result{})
			continue
		}
		x.gateway.finish(x.req.ID, balance.Result{Failure: result.failure, RetryAfter: result.retryAfter})
		x.logAttemptFailed(decision, result)
		confirmed := x.reportIfCrashed(decision, result)
		x.crashReported = x.crashReported || confirmed != nil
		if result.answered {
			x.logAnswered()
			x.gateway.departure.observe(x)
			return true
		}
		if !x.canRetry(ctx, result) || !x.repeatsNow(time.Now(), x.headerSent) || !x.settleVersion(ctx) {
			return x.fail(ctx, result)
		}
		// The next attempt is placed with what is known then of a crash.
		awaitClosed(ctx, confirmed, maxConfirmWait)
		x.req.Avoid = append(x.req.Avoid, decision.Endpoint)
		x.req.Retry = x.req.Retry || result.delivered
		x.gateway.opts.Metrics.Retried(model.ClassName(x.route.Name), failureName(result.failure))
	}
}

// nextAttempt returns the attempt that was reserved before the last one was given up, or
// places the next one.
func (x *exchange) nextAttempt(ctx context.Context) (placement, bool) {
	if r := x.reserved; r != nil && r.request.Software == x.req.Software {
		x.reserved, x.req = nil, r.request
		return r.placement, true
	}
	x.releaseReserved()
	// A new ID per attempt keeps late events of an earlier attempt from
	// affecting this one.
	x.req.ID = x.gateway.nextID(x.call.ID)
	return x.placeNext(ctx)
}

// canRetry counts a failed attempt and reports whether another may follow.
func (x *exchange) canRetry(ctx context.Context, result attemptResult) bool {
	if result.delivered {
		x.delivered++
	} else {
		x.unreachable++
	}
	if result.outcome != model.OutcomeNotRun {
		x.possibleRuns++
	}
	if result.final || x.unreachable >= maxUnreachable || ctx.Err() != nil {
		return false
	}
	return x.allowsAttempt(x.delivered, x.possibleRuns) &&
		attempt.IsRetryAllowed(time.Now().Add(minRetryTime), x.failedAttempt(result.outcome))
}

// allowsAttempt reports whether another attempt may follow the given numbers of attempts
// that reached an endpoint and that may have run.
func (x *exchange) allowsAttempt(delivered, possibleRuns int) bool {
	return delivered < maxDelivered && possibleRuns < max(x.route.MaxAttempts, 1)
}

// failedAttempt describes an attempt that has ended with an outcome now.
func (x *exchange) failedAttempt(outcome model.Outcome) attempt.FailedAttempt {
	return attempt.FailedAttempt{
		Idempotent: x.route.CanRetry(),
		Outcome:    outcome,
		Relayed:    x.eventsSent,
		CanResume:  x.route.Resumable,
		Deadline:   x.deadline,
	}
}

// noEndpointError is the error when no endpoint was found for the next attempt.
type noEndpointError struct{ decision balance.Decision }

// Error implements error.
func (e *noEndpointError) Error() string {
	return "no endpoint available: " + string(e.decision.Reason)
}

// fail ends and logs a request that no endpoint has completed: unless the header
// was sent or the caller has left, it sends the fallback or an error that states
// whether the request may have run. It returns false when the caller has left or
// the response is incomplete.
func (x *exchange) fail(ctx context.Context, result attemptResult) bool {
	cause := context.Cause(ctx)
	if errors.Is(cause, port.ErrShed) {
		x.logShed()
		return false
	}
	if cause != nil && !errors.Is(cause, errDeadline) && !errors.Is(cause, errHostEnds) {
		x.logCanceled()
		return false
	}
	if errors.Is(cause, errDeadline) {
		x.gateway.departure.observe(x)
	}
	if x.headerSent {
		x.logInterrupted(cmp.Or(cause, result.err))
		return false
	}
	if x.fallback != nil {
		x.logFailureForwarded()
		return x.w.Respond(x.fallback.status, x.fallback.header, x.fallback.body) == nil
	}
	response := x.failureResponse(cause, result)
	x.gateway.logFailed(x, response, result.err)
	return x.w.RespondError(response) == nil
}

// failureResponse returns the error for the caller. Its outcome states whether
// the request may have run.
func (x *exchange) failureResponse(cause error, result attemptResult) *port.RequestError {
	if x.possibleRuns > 0 || result.outcome != model.OutcomeNotRun {
		if errors.Is(cause, errHostEnds) {
			return leavingUnknownError()
		}
		if cause != nil {
			return endpointFailedError(cause)
		}
		return endpointFailedError(result.err)
	}
	var refusal *noEndpointError
	if errors.As(result.err, &refusal) {
		return notRunError(refusal.decision.Reason, refusal.decision.RetryAfter)
	}
	if !x.repeatsNow(time.Now(), false) || errors.Is(cause, errHostEnds) {
		return x.gateway.LeavingError()
	}
	return notRunError(balance.ReasonNoEndpoint, noEndpointRetryAfter)
}
