package peergrpc

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/wigeonsail/wigeonsail/api/peer"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

const forwardOp = "forward"

// Forward implements port.PeerTransport. The call is canceled by ctx or Close.
func (c *Client) Forward(ctx context.Context, address string, call port.ForwardCall) (port.ForwardStream, error) {
	ctx, cancel := context.WithCancel(ctx)
	ctx, flag := withSentFlag(ctx)
	conn, release, err := c.connections.get(address)
	if err != nil {
		cancel()
		return nil, peerError(forwardOp, address, flag, err)
	}
	end := sync.OnceFunc(func() {
		cancel()
		release()
	})
	stream, err := peer.NewPeerClient(conn).Forward(ctx, forwardToWire(call, time.Now()))
	if err != nil {
		end()
		return nil, peerError(forwardOp, address, flag, err)
	}
	return &forwardStream{stream: stream, address: address, flag: flag, end: end}, nil
}

// forwardStream is the response to a forwarded request. It implements
// port.ForwardStream.
type forwardStream struct {
	stream  peer.Peer_ForwardClient
	address string
	flag    *sentFlag
	end     func()
}

// Next implements port.ForwardStream. After an error the stream is closed.
func (s *forwardStream) Next() (port.ForwardPart, error) {
	part, err := s.stream.Recv()
	switch {
	case errors.Is(err, io.EOF):
		s.end()
		return port.ForwardPart{}, io.EOF
	case err != nil:
		s.end()
		return port.ForwardPart{}, s.streamError(err)
	case part.GetFailure() != nil:
		s.end()
		return port.ForwardPart{}, failureFromWire(part.GetFailure())
	default:
		return partFromWire(part), nil
	}
}

// streamError returns the error of a stream that was not ended by the peer's
// handler. The outcome is not_run if the request was not sent, else unknown.
func (s *forwardStream) streamError(err error) *port.EndpointError {
	cause := peerError(forwardOp, s.address, s.flag, err)
	outcome := model.OutcomeUnknown
	if !cause.Sent {
		outcome = model.OutcomeNotRun
	}
	return &port.EndpointError{Outcome: outcome, Cause: cause}
}

// Close implements port.ForwardStream. It cancels the request at the peer.
func (s *forwardStream) Close() error {
	s.end()
	return nil
}
