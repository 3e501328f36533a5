package host

import (
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// ejectionCheckInterval is the interval between checks for ejected endpoints. It is
// shorter than the duration of an ejection.
const ejectionCheckInterval = time.Second

// ejectedOutlier is the reason label for endpoints that fail more often or are
// slower than the other endpoints of their pool.
const ejectedOutlier = "outlier"

// ejectionState holds the time of the last check and the endpoints that were
// ejected then.
type ejectionState struct {
	checkedAt time.Time
	ejected   map[model.EndpointName]bool
}

// observeEjections counts and logs the endpoints that were ejected since the last
// check, and logs those that are no longer ejected.
func (c *control) observeEjections(now time.Time) {
	if now.Sub(c.ejections.checkedAt) < ejectionCheckInterval {
		return
	}
	c.ejections.checkedAt = now
	ejected := make(map[model.EndpointName]bool)
	for _, e := range c.dispatch.Ejected() {
		ejected[e.Endpoint] = true
		if !c.ejections.ejected[e.Endpoint] {
			c.host.metrics.Ejected(e.Pool, ejectedOutlier)
			c.host.opts.Log.Warnf("endpoints: %s is ejected from pool %s", e.Endpoint, e.Pool)
		}
	}
	for name := range c.ejections.ejected {
		if !ejected[name] {
			c.host.opts.Log.Infof("endpoints: %s is no longer ejected", name)
		}
	}
	c.ejections.ejected = ejected
}
