package effect

import (
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// LogRecord is one record of a partition's stream, as read.
type LogRecord struct {
	Offset model.Offset
	Data   []byte
}

// NextOffset returns where to read the partition on.
func (m *Machine) NextOffset(partition int) model.Offset {
	return m.partitions[partition].next
}

// Applied takes records that were read from NextOffset on, in order, with the
// smallest offset that the log still keeps. The error is a *SchemaError; the
// partition then decides nothing more until a release that knows the record
// reads it.
func (m *Machine) Applied(now time.Time, number int, earliest model.Offset, records []LogRecord) ([]Action, error) {
	p := m.partitions[number]
	if p.halted {
		return nil, nil
	}
	gap := earliest > p.next
	if gap {
		p.next = earliest
		// With nothing left, how much was lost is not known.
		p.blockedUntil = now.Add(m.opts.Window)
	}
	if p.started.IsZero() {
		p.started = now
	}
	for _, raw := range records {
		if raw.Offset < p.next {
			continue
		}
		batch, err := DecodeBatch(raw.Data)
		if err != nil {
			m.halt(now, p, number)
			return m.take(), err
		}
		if gap && len(batch) > 0 {
			// Marks make sure that what was lost is not much younger.
			p.blockedUntil = batch[0].Time().Add(m.opts.Window)
			gap = false
		}
		p.next = raw.Offset + 1
		for i, rec := range batch {
			p.fold.apply(rec, Place{Offset: raw.Offset, Index: i})
			m.applied(now, p, rec)
		}
	}
	return m.take(), nil
}

// applied lets the key's flight see a record that has just been folded in.
func (m *Machine) applied(now time.Time, p *partition, rec Record) {
	f := m.flights[rec.Key]
	if rec.Kind == KindClaim && rec.owner().HostRef == m.opts.Self {
		m.ownClaim(now, p, rec, f)
	}
	if f != nil && !f.ticket && m.flights[rec.Key] == f {
		m.evaluate(now, f)
	}
}

// ownClaim settles a claim of this host that has been read back. A claim that
// won after its tries were given up is released: nothing was sent with it.
func (m *Machine) ownClaim(now time.Time, p *partition, rec Record, f *flight) {
	e := p.fold.lookup(now, rec.Key)
	won := e != nil && e.state == stateClaimed && e.owner == rec.owner()
	current := f != nil && f.owner == rec.owner()
	if _, given := m.abandoned[rec.Nonce]; given && won {
		delete(m.abandoned, rec.Nonce)
		rec.Kind = KindRelease
		rec.UnixMilli = now.UnixMilli()
		m.append(rec.Key, rec)
	}
	if !won && current && f.phase == phaseClaiming {
		f.phase = phaseWaiting
	}
}

func (m *Machine) halt(now time.Time, p *partition, number int) {
	p.halted = true
	for _, f := range m.flights {
		if f.phase != phaseSending && f.key.Partition(m.opts.Partitions) == number {
			m.refuseBlind(now, f)
		}
	}
}

// Wanted tells whether a record whose append has no answer still has to be
// appended: it was not read back and its end matters to somebody.
func (m *Machine) Wanted(rec Record) bool {
	e := m.partitionOf(rec.Key).fold.entries[rec.Key]
	switch rec.Kind {
	case KindClaim:
		f := m.flights[rec.Key]
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
