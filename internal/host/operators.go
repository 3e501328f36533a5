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

// Config returns a version of the configuration; version 0 stands for the newest
// accepted one. It implements port.OperatorService.
func (h *Host) Config(ctx context.Context, version model.Version) (port.PublishedConfig, error) {
	current, err := queryControl(ctx, h, func(_ time.Time, c *control) *configstate.Accepted { return c.config.state.Current() })
	if err != nil {
		return port.PublishedConfig{}, err
	}
	if current == nil {
		return port.PublishedConfig{}, versionNotFoundError(version)
	}
	if version == 0 || version == current.Record.Version {
		return publishedConfig(current.Record), nil
	}
	return h.olderConfig(ctx, version)
}

// olderConfig reads a version from the log. It fails with OperatorNotFound if the
// log does not keep the version any more.
func (h *Host) olderConfig(ctx context.Context, version model.Version) (port.PublishedConfig, error) {
	history, err := queryControl(ctx, h, func(_ time.Time, c *control) []configstate.HistoryEntry { return c.config.state.History() })
	if err != nil {
		return port.PublishedConfig{}, err
	}
	for _, entry := range history {
		if entry.Version != version {
			continue
		}
		batch, err := h.opts.PlatformLog.Read(ctx, ConfigStream, entry.Offset, 1, 0)
		if err != nil {
			return port.PublishedConfig{}, unavailableError("the log cannot be read: "+err.Error(), publishRetryAfter, err)
		}
		if len(batch.Records) == 0 || batch.Records[0].Offset != entry.Offset {
			return port.PublishedConfig{}, versionNotFoundError(version)
		}
		rec, err := configstate.Decode(batch.Records[0].Data)
		if err != nil || rec.PublishID != entry.PublishID {
			return port.PublishedConfig{}, versionNotFoundError(version)
		}
		return publishedConfig(rec), nil
	}
	return port.PublishedConfig{}, versionNotFoundError(version)
}

func publishedConfig(rec *configstate.Record) port.PublishedConfig {
	return port.PublishedConfig{ConfigVersion: describeRecord(rec), Body: rec.Body}
}

// versionNotFoundError is the error for an unknown version of the configuration; 0
// if there is none yet.
func versionNotFoundError(version model.Version) *port.OperatorError {
	message := "no configuration is in force yet"
	if version > 0 {
		message = fmt.Sprintf("version %d is not known here, or the log no longer keeps it", version)
	}
	return &port.OperatorError{Code: port.OperatorNotFound, Message: message, Outcome: model.OutcomeNotRun}
}

// History returns the known versions of the configuration. It implements
// port.OperatorService.
func (h *Host) History(ctx context.Context) ([]port.ConfigVersion, error) {
	return queryControl(ctx, h, func(_ time.Time, c *control) []port.ConfigVersion {
		var out []port.ConfigVersion
		for _, e := range c.config.state.History() {
			out = append(out, port.ConfigVersion{
				Version: e.Version, PublishID: e.PublishID, Author: e.Author, Note: e.Note, At: e.At,
			})
		}
		return out
	})
}

// DrainHost requests that this host leave. It implements port.OperatorService.
func (h *Host) DrainHost(_ context.Context, operator string) error {
	h.requestLeave("operator " + operator)
	return nil
}

// Hosts returns this host's view of the hosts and failure domains. It implements
// port.OperatorService.
func (h *Host) Hosts(ctx context.Context) (port.HostsView, error) {
	return queryControl(ctx, h, func(now time.Time, c *control) port.HostsView {
		c.updateSelf(now)
		view := port.HostsView{Host: h.opts.ID, Domain: h.opts.Domain, Config: c.configView(now)}
		for _, m := range c.members.Members(now) {
			view.Hosts = append(view.Hosts, c.hostView(now, &m))
		}
		for _, d := range c.members.Domains(now) {
			view.Domains = append(view.Domains, port.DomainView{
				Name: d.Name, Version: d.Version, DigestAge: now.Sub(d.LastDigest), Reachable: d.Fresh, Gateways: d.Gateways,
			})
		}
		return view
	})
}

// configView returns the state of this host's configuration for operators.
func (c *control) configView(now time.Time) port.ConfigView {
	view := port.ConfigView{
		Version:      c.host.version(),
		LogReachable: c.config.logReachable,
		Settled:      c.config.state.Settled(),
	}
	if view.Version > 0 {
		view.InForce = now.Sub(c.config.inForceSince)
	}
	if stopped := c.config.state.Stopped(); stopped != nil {
		view.Problem = stopped.Error()
	}
	return view
}

// hostView returns the state of a host for operators.
func (c *control) hostView(now time.Time, m *membership.Member) port.HostView {
	since := m.VersionSince
	if m.Host == c.host.opts.ID {
		since = c.config.inForceSince
	}
	view := port.HostView{
		Name: m.Host, Incarnation: m.Incarnation, Domain: m.Domain, Address: m.Address,
		State: m.State.String(), Health: m.Health.String(), Version: m.Version,
		HeartbeatAge: now.Sub(m.LastSeen), Listed: m.Listed,
	}
	if m.Version > 0 {
		view.VersionFor = now.Sub(since)
	}
	return view
}

// Endpoints returns this host's view of all configured endpoints. It implements
// port.OperatorService.
func (h *Host) Endpoints(ctx context.Context) ([]port.EndpointView, error) {
	return queryControl(ctx, h, func(now time.Time, c *control) []port.EndpointView {
		cat := h.catalog.Load()
		if cat == nil {
			return nil
		}
		inFlight := make(map[model.EndpointName]int)
		for _, count := range c.dispatch.Digest(now).InFlight {
			inFlight[count.Endpoint] = count.Count
		}
		var out []port.EndpointView
		for i := range cat.Config().Endpoints {
			ep := &cat.Config().Endpoints[i]
			pool, _ := cat.Pool(ep.Pool)
			out = append(out, c.endpointView(ep, pool, inFlight[ep.Name]))
		}
		return out
	})
}

// endpointView returns the state of an endpoint for operators, with all sources
// that mark it as leaving. pool may be nil.
func (c *control) endpointView(ep *opconfig.Endpoint, pool *opconfig.Pool, inFlight int) port.EndpointView {
	view := port.EndpointView{
		Name: ep.Name, Pool: ep.Pool, Domain: ep.Domain, Address: ep.Address,
		LeavingBy: c.leaving.sources(ep.Name),
		InFlight:  inFlight,
		Models:    c.reportedModels[ep.Name],
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
