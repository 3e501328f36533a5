package peergrpc

import (
	"context"

	"google.golang.org/grpc"
	"google.golang.org/grpc/encoding/gzip"

	"github.com/wigeonsail/wigeonsail/api/peer"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

// FetchEndpoints implements port.LoadShareClient.
func (c *Client) FetchEndpoints(ctx context.Context, address string) (port.EndpointList, error) {
	// The entries contain many repeated strings, which compress well.
	fetch := func(client peer.PeerClient, ctx context.Context, req *peer.FetchEndpointsRequest, opts ...grpc.CallOption) (*peer.EndpointList, error) {
		return client.FetchEndpoints(ctx, req, append(opts, grpc.UseCompressor(gzip.Name))...)
	}
	res, err := unary(ctx, c, "fetch endpoints", address, &peer.FetchEndpointsRequest{}, fetch)
	if err != nil {
		return port.EndpointList{}, err
	}
	return endpointListFromWire(res), nil
}

// FetchEndpoints implements peer.PeerServer.
func (s *loadService) FetchEndpoints(ctx context.Context, _ *peer.FetchEndpointsRequest) (*peer.EndpointList, error) {
	list, err := s.handler.HandleFetchEndpoints(ctx)
	if err != nil {
		return nil, callError(ctx, err)
	}
	return endpointListToWire(list), nil
}

// endpointListToWire returns a list with the withheld entries as removed ones.
func endpointListToWire(l port.EndpointList) *peer.EndpointList {
	out := &peer.EndpointList{Entries: convert(l.Entries, entryToWire), Next: uint64(l.Next.Offset), Era: uint64(l.Next.Era)}
	for _, e := range l.Withheld {
		withheld := entryToWire(e)
		withheld.Removed = true
		out.Entries = append(out.Entries, withheld)
	}
	return out
}

func endpointListFromWire(l *peer.EndpointList) port.EndpointList {
	out := port.EndpointList{Next: position(l.GetEra(), l.GetNext())}
	for _, e := range l.GetEntries() {
		if e.GetRemoved() {
			out.Withheld = append(out.Withheld, entryFromWire(e))
		} else {
			out.Entries = append(out.Entries, entryFromWire(e))
		}
	}
	return out
}
