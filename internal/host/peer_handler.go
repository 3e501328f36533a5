package host

import (
	"context"
	"errors"

	"github.com/wigeonsail/wigeonsail/internal/port"
)

var _ port.PeerHandler = (*Host)(nil)

// errNotServed refuses calls that this host does not serve to its peers.
var errNotServed = errors.New("this host does not serve the call")

// HandleForward implements port.PeerHandler.
func (h *Host) HandleForward(context.Context, port.ForwardCall, func(port.ForwardPart) error) error {
	return errNotServed
}

// HandleAppendClaims implements port.PeerHandler.
func (h *Host) HandleAppendClaims(context.Context, []port.ClaimEntry) ([]port.ClaimPlace, error) {
	return nil, errNotServed
}
