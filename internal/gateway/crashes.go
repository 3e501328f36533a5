package gateway

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeonsail/wigeonsail/internal/core/balance"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/core/quarantine"
	"github.com/wigeonsail/wigeonsail/internal/loop"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

// Requests under which endpoints crash: from attempts and digests to the quarantine, and
// from there into the digests of this host.

const (
	// minProgressEvents is the number of events with which an endpoint has begun to
	// answer. The first ones may have left before a crash that the prompt itself causes.
	minProgressEvents = 3
	// maxConfirmWait bounds how long a retry waits until it is known whether the endpoint
	// of the attempt before has crashed. It exceeds a round trip to any failure domain.
	maxConfirmWait = 50 * time.Millisecond
)

// reportIfCrashed records a request that was in progress at an endpoint which has crashed.
// A broken response alone is no crash: the endpoint must refuse connections as well while
// others answer, or have a successor. One that is silent may be cut off. The channel is
// closed once the result is recorded; it is nil if there is nothing to record. The endpoint
// of an attempt through another host has crashed if a host of its domain finds so.
func (x *exchange) reportIfCrashed(d placement, result attemptResult) <-chan struct{} {
	if result.failure != balance.FailureBroken || result.silent {
		return nil
	}
	g := x.gateway
	crash := quarantine.Crash{
		ID:       xxhash.Sum64String(string(g.opts.Host) + "/" + strconv.FormatUint(uint64(g.opts.Incarnation), 10) + "/" + string(x.req.ID)),
		Endpoint: model.Instance{Name: d.Endpoint, Started: d.Started}, Request: x.fingerprint, Generation: d.generation, At: time.Now(),
	}
	if result.events < minProgressEvents {
		crash.Parts = x.req.Prompt.SharedPartIDs()
	}
	done := make(chan struct{})
	if d.Indirect {
		g.loop.Post(loop.Func(func(now time.Time) {
			g.control.recordBroken(now, brokenResponse{crash: crash, address: d.Address, refused: true, indirect: true, recorded: done})
		}))
		return done
	}
	g.background(func(ctx context.Context) {
		err := g.opts.Endpoints.Probe(ctx, d.Endpoint, d.Address)
		if ctx.Err() != nil {
			close(done)
			return
		}
		g.loop.Post(loop.Func(func(now time.Time) {
			g.control.recordBroken(now, brokenResponse{crash: crash, address: d.Address, refused: isRefusal(err), recorded: done})
		}))
	})
	return done
}

const (
	// successorTime is how long after a broken response a successor of the endpoint shows
	// that it has crashed. The list of endpoints has the successor within about 2 s of its
	// start.
	successorTime = 5 * time.Second
	// maxBrokenResponses bounds the broken responses that are kept. If they are more than
	// reviewedAtOnce, they are reviewed no more often than once in reviewInterval.
	maxBrokenResponses = 128
	reviewedAtOnce     = 8
)

// brokenResponse is a response that an endpoint broke off and that may show a crash.
type brokenResponse struct {
	crash   quarantine.Crash
	address string
	// refused reports that nothing accepts connections at the address as far as this host
	// sees, which may have lost its paths. Otherwise the endpoint itself does, or one that
	// has started there since.
	refused bool
	// indirect reports that another host carried the attempt.
	indirect bool
	// refusedAgain reports that the endpoint has also refused a check that began while others
	// were checked.
	refusedAgain bool
	// recorded is closed once the crash is recorded or the wait for it ends; nil if nobody
	// waits.
	recorded chan struct{}
}

// isRefusal reports whether a check has failed at once. One that has timed out shows a lost
// path rather than a crash.
func isRefusal(err error) bool {
	var timeout interface{ Timeout() bool }
	if errors.As(err, &timeout) && timeout.Timeout() {
		return false
	}
	return err != nil
}

