package effect

import (
	"maps"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// Options configures a Machine.
type Options struct {
	// Self is this incarnation of this host.
	Self HostRef
	// Domain is this host's failure domain.
	Domain model.DomainName
	// Address is where this host serves its peers, as host:port.
	Address string
	// Secret authenticates tickets among the hosts.
	Secret []byte
	// Partitions is the number of partitions, equal on all hosts.
	Partitions int
	// Window is how long a key is protected from its first claim on. The log
	// must keep records for twice as long.
	Window time.Duration
	// ClaimTimeout is the longest wait for a claim to be read back.
	ClaimTimeout time.Duration
	// MaxTickets bounds the tickets in use.
	MaxTickets int
	// CacheBytes bounds the answers kept in memory for repeated tries.
	CacheBytes int
}

// Times that all hosts share.
const (
	// claimAgeLimit bounds the age of a claim that still gives the right to
	// send. It also bounds the difference between the clocks of hosts.
	claimAgeLimit = time.Minute
	// claimAgesPerWindow keeps the age of a claim well below the window.
	claimAgesPerWindow = 8
	// viewLag is how late the view of the own failure domain's hosts may be.
	viewLag = 2 * time.Second
	// foreignWait is how long a host of another failure domain is taken to be
	// at work on its claim.
	foreignWait = 10 * time.Second
	// marksPerWindow is the number of marks in the window of a partition
	// without traffic.
	marksPerWindow = 8
	// logRetryAfter is when to come back while the log is out of reach.
	logRetryAfter = 2 * time.Second
	// progressRetryAfter is when to come back for an answer in progress.
	progressRetryAfter = time.Second
)

// Machine is the state machine. It is not safe for concurrent use.
type Machine struct {
	opts       Options
	partitions []*partition
	flights    map[Key]*flight
	tries      map[TryID]*flight
	tickets    *ticketBook
	answers    *answerCache
	// abandoned holds the nonces of claims that were given up before they
	// were read back, with the time. They were never used.
	abandoned map[uint64]time.Time
	live      map[HostRef]bool
	logDown   bool
	nextNonce uint64
	out       []Action
}

// partition is this host's view of one partition's stream.
type partition struct {
	fold *fold
	next model.Offset
	// started is when the stream was first read; zero before.
	started time.Time
	// blockedUntil is when all keys of the lost records are out of the window.
	blockedUntil time.Time
	// halted says that a record could not be understood.
	halted bool
	// markedAt is when this host last asked for a mark.
	markedAt time.Time
}

// phase is the state of a key's flight on this host.
type phase uint8

const (
	// phaseClaiming waits for this host's claim to be read back.
	phaseClaiming phase = iota
	// phaseWaiting waits for another owner's outcome.
	phaseWaiting
	// phaseSending has handed the right to a try.
	phaseSending
)

// flight joins the tries with one key that this host holds.
type flight struct {
	key    Key
	digest Digest
	phase  phase
	owner  Owner
	ticket bool
	// claimedAt is when the claim was made.
	claimedAt time.Time
	// sender has the right; waiting tries get its answer.
	sender  TryID
	waiting []Try
}

// New returns a Machine that has read nothing of the log.
func New(opts Options) *Machine {
	m := &Machine{
		opts:      opts,
		flights:   make(map[Key]*flight),
		tries:     make(map[TryID]*flight),
		tickets:   newTicketBook(opts.MaxTickets),
		answers:   newAnswerCache(opts.CacheBytes),
		abandoned: make(map[uint64]time.Time),
		live:      make(map[HostRef]bool),
		logDown:   true,
	}
	for range opts.Partitions {
		m.partitions = append(m.partitions, &partition{fold: newFold(opts.Window)})
	}
	return m
}

// SetLog tells whether the log answers.
func (m *Machine) SetLog(now time.Time, up bool) []Action {
	m.logDown = !up
	if up {
		return m.take()
	}
	for _, f := range m.flights {
		if f.phase == phaseClaiming || f.phase == phaseWaiting {
			m.refuseBlind(now, f)
		}
	}
	return m.take()
}

// SetLive replaces the set of the other hosts that are known to be alive. All
// live hosts of the own failure domain are in it.
func (m *Machine) SetLive(now time.Time, hosts []HostRef) []Action {
	m.live = make(map[HostRef]bool, len(hosts))
	for _, host := range hosts {
		m.live[host] = true
	}
	for _, f := range m.flights {
		if f.phase == phaseWaiting {
			m.evaluate(now, f)
		}
	}
	return m.take()
}

// Tick lets time pass. Call it several times in ClaimTimeout.
func (m *Machine) Tick(now time.Time) []Action {
	for _, f := range m.flights {
		if f.phase == phaseClaiming && now.Sub(f.claimedAt) >= m.opts.ClaimTimeout {
			m.refuseBlind(now, f)
		}
	}
	for _, p := range m.partitions {
		// Entries outlive the window by the age that a claim can reach and by
		// the clock difference, so that every reader sees them while a claim
		// made inside the window can still be used.
		p.fold.drop(now.Add(-m.opts.Window - 2*m.maxClaimAge()))
	}
	m.tickets.drop(now)
	maps.DeleteFunc(m.abandoned, func(_ uint64, at time.Time) bool { return now.Sub(at) >= m.opts.Window })
	m.mark(now)
	return m.take()
}

// maxClaimAge is the oldest claim that still gives the right to send.
func (m *Machine) maxClaimAge() time.Duration {
	return min(claimAgeLimit, m.opts.Window/claimAgesPerWindow)
}

// mark keeps a partition without traffic from growing silent: a host that
// starts later tells from the earliest record how far back the log is kept.
func (m *Machine) mark(now time.Time) {
	if m.logDown {
		return
	}
	every := m.opts.Window / marksPerWindow
	// The spread lets one host's mark spare the others theirs.
	spread := time.Duration(xxhash.Sum64String(string(m.opts.Self.Host)) % uint64(every/4+1))
	for i, p := range m.partitions {
		quietSince := p.fold.last
		if quietSince.Before(p.started) {
			quietSince = p.started
		}
		quiet := now.Sub(quietSince) >= every+spread && now.Sub(p.markedAt) >= every
		if p.started.IsZero() || p.halted || !quiet {
			continue
		}
		p.markedAt = now
		rec := Record{Kind: KindMark, Host: m.opts.Self.Host, Incarnation: m.opts.Self.Incarnation, UnixMilli: now.UnixMilli()}
		m.emit(Action{Kind: ActionAppend, Partition: i, Record: rec})
	}
}

// take returns the collected actions.
func (m *Machine) take() []Action {
	out := m.out
	m.out = nil
	return out
}

func (m *Machine) emit(a Action) { m.out = append(m.out, a) }

func (m *Machine) append(key Key, rec Record) {
	m.emit(Action{Kind: ActionAppend, Partition: key.Partition(m.opts.Partitions), Record: rec})
}

func (m *Machine) partitionOf(key Key) *partition {
	return m.partitions[key.Partition(m.opts.Partitions)]
}

// canClaim tells whether the log can decide about the partition's keys.
func (m *Machine) canClaim(now time.Time, p *partition) bool {
	return !m.logDown && !p.started.IsZero() && !p.halted && !now.Before(p.blockedUntil)
}

func (m *Machine) newOwner() Owner {
	m.nextNonce++
	return Owner{HostRef: m.opts.Self, Nonce: m.nextNonce}
}

// refuseBlind refuses all tries of a flight that this host has not sent and
// will not send.
func (m *Machine) refuseBlind(now time.Time, f *flight) {
	for _, try := range f.waiting {
		m.emit(m.blindRefusal(now, f.key, try))
	}
	m.abandon(now, f)
}

func (m *Machine) blindRefusal(now time.Time, key Key, try Try) Action {
	outcome := unproved(try)
	if e := m.partitionOf(key).fold.lookup(now, key); e != nil && e.state != stateFree {
		outcome = model.OutcomeUnknown
	}
	a := refuse(try.ID, outcome, CodeLogUnavailable, logRetryAfter)
	a.Refusal.TakeTicket = outcome == model.OutcomeNotRun
	return a
}

// abandon ends a flight that was not sent. Its claim, which may still reach
// the log, gives no right any more.
func (m *Machine) abandon(now time.Time, f *flight) {
	if f.phase == phaseClaiming {
		m.abandoned[f.owner.Nonce] = now
	}
	m.end(f)
}

// end forgets a flight and its tries.
func (m *Machine) end(f *flight) {
	for _, try := range f.waiting {
		delete(m.tries, try.ID)
	}
	delete(m.tries, f.sender)
	delete(m.flights, f.key)
}
