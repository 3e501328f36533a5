package peergrpc

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/port"
)

// burnHandler records the query and returns fixed counts.
type burnHandler struct {
	port.PeerHandler
	got port.BurnQuery
}

func (h *burnHandler) HandleBurn(_ context.Context, query port.BurnQuery) ([]byte, error) {
	h.got = query
	return []byte("counts"), nil
}

func TestBurnRoundTripsQuery(t *testing.T) {
	handler := &burnHandler{}
	c, address, _ := serve(t, secret, secret, handler)
	query := port.BurnQuery{Window: 90 * time.Minute, WholeDomain: true}
	counts, err := c.Burn(context.Background(), address, query)
	must.NoError(t, err)
	must.Eq(t, "counts", string(counts))
	must.Eq(t, query, handler.got)
}
