package peergrpc

import (
	"context"
	"time"

	"github.com/wigeonsail/wigeonsail/api/peer"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/core/resume"
)

// FindStream implements port.LoadShareClient.
func (c *Client) FindStream(ctx context.Context, address string, id resume.StreamID) (resume.Origin, bool, error) {
	res, err := unary(ctx, c, "find stream", address, &peer.FindStreamRequest{Stream: uint64(id)}, peer.PeerClient.FindStream)
	if err != nil {
		return resume.Origin{}, false, err
	}
	return originFromWire(res.GetOrigin()), res.GetKnown(), nil
}

// FindStream implements peer.PeerServer.
func (s *loadService) FindStream(ctx context.Context, req *peer.FindStreamRequest) (*peer.FindStreamResponse, error) {
	origin, known, err := s.handler.HandleFindStream(ctx, resume.StreamID(req.GetStream()))
	if err != nil {
		return nil, callError(ctx, err)
	}
	return &peer.FindStreamResponse{Known: known, Origin: originToWire(origin)}, nil
}

func originToWire(o resume.Origin) *peer.StreamOrigin {
	return &peer.StreamOrigin{Pool: string(o.Pool), Software: string(o.Software)}
}

func originFromWire(o *peer.StreamOrigin) resume.Origin {
	return resume.Origin{Pool: model.PoolName(o.GetPool()), Software: model.SoftwareVersion(o.GetSoftware())}
}

// beginsToWire groups streams by their origins, whose names are longer than the IDs.
func beginsToWire(begins []resume.Begin) []*peer.StreamBegins {
	byOrigin := make(map[resume.Origin]*peer.StreamBegins)
	var out []*peer.StreamBegins
	for _, b := range begins {
		group := byOrigin[b.Origin]
		if group == nil {
			group = &peer.StreamBegins{Origin: originToWire(b.Origin)}
			byOrigin[b.Origin] = group
			out = append(out, group)
		}
		group.Streams = append(group.Streams, uint64(b.Stream))
	}
	return out
}

func beginsFromWire(groups []*peer.StreamBegins) []resume.Begin {
	var out []resume.Begin
	for _, group := range groups {
		for _, id := range group.GetStreams() {
			out = append(out, resume.Begin{Stream: resume.StreamID(id), Origin: originFromWire(group.GetOrigin())})
		}
	}
	return out
}

func sourcedToWire(b resume.SourcedStreams) *peer.StreamSource {
	return &peer.StreamSource{
		Pool: string(b.Source.Pool), Endpoint: string(b.Source.Endpoint),
		RunningAtMs: b.Source.RunningAt.UnixMilli(), BeganAtMs: b.Source.BeganAt.UnixMilli(),
		Streams: convert(b.Streams, func(id resume.StreamID) uint64 { return uint64(id) }),
	}
}

func sourcedFromWire(s *peer.StreamSource) resume.SourcedStreams {
	return resume.SourcedStreams{
		Streams: convert(s.GetStreams(), func(id uint64) resume.StreamID { return resume.StreamID(id) }),
		Source: resume.Source{
			Pool: model.PoolName(s.GetPool()), Endpoint: model.EndpointName(s.GetEndpoint()),
			RunningAt: time.UnixMilli(s.GetRunningAtMs()), BeganAt: time.UnixMilli(s.GetBeganAtMs()),
		},
	}
}
