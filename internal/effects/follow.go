package effects

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/clock"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

// Settings of the reads of partitions.
const (
	// readWait is the longest wait of one read for new records.
	readWait = 5 * time.Second
	// readMax bounds the records per event, so that rereading a long stream does
	// not block the control loop.
	readMax        = 16
	readRetryAfter = 200 * time.Millisecond
)

// streamName returns the name of a partition's stream.
func streamName(partition int) port.StreamName {
	return port.StreamName("effects-" + strconv.Itoa(partition))
}

// followPartition reads a partition's stream until ctx ends.
func (g *Guard) followPartition(ctx context.Context, partition int) {
	var next model.Offset
	wait := time.Duration(0)
	firstReadDone := sync.OnceFunc(func() { g.unreadPartitions.Add(-1) })
	for ctx.Err() == nil {
		batch, err := g.opts.Log.Read(ctx, streamName(partition), next, readMax, wait)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			g.post(logDownEvent{})
			firstReadDone()
			clock.Sleep(ctx, readRetryAfter)
			wait = 0
			continue
		}
		wait = readWait
		reply := make(chan model.Offset, 1)
		g.post(batchEvent{partition: partition, batch: batch, next: reply})
		select {
		case next = <-reply:
			firstReadDone()
		case <-g.opts.Loop.Stopped():
		}
	}
}
