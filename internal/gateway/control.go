package gateway

import (
	"context"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/balance"
	"github.com/wigeonsail/wigeonsail/internal/core/directory"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/core/routing"
	"github.com/wigeonsail/wigeonsail/internal/loop"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

// control is the state that only the control loop touches.
type control struct {
	gateway   *Gateway
	balancer  *balance.Balancer
	directory *directory.Directory
	peers     *peerTable
	// fetchingConfig and fetchingList say that a peer is being asked.
	fetchingConfig bool
	fetchingList   bool
	listAsked      time.Time
	// listRead is when this host last read the list of endpoints itself,
	// listNext the offset after what it has read, and listChange the one after
	// the last record that changed the list.
	listRead   time.Time
	listNext   model.Offset
	listChange model.Offset
	// listFailing says that this host's last read of the list failed.
	listFailing bool
	// kept is the last logged number of engines that are kept for urgent requests.
	kept map[model.PoolName]int
	// news is what peers know of the list beyond that.
	news listNews
}

func newControl(g *Gateway) *control {
	c := &control{
		gateway:   g,
		balancer:  balance.New(balance.Options{Domain: g.opts.Domain, Budget: g.opts.Budget, Warm: g.opts.Warm, Seed: g.opts.Seed}),
		directory: directory.New(),
		kept:      make(map[model.PoolName]int),
	}
	c.peers = newPeerTable(g)
	return c
}

func (c *control) tick(now time.Time) {
	c.balancer.Tick(now)
	c.checkEndpoints(now)
	c.apply(now, c.directory.Tick(now))
	c.gateway.usable.Store(c.balancer.Usable(now))
	c.chooseReaders(now)
	c.askPeersForList(now)
	c.seekListNews(now)
	c.seekConfig(now)
	c.peers.tick(now, c)
	for pool, count := range c.balancer.Kept() {
		if c.kept[pool] != count {
			c.kept[pool] = count
			logKept(c.gateway.opts.Log, pool, count)
		}
	}
}

// checkEndpoints opens the connections that tell whether endpoints are in reach.
func (c *control) checkEndpoints(now time.Time) {
	g := c.gateway
	for _, check := range c.balancer.Checks(now) {
		g.background(func(ctx context.Context) {
			err := g.opts.Endpoints.Probe(ctx, check.Endpoint, check.Address)
			logChecked(g.opts.Log, check, err)
			g.loop.Post(loop.Func(func(now time.Time) { c.balancer.Checked(now, check.Endpoint, err == nil) }))
		})
	}
	for _, change := range c.balancer.DomainChanges() {
		logDomain(g.opts.Log, change)
	}
}

// apply tells the balancer what changed in the list of endpoints.
func (c *control) apply(now time.Time, changes []directory.Change) {
	for _, change := range changes {
		c.balancer.Apply(change)
		logEndpoint(c.gateway.opts.Log, change, c.directory.Age(now))
	}
}

// place decides where a request goes.
func (g *Gateway) place(ctx context.Context, req balance.Request) (balance.Decision, bool) {
	return ask(ctx, g, func(now time.Time) balance.Decision {
		return g.control.balancer.Submit(now, req)
	})
}

// finish ends the attempt of a request.
func (g *Gateway) finish(id model.RequestID, res balance.Result) {
	g.loop.Post(loop.Func(func(now time.Time) { g.control.balancer.Finish(now, id, res) }))
}

func (g *Gateway) firstAnswer(id model.RequestID) {
	g.loop.Post(loop.Func(func(now time.Time) { g.control.balancer.FirstAnswer(now, id) }))
}

// stalled tells that a stream has stopped, or goes on.
func (g *Gateway) stalled(id model.RequestID, stalled bool) {
	g.loop.Offer(loop.Func(func(time.Time) { g.control.balancer.Stalled(id, stalled) }))
}

// configFound takes a configuration from the platform or from a peer. Only a
// higher version than the one in force changes anything.
func (c *control) configFound(cfg *routing.Config, rec port.ConfigRecord, source string) {
	if cfg.Version <= c.version() {
		return
	}
	before := c.version()
	c.gateway.table.Store(routing.NewTable(cfg))
	c.gateway.record.Store(&rec)
	c.balancer.SetPools(cfg.Pools)
	c.peers.note()
	c.gateway.opts.Log.WithFields(fields{
		"version": cfg.Version, "before": before, "source": source,
		"routes": len(cfg.Routes), "accounts": len(cfg.Accounts),
	}).Info("config: in force")
}
