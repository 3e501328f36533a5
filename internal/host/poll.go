package host

import (
	"context"
	"time"

	"golang.org/x/time/rate"

	"github.com/wigeonsail/wigeonsail/internal/core/dispatch"
	"github.com/wigeonsail/wigeonsail/opconfig"
)

// The pace of polling endpoints for load and leaving.
const (
	// pollEvery is the shortest time between two polls of an endpoint.
	pollEvery = 250 * time.Millisecond
	// maxPollsPerSecond bounds the polls of a host however many endpoints its
	// failure domain has. Peers tell each other which endpoints are leaving.
	maxPollsPerSecond = 12
	// pollTimeout bounds one poll.
	pollTimeout = time.Second
	// maxPollsRunning bounds the polls that wait for slow endpoints.
	maxPollsRunning = 32
)

// pollEndpoints asks the endpoints of the host's failure domain for their
// reports, one after another, until ctx ends.
func (h *Host) pollEndpoints(ctx context.Context) {
	limit := rate.NewLimiter(maxPollsPerSecond, 1)
	running := make(chan struct{}, maxPollsRunning)
	ticker := time.NewTicker(pollEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, ep := range h.ownEndpoints() {
			if limit.Wait(ctx) != nil {
				return
			}
			select {
			case running <- struct{}{}:
			case <-ctx.Done():
				return
			}
			h.workers.Go(func() {
				defer func() { <-running }()
				h.pollEndpoint(ctx, ep)
			})
		}
	}
}

// polledEndpoint is an endpoint with the kind of its pool.
type polledEndpoint struct {
	endpoint opconfig.Endpoint
	kind     opconfig.PoolKind
}

func (h *Host) ownEndpoints() []polledEndpoint {
	cat := h.catalog.Load()
	if cat == nil {
		return nil
	}
	var own []polledEndpoint
	for _, ep := range cat.Config().Endpoints {
		pool, ok := cat.Pool(ep.Pool)
		if ok && ep.Domain == h.opts.Domain {
			own = append(own, polledEndpoint{endpoint: ep, kind: pool.Kind})
		}
	}
	return own
}

// pollEndpoint hands one report to the control loop. A poll that fails tells
// nothing: the endpoint's own requests show whether it works.
func (h *Host) pollEndpoint(ctx context.Context, ep polledEndpoint) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	if ep.kind == opconfig.KindService {
		leaving, err := h.opts.Services.Leaving(ctx, ep.endpoint.Address)
		if err == nil {
			h.loop.offer(leavingEvent{endpoint: ep.endpoint.Name, leaving: leaving})
		}
		return
	}
	report, err := h.opts.Engines.Load(ctx, ep.endpoint.Address)
	if err != nil {
		return
	}
	if h.orders != nil {
		h.orders.Report(ep.endpoint.Name, report)
	}
	h.loop.offer(loadEvent{report: dispatch.LoadReport{
		Endpoint:  ep.endpoint.Name,
		Running:   report.Running,
		Queued:    report.Queued,
		Leaving:   report.Leaving,
		CanResume: report.CanResume,
		Models:    report.Models,
		Age:       report.Age,
	}})
}
