package host

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/dispatch"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

// spill hands the request to a host of another failure domain, one hop at
// most. When that host does not take it, the request stays in this domain.
func (h *Host) spill(ctx context.Context, req *request, decision dispatch.Action, w port.CallerResponseWriter) attemptEnd {
	started := time.Now()
	err := h.spillTo(ctx, req, decision.Address, w)
	req.model.Forwarded = true
	if err == nil {
		return attemptEnd{result: dispatch.Result{Outcome: model.OutcomeRan, Elapsed: time.Since(started)}}
	}
	var peer *port.PeerError
	if errors.As(err, &peer) {
		h.loop.post(unreachableEvent{address: decision.Address})
	}
	return endOf(ctx, err, started)
}

func (h *Host) spillTo(ctx context.Context, req *request, address string, w port.CallerResponseWriter) error {
	if address == "" || h.opts.Peers == nil {
		return &port.EndpointError{Outcome: model.OutcomeNotRun, Cause: errNoGateway}
	}
	if err := req.holdBody(); err != nil {
		return &callerError{cause: err}
	}
	call := forwardCall(req)
	call.Permitted = req.needsRight()
	err := h.forwardTo(ctx, address, req, call, w)
	var peer *port.PeerError
	if errors.As(err, &peer) && !peer.Sent {
		return &port.EndpointError{Outcome: model.OutcomeNotRun, Cause: peer}
	}
	return err
}

// holdBody reads a body that would have been streamed, since the next hop
// takes it whole. The caller side bounds its size.
func (r *request) holdBody() error {
	if r.call.BodyReader == nil {
		return nil
	}
	body, err := io.ReadAll(r.call.BodyReader)
	r.call.Body, r.call.BodyReader = body, nil
	return err
}

// unreachableEvent tells that a peer did not take a request.
type unreachableEvent struct {
	address string
}

func (e unreachableEvent) apply(_ time.Time, c *control) {
	c.members.Refused(e.address)
}
