package effect

import (
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// IssueTicket returns a new ticket for an account, valid for ttl.
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

func (m *Machine) beginTicket(now time.Time, try Try) {
	t, err := DecodeTicket(m.opts.Secret, try.Account, try.KeyText)
	if err != nil {
		m.emit(refuse(try.ID, unproved(try), CodeTicketInvalid, 0))
		return
	}
	key := NewKey(try.Account, try.KeyText)
	if m.answerKnown(now, key, try) {
		return
	}
	if t.Issuer == m.opts.Self {
		m.beginOwnTicket(now, key, t, try)
		return
	}
	gone := t.Domain == m.opts.Domain && !m.live[t.Issuer]
	if try.Forwarded || gone {
		m.emit(refuse(try.ID, unproved(try), CodeHostGone, progressRetryAfter))
		return
	}
	m.emit(Action{Kind: ActionForward, Try: try.ID, Host: t.Issuer.Host, Address: t.Address})
}

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
		m.emit(refuse(try.ID, model.OutcomeNotRun, CodeTicketsFull, progressRetryAfter))
		return
	}
	m.tickets.bySerial[t.Serial] = &ticketUse{digest: try.Digest, expires: t.Expires()}
	f := &flight{
		key:    key,
		digest: try.Digest,
		owner:  Owner{HostRef: m.opts.Self, Nonce: t.Serial},
		ticket: true,
	}
	m.flights[key] = f
	m.join(f, try)
	m.send(f)
}

// expiredOutcome tells what is known of an expired ticket without a use in
// memory: uses are remembered for ticketKeep past the expiry.
func expiredOutcome(age time.Duration, try Try) model.Outcome {
	if age < ticketKeep {
		return model.OutcomeNotRun
	}
	return unproved(try)
}

// beginUsedTicket answers a further try whose answer is neither in memory nor
// read back from the log yet.
func (m *Machine) beginUsedTicket(key Key, use *ticketUse, try Try) {
	switch f := m.flights[key]; {
	case use.digest != try.Digest:
		m.emit(refuse(try.ID, model.OutcomeNotRun, CodeKeyReused, 0))
	case f != nil:
		m.join(f, try)
	default:
		m.emit(refuse(try.ID, use.outcome, CodeAnswerUnavailable, logRetryAfter))
	}
}
