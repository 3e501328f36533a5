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

// The bounds of what waits for an append.
const (
	maxBatchEntries = 256
	maxBatchBytes   = 512 << 10
	maxPendingBytes = 32 << 20
	// appendBurst is how many appends follow at once in a quiet partition.
	appendBurst = 4
	// handOverTimeout bounds the call to the host that batches a partition.
	handOverTimeout = 2 * time.Second
	retryFirst      = 100 * time.Millisecond
	retryMax        = time.Second
)

// errFull tells that too much waits for the log.
var errFull = errors.New("effects: too many entries wait for the log")

// pending is an entry that waits for its append.
type pending struct {
	data []byte
	// record is set for this host's own entries, which are appended again
	// until they are read back.
	record *effect.Record
	// done takes the end of another host's entry; nil for own entries.
	done chan<- appended
}

// appended is the end of an append.
type appended struct {
	place port.ClaimPosition
	err   error
}

func (p pending) finish(end appended) {
	if p.done != nil {
		p.done <- end
	}
}

// appender appends the entries of one partition, one batch after another.
// While an append is under way the next batch collects.
type appender struct {
	guard     *Guard
	partition int
	limit     *rate.Limiter
	wake      chan struct{}

	mu    sync.Mutex
	queue []pending
	bytes int
	busy  bool
	empty chan struct{}
}

func newAppender(g *Guard, partition int) *appender {
	empty := make(chan struct{})
	close(empty)
	return &appender{
		guard:     g,
		partition: partition,
		limit:     rate.NewLimiter(appendRate(1), appendBurst),
		wake:      make(chan struct{}, 1),
		empty:     empty,
	}
}

// add queues an entry. It never waits.
func (a *appender) add(p pending) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.bytes+len(p.data) > maxPendingBytes {
		p.finish(appended{err: errFull})
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

// idle returns a channel that is closed once nothing waits.
func (a *appender) idle() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.empty
}

// take removes the next batch from the queue.
func (a *appender) take() []pending {
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

func (a *appender) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.wake:
		}
		for batch := a.take(); len(batch) > 0; batch = a.take() {
			a.settle(ctx, batch)
		}
	}
}

// settle appends a batch. Entries of other hosts are tried once, since their
// hosts try again. Own entries are tried until they are read back, which
// settles appends whose answer was lost, or until nobody wants them.
func (a *appender) settle(ctx context.Context, batch []pending) {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = retryFirst
	retry.MaxInterval = retryMax
	again := false
	for len(batch) > 0 && ctx.Err() == nil {
		places, err := a.append(ctx, batch)
		if err == nil {
			for i, p := range batch {
				p.finish(appended{place: places[i]})
			}
			return
		}
		a.noteFailure(ctx, err, again)
		again = true
		for _, p := range batch {
			p.finish(appended{err: err})
		}
		clock.Sleep(ctx, retry.NextBackOff())
		batch = a.wanted(ctx, batch)
	}
}

// noteFailure logs the first failure of a batch and tells the state machine
// that the log is down when the append surely took no effect.
func (a *appender) noteFailure(ctx context.Context, err error, again bool) {
	if ctx.Err() != nil {
		return
	}
	if !again {
		a.guard.opts.Logger.Warnf("effects: append to partition %d failed: %v", a.partition, err)
	}
	var platform *port.PlatformError
	if errors.As(err, &platform) && platform.Outcome == model.OutcomeNotRun {
		a.guard.post(logDownEvent{})
	}
}

// wanted returns the own entries of a batch that still have to be appended.
func (a *appender) wanted(ctx context.Context, batch []pending) []pending {
	ev := wantedEvent{records: make([]*effect.Record, len(batch))}
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
	var left []pending
	for i, p := range batch {
		if keep[i] {
			left = append(left, p)
		}
	}
	return left
}

// append writes a batch once: through the host that batches the partition, or
// straight to the log when that is this host or does not answer.
func (a *appender) append(ctx context.Context, batch []pending) ([]port.ClaimPosition, error) {
	if address := a.guard.batchingHost(a.partition); address != "" && isOwn(batch) {
		places, err := a.handOver(ctx, address, batch)
		if err == nil {
			return places, nil
		}
	}
	if err := a.limit.Wait(ctx); err != nil {
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
	offset, err := a.guard.opts.Log.Append(ctx, streamOf(a.partition), data)
	if err != nil {
		return nil, err
	}
	places := make([]port.ClaimPosition, len(batch))
	for i := range places {
		places[i] = port.ClaimPosition{Offset: offset, Index: i}
	}
	return places, nil
}

// isOwn tells whether all entries are this host's own. Entries of other hosts
// are not handed on, so that differing views cannot send them in circles.
func isOwn(batch []pending) bool {
	for _, p := range batch {
		if p.record == nil {
			return false
		}
	}
	return true
}

func (a *appender) handOver(ctx context.Context, address string, batch []pending) ([]port.ClaimPosition, error) {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	entries := make([]port.ClaimEntry, len(batch))
	for i, p := range batch {
		entries[i] = port.ClaimEntry{Partition: a.partition, Data: p.data}
	}
	places, err := a.guard.opts.Peers.AppendClaims(ctx, address, entries)
	if err == nil && len(places) != len(batch) {
		return nil, errors.New("effects: peer answered for another number of entries")
	}
	return places, err
}
