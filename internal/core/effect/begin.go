package effect

import (
	"slices"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// Begin takes a try. It ends with one ActionSend, ActionReplay, ActionFetch,
// ActionForward or ActionRefuse for the try, now or later.
func (m *Machine) Begin(now time.Time, try Try) []Action {
	if IsTicket(try.KeyText) {
		m.beginTicket(now, try)
	} else {
		m.beginKey(now, try)
	}
	return m.take()
}

func (m *Machine) beginKey(now time.Time, try Try) {
	if at, ok := KeyTime(try.KeyText); ok && m.outsideWindow(now, at) {
		m.emit(refuse(try.ID, unproved(try), CodeKeyExpired, 0))
		return
	}
	key := NewKey(try.Account, try.KeyText)
	if m.answerKnown(now, key, try) {
		return
	}
	if f := m.flights[key]; f != nil {
		m.join(f, try)
		return
	}
	if !m.canClaim(now, m.partitionOf(key)) {
		m.beginWithoutLog(now, key, try)
		return
	}
	f := &flight{key: key, digest: try.Digest, phase: phaseWaiting}
	m.flights[key] = f
	m.join(f, try)
	m.evaluate(now, f)
}

// outsideWindow tells whether a key that was made at the given time cannot be
// protected. The margin makes it refused before its claim may be dropped.
func (m *Machine) outsideWindow(now, at time.Time) bool {
	return now.Sub(at) > m.opts.Window-m.maxClaimAge() || at.Sub(now) > m.maxClaimAge()
}

func (m *Machine) beginWithoutLog(now time.Time, key Key, try Try) {
	if !try.Deduplicates {
		m.emit(m.blindRefusal(now, key, try))
		return
	}
	m.emit(Action{Kind: ActionSend, Try: try.ID, Right: Right{Key: key, Unprotected: true}})
}

// join adds a try to a flight, or refuses it for its other content.
func (m *Machine) join(f *flight, try Try) {
	if f.digest != try.Digest {
		m.emit(refuse(try.ID, m.reusedOutcome(f, try), CodeKeyReused, 0))
		return
	}
	f.waiting = append(f.waiting, try)
	m.tries[try.ID] = f
}

// reusedOutcome tells what is known of a try whose content differs from the
// flight's. Until the log has given the key to the flight's content, another
// host may have sent the try's.
func (m *Machine) reusedOutcome(f *flight, try Try) model.Outcome {
	if f.phase == phaseSending {
		return model.OutcomeNotRun
	}
	return unproved(try)
}

// evaluate moves a flight of a plain key on after the log, the hosts or its
// tries have changed.
func (m *Machine) evaluate(now time.Time, f *flight) {
	if f.phase == phaseSending {
		return
	}
	p := m.partitionOf(f.key)
	e := p.fold.lookup(now, f.key)
	switch {
	case e == nil || e.state == stateFree:
		if f.phase == phaseWaiting {
			m.claim(now, f, e)
		}
	case e.digest != f.digest:
		m.refuseAll(f, model.OutcomeNotRun, CodeKeyReused, 0)
	case e.state == stateDone:
		m.answerAll(f, e)
	case f.phase == phaseClaiming && e.owner == f.owner:
		m.grant(now, f)
	case m.mayAnswer(now, e):
		f.phase = phaseWaiting
	default:
		m.refuseAll(f, model.OutcomeUnknown, CodeHostGone, 0)
	}
}

// mayAnswer tells whether the owner of a claim may still record its outcome. A
// young claim counts as in progress, since the view of the hosts lags
// and holds only those of the own failure domain.
func (m *Machine) mayAnswer(now time.Time, e *entry) bool {
	if e.owner.HostRef == m.opts.Self || m.live[e.owner.HostRef] {
		return true
	}
	if e.domain == m.opts.Domain {
		return now.Sub(e.at) < viewLag
	}
	return now.Sub(e.at) < foreignWait
}

func (m *Machine) claim(now time.Time, f *flight, e *entry) {
	f.phase = phaseClaiming
	f.owner = m.newOwner()
	f.claimedAt = now
	rec := m.record(now, KindClaim, f)
	if e != nil {
		rec.Generation = e.generation
	}
	m.append(f.key, rec)
}

// grant hands the right of a won claim to the first try that still waits. A
// claim gives none when an earlier one may have been lost with the records
// before it.
func (m *Machine) grant(now time.Time, f *flight) {
	blocked := now.Before(m.partitionOf(f.key).blockedUntil)
	if blocked || now.Sub(f.claimedAt) > m.maxClaimAge() {
		m.append(f.key, m.record(now, KindRelease, f))
		m.refuseBlind(now, f)
		return
	}
	m.send(f)
}

func (m *Machine) send(f *flight) {
	f.phase = phaseSending
	f.sender = f.waiting[0].ID
	f.waiting = f.waiting[1:]
	m.emit(Action{Kind: ActionSend, Try: f.sender, Right: Right{Key: f.key, Owner: f.owner}})
}

func (m *Machine) record(now time.Time, kind Kind, f *flight) Record {
	return Record{
		Kind:        kind,
		Key:         f.key,
		Digest:      f.digest,
		Host:        f.owner.Host,
		Incarnation: f.owner.Incarnation,
		Nonce:       f.owner.Nonce,
		Domain:      m.opts.Domain,
		UnixMilli:   now.UnixMilli(),
		Ticket:      f.ticket,
	}
}

// GiveUp withdraws a waiting try whose caller has gone or whose deadline has
// passed, and refuses it. A try that has the right to send ends with Finish.
func (m *Machine) GiveUp(now time.Time, id TryID) []Action {
	f := m.tries[id]
	if f == nil {
		return nil
	}
	i := slices.IndexFunc(f.waiting, func(t Try) bool { return t.ID == id })
	if i < 0 {
		return nil
	}
	try := f.waiting[i]
	f.waiting = slices.Delete(f.waiting, i, i+1)
	delete(m.tries, id)
	if f.phase == phaseClaiming {
		m.emit(m.blindRefusal(now, f.key, try))
	} else {
		m.emit(refuse(id, model.OutcomeUnknown, CodeInProgress, progressRetryAfter))
	}
	if f.phase != phaseSending && len(f.waiting) == 0 {
		m.abandon(now, f)
	}
	return m.take()
}

func (m *Machine) refuseAll(f *flight, outcome model.Outcome, code Code, after time.Duration) {
	for _, try := range f.waiting {
		m.emit(refuse(try.ID, outcome, code, after))
	}
	m.end(f)
}
