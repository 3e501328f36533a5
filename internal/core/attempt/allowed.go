package attempt

import (
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// Ended is what is known of a failed try.
type Ended struct {
	// Idempotent says that the request may run more than once.
	Idempotent bool
	// Outcome is what is known of the try's effect.
	Outcome model.Outcome
	// Relayed is the number of tokens that the caller already has.
	Relayed int
	// CanResume says that an endpoint can go on after the last token.
	CanResume bool
	// Deadline is when the answer is worth nothing any more.
	Deadline time.Time
}

// Allowed says whether a failed try may be followed by another. It never is
// when the effect might happen twice, when the caller would get the start of
// an answer twice, or past the deadline.
func Allowed(now time.Time, e Ended) bool {
	if !now.Before(e.Deadline) {
		return false
	}
	if e.Relayed > 0 && !e.CanResume {
		return false
	}
	return e.Idempotent || e.Outcome == model.OutcomeNotRun
}
