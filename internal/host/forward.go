package host

import (
	"context"
	"errors"
	"io"
	"net/http"

	"github.com/wigeonsail/wigeonsail/internal/core/effect"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

// forwardToIssuer forwards a request to the host that issued its ticket.
func (h *Host) forwardToIssuer(ctx context.Context, req *request, address string, w port.CallerResponseWriter) error {
	if h.opts.Peers == nil {
		return guardError(effect.IssuerUnreachable(newTry(req), false))
	}
	err := h.forwardTo(ctx, address, req, newForwardCall(req), w)
	var peer *port.PeerError
	if errors.As(err, &peer) {
		return guardError(effect.IssuerUnreachable(newTry(req), peer.Sent))
	}
	var endpoint *port.EndpointError
	if errors.As(err, &endpoint) {
		return peerRefusalError(endpoint)
	}
	return err
}

// newForwardCall returns the request in the form in which it is sent to another
// host.
func newForwardCall(req *request) port.ForwardCall {
	return port.ForwardCall{
		Request:     req.model,
		Key:         req.call.Key,
		Method:      req.call.Method,
		Path:        req.call.Path,
		ContentType: req.call.Header.Get("Content-Type"),
		Body:        req.call.Body,
		Stream:      req.call.Stream,
	}
}

// forwardTo forwards a request to another host and relays the response to the caller.
func (h *Host) forwardTo(ctx context.Context, address string, req *request, call port.ForwardCall, w port.CallerResponseWriter) error {
	stream, err := h.opts.Peers.Forward(ctx, address, call)
	if err != nil {
		return err
	}
	defer stream.Close()
	for {
		part, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := h.writePart(req, w, part); err != nil {
			return &callerError{cause: err}
		}
	}
}

// writePart writes one part of a forwarded response to the caller and counts its
// tokens.
func (h *Host) writePart(req *request, w port.CallerResponseWriter, part port.ForwardPart) error {
	if part.Status != 0 {
		req.responseStarted = true
		header := http.Header{}
		if part.ContentType != "" {
			header.Set("Content-Type", part.ContentType)
		}
		if err := w.Start(part.Status, header); err != nil {
			return err
		}
	}
	if len(part.Data) == 0 {
		return nil
	}
	h.observeTokens(req, part.Tokens)
	if req.call.Stream {
		return w.WriteEvent(part.Data, part.Tokens)
	}
	return w.WriteBody(part.Data)
}

// peerRefusalError converts the refusal of the host to which a request was
// forwarded.
func peerRefusalError(err *port.EndpointError) *port.RequestError {
	out := &port.RequestError{
		Code:       port.CodeOutcomeUnknown,
		Status:     err.Status,
		Message:    "the host that got the request: " + err.Cause.Error(),
		Outcome:    err.Outcome,
		RetryAfter: err.RetryAfter,
		Cause:      err,
	}
	switch {
	case err.Status == http.StatusUnprocessableEntity:
		out.Code = port.CodeKeyReused
	case err.Outcome == model.OutcomeNotRun:
		out.Code = port.CodeOverloaded
	}
	if out.Status == 0 {
		out.Status = http.StatusBadGateway
	}
	return out
}

var _ port.PeerHandler = (*Host)(nil)

// HandleForward serves a request that another host forwarded. It implements
// port.PeerHandler.
func (h *Host) HandleForward(ctx context.Context, call port.ForwardCall, send func(port.ForwardPart) error) error {
	ctx, cancel := context.WithDeadline(ctx, call.Request.Deadline)
	defer cancel()
	req := port.CallerRequest{
		ID:        call.Request.ID,
		Account:   call.Request.Account,
		Class:     call.Request.Class,
		Budget:    call.Request.Deadline.Sub(call.Request.Arrived),
		Key:       call.Key,
		Method:    call.Method,
		Path:      call.Path,
		Header:    http.Header{"Content-Type": {call.ContentType}},
		Body:      call.Body,
		Model:     call.Request.Model,
		Stream:    call.Stream,
		Forwarded: true,
		Permitted: call.Permitted,
	}
	response := &partWriter{send: send}
	serve := h.Serve
	if call.Request.Model != "" {
		serve = h.Complete
	}
	return toEndpointError(serve(ctx, req, response))
}

// toEndpointError converts the error of a request to the form in which the
// forwarding host receives it.
func toEndpointError(err error) error {
	var reqErr *port.RequestError
	if !errors.As(err, &reqErr) {
		return err
	}
	return &port.EndpointError{
		Outcome:    reqErr.Outcome,
		Status:     reqErr.Status,
		RetryAfter: reqErr.RetryAfter,
		Cause:      errors.New(reqErr.Message),
	}
}

// partWriter sends a response to the host that forwarded the request.
type partWriter struct {
	send func(port.ForwardPart) error
}

// Start implements port.CallerResponseWriter.
func (p *partWriter) Start(status int, header http.Header) error {
	return p.send(port.ForwardPart{Status: status, ContentType: header.Get("Content-Type")})
}

// WriteEvent implements port.CallerResponseWriter.
func (p *partWriter) WriteEvent(data []byte, tokens int) error {
	return p.send(port.ForwardPart{Data: data, Tokens: tokens})
}

// WriteBody implements port.CallerResponseWriter.
func (p *partWriter) WriteBody(data []byte) error {
	return p.send(port.ForwardPart{Data: data})
}

// HandleAppendClaims appends claims and outcomes to the log on behalf of another
// host. It implements port.PeerHandler.
func (h *Host) HandleAppendClaims(ctx context.Context, entries []port.ClaimEntry) ([]port.ClaimPosition, error) {
	return h.guard.AppendClaims(ctx, entries)
}
