package lease

import (
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// Options configures a Keeper. All hosts of a failure domain must use the same
// durations.
type Options struct {
	Host        model.HostID
	Incarnation model.Incarnation
	// Duration is how long a lease lasts without renewal.
	Duration time.Duration
	// OrderTimeout bounds the duration of one order to an endpoint.
	OrderTimeout time.Duration
	// Margin allows for clocks of hosts that run at different rates.
	Margin time.Duration
}

// renewalsPerLease is the number of attempts to renew a lease while it lasts.
const renewalsPerLease = 3

// Keeper claims, renews and releases the lease of one stream for one host. It
// does no I/O: the caller reads the stream and appends the records that DueRecord
// and Release return. All times must come from the monotonic clock of one
// process. A Keeper is not safe for concurrent use.
type Keeper struct {
	opts Options
	// next is the offset of the next record to read.
	next model.Offset
	// lastValid is the last valid record, nil if none was read yet, and
	// lastValidAt the time when it was read or, before that, the start time.
	lastValid   *Record
	lastValidAt time.Time
	// restoredAt is when the stream was last found to have been restored; zero for
	// never.
	restoredAt time.Time
	// pending is the record whose append has not been read back yet, and
	// pendingSince the time before that append.
	pending      *Record
	pendingSince time.Time
	// heldUntil is the end of this host's own lease, zero if it has none, and
	// renewAt the time to renew it.
	heldUntil time.Time
	renewAt   time.Time
}

// New returns a Keeper that starts at the time now. It does not claim the lease
// until the lease of any holder whose record it has not read must have expired.
func New(now time.Time, opts Options) *Keeper {
	return &Keeper{opts: opts, lastValidAt: now}
}

// Next returns the offset of the next record to read.
func (k *Keeper) Next() model.Offset { return k.next }

// SkipTo skips the records before earliest, the offset of the first record that
// the stream still has.
func (k *Keeper) SkipTo(earliest model.Offset) { k.next = max(k.next, earliest) }

// BeginEra continues at start, the lowest offset of the stream's era, if the stream
// was restored from a copy since it was read. Records that were acknowledged may be
// lost, also a claim that this host has not read, so the lease is not claimed until
// it must have expired.
func (k *Keeper) BeginEra(now time.Time, start model.Offset) {
	if start <= k.next {
		return
	}
	if k.next > 0 || k.lastValid != nil {
		k.restoredAt = now
	}
	k.next = start
}

// Apply processes the record at the offset, read at the time now. It ignores
// records that were already applied and invalid records.
func (k *Keeper) Apply(now time.Time, offset model.Offset, data []byte) {
	if offset < k.next {
		return
	}
	k.next = offset + 1
	rec, err := decodeRecord(data)
	if err != nil {
		return
	}
	k.apply(now, offset, rec)
}

// ApplyRecord is like Apply for a record that was decoded.
func (k *Keeper) ApplyRecord(now time.Time, offset model.Offset, rec *Record) {
	if offset < k.next {
		return
	}
	k.next = offset + 1
	k.apply(now, offset, rec)
}

// apply processes a record that was not applied before.
func (k *Keeper) apply(now time.Time, offset model.Offset, rec *Record) {
	if rec.Expected != offset {
		return
	}
	k.lastValid = rec
	k.lastValidAt = now
	if !k.isOwn(rec) {
		k.heldUntil = time.Time{}
		return
	}
	if k.pending == nil || rec.Nonce != k.pending.Nonce {
		return
	}
	k.pending = nil
	if rec.Released {
		k.heldUntil = time.Time{}
		return
	}
	k.heldUntil = k.pendingSince.Add(rec.Duration)
	k.renewAt = k.pendingSince.Add(rec.Duration / renewalsPerLease)
}

// isOwn reports whether this process wrote the record.
func (k *Keeper) isOwn(rec *Record) bool {
	return rec.Holder == k.opts.Host && rec.Incarnation == k.opts.Incarnation
}

// FencingNumber returns the fencing number for an order to an endpoint, or false
// if this host may not give orders at the time now. The order must end within
// Options.OrderTimeout.
func (k *Keeper) FencingNumber(now time.Time) (model.Offset, bool) {
	if k.lastValid == nil || !k.isHolder(now) {
		return 0, false
	}
	return k.lastValid.fencingNumber(), true
}

// Until returns the time until which this host may give orders, by its own clock.
func (k *Keeper) Until() time.Time { return k.heldUntil.Add(-k.opts.Margin) }

// isHolder reports whether this host holds the lease at the time now, by its own
// clock and with the margin deducted.
func (k *Keeper) isHolder(now time.Time) bool {
	return now.Before(k.Until())
}

// DueRecord returns the record to append now, if any: a renewal of this host's
// lease, or a claim if the lease of the last holder has expired. The caller must
// pass a new nonce and must have read the stream to its end.
func (k *Keeper) DueRecord(now time.Time, nonce uint64) (*Record, bool) {
	if k.pending != nil && now.Before(k.pendingSince.Add(k.opts.Duration/renewalsPerLease)) {
		return nil, false
	}
	if k.isHolder(now) {
		if now.Before(k.renewAt) {
			return nil, false
		}
		return k.prepareAppend(now, &Record{Nonce: nonce, Renews: true, Term: k.lastValid.fencingNumber()}), true
	}
	if now.Before(k.claimableAt()) {
		return nil, false
	}
	return k.prepareAppend(now, &Record{Nonce: nonce}), true
}

// ClaimableAt returns the time from which this host may claim the lease if it does not
// hold it.
func (k *Keeper) ClaimableAt() time.Time { return k.claimableAt() }

// ClaimAnew returns the record that begins a new term of this process, with a higher
// fencing number, or false if another holder may have followed. It gives no more orders
// until the record was read back. The caller must have read the stream to its end.
func (k *Keeper) ClaimAnew(now time.Time, nonce uint64) (*Record, bool) {
	if k.lastValid == nil || !k.isOwn(k.lastValid) || k.lastValid.Released {
		return nil, false
	}
	if k.pending != nil && now.Before(k.pendingSince.Add(k.opts.Duration/renewalsPerLease)) {
		return nil, false
	}
	if !k.restoredAt.IsZero() && !k.isHolder(now) && now.Before(k.claimableAt()) {
		return nil, false
	}
	k.heldUntil = time.Time{}
	return k.prepareAppend(now, &Record{Nonce: nonce}), true
}

// Release returns the record that ends this host's own term early, or false if
// this host does not hold the lease. From then on it gives no more orders.
func (k *Keeper) Release(now time.Time, nonce uint64) (*Record, bool) {
	if !k.isHolder(now) {
		return nil, false
	}
	term := k.lastValid.fencingNumber()
	k.heldUntil = time.Time{}
	return k.prepareAppend(now, &Record{Nonce: nonce, Released: true, Term: term}), true
}

// prepareAppend completes the record and stores it as pending.
func (k *Keeper) prepareAppend(now time.Time, rec *Record) *Record {
	rec.Expected = k.next
	rec.Holder = k.opts.Host
	rec.Incarnation = k.opts.Incarnation
	rec.Duration = k.opts.Duration
	k.pending = rec
	k.pendingSince = now
	return rec
}

// claimableAt returns the time from which on no order of the last holder can
// arrive: the holder counts its lease from before its append, while this host
// counts the wait from after that append.
func (k *Keeper) claimableAt() time.Time {
	wait := k.opts.OrderTimeout + k.opts.Margin
	at := k.lastHolderEndsAt(wait)
	if lost := k.restoredAt.Add(k.opts.Duration + wait); !k.restoredAt.IsZero() && lost.After(at) {
		return lost
	}
	return at
}

// lastHolderEndsAt returns the end of the last known lease, plus the wait for the
// last order.
func (k *Keeper) lastHolderEndsAt(wait time.Duration) time.Time {
	if k.lastValid == nil {
		return k.lastValidAt.Add(k.opts.Duration + wait)
	}
	if k.lastValid.Released {
		return k.lastValidAt.Add(wait)
	}
	return k.lastValidAt.Add(k.lastValid.Duration + wait)
}

// Holder returns the last known holder of the lease and its fencing number. It
// returns an empty host if there is none or it has released the lease.
func (k *Keeper) Holder() (model.HostID, model.Offset) {
	if k.lastValid == nil || k.lastValid.Released {
		return "", 0
	}
	return k.lastValid.Holder, k.lastValid.fencingNumber()
}
