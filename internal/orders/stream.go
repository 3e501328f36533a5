package orders

import (
	"context"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/clock"
	"github.com/wigeonsail/wigeonsail/internal/core/lease"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

// releaseTimeout bounds the append that releases the lease.
const releaseTimeout = 2 * time.Second

// streamName returns the name of the failure domain's lease stream.
func (c *Controller) streamName() port.StreamName {
	return port.StreamName(lease.StreamPrefix + string(c.opts.Domain))
}

// followLease reads the lease stream until ctx ends.
func (c *Controller) followLease(ctx context.Context) {
	var next model.Offset
	wait := time.Duration(0)
	for ctx.Err() == nil {
		batch, err := c.opts.PlatformLog.Read(ctx, c.streamName(), next, readMax, wait)
		if err != nil {
			c.post(func(time.Time) { c.caughtUp = false })
			clock.Sleep(ctx, readRetryAfter)
			wait = 0
			continue
		}
		wait = readWait
		reply := make(chan model.Offset, 1)
		c.post(func(now time.Time) { reply <- c.applyBatch(now, batch) })
		select {
		case next = <-reply:
		case <-c.opts.Loop.Stopped():
		}
	}
}

// applyBatch applies records of the lease stream and returns the offset of the
// next read.
func (c *Controller) applyBatch(now time.Time, batch port.Batch) model.Offset {
	c.keeper.BeginEra(now, batch.EraStart)
	c.keeper.SkipTo(batch.Earliest)
	for _, rec := range batch.Records {
		c.keeper.Apply(now, rec.Offset, rec.Data)
	}
	c.caughtUp = c.keeper.Next() >= batch.NextOffset
	return c.keeper.Next()
}

// appendRecord appends a lease record. Whether it took effect is found out by
// reading the stream.
func (c *Controller) appendRecord(ctx context.Context, rec *lease.Record) {
	data, err := rec.Encode()
	if err == nil {
		_, err = c.opts.PlatformLog.Append(ctx, c.streamName(), data)
	}
	if err != nil {
		c.opts.Log.Warnf("orders: lease record of %s was not appended: %v", c.opts.Domain, err)
	}
}

// appendRelease appends the release of the lease, so that a successor need not
// wait for its expiry.
func (c *Controller) appendRelease(rec *lease.Record) {
	if rec == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	c.appendRecord(ctx, rec)
}
