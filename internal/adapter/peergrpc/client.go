// Package peergrpc implements the calls between entry hosts over gRPC. Client
// implements port.PeerTransport, port.LoadShareClient and port.AttemptSender; Server
// serves a port.PeerHandler or a port.LoadHandler, which may be a port.AttemptHandler too.
package peergrpc

import (
	"context"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/encoding/gzip"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/metadata"

	"github.com/wigeonsail/wigeonsail/api/peer"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

const (
	// callTimeout bounds a unary call whose context ends later or never; streams
	// are bounded by their request's deadline instead.
	callTimeout = 2 * time.Second
	// firstReconnectAfter and maxReconnectAfter bound the jittered exponential
	// backoff between connection attempts.
	firstReconnectAfter = 100 * time.Millisecond
	maxReconnectAfter   = 2 * time.Second
	reconnectFactor     = 1.6
	reconnectJitter     = 0.2
)

// windowBytes is the flow-control window of a connection and of its streams. A
// fixed window keeps gRPC from sending a ping with each message to estimate the
// bandwidth of the link.
const windowBytes = 1 << 20

// Client calls other hosts. It is safe for concurrent use.
type Client struct {
	connections *connections
	// attempts are the connections that carry attempts, so that large bodies do not delay
	// digests.
	attempts *connections
}

var _ port.PeerTransport = (*Client)(nil)

// NewClient returns a Client. It fails with an *AuthError.
func NewClient(auth Auth) (*Client, error) {
	transport, err := auth.transport()
	if err != nil {
		return nil, err
	}
	opts := commonOptions(auth, transport)
	shared := append([]grpc.DialOption{
		grpc.WithStaticStreamWindowSize(windowBytes),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: pingAfter, Timeout: pingTimeout}),
		grpc.WithConnectParams(connectParams(handshakeTimeout)),
	}, opts...)
	return &Client{
		connections: newConnections(connectionIdleTime, dialWith(shared)),
		attempts:    newConnections(connectionIdleTime, dialWith(append(attemptOptions(), opts...))),
	}, nil
}

// commonOptions returns the options of all connections.
func commonOptions(auth Auth, transport credentials.TransportCredentials) []grpc.DialOption {
	opts := []grpc.DialOption{
		grpc.WithTransportCredentials(transport),
		grpc.WithNoProxy(),
		grpc.WithDisableRetry(),
		grpc.WithDisableServiceConfig(),
		grpc.WithStatsHandler(sentStats{}),
		grpc.WithDefaultCallOptions(
			grpc.ForceCodecV2(messageCodec{}),
			grpc.MaxCallRecvMsgSize(maxMessageBytes),
			grpc.MaxCallSendMsgSize(maxMessageBytes),
		),
		grpc.WithStaticConnWindowSize(windowBytes),
	}
	if !auth.usesTLS() {
		opts = append(opts, grpc.WithPerRPCCredentials(tokenCredentials{token: token(auth.Secret)}))
	}
	return opts
}

// connectParams returns the parameters of connection attempts with a timeout.
func connectParams(timeout time.Duration) grpc.ConnectParams {
	return grpc.ConnectParams{
		Backoff: backoff.Config{
			BaseDelay: firstReconnectAfter, Multiplier: reconnectFactor,
			Jitter: reconnectJitter, MaxDelay: maxReconnectAfter,
		},
		MinConnectTimeout: timeout,
	}
}

// dialWith returns a function that opens a connection to an address.
func dialWith(opts []grpc.DialOption) func(address string) (*grpc.ClientConn, error) {
	return func(address string) (*grpc.ClientConn, error) {
		return grpc.NewClient("passthrough:///"+address, opts...)
	}
}

// Close closes all connections and aborts calls in progress.
func (c *Client) Close() {
	c.connections.close()
	c.attempts.close()
}

// unary executes one unary call. Errors are *port.PeerError.
func unary[Req, Res any](
	ctx context.Context, c *Client, op, address string, req Req,
	do func(peer.PeerClient, context.Context, Req, ...grpc.CallOption) (Res, error),
) (Res, error) {
	var none Res
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	ctx, flag := withSentFlag(ctx)
	conn, release, err := c.connections.get(address)
	if err != nil {
		return none, peerError(op, address, flag, err)
	}
	defer release()
	var trailer metadata.MD
	res, err := do(peer.NewPeerClient(conn), ctx, req, grpc.Trailer(&trailer))
	if err != nil {
		return none, peerError(op, address, flag, platformCause(trailer, err))
	}
	return res, nil
}

// Exchange implements port.PeerTransport.
func (c *Client) Exchange(ctx context.Context, address string, beat port.Heartbeat) (port.Heartbeat, error) {
	// Heartbeats repeat many names, which compress well.
	exchange := func(client peer.PeerClient, ctx context.Context, beat *peer.Heartbeat, opts ...grpc.CallOption) (*peer.Heartbeat, error) {
		return client.Exchange(ctx, beat, append(opts, grpc.UseCompressor(gzip.Name))...)
	}
	res, err := unary(ctx, c, "exchange", address, heartbeatToWire(beat), exchange)
	if err != nil {
		return port.Heartbeat{}, err
	}
	return heartbeatFromWire(res), nil
}

// FetchConfig implements port.PeerTransport and port.LoadShareClient.
func (c *Client) FetchConfig(ctx context.Context, address string, newerThan model.Version) (port.ConfigRecord, error) {
	req := &peer.FetchConfigRequest{NewerThan: uint64(newerThan)}
	res, err := unary(ctx, c, "fetch config", address, req, peer.PeerClient.FetchConfig)
	if err != nil {
		return port.ConfigRecord{}, err
	}
	rec, err := decompressConfig(res)
	if err != nil {
		return port.ConfigRecord{}, &port.PeerError{Op: "fetch config", Address: address, Sent: true, Cause: err}
	}
	return rec, nil
}

// AppendClaims implements port.PeerTransport. If the batching host's append
// failed, the error wraps that host's *port.PlatformError.
func (c *Client) AppendClaims(ctx context.Context, address string, entries []port.ClaimEntry) ([]port.ClaimPosition, error) {
	req := &peer.AppendClaimsRequest{Entries: convert(entries, claimToWire)}
	res, err := unary(ctx, c, "append claims", address, req, peer.PeerClient.AppendClaims)
	if err != nil {
		return nil, err
	}
	return convert(res.GetPlaces(), positionFromWire), nil
}

// Burn implements port.PeerTransport.
func (c *Client) Burn(ctx context.Context, address string, query port.BurnQuery) ([]byte, error) {
	req := &peer.BurnRequest{WindowMs: query.Window.Milliseconds(), WholeDomain: query.WholeDomain}
	res, err := unary(ctx, c, "burn", address, req, peer.PeerClient.Burn)
	if err != nil {
		return nil, err
	}
	return res.GetCounts(), nil
}
