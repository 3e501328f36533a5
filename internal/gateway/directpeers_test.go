package gateway

import (
	"context"
	"sync"

	"github.com/wigeonsail/wigeonsail/internal/core/resume"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

// directPeers deliver digests to the other gateways of a process.
type directPeers struct {
	port.LoadShareClient
	mu       sync.Mutex
	gateways map[string]*Gateway
}

func (p *directPeers) set(address string, g *Gateway) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.gateways[address] = g
}

func (p *directPeers) get(address string) *Gateway {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.gateways[address]
}

// directStream is a stream of digests to one gateway.
type directStream struct {
	peers   *directPeers
	address string
}

func (s directStream) Send(d port.LoadDigest) error {
	s.peers.get(s.address).HandleDigest(d)
	return nil
}

func (directStream) Close() {}

func (p *directPeers) OpenLoadStream(_ context.Context, address string) (port.LoadStream, error) {
	return directStream{peers: p, address: address}, nil
}

func (p *directPeers) FetchHosts(ctx context.Context, address string, self port.HostInfo) ([]port.HostInfo, error) {
	return p.get(address).HandleFetchHosts(ctx, self)
}

func (p *directPeers) FindStream(ctx context.Context, address string, id resume.StreamID) (resume.Origin, bool, error) {
	return p.get(address).HandleFindStream(ctx, id)
}

func (p *directPeers) FetchEndpoints(ctx context.Context, address string) (port.EndpointList, error) {
	return p.get(address).HandleFetchEndpoints(ctx)
}
