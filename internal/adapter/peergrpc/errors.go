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

// sentFlag records whether a call may have been sent: whether it was handed to a
// connection.
type sentFlag struct{ sent atomic.Bool }

type sentFlagKey struct{}

// withSentFlag returns a context for a call, and the flag that the call sets.
func withSentFlag(ctx context.Context) (context.Context, *sentFlag) {
	flag := &sentFlag{}
	return context.WithValue(ctx, sentFlagKey{}, flag), flag
}

// sentStats is a stats handler that sets the sentFlag of calls. gRPC reports the
// outgoing header in the goroutine that opens the stream, right after the header
// is queued for the connection and before the call returns.
type sentStats struct{}

// TagRPC implements stats.Handler.
func (sentStats) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// HandleRPC implements stats.Handler.
func (sentStats) HandleRPC(ctx context.Context, event stats.RPCStats) {
	if _, ok := event.(*stats.OutHeader); !ok {
		return
	}
	if flag, ok := ctx.Value(sentFlagKey{}).(*sentFlag); ok {
		flag.sent.Store(true)
	}
}

// TagConn implements stats.Handler.
func (sentStats) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn implements stats.Handler.
func (sentStats) HandleConn(context.Context, stats.ConnStats) {}

// peerError returns the error of a failed call. A peer that rejects the token has
// not passed the call to its handler, so the call counts as not sent.
func peerError(op, address string, flag *sentFlag, err error) *port.PeerError {
	sent := flag.sent.Load() && status.Code(err) != codes.Unauthenticated
	return &port.PeerError{Op: op, Address: address, Sent: sent, Cause: err}
}

// The trailers that carry a *port.PlatformError to the calling host.
const (
	platformOpTrailer      = "wigeonsail-platform-op"
	platformOutcomeTrailer = "wigeonsail-platform-outcome"
	platformRetryTrailer   = "wigeonsail-platform-retry-ms"
)

// platformTrailer returns the trailers that describe a *port.PlatformError; nil for
// other errors.
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

// platformCause wraps err in the *port.PlatformError that the trailers describe, or
// returns err if they describe none.
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

// serverStatus converts a handler's error into the gRPC status of the call.
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
