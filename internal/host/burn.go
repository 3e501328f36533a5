package host

import (
	"context"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/burn"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// burnEvent counts the end of a request.
type burnEvent struct{ burn.Event }

func (e burnEvent) apply(now time.Time, c *control) { c.burn.Record(now, e.Event) }

// wasteEvent counts tokens that were generated and not used.
type wasteEvent struct {
	class  model.ClassName
	cause  burn.WasteCause
	tokens int
}

func (e wasteEvent) apply(now time.Time, c *control) { c.burn.Waste(now, e.class, e.cause, e.tokens) }

// burnQueryEvent asks for the counts of a window.
type burnQueryEvent struct {
	window time.Duration
	reply  chan burn.Snapshot
}

func (e burnQueryEvent) apply(now time.Time, c *control) { e.reply <- c.burn.Snapshot(now, e.window) }

// Burn returns this host's service-level counts over the window that ends now.
// It fails when the control loop is overloaded or has ended, or with ctx.
func (h *Host) Burn(ctx context.Context, window time.Duration) (burn.Snapshot, error) {
	query := burnQueryEvent{window: window, reply: make(chan burn.Snapshot, 1)}
	if !h.loop.offer(query) {
		return burn.Snapshot{}, overloaded()
	}
	select {
	case s := <-query.reply:
		return s, nil
	case <-h.loop.stopped:
		return burn.Snapshot{}, leaving()
	case <-ctx.Done():
		return burn.Snapshot{}, ctx.Err()
	}
}
