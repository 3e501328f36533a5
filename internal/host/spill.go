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

// spill forwards the request to a host of another failure domain, at most once per
// request. If that host does not accept it, further attempts stay in this failure
// domain.
func (h *Host) spill(ctx context.Context, req *request, decision dispatch.Action, w port.CallerResponseWriter) attemptEnd {
	started := time.Now()
	err := h.spillTo(ctx, req, decision.Address, w)
	req.model.Forwarded = true
	if err == nil {
		return attemptEnd{result: dispatch.Result{Outcome: model.OutcomeRan, Elapsed: time.Since(started)}}
	}
	var peer *port.PeerError
	if errors.As(err, &peer) {
		h.loop.post(peerUnreachableEvent{address: decision.Address})
	}
	return newFailedEnd(ctx, err, started)
}

// spillTo forwards the request to the host at the address.
func (h *Host) spillTo(ctx context.Context, req *request, address string, w port.CallerResponseWriter) error {
	if address == "" || h.opts.Peers == nil {
		return &port.EndpointError{Outcome: model.OutcomeNotRun, Cause: errNoKnownHost}
	}
	if err := req.bufferBody(); err != nil {
		return &callerError{cause: err}
	}
	call := newForwardCall(req)
	call.Permitted = req.needsPermit()
	err := h.forwardTo(ctx, address, req, call, w)
	var peer *port.PeerError
	if errors.As(err, &peer) && !peer.Sent {
		return &port.EndpointError{Outcome: model.OutcomeNotRun, Cause: peer}
	}
	return err
}

// bufferBody reads a streamed body into memory, since it is forwarded as a whole;
// it does nothing for a body that is in memory already. The listener for callers
// bounds its size.
func (r *request) bufferBody() error {
	if r.call.BodyReader == nil {
		return nil
	}
	body, err := io.ReadAll(r.call.BodyReader)
	r.call.Body, r.call.BodyReader = body, nil
	return err
}

// peerUnreachableEvent records in the membership table that forwarding a request to
// a peer failed.
type peerUnreachableEvent struct {
	address string
}

func (e peerUnreachableEvent) apply(_ time.Time, c *control) {
	c.members.RecordCallFailure(e.address)
}
