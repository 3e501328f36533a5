package gateway

import (
	"context"
	"slices"
	"time"
)

// A decision that follows from what the list of endpoints lacks needs a read of the store
// that began after the decision was asked for: however young the list is, another host may
// have learned of an endpoint since, and this host may be cut off or may have stood still.

const (
	// barrierReadInterval is the minimum time between two reads that are requested for
	// waiting decisions. It bounds the calls to the store.
	barrierReadInterval = 200 * time.Millisecond
	// barrierTimeout bounds the wait for such a read.
	barrierTimeout = 500 * time.Millisecond
	// maxBarrierWaiters bounds the decisions that wait at once.
	maxBarrierWaiters = 4096
)

// listBarrier makes decisions wait for a read of the list of endpoints. The control loop
// owns it.
type listBarrier struct {
	// request requests a read of the store.
	request     func()
	requestedAt time.Time
	waiters     []barrierWaiter
}

// barrierWaiter is a decision that waits for a read that began after since.
type barrierWaiter struct {
	since time.Time
	done  chan<- struct{}
}

// wait returns a channel that is closed once a read that began after since is applied. It
// returns nil if too many decisions wait.
func (b *listBarrier) wait(now, since time.Time) <-chan struct{} {
	if len(b.waiters) >= maxBarrierWaiters {
		return nil
	}
	done := make(chan struct{})
	b.waiters = append(b.waiters, barrierWaiter{since: since, done: done})
	b.requestDue(now)
	return done
}

// recordRead records that a read is applied, which shows what the store held at asOf.
func (b *listBarrier) recordRead(asOf time.Time) {
	b.removeWaiters(func(w barrierWaiter) bool {
		if asOf.Before(w.since) {
			return false
		}
		close(w.done)
		return true
	})
}

// tick forgets decisions that are waited for no more, and requests reads for the others.
func (b *listBarrier) tick(now time.Time) {
	b.removeWaiters(func(w barrierWaiter) bool { return now.Sub(w.since) > barrierTimeout })
	b.requestDue(now)
}

// requestDue requests a read if one that begins now ends a wait.
func (b *listBarrier) requestDue(now time.Time) {
	isDue := func(w barrierWaiter) bool { return !now.Before(w.since) }
	if slices.ContainsFunc(b.waiters, isDue) {
		b.requestRead(now)
	}
}

// requestRead requests a read, unless one was requested within barrierReadInterval.
func (b *listBarrier) requestRead(now time.Time) {
	if now.Sub(b.requestedAt) >= barrierReadInterval {
		b.requestedAt = now
		b.request()
	}
}

// removeWaiters removes the waiters that match, and keeps the order of the others.
func (b *listBarrier) removeWaiters(matches func(barrierWaiter) bool) {
	kept := b.waiters[:0]
	for _, w := range b.waiters {
		if !matches(w) {
			kept = append(kept, w)
		}
	}
	clear(b.waiters[len(kept):])
	b.waiters = kept
}

// awaitClosed waits until done is closed. It returns false if that takes longer than
// timeout or ctx ends before.
func awaitClosed(ctx context.Context, done <-chan struct{}, timeout time.Duration) bool {
	if done == nil {
		return false
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-done:
		return true
	case <-timer.C:
		return false
	case <-ctx.Done():
		return false
	}
}
