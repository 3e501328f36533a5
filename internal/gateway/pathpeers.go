package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/balance"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/core/peerpaths"
	"github.com/wigeonsail/wigeonsail/internal/loop"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

// Paths to endpoints: what this host reports of its own, what it knows of those of others,
// and attempts through another host. A host without paths stays ready while other hosts send
// its attempts, and serves all that arrives. See docs/design/attempts-through-hosts.md.

// pathKeeper follows the paths of this host and of others. The control loop owns it.
type pathKeeper struct {
	others *peerpaths.Table
	// through is the host that carries an attempt, by the attempt's ID.
	through map[model.RequestID]model.HostID
	// lost and suspect are the states of this host's paths as last applied, reported is the
	// report in digests, as of reportedAt.
	lost, suspect bool
	reported      balance.PathReport
	reportedAt    time.Time
}

func newPathKeeper(opts *Options) *pathKeeper {
	return &pathKeeper{others: peerpaths.New(opts.Domain, opts.Seed), through: make(map[model.RequestID]model.HostID)}
}

// reviewPaths applies changes of this host's paths: connections from before are not reused
// when it may have lost them, and other hosts are told.
func (c *control) reviewPaths(now time.Time) {
	k := c.paths
	suspect := c.balancer.ArePathsSuspect(now)
	lost := c.balancer.HasLostPaths()
	if suspect && !k.suspect || lost && !k.lost {
		for _, e := range c.balancer.EndpointAddresses() {
			c.gateway.opts.Endpoints.DropConnections(e.Endpoint, e.Address)
		}
	}
	if lost != k.lost {
		logPaths(c.gateway.opts.Log, lost, k.others.CountReceivers(now))
		c.gateway.opts.Metrics.SetPathsLost(lost)
	}
	if lost && !k.lost {
		c.gateway.attempts.giveUp()
	}
	k.suspect, k.lost = suspect, lost
	c.gateway.pathsLost.Store(lost)
	if lost && k.others.CountReceivers(now) < minReceivers {
		c.assumeReceivers(now)
	}
	usable := c.balancer.HasUsableEndpoint(now)
	if lost {
		usable = k.others.CountReceivers(now) > 0
	}
	c.gateway.usable.Store(usable)
	c.gateway.closesConnections.Store(lost && !usable)
	c.refreshReport(now)
}

// pathReportInterval is the time between two reviews of the endpoints that this host
// reaches, unless it loses or regains its paths.
const pathReportInterval = 100 * time.Millisecond

// refreshReport updates the report for other hosts, and requests digests if it has changed.
func (c *control) refreshReport(now time.Time) {
	k := c.paths
	if k.lost == k.reported.Lost && now.Sub(k.reportedAt) < pathReportInterval {
		return
	}
	before := k.reported
	k.reported, k.reportedAt = c.balancer.PathReport(), now
	if k.reported.Lost != before.Lost || k.reported.Returning != before.Returning || k.reported.Unreached != before.Unreached {
		c.peers.requestDigests()
	}
}

// assumedTime is how long a host that this one does not hear from is assumed to send
// attempts. It refuses them if it does not.
const assumedTime = time.Second

// minReceivers is the number of hosts that send attempts below which others are assumed to.
const minReceivers = 4

// assumeReceivers assumes that the live hosts which this one does not hear from send attempts
// for it. A host that relies on relays hears from these only, and they may have no paths
// either.
func (c *control) assumeReceivers(now time.Time) {
	for _, m := range c.peers.liveMembers(now) {
		p := c.peers.peers[m.Address]
		if c.peers.hearsFrom(now, p) || now.Before(p.leavingUntil) {
			continue
		}
		c.paths.others.Set(peerpaths.Report{
			Host: m.Host, Domain: m.Domain, Address: m.Address, LinkMbps: m.LinkMbps, Takes: true, At: now, Until: now.Add(assumedTime),
		})
	}
}

// reportPaths adds this host's paths to a digest. The endpoints that it does not reach are
// sent while it reaches others.
func (c *control) reportPaths(d *port.LoadDigest) {
	report := c.paths.reported
	d.Paths = port.EndpointPaths{
		TakesAttempts: !d.Leaving && !report.Lost && !report.Returning, Endpoints: report.Endpoints, Unreached: report.Unreached, UnreachedKeys: report.Keys,
	}
}

