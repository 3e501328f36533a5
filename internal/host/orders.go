package host

import (
	"github.com/wigeonsail/wigeonsail/internal/core/order"
	"github.com/wigeonsail/wigeonsail/internal/orders"
	"github.com/wigeonsail/wigeonsail/opconfig"
)

// newOrders returns the controller that gives orders to the endpoints of the
// host's failure domain, or nil if the host has no weight store.
func newOrders(h *Host) *orders.Controller {
	if h.opts.Weights == nil {
		return nil
	}
	return orders.New(orders.Options{
		Loop:        h.loop.Loop,
		Host:        h.opts.ID,
		Incarnation: h.opts.Incarnation,
		Domain:      h.opts.Domain,
		PlatformLog: h.opts.PlatformLog,
		Engines:     h.opts.Engines,
		Weights:     h.opts.Weights,
		Desired:     h.desiredEngines,
		Log:         h.opts.Log,
	})
}

// desiredEngines returns the desired states of the engines of the host's failure
// domain according to the configuration in force. Leaving engines are omitted.
func (h *Host) desiredEngines() []order.DesiredState {
	cat := h.catalog.Load()
	if cat == nil {
		return nil
	}
	var desired []order.DesiredState
	for _, ep := range cat.Config().Endpoints {
		pool, ok := cat.Pool(ep.Pool)
		if !ok || pool.Kind != opconfig.KindEngine || ep.Domain != h.opts.Domain || ep.Leaving {
			continue
		}
		desired = append(desired, order.DesiredState{
			Endpoint: ep.Name, Address: ep.Address, Models: pool.Models, Role: ep.Role,
		})
	}
	return desired
}
