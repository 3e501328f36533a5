// Package demo runs a small fleet in one process: entry hosts in four failure
// domains, with embedded stand-ins for engines, services and the platform.
package demo

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/apex/log"

	"github.com/wigeonsail/wigeonsail/internal/core/configstate"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/server"
	"github.com/wigeonsail/wigeonsail/internal/settings"
	"github.com/wigeonsail/wigeonsail/internal/standin/engine"
	"github.com/wigeonsail/wigeonsail/internal/standin/platform"
	"github.com/wigeonsail/wigeonsail/internal/standin/service"
	"github.com/wigeonsail/wigeonsail/opconfig"
	fleetplatform "github.com/wigeonsail/wigeonsail/platform"
)

// The size of the demo.
const (
	domainCount      = 4
	hostsPerDomain   = 2
	enginesPerDomain = 2
)

// The behavior of the demo's engines and services.
const (
	engineFirstToken     = 30 * time.Millisecond
	engineBetweenTokens  = 5 * time.Millisecond
	engineTokens         = 40
	engineReportInterval = 500 * time.Millisecond
	serviceDelay         = 5 * time.Millisecond
)

// readyTimeout bounds the time until all hosts are ready.
const readyTimeout = 15 * time.Second

// anyPort is a listen address on loopback with a port chosen by the system.
const anyPort = "127.0.0.1:0"

// Demo is a running fleet.
type Demo struct {
	log         log.Interface
	platformURL string
	standins    []*http.Server
	hosts       []*server.Server
	hostInfos   []Host
	engineAddr  string
}

// Host describes a host of the demo. The addresses are of the form "host:port".
type Host struct {
	ID           model.HostID
	Domain       model.DomainName
	CallerAddr   string
	OperatorAddr string
}

// Start starts the stand-ins, publishes a configuration and starts the hosts. It
// returns once all hosts are ready, or stops everything and returns an error.
func Start(ctx context.Context, logger log.Interface) (*Demo, error) {
	d := &Demo{log: logger}
	if err := d.start(ctx); err != nil {
		return nil, errors.Join(err, d.Close(ctx))
	}
	return d, nil
}

func (d *Demo) start(ctx context.Context) error {
	address, err := d.serve(platform.New(platform.Options{}))
	if err != nil {
		return err
	}
	d.platformURL = "http://" + address
	domains, err := d.startReplicas()
	if err != nil {
		return err
	}
	if err := d.publish(ctx, configuration(domains)); err != nil {
		return err
	}
	d.engineAddr = domains[0].engines[0]
	for _, domain := range domains {
		if err := d.startHosts(domain.domain); err != nil {
			return err
		}
	}
	return d.waitReady(ctx)
}

// serve starts a stand-in on a free port and returns its address.
func (d *Demo) serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", anyPort)
	if err != nil {
		return "", err
	}
	srv := &http.Server{Handler: handler, ReadHeaderTimeout: readyTimeout}
	d.standins = append(d.standins, srv)
	go func() {
		if err := srv.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			d.log.Errorf("demo: stand-in server stopped: %v", err)
		}
	}()
	return listener.Addr().String(), nil
}

// startReplicas starts the stand-ins of all failure domains. The replicas of a
// service share one store.
func (d *Demo) startReplicas() ([]replicas, error) {
	appointments, orders := service.NewStore(), service.NewStore()
	domains := make([]replicas, 0, domainCount)
	for n := range domainCount {
		r := replicas{domain: model.DomainName(fmt.Sprintf("domain-%d", n+1))}
		for i := range enginesPerDomain {
			address, err := d.serve(newEngine(fmt.Sprintf("%s-engine-%d", r.domain, i+1)))
			if err != nil {
				return nil, err
			}
			r.engines = append(r.engines, address)
		}
		var err error
		if r.appointments, err = d.serve(newService(string(r.domain)+"-appointments", appointments)); err != nil {
			return nil, err
		}
		if r.orders, err = d.serve(newService(string(r.domain)+"-orders", orders)); err != nil {
			return nil, err
		}
		domains = append(domains, r)
	}
	return domains, nil
}

