package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/clock"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/loop"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

const (
	// configPollTimeout is how long a read waits for a new configuration. It
	// limits how long a dead connection goes unnoticed.
	configPollTimeout = 2 * time.Second
	// minRetryDelay and maxRetryDelay bound the delay between reads that fail.
	minRetryDelay = 200 * time.Millisecond
	maxRetryDelay = time.Second
	// idleCheckInterval is how often a host that receives configurations from
	// its peers checks whether it should read the store again.
	idleCheckInterval = 200 * time.Millisecond
)

// follower reads one of the platform's lists: first the full list, then its
// changes.
type follower struct {
	gateway *Gateway
	topic   port.Topic
	// wait is how long a read waits for changes.
	wait time.Duration
	next model.Position
	// synced reports that the full list has been read and next is set.
	synced     bool
	retryDelay time.Duration
	// failing reports that the last read failed.
	failing bool
}

// read returns the records since the last read. The first read, and the one
// after records have expired or the store was restored, returns the full list.
func (f *follower) read(ctx context.Context) (batch port.KeyedBatch, full bool, err error) {
	if !f.synced {
		batch, err = f.gateway.opts.Lists.LatestValues(ctx, f.topic)
		full = true
	} else {
		batch, err = f.gateway.opts.Lists.Changes(ctx, f.topic, f.next, f.wait)
	}
	if f.mustReadAll(err) {
		f.synced = false
		return f.read(ctx)
	}
	f.recordResult(err)
	if err != nil {
		return batch, full, err
	}
	f.synced = true
	f.next = batch.Next
	return batch, full, nil
}

// mustReadAll reports whether a read of changes failed because the position has no
// meaning to the store any more, and logs it.
func (f *follower) mustReadAll(err error) bool {
	entry := f.gateway.opts.Log.WithFields(fields{"topic": f.topic.String(), "from": f.next.Offset, "era": f.next.Era})
	var expired *port.ExpiredError
	if errors.As(err, &expired) {
		entry.Warn("lists: records expired, reading the full list")
		return true
	}
	var restored *port.RestoredError
	if errors.As(err, &restored) {
		entry.WithField("new_era", restored.Era).Warn("lists: store was restored, reading the full list")
		return true
	}
	return false
}

// recordResult logs the first failed read and the recovery, and sets the delay
// before the next try.
func (f *follower) recordResult(err error) {
	entry := f.gateway.opts.Log.WithField("topic", f.topic.String())
	switch {
	case err != nil && !f.failing:
		entry.WithError(err).Warn("lists: read failed")
	case err == nil && f.failing:
		entry.Info("lists: read succeeded again")
	}
	f.failing = err != nil
	if err != nil {
		f.retryDelay = min(max(2*f.retryDelay, minRetryDelay), maxRetryDelay)
		f.gateway.opts.Metrics.PlatformError("read "+f.topic.String(), model.OutcomeNotRun)
		return
	}
	f.retryDelay = 0
}

// followConfig reads configurations from the platform's store and submits them to
// the control loop until ctx ends. After its first successful read, a host that
// is not a reader reads only when requestConfigRead is called.
func (g *Gateway) followConfig(ctx context.Context) {
	f := follower{gateway: g, topic: port.TopicConfig, wait: configPollTimeout}
	for ctx.Err() == nil {
		if f.synced && !g.reading.Load() && !g.waitForConfigRead(ctx) {
			continue
		}
		batch, _, err := f.read(ctx)
		if err != nil {
			clock.Sleep(ctx, f.retryDelay)
			continue
		}
		for _, rec := range batch.Records {
			g.receiveConfigRecord(rec)
		}
	}
}

// waitForConfigRead waits up to idleCheckInterval and reports whether this host
// should read the configuration although other hosts read it. Configurations
// come from those hosts unless they do not answer.
func (g *Gateway) waitForConfigRead(ctx context.Context) bool {
	timer := time.NewTimer(idleCheckInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-g.readConfigNow:
		return true
	}
	return false
}

// receiveConfigRecord submits a configuration record of the store. It ignores
// other keys and removals.
func (g *Gateway) receiveConfigRecord(rec port.KeyedRecord) {
	if !g.opts.Decoder.IsConfig(rec.Key) || len(rec.Value) == 0 {
		return
	}
	g.submitConfig(rec.Value, "platform")
}

// submitConfig decodes a configuration and passes it to the control loop. It logs
// and skips one that cannot be decoded.
func (g *Gateway) submitConfig(value []byte, source string) {
	cfg, err := g.opts.Decoder.Config(value)
	if err != nil {
		g.opts.Log.WithError(err).WithField("source", source).Error("config: skipped, cannot be decoded")
		return
	}
	rec := port.ConfigRecord{Version: cfg.Version, Data: value}
	g.loop.Post(loop.Func(func(time.Time) { g.control.applyConfig(cfg, rec, source) }))
}

// followEndpoints reads the list of endpoints from the platform's store, whenever
// waitForListRead returns, and passes the results to the control loop until ctx
// ends.
func (g *Gateway) followEndpoints(ctx context.Context) {
	f := follower{gateway: g, topic: port.TopicEndpoints}
	for ctx.Err() == nil {
		batch, full, err := f.read(ctx)
		if err != nil {
			g.loop.Post(loop.Func(func(time.Time) { g.control.recordListFailure() }))
			clock.Sleep(ctx, f.retryDelay)
			continue
		}
		update := g.decodeEndpoints(batch, full)
		g.loop.Post(loop.Func(func(now time.Time) { g.control.applyListRead(now, update) }))
		// A read requested meanwhile is likely covered by the one just done. If
		// not, it is requested again.
		select {
		case <-g.readListNow:
		default:
		}
		g.waitForListRead(ctx)
	}
}

// waitForListRead waits until the list of endpoints is to be read again: at
// regular times if this host reads the lists, and when a read was requested.
func (g *Gateway) waitForListRead(ctx context.Context) {
	ticker := time.NewTicker(g.opts.ListReadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.readListNow:
			return
		case <-ticker.C:
			if g.reading.Load() {
				return
			}
		}
	}
}

// listUpdate is the result of a read of the list of endpoints.
type listUpdate struct {
	// full reports that records is the full list: other endpoints are gone.
	full    bool
	records []port.ListRecord
	// next is the position after the records.
	next model.Position
}

// decodeEndpoints decodes records of the list of endpoints. It skips entries that
// cannot be decoded.
func (g *Gateway) decodeEndpoints(batch port.KeyedBatch, full bool) listUpdate {
	update := listUpdate{full: full, next: batch.Next}
	for _, rec := range batch.Records {
		item := port.ListRecord{Name: model.EndpointName(rec.Key)}
		if len(rec.Value) == 0 {
			item.Removed = true
			update.records = append(update.records, item)
			continue
		}
		entry, err := g.opts.Decoder.Endpoint(rec.Key, rec.Value)
		if err != nil {
			g.opts.Log.WithError(err).WithField("endpoint", rec.Key).Warn("lists: entry skipped, cannot be decoded")
			continue
		}
		item.Entry = entry
		update.records = append(update.records, item)
	}
	return update
}
