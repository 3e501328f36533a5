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

// Forward implements port.Peers. The call ends with ctx or Close.
func (c *Client) Forward(ctx context.Context, address string, call port.ForwardCall) (port.ForwardStream, error) {
	ctx, cancel := context.WithCancel(ctx)
	ctx, mark := withSentMark(ctx)
	conn, release, err := c.connections.get(address)
	if err != nil {
		cancel()
		return nil, peerError(forwardOp, address, mark, err)
	}
	end := sync.OnceFunc(func() {
		cancel()
		release()
	})
	stream, err := peer.NewPeerClient(conn).Forward(ctx, forwardToWire(call, time.Now()))
	if err != nil {
		end()
		return nil, peerError(forwardOp, address, mark, err)
	}
	return &forwardStream{stream: stream, address: address, mark: mark, end: end}, nil
}

// forwardStream is the answer to a forwarded request.
type forwardStream struct {
	stream  peer.Peer_ForwardClient
	address string
	mark    *sentMark
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
		return port.ForwardPart{}, s.broken(err)
	case part.GetFailure() != nil:
		s.end()
		return port.ForwardPart{}, failureFromWire(part.GetFailure())
	default:
		return partFromWire(part), nil
	}
}

// broken translates the end of a stream that the peer did not end itself.
func (s *forwardStream) broken(err error) *port.EndpointError {
	cause := peerError(forwardOp, s.address, s.mark, err)
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
