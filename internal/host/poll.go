package host

import (
	"context"
	"time"

	"golang.org/x/time/rate"

	"github.com/wigeonsail/wigeonsail/internal/core/dispatch"
	"github.com/wigeonsail/wigeonsail/opconfig"
)

// Limits for polling the load and leaving state of endpoints.
const (
	// pollEvery is the shortest interval between polls of an endpoint.
	pollEvery = 250 * time.Millisecond
	// maxPollsPerSecond bounds the polls of a host, however many endpoints its
	// failure domain has. Leaving endpoints are also announced by peers.
	maxPollsPerSecond = 12
	// pollTimeout bounds the duration of one poll.
	pollTimeout = time.Second
	// maxPollsRunning bounds the number of concurrent polls, since slow
	// endpoints delay them.
	maxPollsRunning = 32
)

// pollEndpoints polls the endpoints of the host's failure domain in turn until ctx
// ends.
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
		for _, ep := range h.localEndpoints() {
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

// localEndpoints returns the endpoints of the host's failure domain.
func (h *Host) localEndpoints() []polledEndpoint {
	cat := h.catalog.Load()
	if cat == nil {
		return nil
	}
	var local []polledEndpoint
	for _, ep := range cat.Config().Endpoints {
		pool, ok := cat.Pool(ep.Pool)
		if ok && ep.Domain == h.opts.Domain {
			local = append(local, polledEndpoint{endpoint: ep, kind: pool.Kind})
		}
	}
	return local
}

// pollEndpoint polls one endpoint and passes its report to the control loop. It
// ignores a failed poll, since the results of requests show whether the endpoint
// works.
func (h *Host) pollEndpoint(ctx context.Context, ep polledEndpoint) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	if ep.kind == opconfig.KindService {
		leaving, err := h.opts.Services.Leaving(ctx, ep.endpoint.Address)
		if err == nil {
			h.loop.tryPost(endpointLeavingEvent{endpoint: ep.endpoint.Name, leaving: leaving})
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
	h.loop.tryPost(loadReportEvent{report: dispatch.LoadReport{
		Endpoint:  ep.endpoint.Name,
		Running:   report.Running,
		Queued:    report.Queued,
		Leaving:   report.Leaving,
		CanResume: report.CanResume,
		Models:    report.Models,
		Age:       report.Age,
	}})
}
