package host

import (
	"context"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/catalog"
	"github.com/wigeonsail/wigeonsail/internal/core/configstate"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/port"
	"github.com/wigeonsail/wigeonsail/opconfig"
)

// ConfigStream is the stream on which operators publish configurations.
const ConfigStream port.StreamName = "config"

// How the host follows the stream.
const (
	configReadWait   = 5 * time.Second
	configReadMax    = 256
	configRetryAfter = 250 * time.Millisecond
)

// followConfig reads the stream of configurations until ctx ends. Outages are
// waited out: the version in force stays in force.
func (h *Host) followConfig(ctx context.Context) {
	next := model.Offset(0)
	for ctx.Err() == nil {
		batch, err := h.opts.PlatformLog.Read(ctx, ConfigStream, next, configReadMax, configReadWait)
		if err != nil {
			pause(ctx, configRetryAfter)
			continue
		}
		if len(batch.Records) > 0 {
			next = batch.Records[len(batch.Records)-1].Offset + 1
		}
		next = max(next, batch.Earliest)
		h.loop.post(configBatchEvent{batch: batch})
	}
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// configBatchEvent folds records of the stream.
type configBatchEvent struct {
	batch port.Batch
}

func (e configBatchEvent) apply(now time.Time, c *control) {
	c.config.SkipTo(e.batch.Earliest)
	for _, rec := range e.batch.Records {
		for _, change := range c.config.Apply(rec.Offset, rec.Data) {
			c.configChanged(now, change)
		}
	}
}

// configChanged puts an accepted version in force and logs what else happened.
func (c *control) configChanged(now time.Time, change configstate.Change) {
	log := c.host.opts.Log
	switch change.Kind {
	case configstate.ChangeAccepted:
		c.enforce(now, change.Record)
	case configstate.ChangeConflict:
		log.Warnf("config: record at offset %d conflicts with version %d", change.Offset, c.config.Version())
	case configstate.ChangeStopped, configstate.ChangeMalformed:
		log.Errorf("config: record at offset %d: %v", change.Offset, change.Err)
	}
}

func (c *control) enforce(now time.Time, rec *configstate.Record) {
	cfg, err := opconfig.Parse(rec.Body)
	if err != nil {
		c.host.opts.Log.Errorf("config: version %d cannot be read: %v", rec.Version, err)
		return
	}
	c.host.catalog.Store(catalog.New(rec.Version, cfg))
	c.burn.SetClasses(cfg.Classes)
	c.carryOut(c.dispatch.SetConfig(now, cfg))
	c.host.opts.Log.Infof("config: version %d of %s is in force", rec.Version, rec.Author)
}
