package effects

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"golang.org/x/time/rate"

	"github.com/wigeonsail/wigeonsail/internal/clock"
	"github.com/wigeonsail/wigeonsail/internal/core/effect"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

// Limits of the append queue of a partition, and of its appends.
const (
	maxBatchEntries = 256
	maxBatchBytes   = 512 << 10
	maxPendingBytes = 32 << 20
	// appendBurst is the number of appends that an idle partition may send
	// without waiting for the rate limit.
	appendBurst = 4
	// forwardTimeout bounds the call to the host that batches a partition.
	forwardTimeout = 2 * time.Second
	retryFirst     = 100 * time.Millisecond
	retryMax       = time.Second
)

// errQueueFull reports that the queue of a partition has reached maxPendingBytes.
var errQueueFull = errors.New("effects: append queue of the partition is full")

// pendingEntry is an encoded record that waits for its append.
type pendingEntry struct {
	data []byte
	// record is set for this host's own entries, whose append is retried until
	// they are read back.
	record *effect.Record
	// done receives the result of another host's entry; nil for own entries.
	done chan<- appendResult
}

// appendResult is the result of the append of one entry.
type appendResult struct {
	position port.ClaimPosition
	err      error
}

// complete passes the result to the host that forwarded the entry, if any.
func (p pendingEntry) complete(result appendResult) {
	if p.done != nil {
		p.done <- result
	}
}

// appender appends the entries of one partition, one batch at a time. Entries
// that arrive during an append form the next batch.
type appender struct {
	guard     *Guard
	partition int
	limiter   *rate.Limiter
	wake      chan struct{}

	mu    sync.Mutex
	queue []pendingEntry
	bytes int
	// busy reports whether a batch is being appended. empty is closed while no
	// entry is queued or being appended.
	busy  bool
	empty chan struct{}
}

func newAppender(g *Guard, partition int) *appender {
	empty := make(chan struct{})
	close(empty)
	return &appender{
		guard:     g,
		partition: partition,
		limiter:   rate.NewLimiter(appendRate(1), appendBurst),
		wake:      make(chan struct{}, 1),
		empty:     empty,
	}
}

// add queues an entry without blocking. If the queue is full, the entry fails
// with errQueueFull.
func (a *appender) add(p pendingEntry) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.bytes+len(p.data) > maxPendingBytes {
		p.complete(appendResult{err: errQueueFull})
		return
	}
	if !a.busy && len(a.queue) == 0 {
		a.empty = make(chan struct{})
	}
	a.queue = append(a.queue, p)
	a.bytes += len(p.data)
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// drained returns a channel that is closed once no entry is queued or being
// appended.
func (a *appender) drained() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.empty
}

// nextBatch removes the next batch from the queue.
func (a *appender) nextBatch() []pendingEntry {
	a.mu.Lock()
	defer a.mu.Unlock()
	n, size := 0, 0
	for n < len(a.queue) && n < maxBatchEntries {
		size += len(a.queue[n].data)
		if size > maxBatchBytes && n > 0 {
			size -= len(a.queue[n].data)
			break
		}
		n++
	}
	batch := a.queue[:n:n]
	a.queue = a.queue[n:]
	a.bytes -= size
	if a.busy && n == 0 {
		close(a.empty)
	}
	a.busy = n > 0
	return batch
}

// run appends queued entries until ctx ends.
func (a *appender) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.wake:
		}
		for batch := a.nextBatch(); len(batch) > 0; batch = a.nextBatch() {
			a.appendWithRetry(ctx, batch)
		}
	}
}

// appendWithRetry appends a batch. Entries of other hosts are tried once, since
// their hosts retry. Own entries are retried until they are read back, which
// covers appends whose response was lost, or until they are no longer needed.
func (a *appender) appendWithRetry(ctx context.Context, batch []pendingEntry) {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = retryFirst
	retry.MaxInterval = retryMax
	retried := false
	for len(batch) > 0 && ctx.Err() == nil {
		positions, err := a.appendOnce(ctx, batch)
		if err == nil {
			for i, p := range batch {
				p.complete(appendResult{position: positions[i]})
			}
			return
		}
		a.reportFailure(ctx, err, retried)
		retried = true
		for _, p := range batch {
			p.complete(appendResult{err: err})
		}
		clock.Sleep(ctx, retry.NextBackOff())
		batch = a.stillNeeded(ctx, batch)
	}
}

// reportFailure logs the first failure of a batch. It reports the log as
// unavailable to the state machine if the append provably took no effect.
func (a *appender) reportFailure(ctx context.Context, err error, retried bool) {
	if ctx.Err() != nil {
		return
	}
	if !retried {
		a.guard.opts.Logger.Warnf("effects: append to partition %d failed: %v", a.partition, err)
	}
	var platform *port.PlatformError
	if errors.As(err, &platform) && platform.Outcome == model.OutcomeNotRun {
		a.guard.post(logDownEvent{})
	}
}

// stillNeeded returns the own entries of a batch that still have to be appended.
func (a *appender) stillNeeded(ctx context.Context, batch []pendingEntry) []pendingEntry {
	ev := needsAppendEvent{records: make([]*effect.Record, len(batch))}
	for i, p := range batch {
		ev.records[i] = p.record
	}
	reply := make(chan []bool, 1)
	ev.reply = reply
	a.guard.post(ev)
	var keep []bool
	select {
	case keep = <-reply:
	case <-a.guard.opts.Loop.Stopped():
		return nil
	case <-ctx.Done():
		return nil
	}
	var needed []pendingEntry
	for i, p := range batch {
		if keep[i] {
			needed = append(needed, p)
		}
	}
	return needed
}

// appendOnce tries to append a batch once: through the host that batches the
// partition, or directly to the log if that is this host or the call to it fails.
func (a *appender) appendOnce(ctx context.Context, batch []pendingEntry) ([]port.ClaimPosition, error) {
	if address := a.guard.batchingHost(a.partition); address != "" && isOwn(batch) {
		positions, err := a.forwardBatch(ctx, address, batch)
		if err == nil {
			return positions, nil
		}
	}
	if err := a.limiter.Wait(ctx); err != nil {
		return nil, err
	}
	entries := make([][]byte, len(batch))
	for i, p := range batch {
		entries[i] = p.data
	}
	data, err := effect.EncodeBatch(entries)
	if err != nil {
		return nil, err
	}
	offset, err := a.guard.opts.Log.Append(ctx, streamName(a.partition), data)
	if err != nil {
		return nil, err
	}
	positions := make([]port.ClaimPosition, len(batch))
	for i := range positions {
		positions[i] = port.ClaimPosition{Offset: offset, Index: i}
	}
	return positions, nil
}

// isOwn reports whether all entries are this host's own. Entries of other hosts
// are not forwarded again, so that differing membership views cannot cause
// forwarding loops.
func isOwn(batch []pendingEntry) bool {
	for _, p := range batch {
		if p.record == nil {
			return false
		}
	}
	return true
}

// forwardBatch sends a batch to the host that batches the partition.
func (a *appender) forwardBatch(ctx context.Context, address string, batch []pendingEntry) ([]port.ClaimPosition, error) {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	entries := make([]port.ClaimEntry, len(batch))
	for i, p := range batch {
		entries[i] = port.ClaimEntry{Partition: a.partition, Data: p.data}
	}
	positions, err := a.guard.opts.Peers.AppendClaims(ctx, address, entries)
	if err == nil && len(positions) != len(batch) {
		return nil, errors.New("effects: peer returned a different number of positions than entries sent")
	}
	return positions, err
}
