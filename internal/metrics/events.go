package metrics

import (
	"fmt"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// Request counts a request that got its final answer.
func (m *Metrics) Request(class model.ClassName, outcome model.Outcome) {
	m.requests.with(string(class), outcome.String()).Inc(1)
}

// Refused counts a refusal.
func (m *Metrics) Refused(class model.ClassName, reason fmt.Stringer) {
	m.refusals.with(string(class), reason.String()).Inc(1)
}

// Spilled counts a request that was forwarded to another failure domain.
func (m *Metrics) Spilled(class model.ClassName, to model.DomainName) {
	m.spills.with(string(class), string(to)).Inc(1)
}

// Retried counts a further attempt. The reason is a fixed text, for example
// "endpoint_failed".
func (m *Metrics) Retried(class model.ClassName, reason string) {
	m.retries.with(string(class), reason).Inc(1)
}

// Ejected counts an endpoint that was taken out of a pool. The reason is a
// fixed text, for example "slow" or "failing".
func (m *Metrics) Ejected(pool model.PoolName, reason string) {
	m.ejections.with(string(pool), reason).Inc(1)
}

// Preempted counts an attempt that gave way to a protected class.
func (m *Metrics) Preempted(class model.ClassName) {
	m.preempts.with(string(class), "").Inc(1)
}

// Drained counts an endpoint that was seen to be leaving. The source is
// "list", "configuration" or "report".
func (m *Metrics) Drained(pool model.PoolName, source string) {
	m.drains.with(string(pool), source).Inc(1)
}

// Wasted counts tokens that were generated and not used.
func (m *Metrics) Wasted(class model.ClassName, cause fmt.Stringer, tokens int) {
	m.wasted.with(string(class), cause.String()).Inc(int64(tokens))
}

// FirstToken takes the time from a request's arrival to its first token.
func (m *Metrics) FirstToken(class model.ClassName, d time.Duration) {
	m.firstToken.with(string(class), "").RecordDuration(d)
}

// BetweenTokens takes the time between two tokens.
func (m *Metrics) BetweenTokens(class model.ClassName, d time.Duration) {
	m.betweenTokens.with(string(class), "").RecordDuration(d)
}

// PeerError counts a failed call to another host.
func (m *Metrics) PeerError(op string) {
	m.peerErrs.with(op, "").Inc(1)
}

// PlatformError counts a failed call to the platform.
func (m *Metrics) PlatformError(op string, outcome model.Outcome) {
	m.platErrs.with(op, outcome.String()).Inc(1)
}
