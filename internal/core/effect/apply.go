package effect

import (
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// LogRecord is one record as read from a partition's stream.
type LogRecord struct {
	Offset model.Offset
	Data   []byte
}

// NextOffset returns the offset of the next record of the partition to read.
func (m *Machine) NextOffset(partition int) model.Offset {
	return m.partitions[partition].nextOffset
}

// Extent is the range of offsets of a partition's stream.
type Extent struct {
	// EraStart is the lowest offset of the log's era. If it is above offsets that
	// were read before, the log was restored from a copy.
	EraStart model.Offset
	// Earliest is the lowest offset that the log still retains.
	Earliest model.Offset
}

// ApplyRecords applies records of a partition that were read from NextOffset on,
// in order, and advances NextOffset. If records were missed, because the log has
// dropped them or was restored, the partition is blocked until their keys are out
// of the window. The error is a *SchemaError; the partition then halts, ignores
// further records, and decides no more claims until a release that supports the
// record reads it.
func (m *Machine) ApplyRecords(now time.Time, number int, extent Extent, records []LogRecord) ([]Action, error) {
	p := m.partitions[number]
	if p.halted {
		return nil, nil
	}
	m.beginEra(now, p, number, extent.EraStart)
	gap := extent.Earliest > p.nextOffset
	blockedBefore := p.blockedUntil
	if gap {
		p.nextOffset = extent.Earliest
		// Without a remaining record it is unknown how recent the lost ones are.
		p.blockUntil(now.Add(m.opts.Window))
	}
	if p.firstReadAt.IsZero() {
		p.firstReadAt = now
	}
	for _, raw := range records {
		if raw.Offset < p.nextOffset {
			continue
		}
		batch, err := DecodeBatch(raw.Data)
		if err != nil {
			m.haltPartition(now, p, number)
			return m.takeActions(), err
		}
		if gap && len(batch) > 0 {
			// Timestamp records ensure that the lost records are not much more
			// recent than the earliest remaining one.
			p.blockedUntil = blockedBefore
			p.blockUntil(batch[0].Time().Add(m.opts.Window))
			gap = false
		}
		p.nextOffset = raw.Offset + 1
		for i, rec := range batch {
			if rec.Restored {
				p.blockUntil(rec.Time().Add(m.opts.Window))
			}
			p.keys.apply(rec, Position{Offset: raw.Offset, Index: i})
			m.recordApplied(now, p, rec)
		}
	}
	return m.takeActions(), nil
}

// beginEra continues at the start of the log's era if the partition was read in an
// earlier one. Claims that the log had acknowledged may be lost, so the partition
// is blocked for a window. What was read before stays in force. A record on the log
// blocks the hosts that start later.
func (m *Machine) beginEra(now time.Time, p *partition, number int, eraStart model.Offset) {
	if eraStart <= p.nextOffset {
		return
	}
	p.nextOffset = eraStart
	if p.firstReadAt.IsZero() {
		return
	}
	p.blockUntil(now.Add(m.opts.Window))
	rec := Record{
		Kind: KindTimestamp, Restored: true,
		Host: m.opts.Self.Host, Incarnation: m.opts.Self.Incarnation, UnixMilli: now.UnixMilli(),
	}
	m.emit(Action{Kind: ActionAppend, Partition: number, Record: rec})
}

// blockUntil blocks the partition at least until the given time.
func (p *partition) blockUntil(until time.Time) {
	if until.After(p.blockedUntil) {
		p.blockedUntil = until
	}
}

// recordApplied handles a claim of this host that was read back, and updates the
// pending tries of a record's key, after the record was applied to the partition.
func (m *Machine) recordApplied(now time.Time, p *partition, rec Record) {
	f := m.inFlight[rec.Key]
	if rec.Kind == KindClaim && rec.owner().HostRef == m.opts.Self {
		m.handleOwnClaim(now, p, rec, f)
	}
	if f != nil && !f.ticket && m.inFlight[rec.Key] == f {
		m.evaluate(now, f)
	}
}

// handleOwnClaim handles a claim of this host that has been read back. A claim
// that won after its tries were abandoned is released, since nothing was sent
// under it.
func (m *Machine) handleOwnClaim(now time.Time, p *partition, rec Record, f *inFlightKey) {
	e := p.keys.lookup(now, rec.Key)
	won := e != nil && e.state == stateClaimed && e.owner == rec.owner()
	current := f != nil && f.owner == rec.owner()
	if _, wasAbandoned := m.abandoned[rec.Nonce]; wasAbandoned && won {
		delete(m.abandoned, rec.Nonce)
		rec.Kind = KindRelease
		rec.UnixMilli = now.UnixMilli()
		m.appendRecord(rec.Key, rec)
	}
	if !won && current && f.phase == phaseClaiming {
		f.phase = phaseWaiting
	}
}

// haltPartition stops deciding claims in a partition and refuses its waiting
// tries.
func (m *Machine) haltPartition(now time.Time, p *partition, number int) {
	p.halted = true
	for _, f := range m.inFlight {
		if f.phase != phaseSending && f.key.Partition(m.opts.Partitions) == number {
			m.refuseWithoutLog(now, f)
		}
	}
}

// NeedsAppend reports whether a record whose append got no response has to be
// appended again: it was not read back, and its claim or request is still open.
func (m *Machine) NeedsAppend(rec Record) bool {
	e := m.partitionOf(rec.Key).keys.entries[rec.Key]
	switch rec.Kind {
	case KindClaim:
		f := m.inFlight[rec.Key]
		return f != nil && f.phase == phaseClaiming && f.owner == rec.owner()
	case KindOutcome:
		if rec.Ticket && e == nil {
			return true
		}
		return e != nil && e.state == stateClaimed && e.owner == rec.owner()
	case KindRelease:
		return e != nil && e.state == stateClaimed && e.owner == rec.owner()
	default:
		return false
	}
}
