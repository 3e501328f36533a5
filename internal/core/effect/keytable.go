package effect

import (
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// entryState is the state of a key after the records read so far, in log order.
type entryState uint8

const (
	// stateFree means that the last claim was released.
	stateFree entryState = iota
	// stateClaimed means that the owner may send the request, or has sent it.
	stateClaimed
	// stateDone means that the outcome of the request is recorded.
	stateDone
)

// entry is the state of a key according to the log. It does not hold the result,
// which is read from the log when needed.
type entry struct {
	state      entryState
	generation uint32
	digest     Digest
	owner      Owner
	domain     model.DomainName
	// at is when the claim or the ticket's outcome was made.
	at time.Time
	// outcome and position are set in stateDone.
	outcome  model.Outcome
	position Position
}

// keyTable is the state of the keys of one partition: a pure function of its
// records in log order, so that all hosts agree on it.
type keyTable struct {
	window  time.Duration
	entries map[Key]*entry
	// expiry holds the keys in the order of their records, for expire.
	expiry []expiryEntry
	// lastTime is the latest time of a record.
	lastTime time.Time
}

type expiryEntry struct {
	key Key
	at  time.Time
}

func newKeyTable(window time.Duration) *keyTable {
	return &keyTable{window: window, entries: make(map[Key]*entry)}
}

// lookup returns the key's entry, or nil if the key is not protected at now.
func (t *keyTable) lookup(now time.Time, key Key) *entry {
	e := t.entries[key]
	if e == nil || now.Sub(e.at) >= t.window {
		return nil
	}
	return e
}

// apply applies one record. Whether an earlier claim is still valid depends only
// on the times in the records, never on the reader's clock.
func (t *keyTable) apply(rec Record, position Position) {
	if at := rec.Time(); at.After(t.lastTime) {
		t.lastTime = at
	}
	switch rec.Kind {
	case KindClaim:
		t.applyClaim(rec)
	case KindOutcome:
		t.applyOutcome(rec, position)
	case KindRelease:
		t.applyRelease(rec)
	}
}

// applyClaim makes the claim's owner the owner of the key if the key is not
// protected, or is free and still has the claim's generation.
func (t *keyTable) applyClaim(rec Record) {
	e := t.lookup(rec.Time(), rec.Key)
	// The generation keeps a duplicate of a released claim from winning. A
	// duplicate arises when an append is retried after its response was lost.
	if e != nil && (e.state != stateFree || e.generation != rec.Generation) {
		return
	}
	t.put(rec.Key, &entry{
		state:      stateClaimed,
		generation: rec.Generation,
		digest:     rec.Digest,
		owner:      rec.owner(),
		domain:     rec.Domain,
		at:         rec.Time(),
	})
}

// applyOutcome marks the key as done if the outcome is from its owner. A ticket's
// key needs no earlier claim.
func (t *keyTable) applyOutcome(rec Record, position Position) {
	if rec.Result == nil {
		return
	}
	e := t.entries[rec.Key]
	if e == nil && rec.Ticket {
		e = &entry{state: stateClaimed, digest: rec.Digest, owner: rec.owner(), at: rec.Time()}
		t.put(rec.Key, e)
	}
	if e == nil || e.state != stateClaimed || e.owner != rec.owner() {
		return
	}
	e.state = stateDone
	e.outcome = rec.Result.Outcome
	e.position = position
}

// applyRelease frees the key and increments its generation if the release is from
// the owner of a claim without an outcome.
func (t *keyTable) applyRelease(rec Record) {
	e := t.entries[rec.Key]
	if e == nil || e.state != stateClaimed || e.owner != rec.owner() {
		return
	}
	e.state = stateFree
	e.generation++
}

// put sets the key's entry and schedules its expiry.
func (t *keyTable) put(key Key, e *entry) {
	t.entries[key] = e
	t.expiry = append(t.expiry, expiryEntry{key: key, at: e.at})
}

// expire removes the entries made before the given time.
func (t *keyTable) expire(before time.Time) {
	n := 0
	for n < len(t.expiry) && t.expiry[n].at.Before(before) {
		key := t.expiry[n].key
		if e := t.entries[key]; e != nil && e.at.Before(before) {
			delete(t.entries, key)
		}
		n++
	}
	if n > 0 {
		t.expiry = append([]expiryEntry(nil), t.expiry[n:]...)
	}
}
