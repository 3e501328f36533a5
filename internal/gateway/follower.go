package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/clock"
	"github.com/wigeonsail/wigeonsail/internal/core/freshness"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/loop"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

const (
	// configPollTimeout is how long a read waits for a new configuration. Together
	// with pollGrace it limits how long a lost read delays the next one.
	configPollTimeout = time.Second
	// pollGrace is the time for the response to a read whose wait is over. A store
	// that is slower is read without waiting, with the store's whole timeout.
	pollGrace = 500 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the delay between reads that fail.
	minRetryDelay = 200 * time.Millisecond
	maxRetryDelay = 500 * time.Millisecond
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
	// failures is the number of reads that failed since the last success. The first
	// of them began at failingSince, the last one at lastFailedAt.
	failures                   int
	failingSince, lastFailedAt time.Time
}

// listRead is the result of a read of a list.
type listRead struct {
	batch port.KeyedBatch
	// full reports that the batch is the full list.
	full bool
	// asOf is a time as of which the batch is complete: nothing that the store had
	// then is missing. suspended is for how long the host had been suspended when the read
	// began.
	asOf      time.Time
	suspended time.Duration
}

// read returns the records since the last read. The first read, and the one
// after records have expired or the store was restored, returns the full list.
func (f *follower) read(ctx context.Context) (listRead, error) {
	result := listRead{full: !f.synced, asOf: time.Now(), suspended: f.gateway.suspension.total()}
	started := result.asOf
	var err error
	if result.full {
		result.batch, err = f.gateway.opts.Lists.LatestValues(ctx, f.topic)
	} else {
		result.batch, result.asOf, err = f.readChanges(ctx)
	}
	if f.mustReadAll(err) {
		f.synced = false
		return f.read(ctx)
	}
	f.recordResult(started, err)
	if err != nil {
		return result, err
	}
	f.synced = true
	f.next = result.batch.Next
	return result, nil
}

// readChanges reads the changes since the last read, and returns a time as of which
// they are complete. It waits for changes unless the last read failed: a lost read that
// waits would delay the first one after an outage.
func (f *follower) readChanges(ctx context.Context) (port.KeyedBatch, time.Time, error) {
	asOf := time.Now()
	if f.wait == 0 || f.failures > 0 {
		batch, err := f.gateway.opts.Lists.Changes(ctx, f.topic, f.next, 0)
		return batch, asOf, err
	}
	ctx, cancel := context.WithTimeout(ctx, f.wait+pollGrace)
	defer cancel()
	batch, err := f.gateway.opts.Lists.Changes(ctx, f.topic, f.next, f.wait)
	if err == nil && len(batch.Records) == 0 {
		asOf = earlier(asOf.Add(f.wait), time.Now())
	}
	return batch, asOf, err
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
func (f *follower) recordResult(started time.Time, err error) {
	entry := f.gateway.opts.Log.WithField("topic", f.topic.String())
	if err == nil {
		if f.failures > 0 {
			entry.WithFields(fields{
				"failures": f.failures, "failing_ms": time.Since(f.failingSince).Milliseconds(),
				"last_failed_ms": time.Since(f.lastFailedAt).Milliseconds(),
			}).Info("lists: read succeeded again")
		}
		f.failures, f.retryDelay = 0, 0
		return
	}
	if f.failures == 0 {
		f.failingSince = started
		entry.WithError(err).WithField("lasted_ms", time.Since(started).Milliseconds()).Warn("lists: read failed")
	}
	f.failures++
	f.lastFailedAt = started
	f.retryDelay = min(max(2*f.retryDelay, minRetryDelay), maxRetryDelay)
	f.gateway.opts.Metrics.PlatformError("read "+f.topic.String(), model.OutcomeNotRun)
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
		result, err := f.read(ctx)
		if err != nil {
			clock.Sleep(ctx, f.retryDelay)
			continue
		}
		g.receiveConfigs(result)
	}
}

// receiveConfigs submits the configurations that a read returned, and that there was
// no newer one at its time.
func (g *Gateway) receiveConfigs(result listRead) {
	complete := true
	for _, rec := range result.batch.Records {
		complete = g.receiveConfigRecord(rec) && complete
	}
	if complete {
		g.loop.Post(loop.Func(func(now time.Time) { g.control.learnRead(now, result) }))
	}
}

// learnRead records that the configuration in force was the newest one when it was read.
func (c *control) learnRead(now time.Time, result listRead) {
	c.noticeStandstill(now)
	c.learnFreshness(freshness.Claim{Version: c.version(), At: c.agedBySuspension(result.asOf, result.suspended)})
}

// earlier returns the earlier one of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
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
// other keys and removals. It returns false for a configuration that cannot be
// decoded.
func (g *Gateway) receiveConfigRecord(rec port.KeyedRecord) bool {
	if !g.opts.Decoder.IsConfig(rec.Key) || len(rec.Value) == 0 {
		return true
	}
	return g.submitConfig(rec.Value, "platform")
}

// submitConfig decodes a configuration and passes it to the control loop. It logs
// one that cannot be decoded, and returns false.
func (g *Gateway) submitConfig(value []byte, source string) bool {
	cfg, err := g.opts.Decoder.Config(value)
	if err != nil {
		g.opts.Log.WithError(err).WithField("source", source).Error("config: skipped, cannot be decoded")
		return false
	}
	rec := port.ConfigRecord{Version: cfg.Version, Data: value}
	g.loop.Post(loop.Func(func(time.Time) { g.control.applyConfig(cfg, rec, source) }))
	return true
}

// followEndpoints reads the list of endpoints from the platform's store, whenever
// waitForListRead returns, and passes the results to the control loop until ctx
// ends.
func (g *Gateway) followEndpoints(ctx context.Context) {
	f := follower{gateway: g, topic: port.TopicEndpoints}
	for ctx.Err() == nil {
		f.skipKnownChanges(ctx)
		result, err := f.read(ctx)
		if err != nil {
			g.loop.Post(loop.Func(func(time.Time) { g.control.recordListFailure() }))
			clock.Sleep(ctx, f.retryDelay)
			continue
		}
		update := g.decodeEndpoints(result.batch, result.full)
		update.asOf, update.suspended = result.asOf, result.suspended
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

// skipKnownChanges makes the next read of the list of endpoints start after the
// changes that this host has received from other hosts.
func (f *follower) skipKnownChanges(ctx context.Context) {
	known, ok := queryLoop(ctx, f.gateway, func(time.Time) model.Position { return f.gateway.control.nextInList })
	if ok {
		f.next = model.LaterPosition(f.next, known)
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
	// asOf is a time as of which the records are complete. suspended is for how long the
	// host had been suspended when the read began.
	asOf      time.Time
	suspended time.Duration
}

// decodeEndpoints decodes records of the list of endpoints. An entry that cannot be decoded
// is one of another writer and names no endpoint, so that an entry before it under its name
// is gone, like in the full list.
func (g *Gateway) decodeEndpoints(batch port.KeyedBatch, full bool) listUpdate {
	update := listUpdate{full: full, next: batch.Next}
	for _, rec := range batch.Records {
		item := port.ListRecord{At: rec.Offset, Name: model.EndpointName(rec.Key), Removed: true}
		if len(rec.Value) > 0 {
			entry, err := g.opts.Decoder.Endpoint(rec.Key, rec.Value)
			if err != nil {
				g.skippedEntries.log(g.opts.Log, rec.Key, err)
			} else {
				item.Entry, item.Removed = entry, false
			}
		}
		update.records = append(update.records, item)
	}
	return update
}
