package host

import (
	"context"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/burn"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

// requestEndEvent counts the end of a request towards its service level.
type requestEndEvent struct{ burn.Event }

func (e requestEndEvent) apply(now time.Time, c *control) { c.burn.Record(now, e.Event) }

// wasteEvent counts tokens that were generated but not used.
type wasteEvent struct {
	class  model.ClassName
	cause  burn.WasteCause
	tokens int
}

func (e wasteEvent) apply(now time.Time, c *control) {
	c.burn.RecordWaste(now, e.class, e.cause, e.tokens)
}

// Burn returns this host's service-level counts over the window that ends now. It
// queries the control loop once per class, so that no single event blocks the loop
// for long.
func (h *Host) Burn(ctx context.Context, window time.Duration) (burn.Aggregate, error) {
	classes, err := queryControl(ctx, h, func(_ time.Time, c *control) []model.ClassName { return c.burn.Classes() })
	if err != nil {
		return burn.Aggregate{}, err
	}
	out := burn.Aggregate{Answered: []model.HostID{h.opts.ID}}
	for _, class := range classes {
		row, err := queryControl(ctx, h, func(now time.Time, c *control) burn.Row { return c.burn.Row(now, window, class) })
		if err != nil {
			return burn.Aggregate{}, err
		}
		if len(row.Buckets) > 0 {
			out.Snapshot.Rows = append(out.Snapshot.Rows, row)
		}
	}
	return out, nil
}

// HandleBurn returns the encoded counts of this host or of all hosts of its failure
// domain. It implements port.PeerHandler.
func (h *Host) HandleBurn(ctx context.Context, query port.BurnQuery) ([]byte, error) {
	get := h.Burn
	if query.WholeDomain {
		get = h.gatherDomain
	}
	counts, err := get(ctx, query.Window)
	if err != nil {
		return nil, err
	}
	return counts.Encode()
}
