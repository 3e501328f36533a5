package host

import (
	"errors"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/burn"
	"github.com/wigeonsail/wigeonsail/internal/core/dispatch"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

// noClass is the class label for refused requests that are not counted under a
// class.
const noClass model.ClassName = "none"

// metricLabel is a constant label value of counters.
type metricLabel string

// String returns the label value.
func (l metricLabel) String() string { return string(l) }

// refusedOverload is the label for requests refused because the control loop was
// overloaded.
const refusedOverload metricLabel = "overload"

// The labels for the reasons of retries.
const (
	retryPreempted      = "preempted"
	retryEndpointFailed = "endpoint_failed"
)

// tokenMeter measures the tokens of one request over all its attempts. Only the
// goroutine that serves the request uses it.
type tokenMeter struct {
	first  time.Time
	last   time.Time
	tokens int
}

// observeTokens counts tokens that were relayed to the caller and measures their
// latency.
func (h *Host) observeTokens(req *request, tokens int) {
	if tokens <= 0 {
		return
	}
	now := time.Now()
	m := &req.meter
	if m.first.IsZero() {
		m.first = now
		h.metrics.ObserveFirstToken(req.class.Name, now.Sub(req.model.Arrived))
	} else {
		h.metrics.ObserveBetweenTokens(req.class.Name, now.Sub(m.last)/time.Duration(tokens))
	}
	m.last = now
	m.tokens += tokens
}

// betweenTokens returns the mean time between tokens; 0 for fewer than two tokens.
func (m *tokenMeter) betweenTokens() time.Duration {
	if m.tokens < 2 {
		return 0
	}
	return m.last.Sub(m.first) / time.Duration(m.tokens-1)
}

// observeRejected counts a refused request without a class, and returns err. The
// class is not known yet, or the request does not count against it.
func (h *Host) observeRejected(err error) error {
	var reqErr *port.RequestError
	if errors.As(err, &reqErr) {
		h.metrics.Refused(noClass, metricLabel(reqErr.Code))
		h.metrics.Completed(noClass, reqErr.Outcome)
	}
	return err
}

// observeDecision counts a refusal or a spill.
func (h *Host) observeDecision(req *request, action dispatch.Action) {
	switch action.Kind {
	case dispatch.ActionRefuse:
		h.metrics.Refused(req.class.Name, action.Reason)
	case dispatch.ActionSpill:
		h.metrics.Spilled(req.class.Name, action.Domain)
	}
}

// observeRetry counts a retry and its reason.
func (h *Host) observeRetry(req *request, end attemptEnd) {
	if errors.Is(end.err, errPreempted) {
		h.metrics.Preempted(req.class.Name)
		h.metrics.Retried(req.class.Name, retryPreempted)
		return
	}
	h.metrics.Retried(req.class.Name, retryEndpointFailed)
}

// observeEnd counts the end of a request. A forwarded request counts towards the
// service level only at the host that its caller connected to.
func (h *Host) observeEnd(req *request, err error) {
	now := time.Now()
	h.metrics.Completed(req.class.Name, finalOutcome(err))
	result := burnResult(req, err)
	waste, wasted := wasteCause(result, err)
	if wasted && req.meter.tokens > 0 {
		h.metrics.Wasted(req.class.Name, waste, req.meter.tokens)
		h.loop.post(wasteEvent{class: req.class.Name, cause: waste, tokens: req.meter.tokens})
	}
	if result == 0 || req.call.Forwarded {
		return
	}
	first := now
	if !req.meter.first.IsZero() {
		first = req.meter.first
	}
	h.loop.post(requestEndEvent{burn.Event{
		Class:         req.class.Name,
		Result:        result,
		FirstToken:    first.Sub(req.model.Arrived),
		BetweenTokens: req.meter.betweenTokens(),
		Tokens:        req.meter.tokens,
	}})
}

// finalOutcome returns the outcome of a request that ended with err.
func finalOutcome(err error) model.Outcome {
	if err == nil {
		return model.OutcomeRan
	}
	var reqErr *port.RequestError
	if errors.As(err, &reqErr) {
		return reqErr.Outcome
	}
	return model.OutcomeUnknown
}

// burnResult returns the result of a request for its service level. It returns 0 if
// the request does not affect the service level because its content was refused.
func burnResult(req *request, err error) burn.Result {
	if err == nil {
		return burn.ResultServed
	}
	outcome := finalOutcome(err)
	var reqErr *port.RequestError
	if !errors.As(err, &reqErr) {
		return burn.ResultFailed
	}
	if isCallerGone(reqErr) {
		if !req.class.Idempotent && outcome != model.OutcomeNotRun {
			return burn.ResultLost
		}
		return burn.ResultCanceled
	}
	switch reqErr.Code {
	case port.CodeLimitReached:
		return burn.ResultLimited
	case port.CodeServiceRefused, port.CodeKeyReused, port.CodeKeyExpired, port.CodeKeyInvalid:
		return 0
	}
	if outcome == model.OutcomeNotRun {
		return burn.ResultRefused
	}
	if outcome == model.OutcomeUnknown && !req.class.Idempotent {
		return burn.ResultUnknown
	}
	return burn.ResultFailed
}

// isCallerGone reports whether a request ended because its caller disconnected.
func isCallerGone(err *port.RequestError) bool {
	var caller *callerError
	return err.Code == port.CodeCanceled || errors.As(err, &caller)
}

// wasteCause returns why the tokens of a request with this result are wasted, or
// false if they are not.
func wasteCause(result burn.Result, err error) (burn.WasteCause, bool) {
	switch result {
	case burn.ResultServed:
		return 0, false
	case burn.ResultCanceled, burn.ResultLost:
		return burn.WasteCallerGone, true
	}
	var reqErr *port.RequestError
	if errors.As(err, &reqErr) && reqErr.Code == port.CodeDeadlineExceeded {
		return burn.WasteDeadline, true
	}
	return burn.WasteEndpoint, true
}
