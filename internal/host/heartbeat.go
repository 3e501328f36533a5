package host

import (
	"slices"

	"github.com/wigeonsail/wigeonsail/internal/core/dispatch"
	"github.com/wigeonsail/wigeonsail/internal/core/membership"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

// The bounds of a heartbeat's lists.
const (
	maxEndpointsPerBeat = 64
	maxDemandPerBeat    = 64
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

// heartbeatOf translates a heartbeat for the peers. Of long lists it keeps
// the endpoints and accounts with the most work.
func heartbeatOf(b membership.Heartbeat) port.Heartbeat {
	return port.Heartbeat{
		Host:        b.Host,
		Incarnation: b.Incarnation,
		Domain:      b.Domain,
		PeerAddress: b.Address,
		State:       stateToPort[b.State],
		Sequence:    b.Sequence,
		Version:     b.Version,
		Endpoints:   endpointDigests(b.Work.InFlight, b.Leaving),
		Demand:      demandDigests(b.Work.Demand),
		Domains:     domainDigests(b.Domains),

		WorkSequence:      b.WorkSequence,
		AckedWorkSequence: b.SeenWork,
		WorkUnchanged:     b.WorkUnchanged,
	}
}

func endpointDigests(work []dispatch.EndpointCount, leaving []model.EndpointName) []port.EndpointDigest {
	work = slices.Clone(work)
	slices.SortFunc(work, func(a, b dispatch.EndpointCount) int { return b.Count - a.Count })
	out := make([]port.EndpointDigest, 0, len(work)+len(leaving))
	for _, w := range work[:min(len(work), maxEndpointsPerBeat)] {
		out = append(out, port.EndpointDigest{Name: w.Endpoint, InFlight: w.Count})
	}
	for _, name := range leaving {
		out = append(out, port.EndpointDigest{Name: name, Leaving: true})
	}
	return out
}

func demandDigests(demand []dispatch.AccountDemand) []port.DemandDigest {
	demand = slices.Clone(demand)
	slices.SortFunc(demand, func(a, b dispatch.AccountDemand) int { return b.Queued - a.Queued })
	out := make([]port.DemandDigest, 0, len(demand))
	for _, d := range demand[:min(len(demand), maxDemandPerBeat)] {
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

// beatOf translates a peer's heartbeat.
func beatOf(h port.Heartbeat) membership.Heartbeat {
	beat := membership.Heartbeat{
		Host:        h.Host,
		Incarnation: h.Incarnation,
		Domain:      h.Domain,
		Address:     h.PeerAddress,
		State:       stateFromPort[h.State],
		Sequence:    h.Sequence,
		Version:     h.Version,
		Work:        dispatch.PeerHost{Host: h.Host},

		WorkSequence:  h.WorkSequence,
		SeenWork:      h.AckedWorkSequence,
		WorkUnchanged: h.WorkUnchanged,
	}
	for _, ep := range h.Endpoints {
		if ep.InFlight > 0 {
			beat.Work.InFlight = append(beat.Work.InFlight, dispatch.EndpointCount{Endpoint: ep.Name, Count: ep.InFlight})
		}
		if ep.Leaving {
			beat.Leaving = append(beat.Leaving, ep.Name)
		}
	}
	for _, d := range h.Demand {
		beat.Work.Demand = append(beat.Work.Demand, dispatch.AccountDemand{
			Account: d.Account, Class: d.Class, Rate: d.Rate, TokensInFlight: d.TokensInFlight, Queued: d.Queued,
		})
	}
	for _, d := range h.Domains {
		beat.Domains = append(beat.Domains, digestOf(d))
	}
	return beat
}

func digestOf(d port.DomainDigest) membership.Digest {
	digest := membership.Digest{Domain: d.Domain, Sequence: d.Sequence, Gateways: d.Gateways, Version: d.Version}
	for _, room := range d.FreeRoom {
		digest.FreeRoom = append(digest.FreeRoom, dispatch.PoolRoom(room))
	}
	return digest
}
