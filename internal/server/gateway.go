package server

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/apex/log"
	"golang.org/x/sync/errgroup"

	"github.com/wigeonsail/wigeonsail/api/peer"
	"github.com/wigeonsail/wigeonsail/internal/adapter/peergrpc"
	"github.com/wigeonsail/wigeonsail/internal/buildinfo"
	"github.com/wigeonsail/wigeonsail/internal/clock"
	"github.com/wigeonsail/wigeonsail/internal/core/attempt"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/gateway"
	"github.com/wigeonsail/wigeonsail/internal/metrics"
	"github.com/wigeonsail/wigeonsail/internal/settings"
	"github.com/wigeonsail/wigeonsail/platform"
)

const (
	// answerLead is how long before the end of the shutdown the requests in progress are ended,
	// so that their callers receive an answer. It is the part 1/maxAnswerShare of a short
	// shutdown at most.
	answerLead     = 200 * time.Millisecond
	maxAnswerShare = 10
)

// auxHeaderTimeout bounds the time to read a header on the readiness and metrics
// listeners.
const auxHeaderTimeout = 2 * time.Second

// peerFlushTime is how long the ends of attempts for other hosts may take to be sent before
// the connections of these hosts are closed.
const peerFlushTime = 100 * time.Millisecond

// Gateway is an entry host on the users' platform with its listeners.
type Gateway struct {
	build      model.Build
	settings   *settings.Gateway
	log        log.Interface
	metrics    *metrics.Metrics
	gateway    *gateway.Gateway
	replicas   *platform.Replicas
	mover      *platform.Mover
	store      *platform.Store
	duties     *platform.Duties
	ingress    *platform.Ingress
	peers      *peergrpc.Server
	peerClient *peergrpc.Client
	auxServers []*http.Server
	listeners  map[string]net.Listener
	serving    errgroup.Group
}

// NewGateway creates the parts of a gateway and opens its listeners. It serves no
// requests until Start.
func NewGateway(s *settings.Gateway, logger log.Interface) (*Gateway, error) {
	now := time.Now()
	m, err := metrics.New(metrics.Options{})
	if err != nil {
		return nil, err
	}
	auth := peergrpc.Auth{Secret: s.Peers.Secret}
	peerClient, err := peergrpc.NewClient(auth)
	if err != nil {
		return nil, errors.Join(err, m.Close())
	}
	listeners, err := openListeners(s.Listen)
	if err != nil {
		return nil, errors.Join(err, m.Close())
	}
	g := &Gateway{
		build:      model.Build{Commit: buildinfo.Commit(), Protocol: peer.Version()},
		listeners:  listeners,
		settings:   s,
		log:        logger,
		metrics:    m,
		replicas:   platform.NewReplicas(),
		mover:      platform.NewMover(),
		store:      platform.NewStore(platform.StoreOptions{URL: "http://" + s.Platform.Address, Host: model.HostID(s.Host)}),
		peerClient: peerClient,
	}
	if s.Duties.Address != "" {
		g.duties = platform.NewDuties(s.Duties.Address)
	}
	m.SetBuild(g.build)
	g.gateway = gateway.New(gateway.Options{
		Host:              model.HostID(s.Host),
		Domain:            model.DomainName(s.Domain),
		Incarnation:       model.Incarnation(now.UnixNano()),
		Build:             g.build,
		Seed:              uint64(now.UnixNano()),
		Endpoints:         g.replicas,
		Mover:             g.mover,
		Lists:             g.store,
		Decoder:           platform.Decoder{},
		Quarantine:        g.store,
		Versions:          g.store,
		ListReadInterval:  s.Platform.ListEvery.Std(),
		Peers:             peerClient,
		PeerAddress:       listeners[listenPeers].Addr().String(),
		Seeds:             s.Peers.Seeds,
		MinDigestInterval: s.Peers.ShareEvery.Std(),
		MemoryLimit:       s.Limits.RequestMemory(),
		LinkMbps:          s.Limits.Link,
		Duties:            g.dutyOptions(),
		Budget:            retryBudget(s),
		Boot:              clock.Boot,
		Warm:              !s.FirstStart,
		FairShares:        s.FairShares,
		Log:               logger,
		Metrics:           m,
	})
	g.ingress = platform.NewIngress(platform.IngressOptions{Listener: listeners[listenCallers], Router: g.gateway, Log: logger})
	g.peers, err = peergrpc.NewLoadServer(auth, g.gateway)
	if err != nil {
		return nil, errors.Join(err, m.Close())
	}
	return g, nil
}

// PartID returns the ID for the name that callers give a part of a prompt.
func PartID(name string) model.PartID { return platform.PartID(name) }

// dutyOptions returns the calls that one host at a time makes to the platform, nil for none.
func (g *Gateway) dutyOptions() *gateway.Duties {
	if g.duties == nil {
		return nil
	}
	s := &g.settings.Duties
	return &gateway.Duties{
		Client: g.duties, Log: g.store, Held: platform.ParseDuties(s.Names), Lease: s.Lease.Std(),
		UsageWindow: s.UsageWindow.Std(), UsageDue: s.UsageDue.Std(), CallsPerSecond: s.CallsPerSecond,
		Steady: clock.Boot, Wall: time.Now,
	}
}

// Keys of the listeners in the settings, without "listen.".
const (
	listenCallers   = "callers"
	listenReadiness = "readiness"
	listenPeers     = "peers"
	listenMetrics   = "metrics"
)

