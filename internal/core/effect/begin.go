package effect

import (
	"slices"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// Begin starts a try. Exactly one ActionSend, ActionReplay, ActionFetch,
// ActionForward or ActionRefuse is emitted for the try, now or by a later call.
func (m *Machine) Begin(now time.Time, try Try) []Action {
	if IsTicket(try.KeyText) {
		m.beginTicket(now, try)
	} else {
		m.beginKey(now, try)
	}
	return m.takeActions()
}

// beginKey handles a try with a key of the caller's own: it refuses or replays
// the try, or adds it to the pending tries of its key.
func (m *Machine) beginKey(now time.Time, try Try) {
	if at, ok := KeyTime(try.KeyText); ok && m.outsideWindow(now, at) {
		m.emit(refuse(try.ID, unprovenOutcome(try), CodeKeyExpired, 0))
		return
	}
	key := NewKey(try.Account, try.KeyText)
	if m.replayIfDone(now, key, try) {
		return
	}
	if f := m.inFlight[key]; f != nil {
		m.join(f, try)
		return
	}
	if !m.canClaim(now, m.partitionOf(key)) {
		m.beginWithoutLog(now, key, try)
		return
	}
	f := &inFlightKey{key: key, digest: try.Digest, phase: phaseWaiting}
	m.inFlight[key] = f
	m.join(f, try)
	m.evaluate(now, f)
}

// outsideWindow reports whether a key created at the given time is too old or
// too far in the future to be protected. The margin ensures that an old key is
// refused before its claim may have been dropped.
func (m *Machine) outsideWindow(now, at time.Time) bool {
	return now.Sub(at) > m.opts.Window-m.maxClaimAge() || at.Sub(now) > m.maxClaimAge()
}

// beginWithoutLog handles a try while the log cannot decide claims. It refuses
// the try, unless the endpoint itself deduplicates requests.
func (m *Machine) beginWithoutLog(now time.Time, key Key, try Try) {
	if !try.Deduplicates {
		m.emit(m.refusalWithoutLog(now, key, try))
		return
	}
	m.emit(Action{Kind: ActionSend, Try: try.ID, Permit: Permit{Key: key, Unlogged: true}})
}

// join adds a try to the pending tries of its key, or refuses it if its content
// differs from theirs.
func (m *Machine) join(f *inFlightKey, try Try) {
	if f.digest != try.Digest {
		m.emit(refuse(try.ID, m.mismatchOutcome(f, try), CodeKeyReused, 0))
		return
	}
	f.waiting = append(f.waiting, try)
	m.tries[try.ID] = f
}

// mismatchOutcome returns the outcome of a try whose content differs from that of
// the pending tries with the same key. Until the log has decided that the pending
// tries' content owns the key, another host may have sent this try's content.
func (m *Machine) mismatchOutcome(f *inFlightKey, try Try) model.Outcome {
	if f.phase == phaseSending {
		return model.OutcomeNotRun
	}
	return unprovenOutcome(try)
}

// evaluate updates the phase of a key that is not a ticket, after the log, the
// live hosts or the key's tries have changed.
func (m *Machine) evaluate(now time.Time, f *inFlightKey) {
	if f.phase == phaseSending {
		return
	}
	p := m.partitionOf(f.key)
	e := p.keys.lookup(now, f.key)
	switch {
	case e == nil || e.state == stateFree:
		if f.phase == phaseWaiting {
			m.startClaim(now, f, e)
		}
	case e.digest != f.digest:
		m.refuseAll(f, model.OutcomeNotRun, CodeKeyReused, 0)
	case e.state == stateDone:
		m.replayAll(f, e)
	case f.phase == phaseClaiming && e.owner == f.owner:
		m.grantPermit(now, f)
	case m.mayStillFinish(now, e):
		f.phase = phaseWaiting
	default:
		m.refuseAll(f, model.OutcomeUnknown, CodeSenderGone, 0)
	}
}

// mayStillFinish reports whether the owner of a claim may still record its
// outcome. A recent claim counts as in progress, because the membership view
// lags and is complete only for this host's failure domain.
func (m *Machine) mayStillFinish(now time.Time, e *entry) bool {
	if e.owner.HostRef == m.opts.Self || m.live[e.owner.HostRef] {
		return true
	}
	if e.domain == m.opts.Domain {
		return now.Sub(e.at) < membershipLag
	}
	return now.Sub(e.at) < remoteClaimTimeout
}

// startClaim emits a claim of this host for a free key, and makes f wait for it to
// be read back. e is the key's entry; nil for none.
func (m *Machine) startClaim(now time.Time, f *inFlightKey, e *entry) {
	f.phase = phaseClaiming
	f.owner = m.newOwner()
	f.claimedAt = now
	rec := m.newRecord(now, KindClaim, f)
	if e != nil {
		rec.Generation = e.generation
	}
	m.appendRecord(f.key, rec)
}

// grantPermit grants the permit of a winning claim to the first waiting try. It
// releases the claim instead if the claim is too old, or if an earlier claim may
// have been among records that the log dropped before they were read.
func (m *Machine) grantPermit(now time.Time, f *inFlightKey) {
	blocked := now.Before(m.partitionOf(f.key).blockedUntil)
	if blocked || now.Sub(f.claimedAt) > m.maxClaimAge() {
		m.appendRecord(f.key, m.newRecord(now, KindRelease, f))
		m.refuseWithoutLog(now, f)
		return
	}
	m.startSending(f)
}

// startSending emits the permit for the first waiting try and enters phaseSending.
func (m *Machine) startSending(f *inFlightKey) {
	f.phase = phaseSending
	f.sender = f.waiting[0].ID
	f.waiting = f.waiting[1:]
	m.emit(Action{Kind: ActionSend, Try: f.sender, Permit: Permit{Key: f.key, Owner: f.owner}})
}

// newRecord returns a record about the claim or ticket use of f.
func (m *Machine) newRecord(now time.Time, kind Kind, f *inFlightKey) Record {
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

// Cancel removes and refuses a waiting try whose caller has disconnected or
// whose deadline has passed. It does nothing for a try that has the permit; that
// one ends with Finish.
func (m *Machine) Cancel(now time.Time, id TryID) []Action {
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
		m.emit(m.refusalWithoutLog(now, f.key, try))
	} else {
		m.emit(refuse(id, model.OutcomeUnknown, CodeInProgress, progressRetryAfter))
	}
	if f.phase != phaseSending && len(f.waiting) == 0 {
		m.abandon(now, f)
	}
	return m.takeActions()
}

// refuseAll refuses all waiting tries with a key and removes the key from
// m.inFlight.
func (m *Machine) refuseAll(f *inFlightKey, outcome model.Outcome, code Code, after time.Duration) {
	for _, try := range f.waiting {
		m.emit(refuse(try.ID, outcome, code, after))
	}
	m.remove(f)
}
