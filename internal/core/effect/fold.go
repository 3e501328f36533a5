package effect

import (
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// entryState is the state of a key in the order of the log.
type entryState uint8

const (
	// stateFree means that the last claim was released.
	stateFree entryState = iota
	// stateClaimed means that the owner may send, or has sent.
	stateClaimed
	// stateDone means that the end of the request is recorded.
	stateDone
)

// entry is what the log says of a key. It holds no answer: that is read from
// the log when it is asked for.
type entry struct {
	state      entryState
	generation uint32
	digest     Digest
	owner      Owner
	domain     model.DomainName
	// at is when the claim, the release or the ticket's outcome was made.
	at time.Time
	// outcome and place belong to stateDone.
	outcome model.Outcome
	place   Place
}

// fold is the state of one partition: a pure function of its records in log
// order, so that all hosts agree on it.
type fold struct {
	window  time.Duration
	entries map[Key]*entry
	// expiry holds the keys in the order of their records, for dropping.
	expiry []expiring
	// last is the latest time of a record.
	last time.Time
}

type expiring struct {
	key Key
	at  time.Time
}

func newFold(window time.Duration) *fold {
	return &fold{window: window, entries: make(map[Key]*entry)}
}

// lookup returns the key's entry, or nil when the key is not protected at now.
func (f *fold) lookup(now time.Time, key Key) *entry {
	e := f.entries[key]
	if e == nil || now.Sub(e.at) >= f.window {
		return nil
	}
	return e
}

// apply adds one record. Whether an earlier claim still counts depends on the
// times in the records only, never on the reader's clock.
func (f *fold) apply(rec Record, place Place) {
	if at := rec.Time(); at.After(f.last) {
		f.last = at
	}
	switch rec.Kind {
	case KindClaim:
		f.applyClaim(rec)
	case KindOutcome:
		f.applyOutcome(rec, place)
	case KindRelease:
		f.applyRelease(rec)
	}
}

func (f *fold) applyClaim(rec Record) {
	e := f.lookup(rec.Time(), rec.Key)
	// The generation keeps a second copy of a released claim, which an
	// append with a lost answer can leave, from winning.
	if e != nil && (e.state != stateFree || e.generation != rec.Generation) {
		return
	}
	f.put(rec.Key, &entry{
		state:      stateClaimed,
		generation: rec.Generation,
		digest:     rec.Digest,
		owner:      rec.owner(),
		domain:     rec.Domain,
		at:         rec.Time(),
	})
}

func (f *fold) applyOutcome(rec Record, place Place) {
	if rec.Result == nil {
		return
	}
	e := f.entries[rec.Key]
	if e == nil && rec.Ticket {
		e = &entry{state: stateClaimed, digest: rec.Digest, owner: rec.owner(), at: rec.Time()}
		f.put(rec.Key, e)
	}
	if e == nil || e.state != stateClaimed || e.owner != rec.owner() {
		return
	}
	e.state = stateDone
	e.outcome = rec.Result.Outcome
	e.place = place
}

func (f *fold) applyRelease(rec Record) {
	e := f.entries[rec.Key]
	if e == nil || e.state != stateClaimed || e.owner != rec.owner() {
		return
	}
	e.state = stateFree
	e.generation++
}

func (f *fold) put(key Key, e *entry) {
	f.entries[key] = e
	f.expiry = append(f.expiry, expiring{key: key, at: e.at})
}

// drop forgets the entries made before the given time.
func (f *fold) drop(before time.Time) {
	n := 0
	for n < len(f.expiry) && f.expiry[n].at.Before(before) {
		key := f.expiry[n].key
		if e := f.entries[key]; e != nil && e.at.Before(before) {
			delete(f.entries, key)
		}
		n++
	}
	if n > 0 {
		f.expiry = append([]expiring(nil), f.expiry[n:]...)
	}
}
