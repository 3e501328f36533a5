package host

import (
	"context"
	"errors"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/metrics"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

// meteredLog is a port.Log that counts failed calls to the platform's log.
type meteredLog struct {
	port.Log
	metrics *metrics.Metrics
}

// Append implements port.Log.
func (l meteredLog) Append(ctx context.Context, stream port.StreamName, data []byte) (model.Offset, error) {
	offset, err := l.Log.Append(ctx, stream, data)
	l.count("append", err)
	return offset, err
}

// Read implements port.Log.
func (l meteredLog) Read(ctx context.Context, stream port.StreamName, from model.Offset, max int, wait time.Duration) (port.Batch, error) {
	batch, err := l.Log.Read(ctx, stream, from, max, wait)
	l.count("read", err)
	return batch, err
}

// count counts a failed call of the operation, with the outcome that err states.
// Canceled calls are not counted.
func (l meteredLog) count(op string, err error) {
	if err == nil || errors.Is(err, context.Canceled) {
		return
	}
	outcome := model.OutcomeUnknown
	var platform *port.PlatformError
	if errors.As(err, &platform) {
		outcome = platform.Outcome
	}
	l.metrics.PlatformError(op, outcome)
}
