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

// How the host follows the stream.
const (
	configReadWait   = 5 * time.Second
	configReadMax    = 256
	configRetryAfter = 250 * time.Millisecond
)

// configControl is the control loop's state of the configuration.
type configControl struct {
	state configstate.State
	// since is when the version in force was put in force.
	since time.Time
	// logReachable says that the last read of the log succeeded.
	logReachable bool
	// fetching says that a peer is being asked for a newer version.
	fetching bool
	// copying says that a copy of the version in force is being appended.
	copying   bool
	nextCopy  time.Time
	published map[string]chan<- configstate.Change
}

// followConfig reads the stream of configurations until ctx ends. Outages are
// waited out: the version in force stays in force.
func (h *Host) followConfig(ctx context.Context) {
	next := model.Offset(0)
	// The first read after an outage does not wait, so that the host learns
	// at once that the log is back.
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
		next = max(next, batch.Earliest)
		h.loop.post(configBatchEvent{batch: batch, atEnd: next >= batch.NextOffset})
	}
}

// configOutageEvent tells that the log could not be read.
type configOutageEvent struct{}

func (configOutageEvent) apply(_ time.Time, c *control) { c.config.logReachable = false }

// configBatchEvent folds records of the stream.
type configBatchEvent struct {
	batch port.Batch
	// atEnd says that the batch ends at the end of the stream.
	atEnd bool
}

func (e configBatchEvent) apply(now time.Time, c *control) {
	c.config.logReachable = true
	c.config.state.SkipTo(e.batch.Earliest)
	for _, rec := range e.batch.Records {
		for _, change := range c.config.state.Apply(rec.Offset, rec.Data) {
			c.configChanged(change)
		}
	}
	// A host that starts skips the versions on the way to the newest one.
	if e.atEnd || c.host.catalog.Load() != nil {
		c.enforce(now)
	}
}

// configChanged logs what a record did and tells its publisher.
func (c *control) configChanged(change configstate.Change) {
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
	if publisher, ok := c.config.published[change.Record.PublishID]; ok {
		delete(c.config.published, change.Record.PublishID)
		publisher <- change
	}
}

func authorOf(a *configstate.Accepted) string {
	if a == nil {
		return "nobody"
	}
	return a.Record.Author
}

// enforce puts the newest accepted version in force.
func (c *control) enforce(now time.Time) {
	current := c.config.state.Current()
	if current == nil || current.Record.Version <= c.host.version() {
		return
	}
	rec := current.Record
	cfg, err := opconfig.Parse(rec.Body)
	if err != nil {
		c.host.opts.Log.Errorf("config: version %d cannot be read: %v", rec.Version, err)
		return
	}
	c.host.accepted.Store(&port.ConfigRecord{Version: rec.Version, Offset: current.Offset, Data: current.Data})
	c.host.observeConfigDrains(cfg)
	c.host.catalog.Store(catalog.New(rec.Version, cfg))
	c.burn.SetClasses(cfg.Classes)
	c.host.guard.SetDomainCount(c.host.catalog.Load().Domains())
	c.config.since = now
	c.carryOut(c.dispatch.SetConfig(now, cfg))
	c.leaving.restore(now, c)
	c.host.opts.Log.Infof("config: version %d of %s is in force", rec.Version, rec.Author)
}

// version returns the version in force; 0 for none.
func (h *Host) version() model.Version {
	accepted := h.accepted.Load()
	if accepted == nil {
		return 0
	}
	return accepted.Version
}
