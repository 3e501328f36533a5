package gateway

import (
	"context"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/balance"
	"github.com/wigeonsail/wigeonsail/internal/core/directory"
	"github.com/wigeonsail/wigeonsail/internal/core/freshness"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/core/quarantine"
	"github.com/wigeonsail/wigeonsail/internal/core/resume"
	"github.com/wigeonsail/wigeonsail/internal/core/routing"
	"github.com/wigeonsail/wigeonsail/internal/loop"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

// control is the state that only the control loop accesses.
type control struct {
	gateway   *Gateway
	balancer  *balance.Balancer
	directory *directory.Directory
	peers     *peerTable
	// quarantine holds what crashes endpoints.
	quarantine *quarantine.State
	// suspectSources is how this host has learned of each suspect.
	suspectSources map[quarantine.Suspect]string
	// streams holds where streams began. targetsSince is since when each route has had its
	// targets; zero if always.
	streams      *resume.State
	targetsSince map[string]time.Time
	// savedHistories are the histories of the pools in the store; nil until they were read.
	savedHistories map[model.PoolName]resume.History
	// published are the entries that endpoints have published of late.
	published map[model.EndpointName]publication
	// writes are the writes to the platform's store.
	writes storeWrites
	// paths are the paths of this host and of others to endpoints.
	paths *pathKeeper
	// brokenResponses are those that may show a crash once a successor is listed.
	// brokenReviewedAt is when they were last reviewed.
	brokenResponses  []brokenResponse
	brokenReviewedAt time.Time
	// trials holds the suspects that are on trial by this host.
	trials map[quarantine.Suspect]bool
	// freshness is when the configuration in force was known to be the newest one.
	freshness freshness.State
	// tickedAt is when the control loop last ticked or noticed a standstill.
	tickedAt time.Time
	// builds are the builds of the hosts that this host hears from, sorted.
	builds []string
	// suspended is the time in which the host was suspended, as far as the ages of what this
	// host knows include it.
	suspended time.Duration
	// fetchingConfig and fetchingList report whether a fetch from a peer is in
	// progress.
	fetchingConfig bool
	fetchingList   bool
	// firstDigestAt is when the first digest of a peer was received.
	firstDigestAt time.Time
	lastListFetch time.Time
	// lastListRead is when this host last read the list of endpoints from the
	// store. nextInList is the position after the records that this host has
	// applied, and lastListChange the position after the last record that changed
	// the list.
	lastListRead   time.Time
	nextInList     model.Position
	lastListChange model.Position
	// firstListAt is when this host got its first list. knowsEnds reports whether it has
	// asked a peer since what has ended.
	firstListAt time.Time
	knowsEnds   bool
	// barrier makes decisions wait for a read of the list.
	barrier listBarrier
	// listReadFailing reports whether this host's last read of the list failed.
	listReadFailing bool
	// loggedReserved is the last logged number of engines reserved for urgent
	// requests, by pool.
	loggedReserved map[model.PoolName]int
	// metricsAt is when the gauges were last set, reviewedAt when the states of all
	// peers were last reviewed.
	metricsAt  time.Time
	reviewedAt time.Time
	// duties decides whether this host makes the calls of the duties; nil if there are none.
	duties *dutyKeeper
	// usage counts and reports the requests of accounts; nil if that is no duty.
	usage *usageReporter
	// missing describes list changes that peers have and this host lacks.
	missing missingChanges
	// capacity sends the orders of endpoints, demand is what callers request.
	capacity *capacityDriver
	demand   *demandMeter
	accounts *accountWork
}

func newControl(g *Gateway) *control {
	paths := newPathKeeper(&g.opts)
	c := &control{
		gateway:        g,
		paths:          paths,
		balancer:       balance.New(balance.Options{Domain: g.opts.Domain, Budget: g.opts.Budget, WarmCaches: g.opts.Warm, FairShares: g.opts.FairShares, Seed: g.opts.Seed, Others: paths.others}),
		directory:      directory.New(),
		quarantine:     quarantine.New(),
		suspectSources: make(map[quarantine.Suspect]string),
		trials:         make(map[quarantine.Suspect]bool),
		streams:        resume.New(),
		published:      make(map[model.EndpointName]publication),
		writes:         storeWrites{gateway: g},
		loggedReserved: make(map[model.PoolName]int),
	}
	c.barrier.request = g.requestListRead
	c.peers = newPeerTable(g)
	c.duties = newDutyKeeper(c)
	c.capacity = newCapacityDriver(g, c.duties)
	c.demand = newDemandMeter()
	c.accounts = newAccountWork(c.balancer.Accounts())
	c.usage = newUsageReporter(c)
	return c
}

// tick runs the periodic work of the control loop.
func (c *control) tick(now time.Time) {
	c.noticeStandstill(now)
	c.tickedAt = later(c.tickedAt, now)
	c.checkEndpoints(now)
	c.reviewBroken(now)
	c.applyEndpointChanges(now, c.directory.Expire(now), sourceTimer)
	c.reviewPaths(now)
	c.fetchMissingChanges(now)
	c.barrier.tick(now)
	c.reviewPeers(now)
	c.demand.tick(now)
	c.accounts.tick(now, c)
	c.peers.tick(now, c)
	c.duties.tick(now)
	c.capacity.tick(now, c)
	c.startMoves(now)
	c.updateMetrics(now)
}

// logReservations logs the numbers of reserved engines that have changed.
func (c *control) logReservations() {
	for pool, count := range c.balancer.ReservedEngines() {
		if c.loggedReserved[pool] != count {
			c.loggedReserved[pool] = count
			logReserved(c.gateway.opts.Log, pool, count)
		}
	}
}

// reviewInterval is the time between two reviews of the states of all peers.
const reviewInterval = 100 * time.Millisecond

// reviewPeers decides, at most once per reviewInterval, what follows from the states
// of all peers: which of them are forgotten, whether this host reads the platform's lists,
// and what it fetches.
func (c *control) reviewPeers(now time.Time) {
	if now.Sub(c.reviewedAt) < reviewInterval {
		return
	}
	c.reviewedAt = now
	c.balancer.ExpirePeers(now)
	c.peers.forgetSilent(now)
	c.paths.others.Expire(now)
	c.updateReading(now)
	c.balancer.RecordListRead(c.listAsOf(now))
	c.streams.Settle(now, c.listView(now))
	c.updateLiveHosts(now)
	c.refreshStaleList(now)
	c.streams.Expire(now, c.isListed)
	c.expireQuarantine(now)
	c.fetchNewerConfig(now)
	c.logReservations()
}

// checkEndpoints opens the connections that test whether endpoints are
// reachable, and logs which failure domains became unreachable or reachable.
func (c *control) checkEndpoints(now time.Time) {
	c.openChecks(c.balancer.StartChecks(now))
	for _, change := range c.balancer.TakeDomainChanges() {
		logDomain(c.gateway.opts.Log, change)
	}
}

// checkEndpoint tests whether an endpoint is reachable that has broken off an attempt of
// another host, which relies on this one to find a crash.
func (g *Gateway) checkEndpoint(name model.EndpointName) {
	g.loop.Post(loop.Func(func(now time.Time) { g.control.openChecks(g.control.balancer.StartCheck(now, name)) }))
}

// openChecks opens the connections of checks and records their results.
func (c *control) openChecks(checks []balance.Check) {
	g := c.gateway
	for _, check := range checks {
		g.background(func(ctx context.Context) {
			err := g.opts.Endpoints.Probe(ctx, check.Endpoint, check.Address)
			logCheck(g.opts.Log, check, err)
			g.loop.Post(loop.Func(func(now time.Time) {
				c.balancer.RecordCheck(now, check.Endpoint, err == nil)
				c.reviewBroken(now)
			}))
		})
	}
}

// markLeaving records that an endpoint has reported that it is leaving, and
// reports it to the peers.
func (g *Gateway) markLeaving(instance model.Instance) {
	g.loop.Post(loop.Func(func(now time.Time) { g.control.applyLeaving(now, []model.Instance{instance}) }))
}

// applyLeaving marks endpoints as leaving. If any was not known to leave, it
// requests digests, which report all such endpoints.
func (c *control) applyLeaving(now time.Time, instances []model.Instance) {
	var changes []directory.Change
	for _, instance := range instances {
		if change, changed := c.directory.MarkLeaving(instance); changed {
			changes = append(changes, change)
		}
	}
	if len(changes) > 0 {
		c.applyEndpointChanges(now, changes, sourceReport)
		c.peers.requestDigests()
	}
}

// applyEndpointChanges passes changes of the list of endpoints to the balancer
// and logs them with their source.
func (c *control) applyEndpointChanges(now time.Time, changes []directory.Change, source string) {
	for _, change := range changes {
		c.balancer.Apply(change)
		if !change.Removed {
			c.streams.ObserveStart(now, change.Entry)
		}
		c.forgetPublished(change)
		logEndpoint(c.gateway.opts.Log, change, c.directory.Age(now), source)
	}
	if len(changes) > 0 {
		c.observeVersions(now)
	}
}

// finish reports the end of an attempt to the balancer. It blocks only while the
// loop's queue is full.
func (g *Gateway) finish(id model.RequestID, res balance.Result) {
	g.loop.Post(loop.Func(func(now time.Time) {
		g.control.balancer.Finish(now, id, res)
		g.control.endThrough(id)
	}))
}

// recordFirstResponse reports to the balancer that the first events of a stream,
// or the whole of another response, have arrived. It blocks only while the loop's
// queue is full.
func (g *Gateway) recordFirstResponse(id model.RequestID) {
	g.loop.Post(loop.Func(func(now time.Time) { g.control.balancer.RecordFirstResponse(now, id) }))
}

// setStalled reports to the balancer that a stream has stalled or resumed. The
// report is dropped when the loop's queue is full.
func (g *Gateway) setStalled(id model.RequestID, stalled bool) {
	g.loop.TryPost(loop.Func(func(time.Time) { g.control.balancer.SetStalled(id, stalled) }))
}

// applyConfig puts a configuration from the store or from a peer in force, logs
// it, and requests digests that announce the version. It ignores versions that
// are not higher than the one in force.
func (c *control) applyConfig(cfg *routing.Config, rec port.ConfigRecord, source string) {
	if cfg.Version <= c.version() {
		return
	}
	before := c.version()
	c.recordTargets(time.Now(), c.gateway.table.Load(), cfg)
	c.gateway.table.Store(routing.NewTable(cfg))
	c.gateway.record.Store(&rec)
	c.balancer.SetPools(cfg.Pools)
	c.capacity.setPools(cfg.Pools)
	c.freshness.SetVersion(cfg.Version)
	c.publishFreshness()
	c.peers.requestDigests()
	c.gateway.opts.Log.WithFields(fields{
		"version": cfg.Version, "before": before, "source": source,
		"routes": len(cfg.Routes), "accounts": len(cfg.Accounts),
	}).Info("config: in force")
}

// learnFreshness applies what this host or another one knows of the newest
// configuration.
func (c *control) learnFreshness(claim freshness.Claim) {
	c.freshness.Learn(claim)
	c.publishFreshness()
}

// confirmation is when something was confirmed, and for how long the host had been suspended
// by then.
type confirmation struct {
	at        time.Time
	suspended time.Duration
}

// publishFreshness makes the freshness visible to the goroutines that carry requests.
func (c *control) publishFreshness() {
	if at := c.freshness.ConfirmedAt(); !at.IsZero() {
		c.gateway.configConfirmed.Store(&confirmation{at: at, suspended: c.suspended})
	}
}

// configAge returns the time since the configuration in force was known to be the
// newest one, at most maxReadAge.
func (g *Gateway) configAge(now time.Time) time.Duration {
	confirmed := g.configConfirmed.Load()
	if confirmed == nil {
		return maxReadAge
	}
	return min(now.Sub(confirmed.at)+g.suspension.total()-confirmed.suspended, maxReadAge)
}
