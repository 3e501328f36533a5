package gateway

import (
	"context"
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

// minProgressEvents is the number of events with which an endpoint has begun to answer.
// The first ones may have left before a crash that the request itself causes.
const minProgressEvents = 3

// reportIfCrashed records a request whose endpoint has crashed before it began to answer
// it. A broken response alone is no crash: the endpoint must refuse connections as well.
// One that is silent may be cut off.
func (x *exchange) reportIfCrashed(d balance.Decision, result attemptResult) {
	if result.failure != balance.FailureBroken || result.silent || result.events >= minProgressEvents {
		return
	}
	parts := x.req.Prompt.SharedPartIDs()
	if len(parts) == 0 {
		return
	}
	g := x.gateway
	crash := quarantine.Crash{
		ID:       xxhash.Sum64String(string(g.opts.Host) + "/" + strconv.FormatUint(uint64(g.opts.Incarnation), 10) + "/" + string(x.req.ID)),
		Endpoint: model.Instance{Name: d.Endpoint, Started: d.Started}, Parts: parts, At: time.Now(),
	}
	g.background(func(ctx context.Context) {
		if err := g.opts.Endpoints.Probe(ctx, d.Endpoint, d.Address); err == nil || ctx.Err() != nil {
			return
		}
		g.loop.Post(loop.Func(func(now time.Time) { g.control.recordCrash(now, crash) }))
	})
}

// recordProgress records that an endpoint has begun to answer, once the number of its
// events reaches minProgressEvents.
func (x *exchange) recordProgress(before, after int) {
	if before < minProgressEvents && after >= minProgressEvents {
		x.recordServed()
	}
}

// recordServed records that an endpoint answers the request, if that matters.
func (x *exchange) recordServed() {
	g, prompt := x.gateway, x.req.Prompt
	if len(prompt.SharedParts()) > 0 && g.watchingCrashes.Load() {
		g.loop.Post(loop.Func(func(now time.Time) { g.control.recordServed(now, prompt) }))
	}
}

// recordCrash applies a crash that this host has seen.
func (c *control) recordCrash(now time.Time, crash quarantine.Crash) {
	changes, added := c.quarantine.RecordCrash(now, crash)
	if added {
		logCrash(c.gateway.opts.Log, crash)
		c.peers.requestDigests()
	}
	c.applyQuarantineChanges(changes, "crash")
	c.gateway.saveQuarantine(changes)
}

// recordServed applies that an endpoint has begun to answer a request with a prompt.
func (c *control) recordServed(now time.Time, prompt model.Prompt) {
	changes, cleared := c.quarantine.RecordResponse(now, prompt)
	if cleared {
		c.peers.requestDigests()
	}
	c.applyQuarantineChanges(changes, "response")
	c.gateway.saveQuarantine(changes)
}

// receiveCrashes applies the crashes and parts in a digest, and requests digests that
// report what is new.
func (c *control) receiveCrashes(now time.Time, d port.LoadDigest) {
	changes, news := c.quarantine.Merge(now, reportFrom(now, d))
	if news {
		c.peers.requestDigests()
	}
	c.applyQuarantineChanges(changes, "peer "+string(d.Host))
}

// expireQuarantine ends the quarantine of parts whose time is over. The hosts that read
// the store remove them there.
func (c *control) expireQuarantine(now time.Time) {
	changes := c.quarantine.Expire(now)
	c.applyQuarantineChanges(changes, sourceTimer)
	if c.gateway.reading.Load() {
		c.gateway.saveQuarantine(changes)
	}
}

// applyQuarantineChanges logs changes of the quarantine with their source, and makes
// visible to the goroutines that carry requests whether responses must be recorded.
func (c *control) applyQuarantineChanges(changes []quarantine.Change, source string) {
	for _, change := range changes {
		logQuarantine(c.gateway.opts.Log, change, source)
	}
	c.gateway.watchingCrashes.Store(c.quarantine.IsWatching())
}

// reportCrashes adds what this host knows of crashes to a digest.
func (c *control) reportCrashes(now time.Time, d *port.LoadDigest) {
	report := c.quarantine.Report(now)
	for _, crash := range report.Crashes {
		d.Crashes = append(d.Crashes, port.CrashReport{
			ID: crash.ID, Endpoint: crash.Endpoint, Parts: crash.Parts, Age: now.Sub(crash.At),
		})
	}
	d.QuarantinedParts = partAges(now, report.Quarantined)
	d.ClearedParts = partAges(now, report.Cleared)
}

// partAges returns the ages of states of parts.
func partAges(now time.Time, states []quarantine.PartState) []port.PartAge {
	var out []port.PartAge
	for _, s := range states {
		out = append(out, port.PartAge{Part: s.Part, Age: now.Sub(s.At)})
	}
	return out
}

// reportFrom returns the report in a digest. Its times are never later than those of the
// sender, so that nothing becomes the newer the more often hosts report it to each other.
func reportFrom(now time.Time, d port.LoadDigest) quarantine.Report {
	at := func(age time.Duration) time.Time { return now.Add(-age - readAgePerHop) }
	var out quarantine.Report
	for _, c := range d.Crashes {
		out.Crashes = append(out.Crashes, quarantine.Crash{ID: c.ID, Endpoint: c.Endpoint, Parts: c.Parts, At: at(c.Age)})
	}
	for _, p := range d.QuarantinedParts {
		out.Quarantined = append(out.Quarantined, quarantine.PartState{Part: p.Part, At: at(p.Age)})
	}
	for _, p := range d.ClearedParts {
		out.Cleared = append(out.Cleared, quarantine.PartState{Part: p.Part, At: at(p.Age)})
	}
	return out
}
