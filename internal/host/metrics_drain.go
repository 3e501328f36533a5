package host

import (
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/opconfig"
)

// drainSourceConfig is the source label of drains by a published configuration.
const drainSourceConfig = "config"

// observeDrain counts an endpoint that is newly leaving, under the first of the
// sources that report it.
func (c *control) observeDrain(name model.EndpointName) {
	cat := c.host.catalog.Load()
	sources := c.leaving.sources(name)
	if cat == nil || len(sources) == 0 {
		return
	}
	for i := range cat.Config().Endpoints {
		if ep := &cat.Config().Endpoints[i]; ep.Name == name {
			c.host.metrics.Drained(ep.Pool, sources[0])
			return
		}
	}
}

// observeConfigDrains counts the endpoints that a new configuration marks as
// leaving and the previous one does not.
func (h *Host) observeConfigDrains(cfg *opconfig.Config) {
	before := make(map[model.EndpointName]bool)
	if old := h.catalog.Load(); old != nil {
		for i := range old.Config().Endpoints {
			before[old.Config().Endpoints[i].Name] = old.Config().Endpoints[i].Leaving
		}
	}
	for i := range cfg.Endpoints {
		ep := &cfg.Endpoints[i]
		if ep.Leaving && !before[ep.Name] {
			h.metrics.Drained(ep.Pool, drainSourceConfig)
		}
	}
}
