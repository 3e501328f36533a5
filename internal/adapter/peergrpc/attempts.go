package peergrpc

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"github.com/wigeonsail/wigeonsail/api/peer"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/httphead"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

const (
	// attemptWindowBytes bounds what a host buffers of a response that it does not read. It
	// is the smallest window that gRPC allows.
	attemptWindowBytes = 64 << 10
	// attemptConnectTimeout bounds the establishment of a connection for attempts, whose
	// callers wait.
	attemptConnectTimeout = 500 * time.Millisecond
	// attemptProbeIdle and attemptProbeInterval configure the TCP keep-alive probes of
	// connections with attempts, attemptUnacked is the time without an acknowledgment after
	// which such a connection fails. Pings of gRPC are at least 10 s apart.
	attemptProbeIdle     = time.Second
	attemptProbeInterval = time.Second
	attemptUnacked       = 3 * time.Second
	// tcpUserTimeout is TCP_USER_TIMEOUT of Linux, which package syscall lacks.
	tcpUserTimeout = 0x12
	// maxAttemptBody bounds the body of a response that is no stream of events.
	maxAttemptBody = 4 << 20
	// attemptSizeHeader is the metadata key of the length of an attempt's message.
	attemptSizeHeader = "wigeonsail-attempt-bytes"
)

var _ port.AttemptSender = (*Client)(nil)

// attemptDesc describes SendAttempt for calls that send an attemptMessage. Only with
// ClientStreams does gRPC report that a message was not sent.
var attemptDesc = &grpc.StreamDesc{StreamName: "SendAttempt", ServerStreams: true, ClientStreams: true}

// attemptOptions returns the options of connections with attempts.
func attemptOptions() []grpc.DialOption {
	dialer := newAttemptDialer()
	return []grpc.DialOption{
		grpc.WithStaticStreamWindowSize(attemptWindowBytes),
		grpc.WithConnectParams(connectParams(attemptConnectTimeout)),
		grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		}),
	}
}

// newAttemptDialer returns a dialer whose connections fail soon when the path to the other
// host is silent.
func newAttemptDialer() *net.Dialer {
	return &net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: attemptProbeIdle, Interval: attemptProbeInterval, Count: int(attemptUnacked / attemptProbeInterval),
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var option error
			err := raw.Control(func(fd uintptr) {
				option = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(attemptUnacked.Milliseconds()))
			})
			return errors.Join(err, option)
		},
	}
}

// SendAttempt implements port.AttemptSender.
func (c *Client) SendAttempt(ctx context.Context, address string, attempt port.PeerAttempt) (port.EndpointResponse, error) {
	began := time.Now()
	message := &attemptMessage{head: attemptToWire(attempt), body: attempt.Call.Body}
	size := message.size()
	if size > maxMessageBytes {
		return nil, &port.PeerAttemptError{
			Outcome: model.OutcomeNotRun, Refused: true, Cause: fmt.Errorf("the attempt takes %d bytes, at most %d are sent", size, maxMessageBytes),
		}
	}
	conn, release, err := c.attempts.get(address)
	if err != nil {
		return nil, notSent(ctx, err)
	}
	ctx, cancel := context.WithCancel(metadata.AppendToOutgoingContext(ctx, attemptSizeHeader, strconv.Itoa(size)))
	reply := &attemptReply{ctx: ctx, hold: attempt.Call.Memory, end: sync.OnceFunc(func() {
		cancel()
		release()
	})}
	// Nothing is kept for a retry by gRPC, which would hold the body longer.
	reply.stream, err = conn.NewStream(ctx, attemptDesc, peer.Peer_SendAttempt_FullMethodName, grpc.MaxRetryRPCBufferSize(0))
	if err != nil {
		defer reply.end()
		return nil, notSent(ctx, err)
	}
	message.head.TimeLeftUs -= time.Since(began).Microseconds()
	if err := reply.send(message); err != nil {
		reply.end()
		return nil, err
	}
	if err := reply.readHead(); err != nil {
		reply.end()
		return nil, err
	}
	return reply, nil
}

// notSent returns the error of an attempt whose message was not sent.
func notSent(ctx context.Context, cause error) *port.PeerAttemptError {
	return &port.PeerAttemptError{Outcome: model.OutcomeNotRun, PathBroken: ctx.Err() == nil, Cause: cause}
}