// recordBroken records a crash if the endpoint refuses connections and others answer. If
// that is not known yet, it starts checks and keeps the broken response.
func (c *control) recordBroken(now time.Time, b brokenResponse) {
	if !b.refused {
		close(b.recorded)
		b.recorded = nil
	}
	if c.hasOwnFailure(b) {
		c.recordFound(now, b)
		return
	}
	if b.refused && !b.indirect {
		c.balancer.RequestChecks(b.crash.Endpoint.Name)
		c.checkEndpoints(now)
		c.checkBroken(b)
	}
	c.keepBroken(b)
}

// checkBroken checks the endpoint of a broken response while others are checked, so that its
// crash is recorded once these have answered.
func (c *control) checkBroken(b brokenResponse) {
	c.probeBroken(b, func(now time.Time, refused bool) {
		for i := range c.brokenResponses {
			if kept := &c.brokenResponses[i]; kept.crash.ID == b.crash.ID {
				kept.refusedAgain = refused
			}
		}
		c.reviewBroken(now)
	})
}

// probeBroken checks the endpoint of a broken response, and passes whether it refuses
// connections to record, on the control loop.
func (c *control) probeBroken(b brokenResponse, record func(now time.Time, refused bool)) {
	g := c.gateway
	g.background(func(ctx context.Context) {
		refused := isRefusal(g.opts.Endpoints.Probe(ctx, b.crash.Endpoint.Name, b.address))
		g.loop.Post(loop.Func(func(now time.Time) { record(now, refused) }))
	})
}

// keepBroken keeps a broken response for review. The oldest one is dropped if there are too
// many.
func (c *control) keepBroken(b brokenResponse) {
	if len(c.brokenResponses) >= maxBrokenResponses {
		c.dropBroken(c.brokenResponses[0])
		c.brokenResponses = c.brokenResponses[1:]
	}
	c.brokenResponses = append(c.brokenResponses, b)
}

// hasOwnFailure reports whether the endpoint of a broken response refuses connections while
// others answer.
func (c *control) hasOwnFailure(b brokenResponse) bool {
	return b.refused && !b.indirect && !c.balancer.HasLostPaths() && c.balancer.IsOwnFailure(b.crash.Endpoint.Name, b.crash.At)
}

// isFoundElsewhere reports whether the list, or a host of its domain, shows that the endpoint
// of a broken response has crashed.
func (c *control) isFoundElsewhere(b brokenResponse) bool {
	name := b.crash.Endpoint.Name
	return c.directory.HasSuccessor(b.crash.Endpoint, b.address) ||
		b.refused && c.paths.others.IsUnreachedAt(c.balancer.DomainOf(name), balance.KeyOf(name), b.crash.At)
}

// recordFound records the crash of a broken response.
func (c *control) recordFound(now time.Time, b brokenResponse) {
	c.recordCrash(now, b.crash)
	c.dropBroken(b)
}

// probeAgain records the crash of a broken response if the endpoint still refuses connections.
// This host may have lost its paths for a moment.
func (c *control) probeAgain(b brokenResponse) {
	c.probeBroken(b, func(now time.Time, refused bool) {
		if refused {
			c.recordFound(now, b)
			return
		}
		c.dropBroken(b)
		b.refused, b.recorded = false, nil
		c.keepBroken(b)
	})
}

// dropBroken ends the wait for the crash of a broken response.
func (c *control) dropBroken(b brokenResponse) {
	if b.recorded != nil {
		close(b.recorded)
	}
}

// reviewBroken records the crashes that are certain by now, and drops the broken responses
// that have shown none in time.
func (c *control) reviewBroken(now time.Time) {
	if len(c.brokenResponses) > reviewedAtOnce && now.Sub(c.brokenReviewedAt) < reviewInterval {
		return
	}
	c.brokenReviewedAt = now
	c.brokenResponses = slices.DeleteFunc(c.brokenResponses, func(b brokenResponse) bool {
		switch {
		case c.isFoundElsewhere(b):
			c.recordFound(now, b)
		case c.hasOwnFailure(b) && !b.refusedAgain && c.paths.others.HavePathsSince(now, b.crash.At):
			c.probeAgain(b)
		case c.hasOwnFailure(b):
			// It has refused twice, or all endpoints were down for all hosts.
			c.recordFound(now, b)
		case now.Sub(b.crash.At) > successorTime:
			c.dropBroken(b)
		default:
			return false
		}
		return true
	})
}

