package host

import (
	"context"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/clock"
	"github.com/wigeonsail/wigeonsail/internal/core/catalog"
	"github.com/wigeonsail/wigeonsail/internal/core/configstate"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/port"
	"github.com/wigeonsail/wigeonsail/opconfig"
)

// ConfigStream is the stream on which operators publish configurations.
const ConfigStream port.StreamName = configstate.Stream

// Parameters of reading the stream of configurations.
const (
	// configReadWait is how long a read waits for new records.
	configReadWait = 5 * time.Second
	// configReadMax bounds the number of records of one read.
	configReadMax = 256
	// configRetryAfter is the delay after a read that failed.
	configRetryAfter = 250 * time.Millisecond
)

// configLoopState is the part of the control state that concerns the configuration.
type configLoopState struct {
	state configstate.State
	// inForceSince is the time when the version in force was activated.
	inForceSince time.Time
	// logReachable reports whether the last read of the log succeeded.
	logReachable bool
	// fetching is set while a newer version is being fetched from a peer.
	fetching bool
	// carryingForward is set while a copy of the version in force is being
	// appended, and nextCarryForward is the earliest time for the next copy.
	carryingForward  bool
	nextCarryForward time.Time
	// publishers are the channels on which publications in progress receive
	// their results, by publish id.
	publishers map[string]chan<- configstate.Change
}

// followConfig reads the stream of configurations until ctx ends. During an outage
// of the log it retries, and the version in force stays in force.
func (h *Host) followConfig(ctx context.Context) {
	next := model.Offset(0)
	// The first read after an outage does not wait for records, so that the
	// host notices at once that the log is reachable again.
	wait := time.Duration(0)
	for ctx.Err() == nil {
		batch, err := h.opts.PlatformLog.Read(ctx, ConfigStream, next, configReadMax, wait)
		if err != nil {
			wait = 0
			h.loop.post(configOutageEvent{})
			clock.Sleep(ctx, configRetryAfter)
			continue
		}
		wait = configReadWait
		if len(batch.Records) > 0 {
			next = batch.Records[len(batch.Records)-1].Offset + 1
		}
		next = max(next, batch.EraStart, batch.Earliest)
		h.loop.post(configBatchEvent{batch: batch, atEnd: next >= batch.NextOffset})
	}
}

// configOutageEvent marks the log as unreachable after a failed read.
type configOutageEvent struct{}

func (configOutageEvent) apply(_ time.Time, c *control) { c.config.logReachable = false }

// configBatchEvent applies a batch of records from the stream, notifies waiting
// publishers, and may put the newest version in force.
type configBatchEvent struct {
	batch port.Batch
	// atEnd reports whether the batch reaches the end of the stream.
	atEnd bool
}

func (e configBatchEvent) apply(now time.Time, c *control) {
	c.config.logReachable = true
	if c.config.state.BeginEra(e.batch.EraStart) {
		c.host.opts.Log.Warnf("config: the log was restored from a copy, version %d stays in force", c.config.state.Version())
		c.config.nextCarryForward = time.Time{}
	}
	c.config.state.SkipTo(e.batch.Earliest)
	for _, rec := range e.batch.Records {
		for _, change := range c.config.state.Apply(rec.Offset, rec.Data) {
			c.handleConfigChange(change)
		}
	}
	if e.atEnd {
		c.host.configReadAt.Store(&now)
	}
	// A starting host waits for the end of the stream, so that it activates only
	// the newest version.
	if e.atEnd || c.host.catalog.Load() != nil {
		c.activateNewest(now)
	}
}

// handleConfigChange logs conflicts and errors of a record and notifies the
// publisher that waits for it.
func (c *control) handleConfigChange(change configstate.Change) {
	log := c.host.opts.Log
	switch change.Kind {
	case configstate.ChangeConflict:
		log.Warnf("config: record of %s at offset %d conflicts with version %d of %s",
			change.Record.Author, change.Offset, c.config.state.Version(), authorOf(change.Current))
	case configstate.ChangeStopped, configstate.ChangeMalformed:
		log.Errorf("config: record at offset %d: %v", change.Offset, change.Err)
	}
	if change.Record == nil || change.Record.CarriedForward {
		return
	}
	if publisher, ok := c.config.publishers[change.Record.PublishID]; ok {
		delete(c.config.publishers, change.Record.PublishID)
		publisher <- change
	}
}

// authorOf returns the author of an accepted record, or "nobody" if there is none.
func authorOf(a *configstate.Accepted) string {
	if a == nil {
		return "nobody"
	}
	return a.Record.Author
}

// activateNewest puts the newest accepted version in force. If that version cannot
// be parsed, the version in force stays in force.
func (c *control) activateNewest(now time.Time) {
	current := c.config.state.Current()
	if current == nil || current.Record.Version <= c.host.version() {
		return
	}
	rec := current.Record
	cfg, err := opconfig.Parse(rec.Body)
	if err != nil {
		c.host.opts.Log.Errorf("config: version %d cannot be parsed: %v", rec.Version, err)
		return
	}
	c.host.accepted.Store(&port.ConfigRecord{Version: rec.Version, Offset: current.Offset, Data: current.Data})
	c.host.observeConfigDrains(cfg)
	c.host.catalog.Store(catalog.New(rec.Version, cfg))
	c.burn.SetClasses(cfg.Classes)
	c.host.guard.SetDomainCount(c.host.catalog.Load().DomainCount())
	c.config.inForceSince = now
	c.deliver(c.dispatch.SetConfig(now, cfg))
	c.leaving.reconcile(now, c)
	c.host.opts.Log.Infof("config: version %d of %s is in force", rec.Version, rec.Author)
}

// version returns the number of the version in force; 0 if there is none.
func (h *Host) version() model.Version {
	accepted := h.accepted.Load()
	if accepted == nil {
		return 0
	}
	return accepted.Version
}