// openListeners opens all listeners. If one fails it closes the others and returns
// a *ListenError.
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

// Address returns the address of a listener as ip:port. The key is the listener's
// key in the settings, for example "callers".
func (g *Gateway) Address(key string) string { return g.listeners[key].Addr().String() }

// Reload applies the retry budget and the seeds of changed settings. All other
// changes take effect at the next start.
func (g *Gateway) Reload(s *settings.Gateway) {
	g.gateway.Configure(retryBudget(s), s.Peers.Seeds)
}

// retryBudget returns the options of the retry budget in the settings.
func retryBudget(s *settings.Gateway) attempt.SharedBudgetOptions {
	return attempt.SharedBudgetOptions{Ratio: s.Retries.Ratio, Slack: s.Retries.Slack, Window: s.Retries.Window.Std()}
}

// Ready reports whether the host is ready for callers.
func (g *Gateway) Ready() bool { return g.gateway.Ready() }

// Start starts the gateway and its servers, which run until Shutdown.
func (g *Gateway) Start() {
	g.gateway.Start()
	g.serving.Go(g.ingress.Serve)
	g.serving.Go(func() error { return g.peers.Serve(g.listeners[listenPeers]) })
	g.serveAux(g.listeners[listenReadiness], platform.NewReadinessHandler(g.gateway))
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", g.metrics.Handler())
	mux.HandleFunc("GET /peers", g.gateway.ServePeers)
	mux.HandleFunc("GET /explain", g.gateway.ServeExplain)
	mux.HandleFunc("DELETE /suspects/{suspect}", g.gateway.ServeLift)
	g.serveAux(g.listeners[listenMetrics], mux)
	g.log.WithFields(log.Fields{
		"host": g.settings.Host, "domain": g.settings.Domain, "callers": g.settings.Listen.Callers,
		"peers": g.settings.Listen.Peers, "seeds": g.settings.Peers.Seeds,
		"commit": g.build.Commit, "protocol": g.build.Protocol,
	}).Info("host: started")
}

// serveAux serves an auxiliary HTTP server, for readiness or metrics.
func (g *Gateway) serveAux(listener net.Listener, handler http.Handler) {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: auxHeaderTimeout}
	g.auxServers = append(g.auxServers, server)
	g.serving.Go(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
}

// departure returns how the host leaves within the deadline of ctx, or within the grace time of
// the settings if it has none.
func (g *Gateway) departure(ctx context.Context) gateway.Departure {
	now := time.Now()
	end, ok := ctx.Deadline()
	if !ok {
		end = now.Add(g.settings.Shutdown.Grace.Std())
	}
	return gateway.Departure{Began: now, Linger: g.settings.Shutdown.Linger.Std(), End: end.Add(-answerTime(end.Sub(now)))}
}

// answerTime returns the time that is set aside at the end of a shutdown for answers.
func answerTime(shutdown time.Duration) time.Duration {
	return min(answerLead, shutdown/maxAnswerShare)
}

// logDrain logs the callers' connections at a step of the shutdown.
func (g *Gateway) logDrain(message string) {
	c := g.ingress.Connections()
	g.log.WithFields(log.Fields{"new": c.New, "idle": c.Idle, "unread": c.Unread, "active": c.Active}).Info(message)
}

// answerEnded waits for the answers to the requests that were ended. A busy host that ends them
// late still has the time that is set aside for it.
func (g *Gateway) answerEnded(ctx context.Context, plan gateway.Departure) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), answerTime(time.Since(plan.Began)))
	defer cancel()
	return g.ingress.Drain(ctx)
}

// Shutdown stops the host. It reports not ready and serves requests for the linger time, and
// as long after it as any are in progress; those that cannot end before ctx does are refused.
// Then it closes the listener and the connections. Requests that are in progress shortly
// before ctx ends are ended. Attempts for other hosts go on until they end or ctx is done.
func (g *Gateway) Shutdown(ctx context.Context) error {
	plan := g.departure(ctx)
	g.log.WithFields(log.Fields{
		"linger_ms": plan.Linger.Milliseconds(), "left_ms": plan.End.Sub(plan.Began).Milliseconds(),
	}).Info("host: leaving")
	g.gateway.LeaveBy(plan)
	linger, cancel := context.WithTimeout(ctx, plan.Linger)
	<-linger.Done()
	cancel()
	g.logDrain("host: lingering is over")
	drainCtx, cancel := context.WithDeadline(ctx, plan.End)
	drained := g.ingress.Drain(drainCtx)
	cancel()
	if drained != nil {
		g.logDrain("host: the grace time is over")
		g.gateway.EndRequests()
		g.ingress.EndBodies()
		drained = errors.Join(drained, g.answerEnded(ctx, plan))
	}
	closed := g.ingress.Close()
	for _, server := range g.auxServers {
		closed = errors.Join(closed, server.Close())
	}
	g.gateway.AwaitPeerAttempts(ctx)
	flush, cancelFlush := context.WithTimeout(ctx, peerFlushTime)
	g.peers.Shutdown(flush)
	cancelFlush()
	g.gateway.Close()
	g.peerClient.Close()
	g.replicas.Close()
	g.mover.Close()
	g.store.Close()
	if g.duties != nil {
		g.duties.Close()
	}
	served := g.serving.Wait()
	g.log.Info("host: left")
	return errors.Join(drained, closed, served, g.metrics.Close())
}