// receivePaths applies what another host reports of its paths.
func (c *control) receivePaths(now time.Time, p *peer, d port.LoadDigest) {
	report := peerpaths.Report{
		Host: d.Host, Domain: d.Domain, Address: d.Address, LinkMbps: d.LinkSpeedMbps,
		Takes: d.Paths.TakesAttempts && !d.Leaving, Endpoints: d.Paths.Endpoints, Unreached: d.Paths.Unreached, Keys: d.Paths.UnreachedKeys,
		At: now, Until: now.Add(c.peers.timeout(p)),
	}
	c.paths.others.Set(report)
	if !report.IsLost() {
		c.balancer.DoubtSoftware(now, report.Keys)
	}
}

// chooseThrough sets the host that carries a placed attempt if this host does not reach the
// endpoint. It refuses the attempt if there is none.
func (c *control) chooseThrough(now time.Time, id model.RequestID, d *placement) {
	if !d.Indirect {
		return
	}
	receiver, found := c.paths.others.Choose(now, balance.KeyOf(d.Endpoint), c.balancer.DomainOf(d.Endpoint))
	if !found {
		c.balancer.Finish(now, id, balance.Result{})
		d.Decision = balance.Decision{Reason: balance.ReasonNoEndpoint, RetryAfter: noEndpointRetryAfter}
		return
	}
	d.through = receiver
	c.paths.through[id] = receiver.Host
	c.paths.others.Begin(receiver.Host)
}

// endThrough ends the attempt that another host carries, if one does.
func (c *control) endThrough(id model.RequestID) {
	if host, found := c.paths.through[id]; found {
		delete(c.paths.through, id)
		c.paths.others.End(host)
	}
}

// send sends an attempt to the endpoint of the placement, through another host if this one
// does not reach it.
func (x *exchange) send(ctx context.Context, p placement, ended func()) (port.EndpointResponse, error) {
	attempt := port.RoutedAttempt{
		Call:        x.call,
		Endpoint:    p.Endpoint,
		Address:     p.Address,
		Account:     x.account,
		TimeLeft:    time.Until(x.deadline),
		Priority:    p.Priority,
		CacheSource: p.FetchFrom,
		LastEventID: x.lastEvent,
		MovedFrom:   x.movedFrom,
	}
	if !p.Indirect {
		return x.gateway.sendAttempt(ctx, attempt, p.Started, ended)
	}
	reply, err := x.gateway.sendThroughHost(ctx, p.through.Host, p.through.Address, port.PeerAttempt{
		RoutedAttempt: attempt, Started: p.Started, Tier: x.req.Tier, Rank: x.req.Rank,
	})
	if err != nil {
		x.gateway.recordThroughFailed(p, err)
	}
	return reply, err
}

// recordThroughFailed records what the error of an attempt through another host shows of
// that host's paths.
func (g *Gateway) recordThroughFailed(p placement, err error) {
	var failure *port.PeerAttemptError
	if !errors.As(err, &failure) {
		return
	}
	g.loop.Post(loop.Func(func(now time.Time) {
		switch {
		case failure.Unreachable:
			g.control.paths.others.RecordUnreached(now, p.through.Host, balance.KeyOf(p.Endpoint))
		case failure.Refused || failure.PathBroken:
			g.control.paths.others.RecordRefused(now, p.through.Host)
		}
	}))
}

// classifyPeerError derives the result of an attempt through another host from its error. It
// shows nothing of the endpoint unless the endpoint itself has failed.
func classifyPeerError(failure *port.PeerAttemptError) attemptResult {
	out := attemptResult{outcome: failure.Outcome, delivered: failure.Outcome != model.OutcomeNotRun, err: failure}
	switch {
	case failure.Unreachable:
		out.failure = balance.FailureUnreachable
	case failure.Refused || failure.PathBroken:
	default:
		out.failure = balance.FailureBroken
	}
	return out
}

// ClosesConnections implements port.CallRouter.
func (g *Gateway) ClosesConnections() bool { return g.closesConnections.Load() }