// recordProgress records that an endpoint has begun to answer, once the number of its
// events reaches minProgressEvents.
func (x *exchange) recordProgress(before, after int) {
	if before < minProgressEvents && after >= minProgressEvents {
		x.clearParts()
	}
}

// clearParts records that an endpoint has begun to answer the request.
func (x *exchange) clearParts() {
	g, prompt := x.gateway, x.req.Prompt
	g.answered.record(time.Now(), prompt)
	if len(prompt.SharedParts()) > 0 && g.watchingCrashes.Load() {
		g.loop.Post(loop.Func(func(now time.Time) { g.control.recordProgress(now, prompt) }))
	}
}

// clearRequest records that an endpoint has answered the request completely, if that
// matters.
func (x *exchange) clearRequest() {
	g, fingerprint := x.gateway, x.fingerprint
	if g.watchingCrashes.Load() {
		g.loop.Post(loop.Func(func(now time.Time) { g.control.recordAnswer(now, fingerprint) }))
	}
}

// recordCrash applies a crash that this host has seen. The announced end of an endpoint is
// none.
func (c *control) recordCrash(now time.Time, crash quarantine.Crash) {
	if c.directory.HasEnded(crash.Endpoint, crash.At) {
		c.gateway.opts.Log.WithField("endpoint", crash.Endpoint.Name).Info("endpoints: ended as announced, with a request in progress")
		return
	}
	c.balancer.RecordCrash(now, crash.At, crash.Endpoint)
	c.recordAnswered(now, crash)
	changes, added := c.quarantine.RecordCrash(now, crash)
	if added {
		logCrash(c.gateway.opts.Log, crash)
		c.peers.requestDigests()
	}
	c.applyOwnChanges(changes, "crash")
}

// recordAnswered records which parts of a request that has crashed an endpoint were answered
// before at this host.
func (c *control) recordAnswered(now time.Time, crash quarantine.Crash) {
	if c.quarantine.Knows(crash) {
		return
	}
	for part, answered := range c.gateway.answered.last(crash.Parts) {
		changes, cleared := c.quarantine.RecordAnswered(now, part, answered)
		if cleared {
			c.peers.requestDigests()
		}
		c.applyOwnChanges(changes, "response")
	}
}

// recordProgress applies that an endpoint has begun to answer a request with a prompt.
func (c *control) recordProgress(now time.Time, prompt model.Prompt) {
	changes, cleared := c.quarantine.RecordProgress(now, prompt)
	if cleared {
		c.peers.requestDigests()
	}
	c.applyOwnChanges(changes, "response")
}

// recordAnswer applies that an endpoint has answered a request completely.
func (c *control) recordAnswer(now time.Time, f model.Fingerprint) {
	changes, cleared := c.quarantine.RecordAnswer(now, f)
	if cleared {
		c.peers.requestDigests()
	}
	c.applyOwnChanges(changes, "response")
}

// lift applies that an operator lifts a suspect. It returns false if nothing is known of it.
func (c *control) lift(now time.Time, suspect quarantine.Suspect) bool {
	changes, cleared := c.quarantine.Release(now, suspect)
	if cleared {
		c.peers.requestDigests()
	}
	c.applyOwnChanges(changes, "operator")
	return cleared
}

