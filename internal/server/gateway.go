package server

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/apex/log"
	"golang.org/x/sync/errgroup"

	"github.com/wigeonsail/wigeonsail/internal/adapter/peergrpc"
	"github.com/wigeonsail/wigeonsail/internal/core/attempt"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/gateway"
	"github.com/wigeonsail/wigeonsail/internal/metrics"
	"github.com/wigeonsail/wigeonsail/internal/settings"
	"github.com/wigeonsail/wigeonsail/platform"
)

// sideHeaderTimeout bounds reading a header on the readiness and metrics
// listeners.
const sideHeaderTimeout = 2 * time.Second

// Gateway is an entry host on the users' platform with its listeners.
type Gateway struct {
	settings  *settings.Gateway
	log       log.Interface
	metrics   *metrics.Metrics
	gateway   *gateway.Gateway
	replicas  *platform.Replicas
	store     *platform.Store
	ingress   *platform.Ingress
	peers     *peergrpc.Server
	peerCalls *peergrpc.Client
	sides     []*http.Server
	listeners map[string]net.Listener
	serving   errgroup.Group
}

// NewGateway builds the parts and opens the listeners. It serves nothing yet.
func NewGateway(s *settings.Gateway, logger log.Interface) (*Gateway, error) {
	now := time.Now()
	counts, err := metrics.New(metrics.Options{})
	if err != nil {
		return nil, err
	}
	auth := peergrpc.Auth{Secret: s.Peers.Secret}
	peerCalls, err := peergrpc.NewClient(auth)
	if err != nil {
		return nil, errors.Join(err, counts.Close())
	}
	listeners, err := openListeners(s.Listen)
	if err != nil {
		return nil, errors.Join(err, counts.Close())
	}
	g := &Gateway{
		listeners: listeners,
		settings:  s,
		log:       logger,
		metrics:   counts,
		replicas:  platform.NewReplicas(),
		store:     platform.NewStore(platform.StoreOptions{URL: "http://" + s.Platform.Address, Host: model.HostID(s.Host)}),
		peerCalls: peerCalls,
	}
	g.gateway = gateway.New(gateway.Options{
		Host:        model.HostID(s.Host),
		Domain:      model.DomainName(s.Domain),
		Incarnation: model.Incarnation(now.UnixNano()),
		Seed:        uint64(now.UnixNano()),
		Endpoints:   g.replicas,
		Lists:       g.store,
		Decoder:     platform.Decoder{},
		ListEvery:   s.Platform.ListEvery.Std(),
		Peers:       peerCalls,
		PeerAddress: listeners[listenPeers].Addr().String(),
		Seeds:       s.Peers.Seeds,
		ShareEvery:  s.Peers.ShareEvery.Std(),
		Link:        s.Limits.Link,
		Budget:      budgetOf(s),
		Warm:        !s.FirstStart,
		Log:         logger,
		Metrics:     counts,
	})
	g.ingress = platform.NewIngress(platform.IngressOptions{Router: g.gateway, Log: logger})
	g.peers, err = peergrpc.NewLoadServer(auth, g.gateway)
	if err != nil {
		return nil, errors.Join(err, counts.Close())
	}
	return g, nil
}

// Keys of the listeners in the settings.
const (
	listenCallers   = "callers"
	listenReadiness = "readiness"
	listenPeers     = "peers"
	listenMetrics   = "metrics"
)

// openListeners opens all listeners, or none.
func openListeners(addresses settings.GatewayListen) (map[string]net.Listener, error) {
	out := make(map[string]net.Listener)
	for key, address := range map[string]string{
		listenCallers:   addresses.Callers,
		listenReadiness: addresses.Readiness,
		listenPeers:     addresses.Peers,
		listenMetrics:   addresses.Metrics,
	} {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			for _, open := range out {
				_ = open.Close()
			}
			return nil, &ListenError{Key: key, Cause: err}
		}
		out[key] = listener
	}
	return out, nil
}

// Address is where a listener serves, as ip:port. The key is that of the
// settings.
func (g *Gateway) Address(key string) string { return g.listeners[key].Addr().String() }

// Reload takes changed settings: the budget of retries and the seeds. Others are
// used from the next start on.
func (g *Gateway) Reload(s *settings.Gateway) {
	g.gateway.Configure(budgetOf(s), s.Peers.Seeds)
}

func budgetOf(s *settings.Gateway) attempt.WindowOptions {
	return attempt.WindowOptions{Ratio: s.Retries.Ratio, Slack: s.Retries.Slack, Window: s.Retries.Window.Std()}
}

// Ready says whether callers should come.
func (g *Gateway) Ready() bool { return g.gateway.Ready() }

// Start serves until Shutdown.
func (g *Gateway) Start() {
	g.gateway.Start()
	g.serving.Go(func() error { return g.ingress.Serve(g.listeners[listenCallers]) })
	g.serving.Go(func() error { return g.peers.Serve(g.listeners[listenPeers]) })
	g.serveSide(g.listeners[listenReadiness], platform.NewReadinessHandler(g.gateway))
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", g.metrics.Handler())
	g.serveSide(g.listeners[listenMetrics], mux)
	g.log.WithFields(log.Fields{
		"host": g.settings.Host, "domain": g.settings.Domain, "callers": g.settings.Listen.Callers,
		"peers": g.settings.Listen.Peers, "seeds": g.settings.Peers.Seeds,
	}).Info("host: started")
}

func (g *Gateway) serveSide(listener net.Listener, handler http.Handler) {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: sideHeaderTimeout}
	g.sides = append(g.sides, server)
	g.serving.Go(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
}

// Shutdown ends the host: it says that it is not ready and serves what still
// reaches it for the linger time. Then it closes the listener and the idle
// connections, whose callers would else send requests that can't be finished,
// and ends when no request is in progress or ctx ends.
func (g *Gateway) Shutdown(ctx context.Context) error {
	g.log.WithField("linger_ms", g.settings.Shutdown.Linger.Std().Milliseconds()).Info("host: leaving")
	g.gateway.Leave()
	linger, cancel := context.WithTimeout(ctx, g.settings.Shutdown.Linger.Std())
	<-linger.Done()
	cancel()
	drained := g.ingress.Shutdown(ctx)
	closed := g.ingress.Close()
	for _, side := range g.sides {
		closed = errors.Join(closed, side.Close())
	}
	ended, end := context.WithCancel(ctx)
	end()
	g.peers.Shutdown(ended)
	g.gateway.Close()
	g.peerCalls.Close()
	g.replicas.Close()
	g.store.Close()
	served := g.serving.Wait()
	g.log.Info("host: left")
	return errors.Join(drained, closed, served, g.metrics.Close())
}
