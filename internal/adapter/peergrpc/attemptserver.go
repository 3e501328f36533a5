package peergrpc

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"github.com/wigeonsail/wigeonsail/api/peer"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

const (
	// attemptPartBytes is the size of the parts in which a body is sent.
	attemptPartBytes = 32 << 10
	// attemptCopies is how often a request is in memory while it is received: as a message and
	// decoded.
	attemptCopies = 2
)

// admittedAttempt is what is held for an attempt whose message was not received yet.
type admittedAttempt struct {
	hold port.MemoryHold
	// bytes is the stated length of the message.
	bytes int
	// taken reports that SendAttempt releases the hold.
	taken bool
}

type admittedAttemptKey struct{}

// attemptStream is the stream of an admitted attempt.
type attemptStream struct {
	grpc.ServerStream
	ctx context.Context
}

// Context implements grpc.ServerStream.
func (s *attemptStream) Context() context.Context { return s.ctx }

// attemptHandlerOf returns the handler of attempts of a service, if it has one.
func attemptHandlerOf(service peer.PeerServer) (port.AttemptHandler, bool) {
	s, ok := service.(*loadService)
	if !ok {
		return nil, false
	}
	handler, ok := s.handler.(port.AttemptHandler)
	return handler, ok
}

// attemptInterceptor returns an interceptor that admits attempts before their messages are
// read, as they may be large.
func attemptInterceptor(handler port.AttemptHandler) grpc.StreamServerInterceptor {
	return func(srv any, ss grpc.ServerStream, info *grpc.StreamServerInfo, next grpc.StreamHandler) error {
		if info.FullMethod != peer.Peer_SendAttempt_FullMethodName {
			return next(srv, ss)
		}
		size, err := statedAttemptSize(ss.Context())
		if err != nil {
			return err
		}
		hold, err := handler.AdmitAttempt(int64(attemptCopies * size))
		if err != nil {
			return ss.SendMsg(failurePart(err))
		}
		admitted := &admittedAttempt{hold: hold, bytes: size}
		err = next(srv, &attemptStream{ServerStream: ss, ctx: context.WithValue(ss.Context(), admittedAttemptKey{}, admitted)})
		if !admitted.taken {
			hold.Release()
		}
		return err
	}
}

// statedAttemptSize returns the length of an attempt's message as stated by the sender.
func statedAttemptSize(ctx context.Context) (int, error) {
	md, _ := metadata.FromIncomingContext(ctx)
	values := md.Get(attemptSizeHeader)
	if len(values) != 1 {
		return 0, status.Error(codes.InvalidArgument, "an attempt without its length")
	}
	size, err := strconv.Atoi(values[0])
	if err != nil || size < 0 || size > maxMessageBytes {
		return 0, status.Error(codes.InvalidArgument, "an attempt with a malformed length")
	}
	return size, nil
}

// SendAttempt implements peer.PeerServer. If the response is shed for want of memory, the
// call ends at once, which also ends a blocked write of the response.
func (s *loadService) SendAttempt(req *peer.AttemptRequest, stream grpc.ServerStreamingServer[peer.AttemptPart]) error {
	handler, ok := s.handler.(port.AttemptHandler)
	admitted, _ := stream.Context().Value(admittedAttemptKey{}).(*admittedAttempt)
	if !ok || admitted == nil {
		return status.Error(codes.Unimplemented, "this host sends no attempts for others")
	}
	attempt, err := attemptFromWire(req)
	if err == nil && len(req.GetBody()) > admitted.bytes {
		err = errors.New("the attempt is longer than stated")
	}
	if err != nil {
		return stream.Send(failurePart(&port.PeerAttemptError{Outcome: model.OutcomeNotRun, Refused: true, Cause: err}))
	}
	ctx, cancel := context.WithCancelCause(stream.Context())
	attempt.Call.Memory = admitted.hold
	admitted.hold.OnShed(func() { cancel(port.ErrShed) })
	admitted.taken = true
	done := make(chan error, 1)
	go func() {
		defer cancel(nil)
		defer admitted.hold.Release()
		done <- relayAttempt(ctx, handler, attempt, stream)
	}()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
	}
	if errors.Is(context.Cause(ctx), port.ErrShed) {
		return status.Error(codes.Aborted, port.ErrShed.Error())
	}
	return <-done
}

// relayAttempt sends the attempt to its endpoint and the parts of the response to stream.
func relayAttempt(ctx context.Context, handler port.AttemptHandler, attempt port.PeerAttempt, stream grpc.ServerStreamingServer[peer.AttemptPart]) error {
	reply, err := handler.HandleAttempt(ctx, attempt)
	if err != nil {
		return stream.Send(failurePart(err))
	}
	defer reply.Close()
	if err := stream.Send(&peer.AttemptPart{Part: &peer.AttemptPart_Head{Head: headToWire(reply)}}); err != nil {
		return err
	}
	relay := relayBody
	if reply.IsEventStream() && reply.Status()/100 == http.StatusOK/100 {
		relay = relayEvents
	}
	if err := relay(reply, stream); err != nil {
		return stream.Send(failurePart(err))
	}
	return stream.Send(&peer.AttemptPart{Part: &peer.AttemptPart_End{End: &peer.AttemptEnd{}}})
}

// relayBody sends the body of a response.
func relayBody(reply port.EndpointResponse, stream grpc.ServerStreamingServer[peer.AttemptPart]) error {
	body, err := reply.Body()
	for err == nil && len(body) > 0 {
		part := body[:min(len(body), attemptPartBytes)]
		body = body[len(part):]
		err = stream.Send(&peer.AttemptPart{Part: &peer.AttemptPart_Body{Body: part}})
	}
	return err
}

// relayEvents sends the events of a response as they arrive.
func relayEvents(reply port.EndpointResponse, stream grpc.ServerStreamingServer[peer.AttemptPart]) error {
	for {
		batch, err := reply.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		events := &peer.AttemptEvents{Data: batch.Data, LastId: []byte(batch.LastID), Count: int32(batch.Events)}
		if err := stream.Send(&peer.AttemptPart{Part: &peer.AttemptPart_Events{Events: events}}); err != nil {
			return err
		}
	}
}
