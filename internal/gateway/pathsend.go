package gateway

import (
	"context"
	"errors"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

var errNoSender = errors.New("no attempts are sent through other hosts")

// sendThroughHost has another host send an attempt to its endpoint. Errors are
// *port.PeerAttemptError.
func (g *Gateway) sendThroughHost(ctx context.Context, _ model.HostID, address string, a port.PeerAttempt) (port.EndpointResponse, error) {
	sender, ok := g.opts.Peers.(port.AttemptSender)
	if !ok {
		return nil, &port.PeerAttemptError{Outcome: model.OutcomeNotRun, Refused: true, Cause: errNoSender}
	}
	a.Sender = g.opts.Host
	return sender.SendAttempt(ctx, address, a)
}
