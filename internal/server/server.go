// Package server assembles an entry host from its settings: the adapters, the
// listeners and the host that connects them. New creates the parts and opens the
// listeners, Start serves, and Shutdown stops gracefully. Server is a host with
// its own HTTP API, Gateway one on the users' platform.
package server

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/apex/log"
	"golang.org/x/sync/errgroup"

	"github.com/wigeonsail/wigeonsail/internal/adapter/callerhttp"
	"github.com/wigeonsail/wigeonsail/internal/adapter/enginehttp"
	"github.com/wigeonsail/wigeonsail/internal/adapter/operatorhttp"
	"github.com/wigeonsail/wigeonsail/internal/adapter/peergrpc"
	"github.com/wigeonsail/wigeonsail/internal/adapter/servicehttp"
	"github.com/wigeonsail/wigeonsail/internal/adapter/weighthttp"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/host"
	"github.com/wigeonsail/wigeonsail/internal/metrics"
	"github.com/wigeonsail/wigeonsail/internal/settings"
	"github.com/wigeonsail/wigeonsail/platform"
)

// ListenError is returned if a listener cannot be opened.
type ListenError struct {
	// Key is the key of the listener's address in the settings, without "listen.".
	Key string
	// Cause is the underlying error.
	Cause error
}

// Error implements error.
func (e *ListenError) Error() string { return "listen." + e.Key + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Cause }

// Server is an entry host with its listeners.
type Server struct {
	settings       *settings.Settings
	log            log.Interface
	metrics        *metrics.Metrics
	host           *host.Host
	callers        *callerhttp.Server
	callerListener net.Listener
	engines        *enginehttp.Client
	services       *servicehttp.Client
	store          *platform.Store
	weights        *weighthttp.Store
	// operators serves the operator API on operatorListener.
	operators        *operatorhttp.Server
	operatorListener net.Listener
	// peers serves calls of other hosts on peerListener; peerClient calls them.
	peers        *peergrpc.Server
	peerListener net.Listener
	peerClient   *peergrpc.Client
	serving      errgroup.Group
}

// New creates the parts of a host and opens its listeners. It serves no requests
// until Start.
func New(s *settings.Settings, logger log.Interface) (*Server, error) {
	now := time.Now()
	m, err := metrics.New(metrics.Options{})
	if err != nil {
		return nil, err
	}
	peerClient, err := peergrpc.NewClient(peerAuth(s))
	if err != nil {
		return nil, errors.Join(err, m.Close())
	}
	peerListener, err := net.Listen("tcp", s.Listen.Peers)
	if err != nil {
		return nil, errors.Join(&ListenError{Key: "peers", Cause: err}, m.Close())
	}
	srv := &Server{
		peerListener: peerListener,
		peerClient:   peerClient,
		metrics:      m,
		settings:     s,
		log:          logger,
		engines:      enginehttp.New(),
		services:     servicehttp.New(),
		store: platform.NewStore(platform.StoreOptions{
			URL: s.Platform.URL, Host: model.HostID(s.Host), Timeout: s.Platform.Timeout.Std(),
		}),
		weights: weighthttp.New(weighthttp.Options{
			URL: s.Platform.URL, Host: model.HostID(s.Host), Timeout: s.Platform.Timeout.Std(),
		}),
	}
	srv.host = host.New(host.Options{
		ID:             model.HostID(s.Host),
		Domain:         model.DomainName(s.Domain),
		Incarnation:    model.Incarnation(now.UnixNano()),
		Seed:           uint64(now.UnixNano()),
		PlatformLog:    srv.store,
		Engines:        srv.engines,
		Services:       srv.services,
		HostList:       srv.store,
		Weights:        srv.weights,
		Peers:          srv.peerClient,
		PeerAddress:    peerListener.Addr().String(),
		Seeds:          s.Peers.Seeds,
		HeartbeatEvery: s.Peers.HeartbeatEvery.Std(),
		ListEvery:      s.Platform.ListEvery.Std(),
		Retention:      s.Platform.Retention.Std(),
		Secret:         []byte(s.Peers.Secret),
		MaxOutcome:     s.Limits.MaxOutcome,
		Log:            logger,
		Metrics:        m,
	})
	if err := srv.listen(); err != nil {
		return nil, errors.Join(err, m.Close())
	}
	return srv, nil
}

// listen creates the servers for callers, operators and peers, and opens the
// listeners for callers and operators.
func (s *Server) listen() error {
	callers, err := callerhttp.New(callerhttp.Options{
		Router:        s.host,
		Metrics:       s.metrics.Handler(),
		MaxBody:       s.settings.Limits.MaxBody,
		MaxHeader:     s.settings.Limits.MaxHeader,
		HeaderTimeout: s.settings.Limits.HeaderTimeout.Std(),
		IdleTimeout:   s.settings.Limits.IdleTimeout.Std(),
	})
	if err != nil {
		return err
	}
	s.callers = callers
	s.callerListener, err = net.Listen("tcp", s.settings.Listen.Callers)
	if err != nil {
		return &ListenError{Key: "callers", Cause: err}
	}
	if err := s.listenOperators(); err != nil {
		return err
	}
	s.peers, err = peergrpc.NewServer(peerAuth(s.settings), s.host)
	return err
}

// CallerAddress returns the address that the host serves callers on, as host:port.
func (s *Server) CallerAddress() string { return s.callerListener.Addr().String() }

// LeaveRequested returns a channel that is closed when the host is requested to
// leave.
func (s *Server) LeaveRequested() <-chan struct{} { return s.host.LeaveRequested() }

// Ready reports whether the host accepts requests.
func (s *Server) Ready() bool { return s.host.Ready() }

// Start starts the host and its servers, which run until Shutdown.
func (s *Server) Start() {
	s.host.Start()
	s.serving.Go(func() error { return s.callers.Serve(s.callerListener) })
	s.serving.Go(func() error { return s.peers.Serve(s.peerListener) })
	s.serving.Go(func() error { return s.operators.Serve(s.operatorListener) })
	s.log.Infof("host: %s in failure domain %s serves callers on %s", s.settings.Host, s.settings.Domain, s.CallerAddress())
}

// Shutdown refuses new requests, waits for those in progress and stops the host.
// Requests are aborted only if ctx is done before they have ended.
func (s *Server) Shutdown(ctx context.Context) error {
	s.log.Info("host: leaving; waiting for requests in progress")
	drained := s.host.Drain(ctx)
	closed := errors.Join(s.callers.Shutdown(ctx), s.operators.Shutdown(ctx))
	s.peers.Shutdown(ctx)
	s.host.Close()
	s.peerClient.Close()
	s.engines.Close()
	s.services.Close()
	s.store.Close()
	s.weights.Close()
	served := s.serving.Wait()
	s.log.Info("host: left")
	return errors.Join(drained, closed, served, s.metrics.Close())
}
