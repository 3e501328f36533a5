// Package duty decides which host makes the calls of the duties, and keeps what it must
// hand to the next one. It builds on the lease: one lease for all duties and all hosts, on
// one stream of the platform's log. The reports of usage that the holder is about to send
// are records of the same stream, so that a holder which was replaced cannot add any.
package duty

import (
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/lease"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/core/usage"
)

// StreamName is the name of the stream.
const StreamName = lease.StreamPrefix + "duties"

const (
	// claimStagger is the time by which the claim of a host follows that of the one before
	// it, so that usually one host claims.
	claimStagger = 150 * time.Millisecond
	// maxClaimDelay bounds the delay of a claim.
	maxClaimDelay = 3 * time.Second
	// idleHolderTime is how long a holder that should not hold the lease keeps it, in case
	// this lasts only for a moment.
	idleHolderTime = 2 * time.Second
	// minClaimInterval is the minimum time between two claims by this host.
	minClaimInterval = time.Second
)

// Options configures a Keeper. All hosts must use the same durations.
type Options struct {
	Host        model.HostID
	Incarnation model.Incarnation
	// Lease is how long the lease lasts without renewal.
	Lease time.Duration
	// CallTimeout bounds one call of a duty.
	CallTimeout time.Duration
	// Margin allows for clocks of hosts that run at different rates, and for the time from
	// the check of the lease to the first byte of a call.
	Margin time.Duration
}

// Situation is what a host knows when it decides whether to hold the lease.
type Situation struct {
	// Candidate reports whether the host should hold the lease. Rank is the number of other
	// candidates that should claim it before.
	Candidate bool
	Rank      int
	// Leaving reports that the host is shutting down, Busy that a call is in progress.
	Leaving, Busy bool
	// CaughtUp reports that the stream has been read to its end.
	CaughtUp bool
}

// Keeper claims, renews and releases the lease for one host, and keeps the reports on the
// stream. It does no I/O: the caller reads the stream and appends the records that Due and
// PrepareReport return, one at a time. All times must come from a clock that also runs
// while the machine is suspended. A Keeper is not safe for concurrent use.
type Keeper struct {
	opts  Options
	lease *lease.Keeper
	// refused is the fencing number with which the platform refused a call of this host,
	// if isRefused.
	refused   model.Offset
	isRefused bool
	// idleSince is since when this host holds the lease although it should not.
	idleSince time.Time
	// releasing reports that it makes no new calls, and releases the lease after the last
	// one.
	releasing bool
	// claimedAt is when this host last prepared a claim, lastCallAt when it last had a
	// call in progress.
	claimedAt, lastCallAt time.Time
	// reports are the reports on the stream, by window. done is the last window that, with
	// all before, needs no more report.
	reports map[usage.Window]usage.Counts
	done    usage.Window
	// gapAt is when records that this host has not read were found to be lost. covered is
	// the first window reported on the stream since then, if isCovered: there was no
	// report of a later window among the lost records.
	gapAt     time.Time
	covered   usage.Window
	isCovered bool
}

// New returns a Keeper that starts at the time now.
func New(now time.Time, opts Options) *Keeper {
	return &Keeper{
		opts: opts,
		lease: lease.New(now, lease.Options{
			Host: opts.Host, Incarnation: opts.Incarnation,
			Duration: opts.Lease, OrderTimeout: opts.CallTimeout, Margin: opts.Margin,
		}),
		reports: make(map[usage.Window]usage.Counts),
		gapAt:   now,
	}
}

// Next returns the offset of the next record to read.
func (k *Keeper) Next() model.Offset { return k.lease.Next() }

// BeginBatch prepares for a batch of records: eraStart is the lowest offset of the
// stream's era, earliest the offset of the first record that the stream still has.
func (k *Keeper) BeginBatch(now time.Time, eraStart, earliest model.Offset) {
	if max(eraStart, earliest) > k.Next() {
		k.gapAt, k.isCovered = now, false
	}
	k.lease.BeginEra(now, eraStart)
	k.lease.SkipTo(earliest)
}

// Apply processes the record at the offset, read at the time now. It ignores records that
// were already applied and invalid records.
func (k *Keeper) Apply(now time.Time, offset model.Offset, data []byte) {
	if offset < k.Next() {
		return
	}
	rec, err := decodeRecord(data)
	if err != nil {
		rec = &Record{}
	}
	expected, known := rec.expected()
	if !known || expected != offset {
		k.lease.SkipTo(offset + 1)
		return
	}
	if rec.Lease != nil {
		k.lease.ApplyRecord(now, offset, rec.Lease)
		return
	}
	k.lease.SkipTo(offset + 1)
	k.applyReport(rec.Report)
}

