package operatorhttp

import (
	"github.com/wigeonsail/wigeonsail/api/operatorapi"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

func versionBody(v port.ConfigVersion) operatorapi.ConfigVersion {
	return operatorapi.ConfigVersion{
		Version:   uint64(v.Version),
		PublishID: v.PublishID,
		Author:    v.Author,
		Note:      v.Note,
		At:        v.At,
	}
}

func conflictBody(res port.PublishResult) *operatorapi.Conflict {
	out := &operatorapi.Conflict{Current: versionBody(res.Current), Changes: []string{}}
	for _, c := range res.Changes {
		out.Changes = append(out.Changes, c.String())
	}
	return out
}

func hostsBody(view *port.HostsView) *operatorapi.Hosts {
	out := &operatorapi.Hosts{
		Host:   string(view.Host),
		Domain: string(view.Domain),
		Config: operatorapi.ConfigState{
			Version:      uint64(view.Config.Version),
			InForceS:     view.Config.InForce.Seconds(),
			LogReachable: view.Config.LogReachable,
			Settled:      view.Config.Settled,
		},
		Hosts:   []operatorapi.Host{},
		Domains: []operatorapi.Domain{},
	}
	if view.Config.Problem != "" {
		out.Config.Problem = operatorapi.NewOptString(view.Config.Problem)
	}
	for i := range view.Hosts {
		out.Hosts = append(out.Hosts, hostBody(&view.Hosts[i]))
	}
	for _, d := range view.Domains {
		out.Domains = append(out.Domains, operatorapi.Domain{
			Name:      string(d.Name),
			Version:   uint64(d.Version),
			HeardS:    d.DigestAge.Seconds(),
			Reachable: d.Reachable,
			Gateways:  append([]string{}, d.Gateways...),
		})
	}
	return out
}

func hostBody(h *port.HostView) operatorapi.Host {
	return operatorapi.Host{
		Name:        string(h.Name),
		Incarnation: uint64(h.Incarnation),
		Domain:      string(h.Domain),
		Address:     h.Address,
		State:       operatorapi.HostState(h.State),
		Health:      operatorapi.HostHealth(h.Health),
		Version:     uint64(h.Version),
		VersionS:    h.VersionFor.Seconds(),
		HeardS:      h.HeartbeatAge.Seconds(),
		Listed:      h.Listed,
	}
}

func endpointBody(e *port.EndpointView) operatorapi.Endpoint {
	return operatorapi.Endpoint{
		Name:         string(e.Name),
		Pool:         string(e.Pool),
		Kind:         string(e.Kind),
		Domain:       string(e.Domain),
		Address:      e.Address,
		Leaving:      e.Leaving,
		LeavingBy:    append([]string{}, e.LeavingBy...),
		InFlight:     e.InFlight,
		Models:       modelNames(e.Models),
		WantedModels: modelNames(e.WantedModels),
	}
}

func modelNames(names []model.ModelName) []string {
	out := make([]string, 0, len(names))
	for _, n := range names {
		out = append(out, string(n))
	}
	return out
}
