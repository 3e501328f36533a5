package orders

import (
	"context"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/clock"
	"github.com/wigeonsail/wigeonsail/internal/core/lease"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

// releaseTimeout bounds the append that gives the lease back.
const releaseTimeout = 2 * time.Second

func (g *Controller) stream() port.StreamName {
	return port.StreamName(lease.StreamPrefix + string(g.opts.Domain))
}

// follow reads the lease stream until ctx ends.
func (g *Controller) follow(ctx context.Context) {
	var next model.Offset
	wait := time.Duration(0)
	for ctx.Err() == nil {
		batch, err := g.opts.PlatformLog.Read(ctx, g.stream(), next, readMax, wait)
		if err != nil {
			g.post(func(time.Time) { g.atEnd = false })
			clock.Sleep(ctx, readRetryAfter)
			wait = 0
			continue
		}
		wait = readWait
		reply := make(chan model.Offset, 1)
		g.post(func(now time.Time) { reply <- g.take(now, batch) })
		select {
		case next = <-reply:
		case <-g.opts.Loop.Stopped():
		}
	}
}

// take applies what was read and returns the offset to read from next.
func (g *Controller) take(now time.Time, batch port.Batch) model.Offset {
	g.keeper.SkipTo(batch.Earliest)
	for _, rec := range batch.Records {
		g.keeper.Apply(now, rec.Offset, rec.Data)
	}
	g.atEnd = g.keeper.Next() >= batch.NextOffset
	return g.keeper.Next()
}

// append adds a lease record. What came of it is learned by reading.
func (g *Controller) append(ctx context.Context, rec *lease.Record) {
	data, err := rec.Encode()
	if err == nil {
		_, err = g.opts.PlatformLog.Append(ctx, g.stream(), data)
	}
	if err != nil {
		g.opts.Log.Warnf("orders: lease of %s: %v", g.opts.Domain, err)
	}
}

// release gives the lease back, so that a successor need not wait it out.
func (g *Controller) release(rec *lease.Record) {
	if rec == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	g.append(ctx, rec)
}