// attemptReply implements port.EndpointResponse for an attempt sent by another host.
type attemptReply struct {
	ctx    context.Context
	stream grpc.ClientStream
	// hold accounts for the response's body; nil if it is not accounted for.
	hold port.MemoryHold
	end  func()
	head *peer.AttemptHead
	// header is the response's header.
	header http.Header
	// connectedAt is when the connection to the endpoint was opened; zero if not known.
	connectedAt time.Time
	// done is the end of the response after its last part; nil before.
	done error
}

// send sends the request. Errors are *port.PeerAttemptError: the other host has not received
// the request then, or has refused it.
func (r *attemptReply) send(message *attemptMessage) error {
	err := r.stream.SendMsg(message)
	if err == nil {
		// If it fails, the call ends, and the next read has the reason.
		_ = r.stream.CloseSend()
		return nil
	}
	if !errors.Is(err, io.EOF) {
		return &port.PeerAttemptError{Outcome: model.OutcomeNotRun, Refused: status.Code(err) == codes.Internal, Cause: err}
	}
	// The call has ended before the request was sent. Its status or its only part is the
	// reason.
	var part peer.AttemptPart
	if err := r.stream.RecvMsg(&part); err != nil {
		return refusedOr(err, notSent(r.ctx, err))
	}
	failure := attemptFailureFromWire(part.GetFailure())
	failure.Outcome = model.OutcomeNotRun
	return failure
}

// refusedOr returns the error of a call that the other host does not serve or allow, or the
// given one for other reasons.
func refusedOr(cause error, other *port.PeerAttemptError) *port.PeerAttemptError {
	switch status.Code(cause) {
	case codes.Unimplemented, codes.Unauthenticated:
		return &port.PeerAttemptError{Outcome: model.OutcomeNotRun, Refused: true, Cause: cause}
	default:
		return other
	}
}

var (
	errNoHead       = errors.New("the response has no head")
	errNoEnd        = errors.New("the other host ended the response without its end")
	errUnasked      = errors.New("the response has a part of another kind")
	errBodyTooLarge = errors.New("the response is too large")
)

// readHead reads the head of the response. Errors are *port.PeerAttemptError.
func (r *attemptReply) readHead() error {
	var part peer.AttemptPart
	if err := r.stream.RecvMsg(&part); err != nil {
		return refusedOr(err, r.broken(err))
	}
	if failure := part.GetFailure(); failure != nil {
		return attemptFailureFromWire(failure)
	}
	r.head = part.GetHead()
	if r.head == nil {
		return &port.PeerAttemptError{Outcome: model.OutcomeUnknown, Cause: errNoHead}
	}
	r.header = headerFromWire(r.head.GetHeader())
	// Hosts of an older build pass on what they have read.
	if err := httphead.CheckFields(int(r.head.GetStatus()), r.header); err != nil {
		return &port.PeerAttemptError{Outcome: model.OutcomeUnknown, Cause: err}
	}
	if age := r.head.GetConnectionAgeMs(); age > 0 {
		r.connectedAt = time.Now().Add(-time.Duration(min(age, maxTimeLeft.Milliseconds())) * time.Millisecond)
	}
	return nil
}

// broken returns the error of a call that has ended without its last part. The attempt may
// have run.
func (r *attemptReply) broken(cause error) *port.PeerAttemptError {
	if errors.Is(cause, io.EOF) {
		return &port.PeerAttemptError{Outcome: model.OutcomeUnknown, Cause: errNoEnd}
	}
	isPath := r.ctx.Err() == nil && status.Code(cause) != codes.Aborted
	return &port.PeerAttemptError{Outcome: model.OutcomeUnknown, PathBroken: isPath, Cause: cause}
}

// next returns the next part of the response, io.EOF at its end, or an *port.EndpointError.
func (r *attemptReply) next() (*peer.AttemptPart, error) {
	if r.done != nil {
		return nil, r.done
	}
	part := new(peer.AttemptPart)
	err := r.stream.RecvMsg(part)
	switch {
	case err != nil:
		r.done = endpointError(r.broken(err))
	case part.GetFailure() != nil:
		r.done = endpointError(attemptFailureFromWire(part.GetFailure()))
	case part.GetEnd() != nil:
		r.done = io.EOF
	}
	return part, r.done
}

