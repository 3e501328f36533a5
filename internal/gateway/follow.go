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
	// configWait is how long a read waits for a new configuration. It bounds the
	// time for which a connection that has gone silent goes unnoticed.
	configWait = 2 * time.Second
	// firstRetry and maxRetry bound the time between reads that fail.
	firstRetry = 200 * time.Millisecond
	maxRetry   = time.Second
	// idleCheck is how often a host that hears of configurations from its peers
	// looks whether it should read again.
	idleCheck = 200 * time.Millisecond
)

// follower reads one of the platform's lists: all of it once, and the changes
// from then on.
type follower struct {
	gateway *Gateway
	topic   port.Topic
	// wait is how long a read waits for changes.
	wait time.Duration
	next model.Offset
	// whole says that the list has been read and next is set.
	whole bool
	retry time.Duration
	// down says that the last read failed.
	down bool
}

// read returns the records since the last read. The first read, and the one
// after records have expired, returns the whole list.
func (f *follower) read(ctx context.Context) (batch port.KeyedBatch, whole bool, err error) {
	if !f.whole {
		batch, err = f.gateway.opts.Lists.LatestValues(ctx, f.topic)
		whole = true
	} else {
		batch, err = f.gateway.opts.Lists.Changes(ctx, f.topic, f.next, f.wait)
	}
	var expired *port.ExpiredError
	if errors.As(err, &expired) {
		f.whole = false
		f.gateway.opts.Log.WithFields(fields{"topic": f.topic.String(), "from": f.next}).Warn("lists: records expired, reading all")
		return f.read(ctx)
	}
	f.note(err)
	if err != nil {
		return batch, whole, err
	}
	f.whole = true
	f.next = batch.NextOffset
	return batch, whole, nil
}

// note logs that the platform was lost or is back.
func (f *follower) note(err error) {
	entry := f.gateway.opts.Log.WithField("topic", f.topic.String())
	switch {
	case err != nil && !f.down:
		entry.WithError(err).Warn("lists: lost")
	case err == nil && f.down:
		entry.Info("lists: back")
	}
	f.down = err != nil
	if err != nil {
		f.retry = min(max(2*f.retry, firstRetry), maxRetry)
		f.gateway.opts.Metrics.PlatformError("read "+f.topic.String(), model.OutcomeNotRun)
		return
	}
	f.retry = 0
}

// followConfig puts each new configuration in force until ctx ends.
func (g *Gateway) followConfig(ctx context.Context) {
	f := follower{gateway: g, topic: port.TopicConfig, wait: configWait}
	for ctx.Err() == nil {
		if f.whole && !g.reading.Load() && !g.awaitConfigNews(ctx) {
			continue
		}
		batch, _, err := f.read(ctx)
		if err != nil {
			clock.Sleep(ctx, f.retry)
			continue
		}
		for _, rec := range batch.Records {
			g.readConfig(rec)
		}
	}
}

// awaitConfigNews waits a little and says whether this host should read although
// others do: versions come from them, unless their hosts do not answer.
func (g *Gateway) awaitConfigNews(ctx context.Context) bool {
	timer := time.NewTimer(idleCheck)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-g.configNews:
		return true
	}
	return false
}

// readConfig decodes a configuration and hands it to the control loop.
func (g *Gateway) readConfig(rec port.KeyedRecord) {
	if !g.opts.Decoder.IsConfig(rec.Key) || len(rec.Value) == 0 {
		return
	}
	g.takeConfig(rec.Value, "platform")
}

func (g *Gateway) takeConfig(value []byte, source string) {
	cfg, err := g.opts.Decoder.Config(value)
	if err != nil {
		g.opts.Log.WithError(err).WithField("source", source).Error("config: skipped, cannot be read")
		return
	}
	rec := port.ConfigRecord{Version: cfg.Version, Data: value}
	g.loop.Post(loop.Func(func(time.Time) { g.control.configFound(cfg, rec, source) }))
}

// followEndpoints keeps the list of endpoints until ctx ends.
func (g *Gateway) followEndpoints(ctx context.Context) {
	f := follower{gateway: g, topic: port.TopicEndpoints}
	for ctx.Err() == nil {
		batch, whole, err := f.read(ctx)
		if err != nil {
			g.loop.Post(loop.Func(func(time.Time) { g.control.listFailed() }))
			clock.Sleep(ctx, f.retry)
			continue
		}
		update := g.decodeEndpoints(batch, whole)
		g.loop.Post(loop.Func(func(now time.Time) { g.control.endpointsFound(now, update) }))
		// News that came while reading is likely read; if not, it comes again.
		select {
		case <-g.listNews:
		default:
		}
		g.awaitListTurn(ctx)
	}
}

// awaitListTurn waits until the list of endpoints is to be read again: at
// regular times by hosts that read, and when another host saw a change.
func (g *Gateway) awaitListTurn(ctx context.Context) {
	ticker := time.NewTicker(g.opts.ListEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.listNews:
			return
		case <-ticker.C:
			if g.reading.Load() {
				return
			}
		}
	}
}

// endpointUpdate is a decoded part of the list of endpoints.
type endpointUpdate struct {
	// whole says that endpoints that are not in the list are gone.
	whole bool
	list  []port.ListRecord
	// next is the offset after the records.
	next model.Offset
}

func (g *Gateway) decodeEndpoints(batch port.KeyedBatch, whole bool) endpointUpdate {
	update := endpointUpdate{whole: whole, next: batch.NextOffset}
	for _, rec := range batch.Records {
		item := port.ListRecord{Name: model.EndpointName(rec.Key)}
		if len(rec.Value) == 0 {
			item.Removed = true
			update.list = append(update.list, item)
			continue
		}
		entry, err := g.opts.Decoder.Endpoint(rec.Key, rec.Value)
		if err != nil {
			g.opts.Log.WithError(err).WithField("endpoint", rec.Key).Warn("lists: entry skipped")
			continue
		}
		item.Entry = entry
		update.list = append(update.list, item)
	}
	return update
}
