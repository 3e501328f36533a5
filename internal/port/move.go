package port

import (
	"context"
	"fmt"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// RunMover moves running requests between endpoints with their memory.
type RunMover interface {
	// MoveRun stops the run of a request at the endpoint at an address and copies its memory
	// to a target. Its stream is then closed without its end. Errors are *MoveError.
	MoveRun(ctx context.Context, address string, request model.RequestID, target string) (MovedRun, error)
	// TimeLeft returns the time until the endpoint at an address ends, and false if it does
	// not know. Errors are *MoveError.
	TimeLeft(ctx context.Context, address string) (time.Duration, bool, error)
}

// MovedRun is the memory of a stopped run.
type MovedRun struct {
	// Handle names the memory to an endpoint that continues the run, once.
	Handle string
	// AtSource reports that the target had no room: only the endpoint of the run has the
	// memory.
	AtSource bool
}

// MoveError is a move that has not been carried out, as far as known, or a question without
// an answer.
type MoveError struct {
	// Outcome is OutcomeNotRun if the run goes on, or has ended, as without the move.
	Outcome model.Outcome
	Cause   error
}

// Error implements error.
func (e *MoveError) Error() string { return fmt.Sprintf("move of a run (%s): %v", e.Outcome, e.Cause) }

// Unwrap returns the cause.
func (e *MoveError) Unwrap() error { return e.Cause }
