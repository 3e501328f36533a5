package directory

import (
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// The list after the platform's store was restored from a copy that is some
// seconds old. The copy does not have the latest changes until the endpoints
// publish again:
//
//  1. An endpoint that the copy lacks may have started since the copy was made.
//     Its removal is delayed like after an outage.
//  2. An entry that is older than the known one is outdated: the copy may list an
//     endpoint as ready that is draining.
//  3. An entry of an endpoint that was removed before is withheld. If its
//     endpoint is gone, the store removes the entry after some missed status
//     reports; otherwise it is accepted by the first read after withholdTime.

const (
	// withholdTime is how long entries of the copy are checked. It exceeds the
	// three status reports that an endpoint misses before its entry is removed.
	withholdTime = 5 * time.Second
	// removalMemory is how long removed entries are remembered, which bounds the
	// age of a copy that can be recognized.
	removalMemory = time.Minute
)

// restoredState is what a Directory remembers in order to recognize outdated
// entries.
type restoredState struct {
	// checkUntil is the time until which entries are checked.
	checkUntil time.Time
	// removed are the recently removed entries.
	removed map[model.EndpointName]removal
	// withheld are entries of the copy that may belong to endpoints that are
	// gone.
	withheld map[model.EndpointName]Entry
}

// removal is a removed entry and the time of its removal.
type removal struct {
	entry Entry
	at    time.Time
}

func newRestoredState() restoredState {
	return restoredState{removed: make(map[model.EndpointName]removal), withheld: make(map[model.EndpointName]Entry)}
}

// recordRemoval remembers a removed entry.
func (r *restoredState) recordRemoval(now time.Time, e Entry) {
	r.removed[e.Name] = removal{entry: e, at: now}
}

// forget drops what is remembered of an endpoint that is listed again.
func (r *restoredState) forget(name model.EndpointName) {
	delete(r.removed, name)
	delete(r.withheld, name)
}

// Restore applies a complete list that was read after the store was restored from
// an older copy. Until withholdTime has passed, entries that may be outdated are
// not used.
func (d *Directory) Restore(now time.Time, list []Entry) []Change {
	d.delayRemovals(now)
	d.restored.checkUntil = now.Add(withholdTime)
	return d.Replace(now, list)
}

// isOutdated reports whether an entry comes from before the store was restored, so
// that what is known of the endpoint is newer. It withholds the entry of a removed
// endpoint.
func (d *Directory) isOutdated(now time.Time, e Entry) bool {
	if !now.Before(d.restored.checkUntil) {
		return false
	}
	if known, listed := d.entries[e.Name]; listed {
		outdated := e.isOlderThan(known) || known.Draining && !known.isOlderThan(e)
		if outdated {
			d.unmarkMissing(e.Name)
		}
		return outdated
	}
	gone, removed := d.restored.removed[e.Name]
	if !removed || gone.entry.isOlderThan(e) {
		return false
	}
	d.restored.withheld[e.Name] = e
	return true
}

// expireRestored accepts the withheld entries once withholdTime has passed, and
// forgets old removals.
func (d *Directory) expireRestored(now time.Time) []Change {
	for name, gone := range d.restored.removed {
		if now.Sub(gone.at) > removalMemory {
			delete(d.restored.removed, name)
		}
	}
	// A read since then would have shown the removal of an endpoint that is gone.
	if now.Before(d.restored.checkUntil) || d.lastRead.Before(d.restored.checkUntil) {
		return nil
	}
	var out []Change
	for _, e := range d.restored.withheld {
		if c, changed := d.store(e); changed {
			out = append(out, c)
		}
	}
	return out
}