// endpointError returns the error of a response that has begun.
func endpointError(err *port.PeerAttemptError) *port.EndpointError {
	return &port.EndpointError{Outcome: model.OutcomeUnknown, Cause: err}
}

// unasked returns the error for a part of a kind that does not belong to the response.
func (r *attemptReply) unasked() error {
	r.done = endpointError(&port.PeerAttemptError{Outcome: model.OutcomeUnknown, Cause: errUnasked})
	return r.done
}

// Status implements port.EndpointResponse.
func (r *attemptReply) Status() int { return int(r.head.GetStatus()) }

// Header implements port.EndpointResponse.
func (r *attemptReply) Header() http.Header { return maps.Clone(r.header) }

// HasSignature implements port.EndpointResponse.
func (r *attemptReply) HasSignature() bool { return r.head.GetSigned() }

// NotExecuted implements port.EndpointResponse.
func (r *attemptReply) NotExecuted() bool { return r.head.GetNotExecuted() }

// IsLeaving implements port.EndpointResponse.
func (r *attemptReply) IsLeaving() bool { return r.head.GetLeaving() }

// RetryAfter implements port.EndpointResponse.
func (r *attemptReply) RetryAfter() time.Duration {
	return time.Duration(max(min(r.head.GetRetryAfterMs(), maxTimeLeft.Milliseconds()), 0)) * time.Millisecond
}

// RequestLimit implements port.EndpointResponse.
func (r *attemptReply) RequestLimit() (port.RequestLimit, error) {
	return port.RequestLimit{Stated: r.head.GetLimitStated(), PerSecond: r.head.GetLimit()}, malformedError(r.head.GetMalformedLimit())
}

// Brittleness implements port.EndpointResponse.
func (r *attemptReply) Brittleness() (port.Brittleness, error) {
	return port.Brittleness{Stated: r.head.GetBrittleStated(), Rejections: r.head.GetBrittle()}, malformedError(r.head.GetMalformedBrittle())
}

// IsEventStream implements port.EndpointResponse.
func (r *attemptReply) IsEventStream() bool { return r.head.GetEventStream() }

// ConnectedAt implements port.EndpointResponse.
func (r *attemptReply) ConnectedAt() time.Time { return r.connectedAt }

// EndsByClose implements port.EndpointResponse. The other host states the end of a response.
func (r *attemptReply) EndsByClose() bool { return false }

// Body implements port.EndpointResponse.
func (r *attemptReply) Body() ([]byte, error) {
	var body []byte
	for {
		part, err := r.next()
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
		data := part.GetBody()
		if data == nil {
			return nil, r.unasked()
		}
		if len(body)+len(data) > maxAttemptBody {
			return nil, endpointError(&port.PeerAttemptError{Outcome: model.OutcomeUnknown, Cause: errBodyTooLarge})
		}
		if body, err = r.appendBody(body, data); err != nil {
			return nil, endpointError(&port.PeerAttemptError{Outcome: model.OutcomeUnknown, Cause: err})
		}
	}
}

// appendBody appends a part to a body, and holds the memory before it is allocated.
func (r *attemptReply) appendBody(body, data []byte) ([]byte, error) {
	if needed := len(body) + len(data); needed > cap(body) {
		size := min(max(2*cap(body), needed), maxAttemptBody)
		if r.hold != nil {
			if err := r.hold.AddUnread(r.ctx, int64(size)); err != nil {
				return nil, err
			}
		}
		body = append(make([]byte, 0, size), body...)
	}
	return append(body, data...), nil
}

// Next implements port.EndpointResponse.
func (r *attemptReply) Next() (port.EventBatch, error) {
	part, err := r.next()
	if err != nil {
		return port.EventBatch{}, err
	}
	events := part.GetEvents()
	if events == nil {
		return port.EventBatch{}, r.unasked()
	}
	return port.EventBatch{Data: events.GetData(), LastID: string(events.GetLastId()), Events: int(events.GetCount())}, nil
}

// KeepBatch implements port.EndpointResponse. Each batch has its own data.
func (r *attemptReply) KeepBatch() {}

// Close implements port.EndpointResponse. It cancels the attempt at the other host if it is
// still running.
func (r *attemptReply) Close() { r.end() }
