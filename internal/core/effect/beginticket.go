package effect

import (
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// IssueTicket returns the text of a new ticket for a client account, valid for
// ttl. It returns ErrNoSecret if the hosts have no shared secret.
func (m *Machine) IssueTicket(now time.Time, account model.AccountName, ttl time.Duration) (string, error) {
	m.nextNonce++
	t := Ticket{
		Issuer:           m.opts.Self,
		Serial:           m.nextNonce,
		Domain:           m.opts.Domain,
		Address:          m.opts.Address,
		ExpiresUnixMilli: now.Add(ttl).UnixMilli(),
	}
	return EncodeTicket(m.opts.Secret, account, t)
}

// beginTicket handles a try with a ticket. A ticket of another host is forwarded
// to that host, unless the try was forwarded already or the host is known to be
// down.
func (m *Machine) beginTicket(now time.Time, try Try) {
	t, err := DecodeTicket(m.opts.Secret, try.Account, try.KeyText)
	if err != nil {
		m.emit(refuse(try.ID, unprovenOutcome(try), CodeTicketInvalid, 0))
		return
	}
	key := NewKey(try.Account, try.KeyText)
	if m.replayIfDone(now, key, try) {
		return
	}
	if t.Issuer == m.opts.Self {
		m.beginOwnTicket(now, key, t, try)
		return
	}
	issuerDown := t.Domain == m.opts.Domain && !m.live[t.Issuer]
	if try.Forwarded || issuerDown {
		m.emit(refuse(try.ID, unprovenOutcome(try), CodeSenderGone, progressRetryAfter))
		return
	}
	m.emit(Action{Kind: ActionForward, Try: try.ID, Host: t.Issuer.Host, Address: t.Address})
}

// beginOwnTicket handles a try with a ticket that this host incarnation issued.
func (m *Machine) beginOwnTicket(now time.Time, key Key, t Ticket, try Try) {
	if use := m.tickets.bySerial[t.Serial]; use != nil {
		m.beginUsedTicket(key, use, try)
		return
	}
	if age := now.Sub(t.Expires()); age >= 0 {
		m.emit(refuse(try.ID, expiredOutcome(age, try), CodeTicketExpired, 0))
		return
	}
	if m.tickets.isFull() {
		m.emit(refuse(try.ID, model.OutcomeNotRun, CodeTooManyTickets, progressRetryAfter))
		return
	}
	m.tickets.bySerial[t.Serial] = &ticketUse{digest: try.Digest, expires: t.Expires()}
	f := &inFlightKey{
		key:    key,
		digest: try.Digest,
		owner:  Owner{HostRef: m.opts.Self, Nonce: t.Serial},
		ticket: true,
	}
	m.inFlight[key] = f
	m.join(f, try)
	m.startSending(f)
}

// expiredOutcome returns the outcome of a try with an expired ticket of which no
// use is in memory. Uses are kept for ticketRetention after the expiry, so within
// that time the request has not run.
func expiredOutcome(age time.Duration, try Try) model.Outcome {
	if age < ticketRetention {
		return model.OutcomeNotRun
	}
	return unprovenOutcome(try)
}

// beginUsedTicket handles a repeated try with a ticket whose result is neither
// cached nor read back from the log yet.
func (m *Machine) beginUsedTicket(key Key, use *ticketUse, try Try) {
	switch f := m.inFlight[key]; {
	case use.digest != try.Digest:
		m.emit(refuse(try.ID, model.OutcomeNotRun, CodeKeyReused, 0))
	case f != nil:
		m.join(f, try)
	default:
		m.emit(refuse(try.ID, use.outcome, CodeAnswerUnavailable, logRetryAfter))
	}
}
