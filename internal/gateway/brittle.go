package gateway

import (
	"net/http"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/balance"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/loop"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

// Brittle endpoints: from responses and digests to the balancer, and from there into the
// digests of this host.

// recordBrittleness records what the response to a request states. Nothing is reported for
// responses without the statement of endpoints that were not taken for brittle.
func (x *exchange) recordBrittleness(decision balance.Decision, reply port.EndpointResponse) {
	if reply.Status() == http.StatusMisdirectedRequest {
		// Another endpoint at the address has responded.
		return
	}
	stated, err := reply.Brittleness()
	if err != nil {
		x.gateway.opts.Log.WithError(err).WithField("endpoint", decision.Endpoint).Warn("endpoints: brittleness ignored")
		return
	}
	if !stated.Stated && !decision.Brittle {
		return
	}
	g, id := x.gateway, x.req.ID
	g.loop.Post(loop.Func(func(now time.Time) { g.control.recordBrittleness(now, id, stated) }))
}

// recordBrittleness applies what the response to a request states, and requests digests
// that report a change.
func (c *control) recordBrittleness(now time.Time, id model.RequestID, stated port.Brittleness) {
	if report, changed := c.balancer.RecordBrittleness(now, id, stated.Stated, stated.Rejections); changed {
		logBrittleness(c.gateway.opts.Log, report, "response")
		c.updateLiveHosts(now)
		c.peers.requestDigests()
	}
}

// knownBrittle returns the endpoints to report in a digest.
func (c *control) knownBrittle(now time.Time) []port.BrittleEndpoint {
	var out []port.BrittleEndpoint
	for _, r := range c.balancer.BrittleReports(now) {
		out = append(out, port.BrittleEndpoint{
			Instance: r.Instance, Brittle: r.Brittle, Rejections: r.Rejections, Age: now.Sub(r.At), Rejected: r.Rejected,
		})
	}
	return out
}

// receiveBrittle applies the reports in a digest, and requests digests that report a change.
func (c *control) receiveBrittle(now time.Time, d port.LoadDigest) {
	reports := make([]balance.BrittleReport, 0, len(d.Brittle))
	for _, b := range d.Brittle {
		reports = append(reports, balance.BrittleReport{
			Instance: b.Instance, Brittle: b.Brittle, Rejections: b.Rejections, At: now.Add(-b.Age - readAgePerHop), Rejected: b.Rejected,
		})
	}
	changes := c.balancer.ApplyBrittleReports(now, d.Host, reports)
	for _, report := range changes {
		logBrittleness(c.gateway.opts.Log, report, "peer "+string(d.Host))
	}
	if len(changes) > 0 {
		c.updateLiveHosts(now)
		c.peers.requestDigests()
	}
}
