package host

import (
	"context"
	"fmt"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/configstate"
	"github.com/wigeonsail/wigeonsail/internal/core/membership"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/port"
	"github.com/wigeonsail/wigeonsail/opconfig"
)

var _ port.OperatorService = (*Host)(nil)

// Config implements port.Operators.
func (h *Host) Config(ctx context.Context, version model.Version) (port.PublishedConfig, error) {
	current, err := ask(ctx, h, func(_ time.Time, c *control) *configstate.Accepted { return c.config.state.Current() })
	if err != nil {
		return port.PublishedConfig{}, err
	}
	if current == nil {
		return port.PublishedConfig{}, noVersion(version)
	}
	if version == 0 || version == current.Record.Version {
		return published(current.Record), nil
	}
	return h.olderConfig(ctx, version)
}

// olderConfig reads an older version from the log.
func (h *Host) olderConfig(ctx context.Context, version model.Version) (port.PublishedConfig, error) {
	history, err := ask(ctx, h, func(_ time.Time, c *control) []configstate.Entry { return c.config.state.History() })
	if err != nil {
		return port.PublishedConfig{}, err
	}
	for _, entry := range history {
		if entry.Version != version {
			continue
		}
		batch, err := h.opts.PlatformLog.Read(ctx, ConfigStream, entry.Offset, 1, 0)
		if err != nil {
			return port.PublishedConfig{}, unavailable("the log cannot be read: "+err.Error(), publishRetryAfter, err)
		}
		if len(batch.Records) == 0 || batch.Records[0].Offset != entry.Offset {
			return port.PublishedConfig{}, noVersion(version)
		}
		rec, err := configstate.Decode(batch.Records[0].Data)
		if err != nil || rec.PublishID != entry.PublishID {
			return port.PublishedConfig{}, noVersion(version)
		}
		return published(rec), nil
	}
	return port.PublishedConfig{}, noVersion(version)
}

func published(rec *configstate.Record) port.PublishedConfig {
	return port.PublishedConfig{ConfigVersion: describeRecord(rec), Body: rec.Body}
}

func noVersion(version model.Version) *port.OperatorError {
	message := "no configuration is in force yet"
	if version > 0 {
		message = fmt.Sprintf("version %d is not known here, or the log no longer keeps it", version)
	}
	return &port.OperatorError{Code: port.OperatorNotFound, Message: message, Outcome: model.OutcomeNotRun}
}

// History implements port.Operators.
func (h *Host) History(ctx context.Context) ([]port.ConfigVersion, error) {
	return ask(ctx, h, func(_ time.Time, c *control) []port.ConfigVersion {
		var out []port.ConfigVersion
		for _, e := range c.config.state.History() {
			out = append(out, port.ConfigVersion{
				Version: e.Version, PublishID: e.PublishID, Author: e.Author, Note: e.Note, At: e.At,
			})
		}
		return out
	})
}

// DrainHost implements port.Operators.
func (h *Host) DrainHost(_ context.Context, operator string) error {
	h.askToLeave("operator " + operator)
	return nil
}

// Hosts implements port.Operators.
func (h *Host) Hosts(ctx context.Context) (port.HostsView, error) {
	return ask(ctx, h, func(now time.Time, c *control) port.HostsView {
		c.updateSelf(now)
		view := port.HostsView{Host: h.opts.ID, Domain: h.opts.Domain, Config: c.configView(now)}
		for _, m := range c.members.Members(now) {
			view.Hosts = append(view.Hosts, c.hostView(now, &m))
		}
		for _, d := range c.members.Domains(now) {
			view.Domains = append(view.Domains, port.DomainView{
				Name: d.Name, Version: d.Version, DigestAge: now.Sub(d.Heard), Reachable: d.Fresh, Gateways: d.Gateways,
			})
		}
		return view
	})
}

func (c *control) configView(now time.Time) port.ConfigView {
	view := port.ConfigView{
		Version:      c.host.version(),
		LogReachable: c.config.logReachable,
		Settled:      c.config.state.Settled(),
	}
	if view.Version > 0 {
		view.InForce = now.Sub(c.config.since)
	}
	if stopped := c.config.state.Stopped(); stopped != nil {
		view.Problem = stopped.Error()
	}
	return view
}

func (c *control) hostView(now time.Time, m *membership.Member) port.HostView {
	since := m.VersionSince
	if m.Host == c.host.opts.ID {
		since = c.config.since
	}
	view := port.HostView{
		Name: m.Host, Incarnation: m.Incarnation, Domain: m.Domain, Address: m.Address,
		State: m.State.String(), Health: m.Health.String(), Version: m.Version,
		HeartbeatAge: now.Sub(m.Heard), Listed: m.Listed,
	}
	if m.Version > 0 {
		view.VersionFor = now.Sub(since)
	}
	return view
}

// Endpoints implements port.Operators.
func (h *Host) Endpoints(ctx context.Context) ([]port.EndpointView, error) {
	return ask(ctx, h, func(now time.Time, c *control) []port.EndpointView {
		cat := h.catalog.Load()
		if cat == nil {
			return nil
		}
		busy := make(map[model.EndpointName]int)
		for _, count := range c.dispatch.Digest(now).InFlight {
			busy[count.Endpoint] = count.Count
		}
		var out []port.EndpointView
		for i := range cat.Config().Endpoints {
			ep := &cat.Config().Endpoints[i]
			pool, _ := cat.Pool(ep.Pool)
			out = append(out, c.endpointView(ep, pool, busy[ep.Name]))
		}
		return out
	})
}

func (c *control) endpointView(ep *opconfig.Endpoint, pool *opconfig.Pool, inFlight int) port.EndpointView {
	view := port.EndpointView{
		Name: ep.Name, Pool: ep.Pool, Domain: ep.Domain, Address: ep.Address,
		LeavingBy: c.leaving.sources(ep.Name),
		InFlight:  inFlight,
		Models:    c.models[ep.Name],
	}
	if pool != nil {
		view.Kind = pool.Kind
		view.WantedModels = pool.Models
	}
	if ep.Leaving {
		view.LeavingBy = append([]string{"config"}, view.LeavingBy...)
	}
	view.Leaving = len(view.LeavingBy) > 0
	return view
}
