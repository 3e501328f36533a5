package host

import (
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// ejectionsEvery is the time between two looks for ejected endpoints. It is
// shorter than an ejection lasts.
const ejectionsEvery = time.Second

// ejectedOutlier labels endpoints that fail or are slow beside their peers.
const ejectedOutlier = "outlier"

// ejections is what was last seen of ejected endpoints.
type ejections struct {
	at    time.Time
	known map[model.EndpointName]bool
}

// observeEjections counts and logs the endpoints that were ejected since the
// last look, and logs those that are back.
func (c *control) observeEjections(now time.Time) {
	if now.Sub(c.ejections.at) < ejectionsEvery {
		return
	}
	c.ejections.at = now
	known := make(map[model.EndpointName]bool)
	for _, e := range c.dispatch.Ejected() {
		known[e.Endpoint] = true
		if !c.ejections.known[e.Endpoint] {
			c.host.metrics.Ejected(e.Pool, ejectedOutlier)
			c.host.opts.Log.Warnf("endpoints: %s is ejected from pool %s", e.Endpoint, e.Pool)
		}
	}
	for name := range c.ejections.known {
		if !known[name] {
			c.host.opts.Log.Infof("endpoints: %s is no longer ejected", name)
		}
	}
	c.ejections.known = known
}
