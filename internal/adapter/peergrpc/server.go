package peergrpc

import (
	"context"
	"net"
	"time"

	"github.com/apex/log"
	"golang.org/x/time/rate"
	"google.golang.org/grpc"
	"google.golang.org/grpc/keepalive"
	grpcpeer "google.golang.org/grpc/peer"

	"github.com/wigeonsail/wigeonsail/api/peer"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

const (
	// maxMessageBytes bounds one message in both directions; it holds the
	// largest request body and the largest configuration.
	maxMessageBytes = 8 << 20
	// maxStreamsPerPeer bounds the calls in progress of one connection.
	maxStreamsPerPeer = 10_000
	// connectionIdleTime is the time after which an unused connection is closed.
	connectionIdleTime = 10 * time.Second
	// pingAfter and pingTimeout are the keepalive settings that detect
	// connections to unreachable hosts.
	pingAfter   = 10 * time.Second
	pingTimeout = 3 * time.Second
	// minPingInterval is the shortest allowed interval between a peer's pings.
	minPingInterval = 5 * time.Second
	// handshakeTimeout bounds the establishment of a connection.
	handshakeTimeout = 2 * time.Second
)

// refusedLogs limits the rate of log messages about peers that fail
// authentication.
var refusedLogs = rate.Sometimes{First: 3, Interval: time.Second}

func logRefused(address string, cause error) {
	refusedLogs.Do(func() { log.Warnf("peers: refused %s: %v", address, cause) })
}

func remoteAddress(ctx context.Context) string {
	if p, ok := grpcpeer.FromContext(ctx); ok {
		return p.Addr.String()
	}
	return "unknown address"
}

// Server serves the calls of other hosts.
type Server struct {
	grpc *grpc.Server
}

// NewServer returns a Server that serves calls by handler. It fails with an
// *AuthError.
func NewServer(auth Auth, handler port.PeerHandler) (*Server, error) {
	return newServer(auth, &service{handler: handler})
}

func newServer(auth Auth, service peer.PeerServer) (*Server, error) {
	transport, err := auth.transport()
	if err != nil {
		return nil, err
	}
	opts := []grpc.ServerOption{
		grpc.Creds(transport),
		grpc.ForceServerCodecV2(messageCodec{}),
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.MaxSendMsgSize(maxMessageBytes),
		grpc.MaxConcurrentStreams(maxStreamsPerPeer),
		grpc.ConnectionTimeout(handshakeTimeout),
		grpc.StaticStreamWindowSize(windowBytes),
		grpc.StaticConnWindowSize(windowBytes),
		grpc.KeepaliveParams(keepalive.ServerParameters{
			MaxConnectionIdle: connectionIdleTime, Time: pingAfter, Timeout: pingTimeout,
		}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{
			MinTime: minPingInterval, PermitWithoutStream: true,
		}),
	}
	if !auth.usesTLS() {
		opts = append(opts, tokenInterceptors(token(auth.Secret))...)
	}
	if handler, ok := attemptHandlerOf(service); ok {
		opts = append(opts, grpc.ChainStreamInterceptor(attemptInterceptor(handler)))
	}
	s := &Server{grpc: grpc.NewServer(opts...)}
	peer.RegisterPeerServer(s.grpc, service)
	return s, nil
}

// tokenInterceptors returns interceptors that reject calls without the expected
// token before they reach their handler.
func tokenInterceptors(want string) []grpc.ServerOption {
	unary := func(ctx context.Context, req any, _ *grpc.UnaryServerInfo, next grpc.UnaryHandler) (any, error) {
		if err := checkToken(ctx, want); err != nil {
			return nil, err
		}
		return next(ctx, req)
	}
	stream := func(srv any, ss grpc.ServerStream, _ *grpc.StreamServerInfo, next grpc.StreamHandler) error {
		if err := checkToken(ss.Context(), want); err != nil {
			return err
		}
		return next(srv, ss)
	}
	return []grpc.ServerOption{grpc.UnaryInterceptor(unary), grpc.StreamInterceptor(stream)}
}

// Serve serves the listener until Shutdown.
func (s *Server) Serve(listener net.Listener) error { return s.grpc.Serve(listener) }

// Shutdown accepts no new calls and waits for those in progress. If ctx ends
// first, it aborts them.
func (s *Server) Shutdown(ctx context.Context) {
	stop := context.AfterFunc(ctx, s.grpc.Stop)
	defer stop()
	s.grpc.GracefulStop()
}

// service implements peer.PeerServer by a port.PeerHandler.
type service struct {
	peer.UnimplementedPeerServer
	handler port.PeerHandler
}

// callError converts a handler's error into the status of the call, and sets the
// trailers of a *port.PlatformError.
func callError(ctx context.Context, err error) error {
	if trailer := platformTrailer(err); trailer != nil {
		_ = grpc.SetTrailer(ctx, trailer)
	}
	return serverStatus(err)
}

// Exchange implements peer.PeerServer.
func (s *service) Exchange(ctx context.Context, beat *peer.Heartbeat) (*peer.Heartbeat, error) {
	own, err := s.handler.HandleExchange(ctx, heartbeatFromWire(beat))
	if err != nil {
		return nil, callError(ctx, err)
	}
	return heartbeatToWire(own), nil
}

// FetchConfig implements peer.PeerServer.
func (s *service) FetchConfig(ctx context.Context, req *peer.FetchConfigRequest) (*peer.ConfigRecord, error) {
	rec, err := s.handler.HandleFetchConfig(ctx, model.Version(req.GetNewerThan()))
	if err != nil {
		return nil, callError(ctx, err)
	}
	return configToWire(rec), nil
}

// Forward implements peer.PeerServer.
func (s *service) Forward(req *peer.ForwardRequest, stream peer.Peer_ForwardServer) error {
	call := forwardFromWire(req, time.Now())
	err := s.handler.HandleForward(stream.Context(), call, func(part port.ForwardPart) error {
		return stream.Send(partToWire(part))
	})
	if err != nil {
		return stream.Send(failureToWire(err))
	}
	return nil
}

// AppendClaims implements peer.PeerServer.
func (s *service) AppendClaims(ctx context.Context, req *peer.AppendClaimsRequest) (*peer.AppendClaimsResponse, error) {
	positions, err := s.handler.HandleAppendClaims(ctx, convert(req.GetEntries(), claimFromWire))
	if err != nil {
		return nil, callError(ctx, err)
	}
	return &peer.AppendClaimsResponse{Places: convert(positions, positionToWire)}, nil
}

// Burn implements peer.PeerServer.
func (s *service) Burn(ctx context.Context, req *peer.BurnRequest) (*peer.BurnResponse, error) {
	window := time.Duration(req.GetWindowMs()) * time.Millisecond
	counts, err := s.handler.HandleBurn(ctx, port.BurnQuery{Window: window, WholeDomain: req.GetWholeDomain()})
	if err != nil {
		return nil, callError(ctx, err)
	}
	return &peer.BurnResponse{Counts: counts}, nil
}
