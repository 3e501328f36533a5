package host

import (
	"errors"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/burn"
	"github.com/wigeonsail/wigeonsail/internal/core/dispatch"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

// noClass is counted for requests that were refused before their class was
// known.
const noClass model.ClassName = "none"

// cause is a fixed text that counters are labelled with.
type cause string

// String returns the text.
func (c cause) String() string { return string(c) }

// refusedOverload counts requests that the control loop had no time for.
const refusedOverload cause = "overload"

// The causes of further attempts.
const (
	retryPreempted      = "preempted"
	retryEndpointFailed = "endpoint_failed"
)

// meter measures the tokens of one request over all its attempts. Only the
// request's traffic goroutine uses it.
type meter struct {
	first  time.Time
	last   time.Time
	tokens int
}

// observeTokens takes tokens that were passed on to the caller.
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

// betweenTokens returns the mean time between tokens; 0 for fewer than two.
func (m *meter) betweenTokens() time.Duration {
	if m.tokens < 2 {
		return 0
	}
	return m.last.Sub(m.first) / time.Duration(m.tokens-1)
}

// observeRejected counts a request that was refused before its class was known.
func (h *Host) observeRejected(err error) error {
	var known *port.RequestError
	if errors.As(err, &known) {
		h.metrics.Refused(noClass, cause(known.Code))
		h.metrics.Completed(noClass, known.Outcome)
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

// observeRetry counts a further attempt and what led to it.
func (h *Host) observeRetry(req *request, end attemptEnd) {
	if errors.Is(end.err, errPreempted) {
		h.metrics.Preempted(req.class.Name)
		h.metrics.Retried(req.class.Name, retryPreempted)
		return
	}
	h.metrics.Retried(req.class.Name, retryEndpointFailed)
}

// observeEnd counts the final answer to a request. A forwarded request counts
// for the service level at the host that its caller reached.
func (h *Host) observeEnd(req *request, err error) {
	now := time.Now()
	h.metrics.Completed(req.class.Name, finalOutcome(err))
	result := resultOf(req, err)
	waste, wasted := wasteOf(result, err)
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
	h.loop.post(burnEvent{burn.Event{
		Class:         req.class.Name,
		Result:        result,
		FirstToken:    first.Sub(req.model.Arrived),
		BetweenTokens: req.meter.betweenTokens(),
		Tokens:        req.meter.tokens,
	}})
}

func finalOutcome(err error) model.Outcome {
	if err == nil {
		return model.OutcomeRan
	}
	var known *port.RequestError
	if errors.As(err, &known) {
		return known.Outcome
	}
	return model.OutcomeUnknown
}

// resultOf translates the end of a request for the service level; 0 for a
// request that says nothing of it, since its own content was refused.
func resultOf(req *request, err error) burn.Result {
	if err == nil {
		return burn.ResultServed
	}
	outcome := finalOutcome(err)
	var known *port.RequestError
	if !errors.As(err, &known) {
		return burn.ResultFailed
	}
	if callerGone(known) {
		if !req.class.Idempotent && outcome != model.OutcomeNotRun {
			return burn.ResultLost
		}
		return burn.ResultCanceled
	}
	switch known.Code {
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

func callerGone(err *port.RequestError) bool {
	var caller *callerError
	return err.Code == port.CodeCanceled || errors.As(err, &caller)
}

// wasteOf tells why the tokens of a request with this result are wasted.
func wasteOf(result burn.Result, err error) (burn.WasteCause, bool) {
	switch result {
	case burn.ResultServed:
		return 0, false
	case burn.ResultCanceled, burn.ResultLost:
		return burn.WasteCallerGone, true
	}
	var known *port.RequestError
	if errors.As(err, &known) && known.Code == port.CodeDeadline {
		return burn.WasteDeadline, true
	}
	return burn.WasteEndpoint, true
}
