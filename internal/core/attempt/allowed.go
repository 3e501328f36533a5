package attempt

import (
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// FailedAttempt describes a failed attempt.
type FailedAttempt struct {
	// Idempotent reports whether the request may run more than once.
	Idempotent bool
	// Outcome is whether the attempt is known to have run.
	Outcome model.Outcome
	// Relayed is the number of tokens that the caller has already received.
	Relayed int
	// CanResume reports whether an endpoint can continue after the last token.
	CanResume bool
	// Deadline is when the response is no longer of use to the caller.
	Deadline time.Time
}

// IsRetryAllowed reports whether a failed attempt may be retried. It may not if
// the request could take effect twice, if the caller would receive the start of
// a response twice, or if the deadline has passed.
func IsRetryAllowed(now time.Time, a FailedAttempt) bool {
	if !now.Before(a.Deadline) {
		return false
	}
	if a.Relayed > 0 && !a.CanResume {
		return false
	}
	return a.Idempotent || a.Outcome == model.OutcomeNotRun
}
