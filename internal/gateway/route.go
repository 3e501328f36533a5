package gateway

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/attempt"
	"github.com/wigeonsail/wigeonsail/internal/core/balance"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/core/routing"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

const (
	// answerSlack is how long after the time limit an endpoint's own answer about
	// it is waited for. The rules count a request as held from 250 ms on.
	answerSlack = 120 * time.Millisecond
	// maxTries bounds the endpoints that receive one request, those that did not
	// run it included.
	maxTries = 4
	// maxUnreachable bounds the endpoints that could not be reached for one
	// request: a cut may leave few of many.
	maxUnreachable = 24
	// minTimeLeft is the least time left for which another try is begun.
	minTimeLeft = 30 * time.Millisecond
	// defaultPatience is the time that a caller waits who does not say.
	defaultPatience = 30 * time.Second
)

// exchange is one request with its answer.
type exchange struct {
	gateway *Gateway
	call    *port.RoutedCall
	w       port.RoutedResponseWriter
	version model.Version
	route   *routing.Route
	account model.AccountName
	// deadline is when nobody waits for the answer any more.
	deadline time.Time
	ask      balance.Request

	// tries counts the attempts that arrived, runs those that may have run, and
	// unreachable those that reached no endpoint.
	tries       int
	runs        int
	unreachable int
	// started says that the answer's header was sent to the caller.
	started bool
	// first is when the first part of the answer was sent.
	first time.Time
	// lastEvent is the last event that the caller has.
	lastEvent string
	events    int
	// passed is when the last event was passed on, longestGap the longest pause
	// between two events.
	passed     time.Time
	longestGap time.Duration
	// fallback is an endpoint's own failure, which the caller gets when no other
	// endpoint does better.
	fallback *wholeAnswer
}

// wholeAnswer is an endpoint's answer with its whole body.
type wholeAnswer struct {
	status int
	header http.Header
	body   []byte
}

// Route implements port.CallRouter.
func (g *Gateway) Route(ctx context.Context, call *port.RoutedCall, w port.RoutedResponseWriter) bool {
	x, refusal := g.admit(call, w)
	if refusal != nil {
		g.logRefused(call, refusal)
		return w.RespondError(refusal) == nil
	}
	ctx, cancel := context.WithDeadlineCause(ctx, x.deadline.Add(answerSlack), errDeadline)
	defer cancel()
	return x.run(ctx)
}

// admit checks a call against the configuration in force.
func (g *Gateway) admit(call *port.RoutedCall, w port.RoutedResponseWriter) (*exchange, *port.RequestError) {
	table := g.table.Load()
	if table == nil {
		return nil, notReady()
	}
	route, ok := table.Route(call.Host, call.Path)
	if !ok {
		return nil, unknownRoute(call.Host, call.Path)
	}
	x := &exchange{gateway: g, call: call, w: w, route: route, version: table.Version(), lastEvent: call.LastEventID}
	tier := route.Tier
	if !route.Public {
		account, ok := table.Account(call.Key)
		if !ok {
			return nil, unauthorized()
		}
		if account != nil {
			x.account = account.Name
			if account.HasTier {
				tier = account.Tier
			}
		}
	}
	x.ask = balance.Request{
		Pool:    route.PoolFor(g.draws.next()),
		Prompt:  call.Prompt,
		Tier:    tier,
		Rank:    route.Tier,
		Target:  route.Target,
		Arrived: call.Arrived,
	}
	x.deadline = call.Arrived.Add(x.timeLimit())
	return x, nil
}

// nextID makes a caller's id unique: nothing keeps callers from using one twice.
func (g *Gateway) nextID(id model.RequestID) model.RequestID {
	return id + "/" + model.RequestID(strconv.FormatUint(g.sequence.Add(1), 10))
}

// timeLimit is the shorter of the caller's and the route's.
func (x *exchange) timeLimit() time.Duration {
	limit := x.call.CallerTimeout
	if limit <= 0 {
		limit = defaultPatience
	}
	if x.route.Timeout > 0 {
		limit = min(limit, x.route.Timeout)
	}
	return limit
}

