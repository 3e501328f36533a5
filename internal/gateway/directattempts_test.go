package gateway

import (
	"context"
	"errors"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

// SendAttempt sends an attempt as the gateway at an address reaches the endpoint.
func (p *directPeers) SendAttempt(ctx context.Context, address string, a port.PeerAttempt) (port.EndpointResponse, error) {
	response, err := p.get(address).opts.Endpoints.Send(ctx, a.RoutedAttempt)
	var failure *port.EndpointError
	if errors.As(err, &failure) {
		return nil, &port.PeerAttemptError{Outcome: failure.Outcome, Unreachable: failure.Outcome == model.OutcomeNotRun, Cause: err}
	}
	return response, nil
}
