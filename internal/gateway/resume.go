package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/clock"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/core/resume"
	"github.com/wigeonsail/wigeonsail/internal/core/routing"
	"github.com/wigeonsail/wigeonsail/internal/loop"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

// Streams go on only at the software version that began them: within one response, and when
// a caller resumes a stream at this host that may have begun at another one.

const (
	// maxCurrentAge is the age of the list of endpoints up to which it shows all versions
	// in service. It exceeds the age that the list reaches between two reads and two
	// digests.
	maxCurrentAge = maxDenialAge
	// maxCallerTries is the number of responses, each up to the route's time limit, over
	// which a caller is expected to receive a stream.
	maxCallerTries = 3
	// maxFindPeers is the number of other hosts that are asked where a stream began,
	// findTimeout bounds the calls: the caller waits.
	maxFindPeers = 8
	findTimeout  = 100 * time.Millisecond
	// findInterval is the time between two such questions while the version is not certain.
	findInterval = 100 * time.Millisecond
)

// isResumed reports whether the request resumes a stream.
func (x *exchange) isResumed() bool {
	return x.route.Kind == routing.Streaming && x.call.LastEventID != ""
}

// restrictToOrigin restricts a request that resumes a stream to the pool and the version
// that began it. It returns the error response if they are not known.
func (x *exchange) restrictToOrigin(ctx context.Context) *port.RequestError {
	if !x.isResumed() {
		return nil
	}
	origin, source := x.findOrigin(ctx)
	x.gateway.logResumed(x, origin, source)
	if !origin.IsKnown() || !slices.ContainsFunc(x.route.Targets, func(t routing.Target) bool { return t.Pool == origin.Pool }) {
		return cannotResumeError()
	}
	x.req.Pool, x.req.Software = origin.Pool, origin.Software
	return nil
}

// Sources of the origin of a stream, in logs.
const (
	originRecorded = "recorded"
	originHistory  = "history"
	originPeer     = "peer"
	originUnknown  = "unknown"
)

// originResult is where a stream began, as this host knows.
type originResult struct {
	origin resume.Origin
	source string
	// pending is who wrote a stream whose version is not known yet; nil if that is not known
	// either.
	pending *resume.Source
	// listRead is closed once the history of the list may show the origin; nil if it
	// does not.
	listRead <-chan struct{}
	// peers are the addresses of hosts that may know the origin.
	peers []string
}

// findOrigin returns where the stream that the request resumes began, and how it is known.
func (x *exchange) findOrigin(ctx context.Context) (resume.Origin, string) {
	g, id := x.gateway, resume.NewStreamID(x.call.Resumes)
	found, ok := queryLoop(ctx, g, func(now time.Time) originResult { return g.control.lookUpOrigin(now, x) })
	if !ok || found.source != originUnknown {
		return found.origin, found.source
	}
	if found.pending != nil {
		if software, settled := g.awaitVersion(ctx, *found.pending); settled {
			return resume.Origin{Pool: found.pending.Pool, Software: software}, originRecorded
		}
	}
	if awaitClosed(ctx, found.listRead, barrierTimeout) {
		proven, ok := queryLoop(ctx, g, func(now time.Time) originResult { return g.control.proveOrigin(now, x) })
		if ok && proven.source != originUnknown {
			return proven.origin, proven.source
		}
	}
	if x.call.Resumes == "" {
		return resume.Origin{}, originUnknown
	}
	if origin, known := g.findSettledAtPeers(ctx, found.peers, id); known {
		return origin, originPeer
	}
	return resume.Origin{}, originUnknown
}

// lookUpOrigin returns the recorded origin of the stream that a request resumes, or how it
// can be found.
func (c *control) lookUpOrigin(now time.Time, x *exchange) originResult {
	if found := c.recordedOrigin(x); found.source != originUnknown {
		return found
	}
	out := originResult{source: originUnknown, peers: c.peers.directAddresses(now)}
	if source, pending := c.streams.Pending(resume.NewStreamID(x.call.Resumes)); pending && x.call.Resumes != "" {
		out.pending = &source
	}
	if _, sole := c.soleOrigin(now, x.route); sole && !c.listReadFailing {
		out.listRead = c.barrier.wait(now, now)
	}
	return out
}

// proveOrigin returns the origin of the stream that a request resumes, after a read of the
// list that began after the request was received.
func (c *control) proveOrigin(now time.Time, x *exchange) originResult {
	if found := c.recordedOrigin(x); found.source != originUnknown {
		return found
	}
	if origin, sole := c.soleOrigin(now, x.route); sole {
		return originResult{origin: origin, source: originHistory}
	}
	return originResult{source: originUnknown}
}

// recordedOrigin returns the recorded origin of the stream that a request resumes.
func (c *control) recordedOrigin(x *exchange) originResult {
	origin, known := c.streams.Origin(resume.NewStreamID(x.call.Resumes))
	if !known || x.call.Resumes == "" {
		return originResult{source: originUnknown}
	}
	return originResult{origin: origin, source: originRecorded}
}

// soleOrigin returns the only origin that the streams of a route can have which began before
// the last read of the list. It returns false if there is none.
func (c *control) soleOrigin(now time.Time, route *routing.Route) (resume.Origin, bool) {
	life := max(resume.MinStreamLife, maxCallerTries*route.Timeout)
	if len(route.Targets) != 1 || now.Sub(c.targetsSince[routeKey(route)]) < life {
		return resume.Origin{}, false
	}
	pool := route.Targets[0].Pool
	software, sole := c.streams.SoleVersion(now, pool, life)
	return resume.Origin{Pool: pool, Software: software}, sole
}