func newEngine(name string) http.Handler {
	return engine.New(engine.Options{
		Name:           name,
		Models:         []model.ModelName{Model},
		Slots:          engineRoom,
		FirstToken:     engineFirstToken,
		BetweenTokens:  engineBetweenTokens,
		DefaultTokens:  engineTokens,
		ReportInterval: engineReportInterval,
		CanResume:      true,
	}).Handler()
}

func newService(name string, store *service.Store) http.Handler {
	return service.New(service.Options{Name: name, Delay: serviceDelay, Store: store}).Handler()
}

// publish appends the first configuration to the platform's log.
func (d *Demo) publish(ctx context.Context, cfg *opconfig.Config) error {
	if err := cfg.Validate(); err != nil {
		return err
	}
	body, err := opconfig.Marshal(cfg)
	if err != nil {
		return err
	}
	record := configstate.Record{
		Schema:    configstate.RecordSchema,
		PublishID: "demo-1",
		Version:   1,
		Author:    "demo",
		Note:      "the demo's configuration",
		At:        time.Now(),
		Body:      body,
	}
	data, err := record.Encode()
	if err != nil {
		return err
	}
	client := fleetplatform.NewStore(fleetplatform.StoreOptions{URL: d.platformURL, Host: "demo-operator"})
	defer client.Close()
	_, err = client.Append(ctx, configstate.Stream, data)
	return err
}

// startHosts starts the hosts of a failure domain without waiting until they are
// ready.
func (d *Demo) startHosts(domain model.DomainName) error {
	for n := range hostsPerDomain {
		s := settings.Default()
		s.Host = fmt.Sprintf("%s-host-%d", domain, n+1)
		s.Domain = string(domain)
		s.Platform.URL = d.platformURL
		s.Listen = settings.Listen{Callers: anyPort, Operators: anyPort, Peers: anyPort}
		s.Peers.Secret = "demo-peers-share-this-secret"
		s.Operators = []settings.Token{{Name: "demo", Hash: opconfig.HashKey(OperatorToken)}}
		srv, err := server.New(&s, d.log)
		if err != nil {
			return err
		}
		srv.Start()
		d.hosts = append(d.hosts, srv)
		d.hostInfos = append(d.hostInfos, Host{
			ID:           model.HostID(s.Host),
			Domain:       domain,
			CallerAddr:   srv.CallerAddress(),
			OperatorAddr: srv.OperatorAddress(),
		})
	}
	return nil
}

// EngineAddr returns the address of one of the engines, for requests that
// bypass the hosts.
func (d *Demo) EngineAddr() string { return d.engineAddr }

// Hosts returns the hosts with their addresses.
func (d *Demo) Hosts() []Host { return d.hostInfos }

// readyPollInterval is the time between two checks whether a host is ready.
const readyPollInterval = 10 * time.Millisecond

// waitReady waits until all hosts are ready. It returns a NotReadyError after
// readyTimeout or when ctx ends.
func (d *Demo) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	ticker := time.NewTicker(readyPollInterval)
	defer ticker.Stop()
	for _, h := range d.hosts {
		for !h.Ready() {
			select {
			case <-ctx.Done():
				return &NotReadyError{Cause: ctx.Err()}
			case <-ticker.C:
			}
		}
	}
	return nil
}

// NotReadyError is returned if a host of the demo does not become ready in time.
type NotReadyError struct{ Cause error }

// Error implements error.
func (e *NotReadyError) Error() string {
	return "demo: waiting for hosts to become ready: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *NotReadyError) Unwrap() error { return e.Cause }

// Close shuts the hosts down gracefully and stops the stand-ins.
func (d *Demo) Close(ctx context.Context) error {
	var errs []error
	for _, h := range d.hosts {
		errs = append(errs, h.Shutdown(ctx))
	}
	for _, s := range d.standins {
		errs = append(errs, s.Close())
	}
	return errors.Join(errs...)
}
