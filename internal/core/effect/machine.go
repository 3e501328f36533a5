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
	// Address is this host's peer address, as host:port.
	Address string
	// Secret is the key that authenticates tickets between the hosts.
	Secret []byte
	// Partitions is the number of partitions; it must be equal on all hosts.
	Partitions int
	// Window is how long a key is protected after its first claim. The log must
	// retain records for longer, so that protection ends well before the log drops
	// the records of the key. The host sets Window to half of the log's retention.
	Window time.Duration
	// ClaimTimeout is the longest wait until a claim is read back from the log.
	ClaimTimeout time.Duration
	// MaxTickets bounds the number of tickets in use.
	MaxTickets int
	// CacheBytes bounds the memory for results that later tries may need.
	CacheBytes int
}

// Times that are the same on all hosts.
const (
	// claimAgeLimit is the maximum age at which a claim can still be granted a
	// permit. It also bounds the tolerated clock difference between hosts.
	claimAgeLimit = time.Minute
	// claimAgesPerWindow keeps the maximum age of a claim well below the window.
	claimAgesPerWindow = 8
	// membershipLag is the maximum delay of the membership view of this host's
	// failure domain.
	membershipLag = 2 * time.Second
	// remoteClaimTimeout is how long a host of another failure domain is assumed
	// to be still working on its claim.
	remoteClaimTimeout = 10 * time.Second
	// timestampsPerWindow is the number of timestamp records per window in a
	// partition without traffic.
	timestampsPerWindow = 8
	// logRetryAfter is the retry delay while the log is unreachable.
	logRetryAfter = 2 * time.Second
	// progressRetryAfter is the retry delay while the request is in progress.
	progressRetryAfter = time.Second
)

// Machine is the state machine of one host. It is not safe for concurrent use.
type Machine struct {
	opts       Options
	partitions []*partition
	inFlight   map[Key]*inFlightKey
	tries      map[TryID]*inFlightKey
	tickets    *usedTickets
	results    *resultCache
	// abandoned holds the nonces of claims that were abandoned before they were
	// read back, with the time of abandonment. No permit was granted for them.
	abandoned map[uint64]time.Time
	// live holds the other live hosts.
	live      map[HostRef]bool
	logDown   bool
	nextNonce uint64
	// actions collects the actions of the current call.
	actions []Action
}

// partition is this host's view of one partition's stream.
type partition struct {
	keys       *keyTable
	nextOffset model.Offset
	// firstReadAt is when the stream was first read; zero before that.
	firstReadAt time.Time
	// blockedUntil is the time before which claims are refused. By then all keys
	// of the records that the log dropped before they were read are out of the
	// window.
	blockedUntil time.Time
	// halted reports that a record could not be decoded.
	halted bool
	// timestampedAt is when this host last emitted a timestamp record.
	timestampedAt time.Time
}

// phase is the state of an inFlightKey.
type phase uint8

const (
	// phaseClaiming waits until this host's claim is read back.
	phaseClaiming phase = iota
	// phaseWaiting waits for another owner's outcome.
	phaseWaiting
	// phaseSending has granted the permit to a try.
	phaseSending
)

// inFlightKey groups the pending tries with one key at this host.
type inFlightKey struct {
	key    Key
	digest Digest
	phase  phase
	owner  Owner
	ticket bool
	// claimedAt is when the claim was made.
	claimedAt time.Time
	// sender is the try that has the permit; the waiting tries get its result.
	sender  TryID
	waiting []Try
}

// New returns a Machine that has read no records and considers the log
// unavailable.
func New(opts Options) *Machine {
	m := &Machine{
		opts:      opts,
		inFlight:  make(map[Key]*inFlightKey),
		tries:     make(map[TryID]*inFlightKey),
		tickets:   newUsedTickets(opts.MaxTickets),
		results:   newResultCache(opts.CacheBytes),
		abandoned: make(map[uint64]time.Time),
		live:      make(map[HostRef]bool),
		logDown:   true,
	}
	for range opts.Partitions {
		m.partitions = append(m.partitions, &partition{keys: newKeyTable(opts.Window)})
	}
	return m
}

// SetLogAvailable sets whether the log responds. While it does not, the tries
// that wait for the log are refused.
func (m *Machine) SetLogAvailable(now time.Time, up bool) []Action {
	m.logDown = !up
	if up {
		return m.takeActions()
	}
	for _, f := range m.inFlight {
		if f.phase == phaseClaiming || f.phase == phaseWaiting {
			m.refuseWithoutLog(now, f)
		}
	}
	return m.takeActions()
}

// SetLiveHosts replaces the set of other hosts that are known to be alive. It
// must contain all live hosts of this host's failure domain.
func (m *Machine) SetLiveHosts(now time.Time, hosts []HostRef) []Action {
	m.live = make(map[HostRef]bool, len(hosts))
	for _, host := range hosts {
		m.live[host] = true
	}
	for _, f := range m.inFlight {
		if f.phase == phaseWaiting {
			m.evaluate(now, f)
		}
	}
	return m.takeActions()
}