// findSettledAtPeers asks other hosts where a stream began, and again while one of them knows
// it without being certain of the version. It returns false if none is.
func (g *Gateway) findSettledAtPeers(ctx context.Context, addresses []string, id resume.StreamID) (resume.Origin, bool) {
	ctx, cancel := context.WithTimeout(ctx, versionWait)
	defer cancel()
	for {
		origin, known := g.findAtPeers(ctx, addresses, id)
		if !known || origin.IsKnown() {
			return origin, known
		}
		if !clock.Sleep(ctx, findInterval) {
			return resume.Origin{}, false
		}
	}
}

// findAtPeers asks other hosts where a stream began. The version of the result is empty if the
// host that knows the stream is not certain of it. It returns false if none of them knows.
func (g *Gateway) findAtPeers(ctx context.Context, addresses []string, id resume.StreamID) (resume.Origin, bool) {
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	type answer struct {
		origin resume.Origin
		known  bool
	}
	answers := make(chan answer, len(addresses))
	for _, address := range addresses {
		go func() {
			origin, known, err := g.opts.Peers.FindStream(ctx, address, id)
			if err != nil && ctx.Err() == nil {
				g.opts.Log.WithError(err).WithField("address", address).Info("peers: asking for a stream failed")
			}
			answers <- answer{origin, known && err == nil}
		}()
	}
	for range addresses {
		if a := <-answers; a.known {
			return a.origin, true
		}
	}
	return resume.Origin{}, false
}

// HandleFindStream returns where a stream began, as far as this host knows. It implements
// port.LoadHandler.
func (g *Gateway) HandleFindStream(ctx context.Context, id resume.StreamID) (resume.Origin, bool, error) {
	type result struct {
		origin resume.Origin
		known  bool
	}
	found, ok := queryLoop(ctx, g, func(now time.Time) result {
		c := g.control
		if source, pending := c.streams.Pending(id); pending {
			c.requestVersion(now, source)
			return result{resume.Origin{Pool: source.Pool}, true}
		}
		origin, known := c.streams.Origin(id)
		return result{origin, known}
	})
	if !ok {
		return resume.Origin{}, false, errStopped
	}
	return found.origin, found.known, nil
}

// routeKey identifies a route across configurations.
func routeKey(r *routing.Route) string { return r.Host + r.PathPrefix }

// recordTargets records which routes of a new configuration have other targets than before.
// Those of the first configuration may always have had theirs.
func (c *control) recordTargets(now time.Time, before *routing.Table, cfg *routing.Config) {
	since := make(map[string]time.Time, len(cfg.Routes))
	for i := range cfg.Routes {
		r := &cfg.Routes[i]
		key := routeKey(r)
		since[key] = c.targetsSince[key]
		if before == nil {
			continue
		}
		old, found := before.RouteAt(r.Host, r.PathPrefix)
		if !found || !slices.Equal(old.Targets, r.Targets) {
			since[key] = now
		}
	}
	c.targetsSince = since
}

// observeVersions records which versions the pools have after a change of the list of
// endpoints. The hosts that read the list save what has changed.
func (c *control) observeVersions(now time.Time) {
	c.saveVersions(c.streams.Observe(now, c.directory.Versions()))
}

// interruptVersions records that a full list has replaced one that was not current, so that
// other versions may have served unnoticed. Changes of the log have no such gap.
func (c *control) interruptVersions(now time.Time) {
	c.streams.Interrupt(now)
	c.saveVersions(c.streams.Pools())
}

// isListCurrent reports whether the list of endpoints shows all versions in service.
func (c *control) isListCurrent(now time.Time) bool { return c.directory.Age(now) <= maxCurrentAge }

// saveVersions saves the histories of pools, if they differ from those in the store. It waits
// until those of earlier processes were read, which go back further.
func (c *control) saveVersions(pools []model.PoolName) {
	store := c.gateway.opts.Versions
	if store == nil || !c.gateway.reading.Load() || c.savedHistories == nil {
		return
	}
	for _, pool := range pools {
		history := c.streams.History(pool)
		if history.Equal(c.savedHistories[pool]) {
			continue
		}
		c.savedHistories[pool] = history
		c.writes.add("versions of "+string(pool), func(ctx context.Context) error {
			return store.SaveVersionHistory(ctx, pool, history)
		})
	}
}

// adoptVersions applies the histories of earlier processes, except those of an earlier era of
// the store, which may have lost newer ones.
func (c *control) adoptVersions(histories port.VersionHistories) {
	c.savedHistories = make(map[model.PoolName]resume.History)
	for pool, history := range histories.ByPool {
		if history.Era != histories.Era {
			logHistoryIgnored(c.gateway.opts.Log, pool, history, histories.Era)
			continue
		}
		c.savedHistories[pool] = history
		c.streams.Adopt(pool, history)
	}
	c.saveVersions(c.streams.Pools())
}

// enterEra records the era of the list of endpoints. In a later one the histories start anew,
// and what this host has saved is saved again, as the store may have lost it.
func (c *control) enterEra(now time.Time, era model.Era) {
	restored := c.nextInList.Era != 0 && era > c.nextInList.Era
	c.streams.EnterEra(now, era)
	if restored {
		c.saveVersions(c.streams.Pools())
		c.saveSuspects()
	}
}

// loadVersions reads the histories of earlier processes from the store, and passes them to
// the control loop. It tries until the store answers or ctx ends.
func (g *Gateway) loadVersions(ctx context.Context) {
	if g.opts.Versions == nil {
		return
	}
	for delay := time.Duration(0); clock.Sleep(ctx, delay); delay = nextStoreDelay(delay) {
		histories, err := g.opts.Versions.VersionHistories(ctx)
		if err != nil {
			g.opts.Log.WithError(err).Warn("versions: reading the store failed")
			continue
		}
		g.loop.Post(loop.Func(func(time.Time) { g.control.adoptVersions(histories) }))
		return
	}
}
