// Package clock provides a sleep that a context can interrupt.
package clock

import (
	"context"
	"time"
)

// Sleep pauses for d and reports whether it did so in full. It returns false as
// soon as ctx is done.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