// Tick refuses tries whose claim timed out, expires old state and emits due
// timestamp records. It must be called several times per ClaimTimeout.
func (m *Machine) Tick(now time.Time) []Action {
	for _, f := range m.inFlight {
		if f.phase == phaseClaiming && now.Sub(f.claimedAt) >= m.opts.ClaimTimeout {
			m.refuseWithoutLog(now, f)
		}
	}
	for _, p := range m.partitions {
		// Entries are kept longer than the window by the maximum age of a claim
		// and by the clock difference, so that every reader still has them while
		// a claim made inside the window can be granted a permit.
		p.keys.expire(now.Add(-m.opts.Window - 2*m.maxClaimAge()))
	}
	m.tickets.expire(now)
	maps.DeleteFunc(m.abandoned, func(_ uint64, at time.Time) bool { return now.Sub(at) >= m.opts.Window })
	m.appendTimestamps(now)
	return m.takeActions()
}

// maxClaimAge returns the maximum age at which a claim can still be granted a
// permit.
func (m *Machine) maxClaimAge() time.Duration {
	return min(claimAgeLimit, m.opts.Window/claimAgesPerWindow)
}

// appendTimestamps emits the actions that append timestamp records to partitions
// without traffic. A host that starts later finds out from the earliest record
// how far back the log holds the partition's records.
func (m *Machine) appendTimestamps(now time.Time) {
	if m.logDown {
		return
	}
	every := m.opts.Window / timestampsPerWindow
	// The per-host spread lets one host append first, so that the others need
	// not append.
	spread := time.Duration(xxhash.Sum64String(string(m.opts.Self.Host)) % uint64(every/4+1))
	for i, p := range m.partitions {
		quietSince := p.keys.lastTime
		if quietSince.Before(p.firstReadAt) {
			quietSince = p.firstReadAt
		}
		quiet := now.Sub(quietSince) >= every+spread && now.Sub(p.timestampedAt) >= every
		if p.firstReadAt.IsZero() || p.halted || !quiet {
			continue
		}
		p.timestampedAt = now
		rec := Record{Kind: KindTimestamp, Host: m.opts.Self.Host, Incarnation: m.opts.Self.Incarnation, UnixMilli: now.UnixMilli()}
		m.emit(Action{Kind: ActionAppend, Partition: i, Record: rec})
	}
}

// takeActions returns and clears the emitted actions.
func (m *Machine) takeActions() []Action {
	out := m.actions
	m.actions = nil
	return out
}

// emit adds an action to those that the current call returns.
func (m *Machine) emit(a Action) { m.actions = append(m.actions, a) }

// appendRecord emits the action that appends a record to the key's partition.
func (m *Machine) appendRecord(key Key, rec Record) {
	m.emit(Action{Kind: ActionAppend, Partition: key.Partition(m.opts.Partitions), Record: rec})
}

func (m *Machine) partitionOf(key Key) *partition {
	return m.partitions[key.Partition(m.opts.Partitions)]
}

// canClaim reports whether claims of the partition's keys can be decided now: the
// log responds, and the partition has been read and is neither halted nor
// blocked.
func (m *Machine) canClaim(now time.Time, p *partition) bool {
	return !m.logDown && !p.firstReadAt.IsZero() && !p.halted && !now.Before(p.blockedUntil)
}

// newOwner returns a new owner for a claim of this host.
func (m *Machine) newOwner() Owner {
	m.nextNonce++
	return Owner{HostRef: m.opts.Self, Nonce: m.nextNonce}
}

// refuseWithoutLog refuses all tries with a key whose request this host has not
// sent and will not send, because the log cannot decide its claim, and abandons
// the key.
func (m *Machine) refuseWithoutLog(now time.Time, f *inFlightKey) {
	for _, try := range f.waiting {
		m.emit(m.refusalWithoutLog(now, f.key, try))
	}
	m.abandon(now, f)
}

// refusalWithoutLog returns the refusal of a try that cannot be decided without
// the log. The outcome is unknown if the key is known to be claimed or done.
func (m *Machine) refusalWithoutLog(now time.Time, key Key, try Try) Action {
	outcome := unprovenOutcome(try)
	if e := m.partitionOf(key).keys.lookup(now, key); e != nil && e.state != stateFree {
		outcome = model.OutcomeUnknown
	}
	a := refuse(try.ID, outcome, CodeLogUnavailable, logRetryAfter)
	a.Refusal.SuggestTicket = outcome == model.OutcomeNotRun
	return a
}

// abandon removes a key whose request was not sent. Its claim may still reach
// the log, but is no longer granted a permit.
func (m *Machine) abandon(now time.Time, f *inFlightKey) {
	if f.phase == phaseClaiming {
		m.abandoned[f.owner.Nonce] = now
	}
	m.remove(f)
}

// remove deletes a key and its tries from m.inFlight and m.tries.
func (m *Machine) remove(f *inFlightKey) {
	for _, try := range f.waiting {
		delete(m.tries, try.ID)
	}
	delete(m.tries, f.sender)
	delete(m.inFlight, f.key)
}
