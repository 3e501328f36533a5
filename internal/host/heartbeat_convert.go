package host

import (
	"slices"

	"github.com/wigeonsail/wigeonsail/internal/core/dispatch"
	"github.com/wigeonsail/wigeonsail/internal/core/membership"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

// The largest numbers of entries in the lists of a heartbeat.
const (
	maxEndpointsPerHeartbeat = 64
	maxDemandPerHeartbeat    = 64
)

var stateToPort = map[membership.State]port.HostState{
	membership.Starting: port.HostStarting,
	membership.Ready:    port.HostReady,
	membership.Leaving:  port.HostLeaving,
}

var stateFromPort = map[port.HostState]membership.State{
	port.HostStarting: membership.Starting,
	port.HostReady:    membership.Ready,
	port.HostLeaving:  membership.Leaving,
}

// heartbeatToPort converts a heartbeat to the form that peers receive. It truncates
// long lists to the endpoints with the most requests in flight and the accounts
// with the most queued requests; leaving endpoints are never left out.
func heartbeatToPort(b membership.Heartbeat) port.Heartbeat {
	return port.Heartbeat{
		Host:        b.Host,
		Incarnation: b.Incarnation,
		Domain:      b.Domain,
		PeerAddress: b.Address,
		State:       stateToPort[b.State],
		Sequence:    b.Sequence,
		Version:     b.Version,
		Endpoints:   endpointDigests(b.Work.InFlight, b.LeavingEndpoints),
		Demand:      demandDigests(b.Work.Demand),
		Domains:     domainDigests(b.Domains),

		WorkSequence:      b.WorkSequence,
		AckedWorkSequence: b.AckedWorkSequence,
		WorkUnchanged:     b.WorkUnchanged,
	}
}

// endpointDigests converts the requests in flight, limited to the endpoints with
// the most, and all leaving endpoints.
func endpointDigests(work []dispatch.EndpointCount, leaving []model.EndpointName) []port.EndpointDigest {
	work = slices.Clone(work)
	slices.SortFunc(work, func(a, b dispatch.EndpointCount) int { return b.Count - a.Count })
	out := make([]port.EndpointDigest, 0, len(work)+len(leaving))
	for _, w := range work[:min(len(work), maxEndpointsPerHeartbeat)] {
		out = append(out, port.EndpointDigest{Name: w.Endpoint, InFlight: w.Count})
	}
	for _, name := range leaving {
		out = append(out, port.EndpointDigest{Name: name, Leaving: true})
	}
	return out
}

// demandDigests converts the demand of accounts, limited to those with the most
// queued requests.
func demandDigests(demand []dispatch.AccountDemand) []port.DemandDigest {
	demand = slices.Clone(demand)
	slices.SortFunc(demand, func(a, b dispatch.AccountDemand) int { return b.Queued - a.Queued })
	out := make([]port.DemandDigest, 0, len(demand))
	for _, d := range demand[:min(len(demand), maxDemandPerHeartbeat)] {
		out = append(out, port.DemandDigest{
			Account: d.Account, Class: d.Class, Rate: d.Rate, TokensInFlight: d.TokensInFlight, Queued: d.Queued,
		})
	}
	return out
}

func domainDigests(domains []membership.Digest) []port.DomainDigest {
	out := make([]port.DomainDigest, 0, len(domains))
	for _, d := range domains {
		digest := port.DomainDigest{Domain: d.Domain, Sequence: d.Sequence, Gateways: d.Gateways, Version: d.Version}
		for _, room := range d.FreeRoom {
			digest.FreeRoom = append(digest.FreeRoom, port.PoolRoom(room))
		}
		out = append(out, digest)
	}
	return out
}

// heartbeatFromPort converts a heartbeat received from a peer.
func heartbeatFromPort(h port.Heartbeat) membership.Heartbeat {
	heartbeat := membership.Heartbeat{
		Host:        h.Host,
		Incarnation: h.Incarnation,
		Domain:      h.Domain,
		Address:     h.PeerAddress,
		State:       stateFromPort[h.State],
		Sequence:    h.Sequence,
		Version:     h.Version,
		Work:        dispatch.PeerHost{Host: h.Host},

		WorkSequence:      h.WorkSequence,
		AckedWorkSequence: h.AckedWorkSequence,
		WorkUnchanged:     h.WorkUnchanged,
	}
	for _, ep := range h.Endpoints {
		if ep.InFlight > 0 {
			heartbeat.Work.InFlight = append(heartbeat.Work.InFlight, dispatch.EndpointCount{Endpoint: ep.Name, Count: ep.InFlight})
		}
		if ep.Leaving {
			heartbeat.LeavingEndpoints = append(heartbeat.LeavingEndpoints, ep.Name)
		}
	}
	for _, d := range h.Demand {
		heartbeat.Work.Demand = append(heartbeat.Work.Demand, dispatch.AccountDemand{
			Account: d.Account, Class: d.Class, Rate: d.Rate, TokensInFlight: d.TokensInFlight, Queued: d.Queued,
		})
	}
	for _, d := range h.Domains {
		heartbeat.Domains = append(heartbeat.Domains, domainDigestFromPort(d))
	}
	return heartbeat
}

func domainDigestFromPort(d port.DomainDigest) membership.Digest {
	digest := membership.Digest{Domain: d.Domain, Sequence: d.Sequence, Gateways: d.Gateways, Version: d.Version}
	for _, room := range d.FreeRoom {
		digest.FreeRoom = append(digest.FreeRoom, dispatch.PoolRoom(room))
	}
	return digest
}
