package gateway

import (
	"context"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/clock"
	"github.com/wigeonsail/wigeonsail/internal/core/duty"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/loop"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

// The stream of the lease and the reports in the platform's log. The holder appends to it
// about once a second, and reads it only after an append whose result is not known. The
// other candidates read it with long polls. All other hosts leave it alone.

const (
	// dutyReadWait and dutyReadMax bound the wait and the records of one read of the
	// stream. dutyReadRetry is the delay after a failed one, dutyIdle the time between
	// checks whether to read.
	dutyReadWait  = time.Second
	dutyReadMax   = 200
	dutyReadRetry = 600 * time.Millisecond
	dutyIdle      = 50 * time.Millisecond
)

// follow reads the stream until ctx ends, while this host is to read it.
func (k *dutyKeeper) follow(ctx context.Context) {
	g := k.control.gateway
	wait, pause := time.Duration(0), time.Duration(0)
	for clock.Sleep(ctx, pause) {
		if !k.following.Load() {
			wait, pause = 0, dutyIdle
			continue
		}
		next, ok := queryLoop(ctx, g, func(time.Time) model.Offset { return k.keeper.Next() })
		if !ok {
			pause = dutyIdle
			continue
		}
		batch, err := k.opts.Log.Read(ctx, duty.StreamName, next, dutyReadMax, wait)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			g.opts.Metrics.PlatformError("read duties", model.OutcomeNotRun)
			g.opts.Log.WithError(err).Warn("duties: reading the stream failed")
			g.loop.Post(loop.Func(func(time.Time) { k.caughtUp = false }))
			wait, pause = 0, dutyReadRetry
			continue
		}
		wait, pause = dutyReadWait, 0
		if k.term.Load() != nil {
			// The holder must know soon what became of its record.
			wait = 0
		}
		if !k.deliver(ctx, batch) {
			return
		}
	}
}

// deliver passes a batch to the control loop and waits until it was applied. It returns
// false if the loop has stopped.
func (k *dutyKeeper) deliver(ctx context.Context, batch port.Batch) bool {
	applied := make(chan struct{})
	k.control.gateway.loop.Post(loop.Func(func(now time.Time) {
		k.apply(now, batch)
		close(applied)
	}))
	select {
	case <-applied:
		return true
	case <-ctx.Done():
	case <-k.control.gateway.loop.Stopped():
	}
	return false
}

// apply applies a batch of the stream.
func (k *dutyKeeper) apply(now time.Time, batch port.Batch) {
	steady := k.opts.Steady()
	k.keeper.BeginBatch(steady, batch.EraStart, batch.Earliest)
	for _, rec := range batch.Records {
		k.keeper.Apply(steady, rec.Offset, rec.Data)
	}
	k.caughtUp = k.keeper.Next() >= batch.NextOffset
	k.checkSoon(now)
}

// checkSoon makes the next tick check what is due.
func (k *dutyKeeper) checkSoon(now time.Time) { k.checkedAt = now.Add(-dutyInterval) }

// append appends a record in the background. If it got the offset that makes it valid, it
// is applied; else the stream is read to find out what became of it.
func (k *dutyKeeper) append(rec *duty.Record) {
	g := k.control.gateway
	data, err := rec.Encode()
	if err != nil {
		g.opts.Log.WithError(err).Error("duties: a record cannot be encoded")
		return
	}
	k.appending = true
	g.background(func(ctx context.Context) {
		offset, err := k.opts.Log.Append(ctx, duty.StreamName, data)
		if err != nil {
			g.opts.Metrics.PlatformError("append duties", model.OutcomeUnknown)
			g.opts.Log.WithError(err).Warn("duties: appending to the stream failed")
		}
		g.loop.Post(loop.Func(func(now time.Time) {
			k.appending = false
			k.checkSoon(now)
			switch {
			case err != nil || offset != rec.Expected() || offset > k.keeper.Next():
				k.caughtUp = false
			default:
				// The record may have been read already.
				k.keeper.Apply(k.opts.Steady(), offset, data)
			}
		}))
	})
}
