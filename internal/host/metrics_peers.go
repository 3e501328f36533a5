package host

import (
	"context"
	"errors"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/metrics"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

// meteredPeers is a port.PeerTransport that counts failed calls to other hosts.
type meteredPeers struct {
	port.PeerTransport
	metrics *metrics.Metrics
}

// Exchange implements port.PeerTransport.
func (p meteredPeers) Exchange(ctx context.Context, address string, heartbeat port.Heartbeat) (port.Heartbeat, error) {
	response, err := p.PeerTransport.Exchange(ctx, address, heartbeat)
	p.count("exchange", err)
	return response, err
}

// FetchConfig implements port.PeerTransport.
func (p meteredPeers) FetchConfig(ctx context.Context, address string, newerThan model.Version) (port.ConfigRecord, error) {
	record, err := p.PeerTransport.FetchConfig(ctx, address, newerThan)
	p.count("fetch_config", err)
	return record, err
}

// Forward implements port.PeerTransport.
func (p meteredPeers) Forward(ctx context.Context, address string, call port.ForwardCall) (port.ForwardStream, error) {
	stream, err := p.PeerTransport.Forward(ctx, address, call)
	p.count("forward", err)
	return stream, err
}

// AppendClaims implements port.PeerTransport.
func (p meteredPeers) AppendClaims(ctx context.Context, address string, entries []port.ClaimEntry) ([]port.ClaimPosition, error) {
	places, err := p.PeerTransport.AppendClaims(ctx, address, entries)
	p.count("append_claims", err)
	return places, err
}

// Burn implements port.PeerTransport.
func (p meteredPeers) Burn(ctx context.Context, address string, query port.BurnQuery) ([]byte, error) {
	counts, err := p.PeerTransport.Burn(ctx, address, query)
	p.count("burn", err)
	return counts, err
}

// count counts a failed call of the operation. Canceled calls are not counted.
func (p meteredPeers) count(op string, err error) {
	if err != nil && !errors.Is(err, context.Canceled) {
		p.metrics.PeerError(op)
	}
}