// tryEnd is the end of one attempt.
type tryEnd struct {
	// answered says that the caller has the whole answer.
	answered bool
	outcome  model.Outcome
	// arrived says that the endpoint received the request.
	arrived bool
	failure balance.Failure
	// final says that another endpoint would answer the same.
	final bool
	err   error
}

// run tries endpoints until one answers or nothing more may be tried.
func (x *exchange) run(ctx context.Context) bool {
	for {
		// What comes late from an attempt must not touch the next one.
		x.ask.ID = x.gateway.nextID(x.call.ID)
		decision, ok := x.gateway.place(ctx, x.ask)
		if !ok {
			// The decision may still have been made.
			x.gateway.finish(x.ask.ID, balance.Result{})
			return x.stop(ctx, tryEnd{outcome: model.OutcomeNotRun, err: context.Cause(ctx)})
		}
		x.logPlaced(decision)
		if decision.Refused() {
			return x.stop(ctx, tryEnd{outcome: model.OutcomeNotRun, err: &refusalError{decision: decision}})
		}
		end := x.try(ctx, decision)
		x.gateway.finish(x.ask.ID, balance.Result{Failure: end.failure})
		x.logTried(decision, end)
		if end.answered {
			x.logAnswered()
			return true
		}
		if !x.mayTryAgain(ctx, end) {
			return x.stop(ctx, end)
		}
		x.ask.Avoid = append(x.ask.Avoid, decision.Endpoint)
		x.ask.Repeat = x.ask.Repeat || end.arrived
		x.gateway.opts.Metrics.Retried(model.ClassName(x.route.Name), failureName(end.failure))
	}
}

// mayTryAgain says whether a failed attempt may be followed by another.
func (x *exchange) mayTryAgain(ctx context.Context, end tryEnd) bool {
	if end.failure == balance.FailureUnreachable {
		x.unreachable++
	} else {
		x.tries++
	}
	if end.outcome != model.OutcomeNotRun {
		x.runs++
	}
	if end.final || x.unreachable >= maxUnreachable {
		return false
	}
	if ctx.Err() != nil || x.tries >= maxTries || x.runs >= max(x.route.MaxAttempts, 1) {
		return false
	}
	return attempt.Allowed(time.Now().Add(minTimeLeft), attempt.Ended{
		Idempotent: x.route.Repeatable(),
		Outcome:    end.outcome,
		Relayed:    x.events,
		CanResume:  x.route.Resumable,
		Deadline:   x.deadline,
	})
}

// refusalError says that no endpoint was found for the next attempt.
type refusalError struct{ decision balance.Decision }

// Error implements error.
func (e *refusalError) Error() string { return "no endpoint: " + string(e.decision.Reason) }

// stop gives up: it tells the caller what is known of the request. It returns
// false when the answer has begun and stays incomplete.
func (x *exchange) stop(ctx context.Context, end tryEnd) bool {
	cause := context.Cause(ctx)
	if cause != nil && !errors.Is(cause, errDeadline) {
		x.logGone()
		return false
	}
	if x.started {
		x.logBroken(end.err)
		return false
	}
	if x.fallback != nil {
		x.logPassed()
		return x.w.Respond(x.fallback.status, x.fallback.header, x.fallback.body) == nil
	}
	answer := x.finalError(cause, end)
	x.gateway.logGivenUp(x, answer, end.err)
	return x.w.RespondError(answer) == nil
}

// finalError says whether the request may have run.
func (x *exchange) finalError(cause error, end tryEnd) *port.RequestError {
	if x.runs > 0 || end.outcome != model.OutcomeNotRun {
		if cause != nil {
			return failed(cause)
		}
		return failed(end.err)
	}
	var refusal *refusalError
	if errors.As(end.err, &refusal) {
		return refused(refusal.decision.Reason, refusal.decision.RetryAfter)
	}
	return refused(balance.ReasonNoEndpoint, noEndpointRetryAfter)
}
