package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/clock"
	"github.com/wigeonsail/wigeonsail/internal/loop"
)

// storeWrites are the writes to the platform's store that the control loop has requested.
// They are made one after the other, and a later one for the same key replaces those that
// wait, so that an older value never overwrites a newer one. The control loop owns it.
type storeWrites struct {
	gateway *Gateway
	// queue are the writes that wait, in order.
	queue []storeWrite
	busy  bool
}

// storeWrite is a write for a key.
type storeWrite struct {
	key   string
	do    func(ctx context.Context) error
	tries int
	delay time.Duration
}

// add requests a write.
func (w *storeWrites) add(key string, do func(ctx context.Context) error) {
	w.drop(key)
	w.queue = append(w.queue, storeWrite{key: key, do: do})
	w.next()
}

// drop drops the write for a key if it waits.
func (w *storeWrites) drop(key string) {
	w.queue = slices.DeleteFunc(w.queue, func(other storeWrite) bool { return other.key == key })
}

// next starts the first write that waits, unless another one is in progress.
func (w *storeWrites) next() {
	if w.busy || len(w.queue) == 0 {
		return
	}
	write := w.queue[0]
	w.queue = w.queue[1:]
	w.busy = true
	g := w.gateway
	g.background(func(ctx context.Context) {
		if !clock.Sleep(ctx, write.delay) {
			return
		}
		err := write.do(ctx)
		if err != nil {
			g.opts.Log.WithError(err).WithField("key", write.key).Warn("store: writing failed")
		}
		g.loop.Post(loop.Func(func(time.Time) { w.finish(write, err) }))
	})
}

// finish records the result of a write. One that failed is made again, unless a later one
// for its key waits or it was tried too often.
func (w *storeWrites) finish(write storeWrite, err error) {
	w.busy = false
	write.tries++
	replaced := slices.ContainsFunc(w.queue, func(other storeWrite) bool { return other.key == write.key })
	if err != nil && !replaced && write.tries < maxStoreWrites {
		write.delay = nextStoreDelay(write.delay)
		w.queue = append(w.queue, write)
	}
	w.next()
}
