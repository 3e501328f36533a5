package peergrpc

import (
	"github.com/wigeonsail/wigeonsail/api/peer"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

// convert applies one to each element of a slice. It returns nil for an empty
// slice.
func convert[A, B any](from []A, one func(A) B) []B {
	if len(from) == 0 {
		return nil
	}
	to := make([]B, len(from))
	for i, a := range from {
		to[i] = one(a)
	}
	return to
}

func heartbeatToWire(b port.Heartbeat) *peer.Heartbeat {
	return &peer.Heartbeat{
		Host:        string(b.Host),
		Incarnation: uint64(b.Incarnation),
		Domain:      string(b.Domain),
		PeerAddress: b.PeerAddress,
		State:       stateToWire(b.State),
		Sequence:    b.Sequence,
		Version:     uint64(b.Version),
		Endpoints:   convert(b.Endpoints, endpointToWire),
		Demand:      convert(b.Demand, demandToWire),
		Domains:     convert(b.Domains, domainToWire),

		WorkSequence:  b.WorkSequence,
		SeenWork:      b.AckedWorkSequence,
		WorkUnchanged: b.WorkUnchanged,
	}
}

func heartbeatFromWire(b *peer.Heartbeat) port.Heartbeat {
	return port.Heartbeat{
		Host:        model.HostID(b.GetHost()),
		Incarnation: model.Incarnation(b.GetIncarnation()),
		Domain:      model.DomainName(b.GetDomain()),
		PeerAddress: b.GetPeerAddress(),
		State:       stateFromWire(b.GetState()),
		Sequence:    b.GetSequence(),
		Version:     model.Version(b.GetVersion()),
		Endpoints:   convert(b.GetEndpoints(), endpointFromWire),
		Demand:      convert(b.GetDemand(), demandFromWire),
		Domains:     convert(b.GetDomains(), domainFromWire),

		WorkSequence:      b.GetWorkSequence(),
		AckedWorkSequence: b.GetSeenWork(),
		WorkUnchanged:     b.GetWorkUnchanged(),
	}
}

func stateToWire(s port.HostState) peer.HostState {
	switch s {
	case port.HostReady:
		return peer.HostState_HOST_STATE_READY
	case port.HostLeaving:
		return peer.HostState_HOST_STATE_LEAVING
	default:
		return peer.HostState_HOST_STATE_STARTING
	}
}

func stateFromWire(s peer.HostState) port.HostState {
	switch s {
	case peer.HostState_HOST_STATE_READY:
		return port.HostReady
	case peer.HostState_HOST_STATE_LEAVING:
		return port.HostLeaving
	default:
		return port.HostStarting
	}
}

func endpointToWire(e port.EndpointDigest) *peer.EndpointDigest {
	return &peer.EndpointDigest{
		Name:     string(e.Name),
		InFlight: int64(e.InFlight),
		Room:     int64(e.Room),
		Leaving:  e.Leaving,
	}
}

func endpointFromWire(e *peer.EndpointDigest) port.EndpointDigest {
	return port.EndpointDigest{
		Name:     model.EndpointName(e.GetName()),
		InFlight: int(e.GetInFlight()),
		Room:     int(e.GetRoom()),
		Leaving:  e.GetLeaving(),
	}
}

func demandToWire(d port.DemandDigest) *peer.DemandDigest {
	return &peer.DemandDigest{
		Account:        string(d.Account),
		Class:          string(d.Class),
		Rate:           float32(d.Rate),
		TokensInFlight: int64(d.TokensInFlight),
		Queued:         int64(d.Queued),
	}
}

func demandFromWire(d *peer.DemandDigest) port.DemandDigest {
	return port.DemandDigest{
		Account:        model.AccountName(d.GetAccount()),
		Class:          model.ClassName(d.GetClass()),
		Rate:           float64(d.GetRate()),
		TokensInFlight: int(d.GetTokensInFlight()),
		Queued:         int(d.GetQueued()),
	}
}

func domainToWire(d port.DomainDigest) *peer.DomainDigest {
	return &peer.DomainDigest{
		Domain:   string(d.Domain),
		Sequence: d.Sequence,
		FreeRoom: convert(d.FreeRoom, roomToWire),
		Gateways: d.Gateways,
		Version:  uint64(d.Version),
	}
}

func domainFromWire(d *peer.DomainDigest) port.DomainDigest {
	return port.DomainDigest{
		Domain:   model.DomainName(d.GetDomain()),
		Sequence: d.GetSequence(),
		FreeRoom: convert(d.GetFreeRoom(), roomFromWire),
		Gateways: d.GetGateways(),
		Version:  model.Version(d.GetVersion()),
	}
}

func roomToWire(r port.PoolRoom) *peer.PoolRoom {
	return &peer.PoolRoom{Pool: string(r.Pool), Room: int64(r.Room), Protected: int64(r.Protected)}
}

func roomFromWire(r *peer.PoolRoom) port.PoolRoom {
	return port.PoolRoom{Pool: model.PoolName(r.GetPool()), Room: int(r.GetRoom()), Protected: int(r.GetProtected())}
}

func claimToWire(e port.ClaimEntry) *peer.ClaimEntry {
	return &peer.ClaimEntry{Partition: uint32(e.Partition), Data: e.Data}
}

func claimFromWire(e *peer.ClaimEntry) port.ClaimEntry {
	return port.ClaimEntry{Partition: int(e.GetPartition()), Data: e.GetData()}
}

func positionToWire(p port.ClaimPosition) *peer.ClaimPlace {
	return &peer.ClaimPlace{Offset: uint64(p.Offset), Index: uint32(p.Index)}
}

func positionFromWire(p *peer.ClaimPlace) port.ClaimPosition {
	return port.ClaimPosition{Offset: model.Offset(p.GetOffset()), Index: int(p.GetIndex())}
}

func configToWire(rec port.ConfigRecord) *peer.ConfigRecord {
	return &peer.ConfigRecord{Version: uint64(rec.Version), Offset: uint64(rec.Offset), Data: rec.Data}
}

func configFromWire(rec *peer.ConfigRecord) port.ConfigRecord {
	return port.ConfigRecord{
		Version: model.Version(rec.GetVersion()),
		Offset:  model.Offset(rec.GetOffset()),
		Data:    rec.GetData(),
	}
}
