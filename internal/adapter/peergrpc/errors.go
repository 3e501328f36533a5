package peergrpc

import (
	"context"
	"errors"
	"strconv"
	"sync/atomic"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/stats"
	"google.golang.org/grpc/status"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

// sentMark notes whether a call was handed to a connection.
type sentMark struct{ sent atomic.Bool }

type sentMarkKey struct{}

// withSentMark returns a context whose call sets the mark.
func withSentMark(ctx context.Context) (context.Context, *sentMark) {
	mark := &sentMark{}
	return context.WithValue(ctx, sentMarkKey{}, mark), mark
}

// sentStats sets the mark of calls. gRPC reports the header in the goroutine
// that opens the stream, right after the header is queued for the connection
// and before the call returns.
type sentStats struct{}

// TagRPC implements stats.Handler.
func (sentStats) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// HandleRPC implements stats.Handler.
func (sentStats) HandleRPC(ctx context.Context, event stats.RPCStats) {
	if _, ok := event.(*stats.OutHeader); !ok {
		return
	}
	if mark, ok := ctx.Value(sentMarkKey{}).(*sentMark); ok {
		mark.sent.Store(true)
	}
}

// TagConn implements stats.Handler.
func (sentStats) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn implements stats.Handler.
func (sentStats) HandleConn(context.Context, stats.ConnStats) {}

// peerError translates a failed call. A peer that refuses the token has not
// handed the call to its handler.
func peerError(op, address string, mark *sentMark, err error) *port.PeerError {
	sent := mark.sent.Load() && status.Code(err) != codes.Unauthenticated
	return &port.PeerError{Op: op, Address: address, Sent: sent, Cause: err}
}

// The trailers that carry a platform error to the caller.
const (
	platformOpTrailer      = "wigeonsail-platform-op"
	platformOutcomeTrailer = "wigeonsail-platform-outcome"
	platformRetryTrailer   = "wigeonsail-platform-retry-ms"
)

// platformTrailer describes a platform error; nil for other errors.
func platformTrailer(err error) metadata.MD {
	var platformErr *port.PlatformError
	if !errors.As(err, &platformErr) {
		return nil
	}
	return metadata.Pairs(
		platformOpTrailer, platformErr.Op,
		platformOutcomeTrailer, platformErr.Outcome.String(),
		platformRetryTrailer, strconv.FormatInt(platformErr.RetryAfter.Milliseconds(), 10),
	)
}

// platformCause wraps err in the platform error that the trailer describes,
// or returns err.
func platformCause(trailer metadata.MD, err error) error {
	outcome := trailer.Get(platformOutcomeTrailer)
	op := trailer.Get(platformOpTrailer)
	if len(outcome) == 0 || len(op) == 0 {
		return err
	}
	wrapped := &port.PlatformError{Op: op[0], Outcome: model.ParseOutcome(outcome[0]), Cause: err}
	if retry := trailer.Get(platformRetryTrailer); len(retry) > 0 {
		millis, _ := strconv.ParseInt(retry[0], 10, 64)
		wrapped.RetryAfter = time.Duration(millis) * time.Millisecond
	}
	return wrapped
}

// serverStatus translates a handler's error into the call's status.
func serverStatus(err error) error {
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return status.Error(codes.DeadlineExceeded, err.Error())
	case errors.Is(err, context.Canceled):
		return status.Error(codes.Canceled, err.Error())
	default:
		return status.Error(codes.Internal, err.Error())
	}
}
