package gateway

import (
	"context"

	"github.com/wigeonsail/wigeonsail/internal/port"
)

// heldResponse releases the memory of an attempt with its response.
type heldResponse struct {
	port.EndpointResponse
	hold port.MemoryHold
}

func (r heldResponse) Close() {
	r.EndpointResponse.Close()
	r.hold.Release()
}

// SendAttempt has the gateway at an address handle an attempt.
func (p *directPeers) SendAttempt(ctx context.Context, address string, a port.PeerAttempt) (port.EndpointResponse, error) {
	g := p.get(address)
	hold, err := g.AdmitAttempt(int64(len(a.Call.Body)))
	if err != nil {
		return nil, err
	}
	call := *a.Call
	call.Memory, a.Call = hold, &call
	response, err := g.HandleAttempt(ctx, a)
	if err != nil {
		hold.Release()
		return nil, err
	}
	return heldResponse{EndpointResponse: response, hold: hold}, nil
}