// receiveCrashes applies the crashes and suspects in a digest, and requests digests that
// report what is new.
func (c *control) receiveCrashes(now time.Time, d port.LoadDigest) {
	report := reportFrom(now, d)
	for _, crash := range report.Crashes {
		c.balancer.RecordCrash(now, crash.At, crash.Endpoint)
		c.recordAnswered(now, crash)
	}
	changes, news := c.quarantine.Merge(now, report)
	if news {
		c.peers.requestDigests()
	}
	for _, change := range changes {
		if change.Released {
			// Another host removes it from the store.
			c.writes.drop(suspectKey(change.Suspect))
		}
	}
	c.applyQuarantineChanges(changes, "peer "+string(d.Host))
	c.saveFound(changes)
}

// saveFound saves the suspects that crashes of several hosts together point to, of which none
// may have found them by a crash of its own. The hosts that read the store do so.
func (c *control) saveFound(changes []quarantine.Change) {
	if !c.gateway.reading.Load() {
		return
	}
	c.saveQuarantine(slices.DeleteFunc(slices.Clone(changes), func(change quarantine.Change) bool { return change.Released }))
}

// expireQuarantine releases the suspects whose time is over. The hosts that read the store
// remove them there.
func (c *control) expireQuarantine(now time.Time) {
	changes := c.quarantine.Expire(now)
	c.applyQuarantineChanges(changes, sourceTimer)
	if c.gateway.reading.Load() {
		c.saveQuarantine(changes)
	}
}

// applyOwnChanges applies changes that this host has found first, and saves them.
func (c *control) applyOwnChanges(changes []quarantine.Change, source string) {
	c.applyQuarantineChanges(changes, source)
	c.saveQuarantine(changes)
}

// applyQuarantineChanges logs changes of the quarantine with their source, and makes
// visible to the goroutines that carry requests whether responses must be recorded.
func (c *control) applyQuarantineChanges(changes []quarantine.Change, source string) {
	for _, change := range changes {
		logQuarantine(c.gateway.opts.Log, change, source)
		if change.Released {
			delete(c.suspectSources, change.Suspect)
		} else {
			c.suspectSources[change.Suspect] = source
		}
	}
	c.gateway.watchingCrashes.Store(c.quarantine.IsWatching())
}

// reportCrashes adds what this host knows of crashes to a digest.
func (c *control) reportCrashes(now time.Time, d *port.LoadDigest) {
	report := c.quarantine.Report(now)
	for _, crash := range report.Crashes {
		d.Crashes = append(d.Crashes, port.CrashReport{
			ID: crash.ID, Endpoint: crash.Endpoint, Parts: crash.Parts, Request: crash.Request, Generation: crash.Generation, Age: now.Sub(crash.At),
		})
	}
	for _, s := range report.Suspects {
		d.Suspects = append(d.Suspects, port.SuspectAge{Suspect: s.Suspect, Crashes: s.Crashes, Age: now.Sub(s.At)})
	}
	for _, s := range report.Cleared {
		d.ClearedSuspects = append(d.ClearedSuspects, port.SuspectAge{Suspect: s.Suspect, Age: now.Sub(s.At)})
	}
}

// reportFrom returns the report in a digest. Its times are never later than those of the
// sender, so that nothing becomes the newer the more often hosts report it to each other.
func reportFrom(now time.Time, d port.LoadDigest) quarantine.Report {
	at := func(age time.Duration) time.Time { return now.Add(-age - readAgePerHop) }
	var out quarantine.Report
	for _, c := range d.Crashes {
		out.Crashes = append(out.Crashes, quarantine.Crash{
			ID: c.ID, Endpoint: c.Endpoint, Parts: c.Parts, Request: c.Request, Generation: c.Generation, At: at(c.Age),
		})
	}
	for _, s := range d.Suspects {
		out.Suspects = append(out.Suspects, quarantine.SuspectEvidence{
			Suspect: s.Suspect, Evidence: quarantine.Evidence{Crashes: s.Crashes, At: at(s.Age)},
		})
	}
	for _, s := range d.ClearedSuspects {
		out.Cleared = append(out.Cleared, quarantine.ClearedSuspect{Suspect: s.Suspect, At: at(s.Age)})
	}
	return out
}
