package directory

import (
	"cmp"
	"slices"
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
//  4. Hosts may withhold different entries, and any of them may read the removal. So
//     what one host withholds is part of the list that others take over from it, and
//     all changes are passed on while entries are checked.

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
	withheld map[model.EndpointName]withheldEntry
}

// withheldEntry is an entry that is accepted by the first read from a time on.
type withheldEntry struct {
	entry Entry
	until time.Time
}

// removal is a removed entry and the time of its removal.
type removal struct {
	entry Entry
	at    time.Time
}

func newRestoredState() restoredState {
	return restoredState{removed: make(map[model.EndpointName]removal), withheld: make(map[model.EndpointName]withheldEntry)}
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
// an older copy, with the entries that its sender withholds. Until withholdTime has
// passed, entries that may be outdated are not used.
func (d *Directory) Restore(now time.Time, list []Entry, withheld ...Entry) []Change {
	d.delayRemovals(now)
	d.restored.checkUntil = now.Add(withholdTime)
	return d.Replace(now, list, withheld...)
}

// IsChecking reports whether entries are checked since the store was restored. Other hosts
// may then hold other entries than this one.
func (d *Directory) IsChecking(now time.Time) bool { return now.Before(d.restored.checkUntil) }

// IsWithheld reports whether an entry of an endpoint that was removed is withheld.
func (d *Directory) IsWithheld(name model.EndpointName) bool {
	_, withheld := d.restored.withheld[name]
	return withheld
}

// Withheld returns the withheld entries, sorted by name.
func (d *Directory) Withheld() []Entry {
	out := make([]Entry, 0, len(d.restored.withheld))
	for _, held := range d.restored.withheld {
		out = append(out, held.entry)
	}
	slices.SortFunc(out, func(a, b Entry) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// withhold withholds an entry. The time until it is accepted starts once.
func (d *Directory) withhold(now time.Time, e Entry) {
	held, withheld := d.restored.withheld[e.Name]
	if !withheld {
		held.until = now.Add(withholdTime)
	}
	held.entry = e
	d.restored.withheld[e.Name] = held
}

// adoptWithheld withholds an entry that the sender of a list withholds: the sender knows
// that the endpoint was removed. It returns the removal if the endpoint is listed here, and
// false if nothing has changed or this host knows a newer entry.
func (d *Directory) adoptWithheld(now time.Time, e Entry) (Change, bool) {
	known, listed := d.entries[e.Name]
	if listed && e.isOlderThan(known) {
		return Change{}, false
	}
	var change Change
	if listed {
		change = d.drop(now, known)
	} else if _, removed := d.restored.removed[e.Name]; !removed {
		d.restored.recordRemoval(now, e)
	}
	d.withhold(now, e)
	return change, listed
}

// AdoptWithheld withholds entries that another host withholds. It returns the removals of
// those that are listed here.
func (d *Directory) AdoptWithheld(now time.Time, withheld []Entry) []Change {
	var out []Change
	for _, e := range withheld {
		if c, changed := d.adoptWithheld(now, e); changed {
			out = append(out, c)
		}
	}
	return out
}

// isOutdated reports whether an entry comes from before the store was restored, so
// that what is known of the endpoint is newer. It withholds the entry of a removed
// endpoint.
func (d *Directory) isOutdated(now time.Time, e Entry) bool {
	checking := d.IsChecking(now)
	if known, listed := d.entries[e.Name]; listed {
		outdated := checking && (e.isOlderThan(known) || known.Draining && !known.isOlderThan(e))
		if outdated {
			d.unmarkMissing(e.Name)
		}
		return outdated
	}
	gone, removed := d.restored.removed[e.Name]
	if !checking && !d.IsWithheld(e.Name) || !removed || gone.entry.isOlderThan(e) {
		return false
	}
	d.withhold(now, e)
	return true
}

// expireRestored accepts the entries that were withheld for withholdTime, and forgets
// old removals.
func (d *Directory) expireRestored(now time.Time) []Change {
	for name, gone := range d.restored.removed {
		if now.Sub(gone.at) > removalMemory {
			delete(d.restored.removed, name)
		}
	}
	var out []Change
	for _, held := range d.restored.withheld {
		// A read since then would have shown the removal of an endpoint that is gone.
		if now.Before(held.until) || d.lastRead.Before(held.until) {
			continue
		}
		if c, changed := d.store(held.entry); changed {
			out = append(out, c)
		}
	}
	return out
}
