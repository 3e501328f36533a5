package lease

import (
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// Options configures a Keeper. All hosts of a domain use the same durations.
type Options struct {
	Host        model.HostID
	Incarnation model.Incarnation
	// Duration is how long a lease lasts without renewal.
	Duration time.Duration
	// OrderTimeout bounds one order to an endpoint.
	OrderTimeout time.Duration
	// Margin covers clocks that run at different speeds.
	Margin time.Duration
}

// renewals is the number of tries to renew within a lease.
const renewals = 3

// Keeper follows one lease stream for one host. Times must come from one
// process's monotonic clock. It is not safe for concurrent use.
type Keeper struct {
	opts Options
	// next is the offset of the next record.
	next model.Offset
	// last is the last valid record and seen when it was read.
	last *Record
	seen time.Time
	// sent is the append that is not yet settled.
	sent   *Record
	sentAt time.Time
	// heldUntil ends this host's own lease.
	heldUntil time.Time
	renewAt   time.Time
}

// New returns a Keeper that starts at the time now. It takes no lease before
// a holder that it cannot know of has run out.
func New(now time.Time, opts Options) *Keeper {
	return &Keeper{opts: opts, seen: now}
}

// Next returns the offset of the next record to read.
func (k *Keeper) Next() model.Offset { return k.next }

// SkipTo tells that the stream's earliest record is at the offset.
func (k *Keeper) SkipTo(earliest model.Offset) { k.next = max(k.next, earliest) }

// Apply reads the record at the offset.
func (k *Keeper) Apply(now time.Time, offset model.Offset, data []byte) {
	if offset < k.next {
		return
	}
	k.next = offset + 1
	rec, err := decode(data)
	if err != nil || rec.Expected != offset {
		return
	}
	k.last = rec
	k.seen = now
	if !k.mine(rec) {
		k.heldUntil = time.Time{}
		return
	}
	if k.sent == nil || rec.Nonce != k.sent.Nonce {
		return
	}
	k.sent = nil
	if rec.Released {
		k.heldUntil = time.Time{}
		return
	}
	k.heldUntil = k.sentAt.Add(rec.Duration)
	k.renewAt = k.sentAt.Add(rec.Duration / renewals)
}

func (k *Keeper) mine(rec *Record) bool {
	return rec.Holder == k.opts.Host && rec.Incarnation == k.opts.Incarnation
}

// Permit returns the fencing number when an order may be given now. The order
// must end within Options.OrderTimeout.
func (k *Keeper) Permit(now time.Time) (model.Offset, bool) {
	if k.last == nil || !k.holds(now) {
		return 0, false
	}
	return k.last.fencing(), true
}

func (k *Keeper) holds(now time.Time) bool {
	return now.Before(k.heldUntil.Add(-k.opts.Margin))
}

// Due returns the record to append now, if any. The nonce must be new. The
// caller has read the stream to its end.
func (k *Keeper) Due(now time.Time, nonce uint64) (*Record, bool) {
	if k.sent != nil && now.Before(k.sentAt.Add(k.opts.Duration/renewals)) {
		return nil, false
	}
	if k.holds(now) {
		if now.Before(k.renewAt) {
			return nil, false
		}
		return k.send(now, &Record{Nonce: nonce, Renews: true, Term: k.last.fencing()}), true
	}
	if now.Before(k.freeAt()) {
		return nil, false
	}
	return k.send(now, &Record{Nonce: nonce}), true
}

// Release returns the record that ends this host's own term early.
func (k *Keeper) Release(now time.Time, nonce uint64) (*Record, bool) {
	if !k.holds(now) {
		return nil, false
	}
	term := k.last.fencing()
	k.heldUntil = time.Time{}
	return k.send(now, &Record{Nonce: nonce, Released: true, Term: term}), true
}

func (k *Keeper) send(now time.Time, rec *Record) *Record {
	rec.Expected = k.next
	rec.Holder = k.opts.Host
	rec.Incarnation = k.opts.Incarnation
	rec.Duration = k.opts.Duration
	k.sent = rec
	k.sentAt = now
	return rec
}

// freeAt is when no order of the last holder can arrive any more: its lease
// counts from before its append, this wait from after it.
func (k *Keeper) freeAt() time.Time {
	wait := k.opts.OrderTimeout + k.opts.Margin
	if k.last == nil {
		return k.seen.Add(k.opts.Duration + wait)
	}
	if k.last.Released {
		return k.seen.Add(wait)
	}
	return k.seen.Add(k.last.Duration + wait)
}

// Holder returns who held the lease last and its fencing number.
func (k *Keeper) Holder() (model.HostID, model.Offset) {
	if k.last == nil || k.last.Released {
		return "", 0
	}
	return k.last.Holder, k.last.fencing()
}