// applyReport keeps a report that is on the stream. A window is reported once; a second
// report can only come from an author that had not read the first one, which is lost.
func (k *Keeper) applyReport(rec *ReportRecord) {
	if _, known := k.reports[rec.Window]; !known {
		k.reports[rec.Window] = rec.Counts
	}
	k.done = max(k.done, rec.Done)
	if !k.isCovered {
		k.covered, k.isCovered = rec.Window, true
	}
}

// Fence returns the fencing number for a call that begins now, or false if this host may
// not make one.
func (k *Keeper) Fence(now time.Time) (model.Offset, bool) {
	fence, ok := k.lease.FencingNumber(now)
	if !ok || k.releasing || k.isRefused && fence <= k.refused {
		return 0, false
	}
	return fence, true
}

// Holds reports whether this host holds the lease, also if it makes no calls with it.
func (k *Keeper) Holds(now time.Time) bool {
	_, ok := k.lease.FencingNumber(now)
	return ok
}

// Refuse records that the platform refused a call with a fencing number. This host makes
// no more calls with it or a lower one.
func (k *Keeper) Refuse(fence model.Offset) {
	if !k.isRefused || fence > k.refused {
		k.refused, k.isRefused = fence, true
	}
}

// RecordCall records that a call of this host is in progress.
func (k *Keeper) RecordCall(now time.Time) { k.lastCallAt = now }

// Due returns the record of the lease to append now, if any. It must not be called while
// an append of this host is in progress.
func (k *Keeper) Due(now time.Time, s Situation, nonce uint64) (*Record, bool) {
	fence, holds := k.lease.FencingNumber(now)
	if !holds {
		k.idleSince, k.releasing = time.Time{}, false
		return k.dueClaim(now, s, nonce)
	}
	k.releasing = k.mustRelease(now, s)
	if k.releasing {
		if s.Busy {
			return nil, false
		}
		return leaseRecord(k.lease.Release(now, nonce))
	}
	if k.isRefused && fence <= k.refused {
		if !s.CaughtUp || now.Sub(k.claimedAt) < minClaimInterval {
			return nil, false
		}
		k.claimedAt = now
		return leaseRecord(k.lease.ClaimAnew(now, nonce))
	}
	if !s.CaughtUp {
		return nil, false
	}
	return leaseRecord(k.lease.DueRecord(now, nonce))
}

// mustRelease reports whether the holder should hand the lease to another host.
func (k *Keeper) mustRelease(now time.Time, s Situation) bool {
	if s.Leaving {
		return true
	}
	if s.Candidate {
		k.idleSince = time.Time{}
		return false
	}
	if k.idleSince.IsZero() {
		k.idleSince = now
	}
	return now.Sub(k.idleSince) >= idleHolderTime
}

// dueClaim returns the claim to append now, if any. A host that has held the lease before
// waits so long that calls of two holders do not alternate within the duration of a lease.
// After records were lost, any of them may have been a claim or a renewal.
func (k *Keeper) dueClaim(now time.Time, s Situation, nonce uint64) (*Record, bool) {
	if s.Leaving || !s.Candidate || !s.CaughtUp || now.Sub(k.claimedAt) < minClaimInterval {
		return nil, false
	}
	wait := k.opts.Lease + k.opts.CallTimeout + k.opts.Margin
	if now.Sub(k.gapAt) < wait {
		return nil, false
	}
	if rec, ok := k.lease.ClaimAnew(now, nonce); ok {
		k.claimedAt = now
		return leaseRecord(rec, true)
	}
	if now.Sub(k.lastCallAt) < wait || now.Before(k.lease.ClaimableAt().Add(claimDelay(s.Rank))) {
		return nil, false
	}
	rec, ok := k.lease.DueRecord(now, nonce)
	if ok {
		k.claimedAt = now
	}
	return leaseRecord(rec, ok)
}

// claimDelay returns the time by which the claim of a host is delayed, given the number of
// others that should claim before.
func claimDelay(rank int) time.Duration {
	return min(time.Duration(rank)*claimStagger, maxClaimDelay)
}

func leaseRecord(rec *lease.Record, ok bool) (*Record, bool) {
	if !ok {
		return nil, false
	}
	return &Record{Lease: rec}, true
}

// Until returns the time until which this host may begin calls with its fencing number.
func (k *Keeper) Until() time.Time { return k.lease.Until() }

// Holder returns the last known holder and its fencing number. It returns an empty host if
// there is none or it has released the lease.
func (k *Keeper) Holder() (model.HostID, model.Offset) { return k.lease.Holder() }
