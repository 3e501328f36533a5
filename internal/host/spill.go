package host

import (
	"context"

	"github.com/wigeonsail/wigeonsail/internal/core/dispatch"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

// spill hands the request to a host of another failure domain.
func (h *Host) spill(_ context.Context, _ *request, _ dispatch.Action, _ port.AnswerWriter) error {
	return refused(dispatch.Action{Reason: dispatch.ReasonNoEndpoint, RetryAfter: retryAfterFailure})
}
