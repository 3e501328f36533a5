// Package demo runs a small fleet in one process: entry hosts of four failure
// domains before embedded stand-ins for engines, services and the platform.
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

// How the demo's engines behave.
const (
	engineFirstToken    = 30 * time.Millisecond
	engineBetweenTokens = 5 * time.Millisecond
	engineTokens        = 40
	engineReportLag     = 500 * time.Millisecond
	serviceDelay        = 5 * time.Millisecond
)

// readyTimeout bounds the start of all hosts.
const readyTimeout = 15 * time.Second

// anyPort asks the system for a free port on loopback.
const anyPort = "127.0.0.1:0"

// Demo is a running fleet.
type Demo struct {
	log         log.Interface
	platformURL string
	standins    []*http.Server
	hosts       []*server.Server
	names       []Host
	engine      string
}

// Host tells where a host of the demo serves.
type Host struct {
	ID        model.HostID
	Domain    model.DomainName
	Callers   string
	Operators string
}

// Start runs the stand-ins, publishes a configuration and runs the hosts. It
// returns once all hosts are ready.
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
	d.engine = domains[0].engines[0]
	for _, domain := range domains {
		if err := d.startHosts(domain.domain); err != nil {
			return err
		}
	}
	return d.waitReady(ctx)
}

// serve runs a stand-in on a free port and returns its address.
func (d *Demo) serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", anyPort)
	if err != nil {
		return "", err
	}
	srv := &http.Server{Handler: handler, ReadHeaderTimeout: readyTimeout}
	d.standins = append(d.standins, srv)
	go func() {
		if err := srv.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			d.log.Errorf("demo: stand-in failed: %v", err)
		}
	}()
	return listener.Addr().String(), nil
}

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
		ReportInterval: engineReportLag,
		CanResume:      true,
	}).Handler()
}

func newService(name string, store *service.Store) http.Handler {
	return service.New(service.Options{Name: name, Delay: serviceDelay, Store: store}).Handler()
}

// publish appends the first configuration to the log, as an operator would.
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
		d.names = append(d.names, Host{
			ID:        model.HostID(s.Host),
			Domain:    domain,
			Callers:   srv.CallerAddress(),
			Operators: srv.OperatorAddress(),
		})
	}
	return nil
}

// Engine is the address of one of the engines, to be driven without a host.
func (d *Demo) Engine() string { return d.engine }

// Hosts lists where the hosts serve.
func (d *Demo) Hosts() []Host { return d.names }

// readyCheckEvery is the time between looks at the hosts that start.
const readyCheckEvery = 10 * time.Millisecond

func (d *Demo) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	ticker := time.NewTicker(readyCheckEvery)
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

// NotReadyError tells that a host of the demo did not get ready.
type NotReadyError struct{ Cause error }

// Error implements error.
func (e *NotReadyError) Error() string { return "demo: a host did not get ready: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *NotReadyError) Unwrap() error { return e.Cause }

// Close lets the hosts leave gracefully and ends the stand-ins.
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
