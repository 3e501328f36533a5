package port

import (
	"context"
	"fmt"

	"github.com/wigeonsail/wigeonsail/internal/core/capacity"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/core/usage"
)

// Duty is a kind of calls to the platform that one host at a time makes for all hosts.
type Duty uint8

// The duties.
const (
	// DutyUsage reports the usage of client accounts.
	DutyUsage Duty = iota
	// DutyCapacity orders endpoints.
	DutyCapacity
)

// String returns the name of the duty for logs and metrics.
func (d Duty) String() string {
	if d == DutyUsage {
		return "usage"
	}
	return "capacity"
}

// DutyHolder is the host that makes the calls of the duties. Fence rises with each holder:
// the platform refuses calls with a lower one than it has seen.
type DutyHolder struct {
	Host  model.HostID
	Fence model.Offset
}

// DutyClient makes the calls of the duties. Errors are *DutyError.
type DutyClient interface {
	// ReportUsage reports the usage of a window. It may be repeated with the same counts.
	ReportUsage(ctx context.Context, holder DutyHolder, report usage.Report) error
	// OrderCapacity orders a number of endpoints. A call without a response may take effect
	// seconds later.
	OrderCapacity(ctx context.Context, holder DutyHolder, order capacity.Order) error
}

// DutyError is a failed call of a duty.
type DutyError struct {
	Duty Duty
	// Outcome is OutcomeNotRun if the call had and will have no effect.
	Outcome model.Outcome
	// Conflict reports that the platform refused the call: another holder has used a higher
	// fence or, for an order, there are no endpoints at the moment.
	Conflict bool
	// TooMany reports that the platform takes no more calls at the moment.
	TooMany bool
	Cause   error
}

// Error implements error.
func (e *DutyError) Error() string { return fmt.Sprintf("%s call: %v", e.Duty, e.Cause) }

// Unwrap returns the cause.
func (e *DutyError) Unwrap() error { return e.Cause }
