package gateway

import (
	"net/http"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/balance"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/loop"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

// Request limits that endpoints state: from responses and digests to the balancer, and
// from there into the digests of this host.

// recordLimit records the request limit in the response to a request. Nothing is reported
// for responses without a limit of endpoints that had none.
func (x *exchange) recordLimit(decision balance.Decision, reply port.EndpointResponse) {
	if reply.Status() == http.StatusMisdirectedRequest {
		// Another endpoint at the address has responded.
		return
	}
	limit, err := reply.RequestLimit()
	if err != nil {
		x.gateway.opts.Log.WithError(err).WithField("endpoint", decision.Endpoint).Warn("endpoints: request limit ignored")
		return
	}
	if !limit.Stated && decision.Limit == 0 {
		return
	}
	g, id := x.gateway, x.req.ID
	g.loop.Post(loop.Func(func(now time.Time) { g.control.recordLimit(now, id, limit) }))
}

// recordLimit applies the request limit in the response to a request, and requests
// digests that report a change.
func (c *control) recordLimit(now time.Time, id model.RequestID, limit port.RequestLimit) {
	if report, changed := c.balancer.RecordLimit(now, id, limit.Stated, limit.PerSecond); changed {
		logLimit(c.gateway.opts.Log, report, "response")
		c.updateLiveHosts(now)
		c.peers.requestDigests()
	}
}

// knownLimits returns the limits to report in a digest.
func (c *control) knownLimits(now time.Time) []port.EndpointLimit {
	var out []port.EndpointLimit
	for _, r := range c.balancer.LimitReports(now) {
		out = append(out, port.EndpointLimit{Instance: r.Instance, Limited: r.Limited, PerSecond: r.PerSecond, Age: now.Sub(r.At)})
	}
	return out
}

// receiveLimits applies the limits in a digest, and requests digests that report a
// change.
func (c *control) receiveLimits(now time.Time, d port.LoadDigest) {
	reports := make([]balance.LimitReport, 0, len(d.Limits))
	for _, l := range d.Limits {
		reports = append(reports, balance.LimitReport{
			Instance: l.Instance, Limited: l.Limited, PerSecond: l.PerSecond, At: now.Add(-l.Age - readAgePerHop),
		})
	}
	changes := c.balancer.ApplyLimitReports(reports)
	for _, report := range changes {
		logLimit(c.gateway.opts.Log, report, "peer "+string(d.Host))
	}
	if len(changes) > 0 {
		c.updateLiveHosts(now)
		c.peers.requestDigests()
	}
}

// updateLiveHosts tells the balancer which hosts may share request limits and the slots of
// brittle endpoints, if there are any.
func (c *control) updateLiveHosts(now time.Time) {
	if !c.balancer.HasLimits() && c.balancer.CountBrittle() == 0 {
		return
	}
	hosts := make(map[model.DomainName][]model.HostID)
	for _, m := range c.peers.stayingMembers(now) {
		hosts[m.Domain] = append(hosts[m.Domain], m.Host)
	}
	c.balancer.SetLiveHosts(c.gateway.opts.Host, hosts)
}
