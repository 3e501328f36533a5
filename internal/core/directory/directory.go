// Package directory holds the list of endpoints that the platform publishes. It
// decides which endpoints may get new requests while entries arrive late,
// expire during an outage of the platform's store, are deleted, or return to an
// older state because the store was restored from a copy.
package directory

import (
	"cmp"
	"slices"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// Entry is what an endpoint publishes about itself.
type Entry struct {
	Name    model.EndpointName
	Pool    model.PoolName
	Address string
	Domain  model.DomainName
	// Software is the version of the software that the endpoint runs. What two versions
	// write does not fit together.
	Software model.SoftwareVersion
	// Slots is the number of requests that the endpoint runs at once.
	Slots int
	// Draining endpoints finish their requests and accept no more.
	Draining bool
	// Started distinguishes a restarted endpoint from its predecessor with the
	// same name. It is the Unix time of the start in milliseconds.
	Started int64
	// Sequence counts the entries that this start of the endpoint has published.
	Sequence int64
	// Reclaimable endpoints may be taken away by the platform at short notice.
	Reclaimable bool
	// Leaves is the time from the entry until the endpoint ends; 0 if it is not known.
	Leaves time.Duration
}

// isOlderThan reports whether the endpoint published e before other.
func (e Entry) isOlderThan(other Entry) bool {
	return cmp.Or(cmp.Compare(e.Started, other.Started), cmp.Compare(e.Sequence, other.Sequence)) < 0
}

// equalsExceptSequence reports whether the entries say the same about the
// endpoint.
func (e Entry) equalsExceptSequence(other Entry) bool {
	e.Sequence = other.Sequence
	return e == other
}

// Change is a change of one entry.
type Change struct {
	Entry Entry
	// Removed reports that the entry was removed, so that the endpoint gets no
	// more requests.
	Removed bool
	// Restarted reports that the endpoint has restarted under its name, at the
	// same or a new address.
	Restarted bool
}

// returnGrace is the time after an outage or a restoration of the store within
// which the entries of live endpoints return: the platform states about 2 s.
const returnGrace = 2 * time.Second

// outageAfter is the time without a response from the store after which, if reads
// have failed, entries may have expired unnoticed: an entry expires three intervals of 1.2 s
// after the last status report of its endpoint, which may be one interval old when an
// outage begins. It exceeds the 2.2 s between two reads as hosts learn of them.
const outageAfter = 2400 * time.Millisecond

// RestartListTime is the time within which the list of endpoints shows that one has started
// again. It may run another version by then, under the same name and address.
const RestartListTime = 3 * time.Second

// Directory is the list of endpoints. It is not safe for concurrent use: the
// control loop owns it.
type Directory struct {
	entries map[model.EndpointName]Entry
	// missing are the entries that were removed shortly after an outage and may
	// return, with the time at which the removal takes effect.
	missing map[model.EndpointName]time.Time
	// versions are the versions of the entries that are not missing.
	versions versionCounts
	// lastRead is the time of the last response from the store, and readFailed reports
	// whether a read has failed since.
	lastRead   time.Time
	readFailed bool
	// graceUntil is the time until which removals are delayed.
	graceUntil time.Time
	// restored is the state that protects the list after the store was restored.
	restored restoredState
	// leaving are the endpoints that have reported that they are leaving.
	leaving map[model.EndpointName]leavingMark
	// departures are when endpoints end that have announced it.
	departures map[model.EndpointName]departure
}

// New returns an empty directory.
func New() *Directory {
	return &Directory{
		entries:  make(map[model.EndpointName]Entry),
		missing:  make(map[model.EndpointName]time.Time),
		versions: make(versionCounts),
		restored: newRestoredState(),
		leaving:  make(map[model.EndpointName]leavingMark),

		departures: make(map[model.EndpointName]departure),
	}
}

// Len returns the number of endpoints, including missing ones.
func (d *Directory) Len() int { return len(d.entries) }

// Lookup returns the entry of an endpoint, also if it is missing. It returns false if
// the endpoint is not in the list.
func (d *Directory) Lookup(name model.EndpointName) (Entry, bool) {
	e, known := d.entries[name]
	return e, known
}

// HasSuccessor reports whether an endpoint has started again, or another one has started
// at its address since.
func (d *Directory) HasSuccessor(instance model.Instance, address string) bool {
	if e, known := d.entries[instance.Name]; known && e.Started > instance.Started {
		return true
	}
	for _, e := range d.entries {
		if e.Address == address && e.Name != instance.Name && e.Started > instance.Started {
			return true
		}
	}
	return false
}

// IsMissing reports whether the entry was removed but may still return.
func (d *Directory) IsMissing(name model.EndpointName) bool {
	_, missing := d.missing[name]
	return missing
}

// Age returns the time since the store held what its last response has shown.
func (d *Directory) Age(now time.Time) time.Duration { return now.Sub(d.lastRead) }

// RecordStoreRead records a response from the store, which shows what it held at asOf. It
// must be called before the changes in the response are applied.
func (d *Directory) RecordStoreRead(now, asOf time.Time) {
	if d.readFailed && !d.lastRead.IsZero() && now.Sub(d.lastRead) > outageAfter {
		d.delayRemovals(now)
	}
	if asOf.After(d.lastRead) {
		d.lastRead = asOf
	}
	d.readFailed = false
}

// RecordReadFailure records that a read of the store has failed. Without one, a long
// time since the last response is no outage of the store: the hosts that read it were
// lost.
func (d *Directory) RecordReadFailure() { d.readFailed = true }

// RecordSuspension makes the list older by the time in which the host was suspended.
func (d *Directory) RecordSuspension(length time.Duration) {
	if !d.lastRead.IsZero() {
		d.lastRead = d.lastRead.Add(-length)
	}
}

// delayRemovals delays removals until returnGrace from now.
func (d *Directory) delayRemovals(now time.Time) { d.graceUntil = now.Add(returnGrace) }

// Put adds or replaces an entry. It returns false if nothing has changed, or if
// the entry may be outdated since the store was restored.
func (d *Directory) Put(now time.Time, e Entry) (Change, bool) {
	if d.isOutdated(now, e) {
		return Change{}, false
	}
	d.recordDeparture(now, e)
	return d.store(e)
}

// store adds or replaces an entry. It returns false if nothing has changed.
func (d *Directory) store(e Entry) (Change, bool) {
	d.restored.forget(e.Name)
	before, known := d.entries[e.Name]
	d.put(e)
	if known && before.equalsExceptSequence(e) {
		return Change{}, false
	}
	restarted := known && (before.Started != e.Started || before.Address != e.Address)
	return Change{Entry: d.withLeaving(e), Restarted: restarted}, true
}

// Remove removes an entry. Shortly after an outage, entries that are not
// draining become missing instead, in case they return; it returns false then
// and for unknown names.
func (d *Directory) Remove(now time.Time, name model.EndpointName) (Change, bool) {
	delete(d.restored.withheld, name)
	e, known := d.entries[name]
	if !known {
		return Change{}, false
	}
	if now.Before(d.graceUntil) && !d.withLeaving(e).Draining {
		d.markMissing(name, d.graceUntil)
		return Change{}, false
	}
	return d.drop(now, e), true
}

// Replace applies a complete list: entries that are not in it are removed. Its sender
// withholds further entries.
func (d *Directory) Replace(now time.Time, list []Entry, withheld ...Entry) []Change {
	out := d.AdoptWithheld(now, withheld)
	seen := make(map[model.EndpointName]bool, len(list)+len(withheld))
	for _, e := range withheld {
		seen[e.Name] = true
	}
	for _, e := range list {
		seen[e.Name] = true
		if c, changed := d.Put(now, e); changed {
			out = append(out, c)
		}
	}
	for name := range d.entries {
		if seen[name] {
			continue
		}
		if c, changed := d.Remove(now, name); changed {
			out = append(out, c)
		}
	}
	for name := range d.restored.withheld {
		if !seen[name] {
			delete(d.restored.withheld, name)
		}
	}
	return out
}

// Expire applies the changes that are due by time: it removes missing entries
// that have not returned, and accepts withheld entries that are still listed.
func (d *Directory) Expire(now time.Time) []Change {
	var out []Change
	for name, at := range d.missing {
		if !now.Before(at) {
			out = append(out, d.drop(now, d.entries[name]))
		}
	}
	d.expireLeaving(now)
	d.expireDepartures(now)
	return append(out, d.expireRestored(now)...)
}

// drop removes an entry at once.
func (d *Directory) drop(now time.Time, e Entry) Change {
	d.clear(e.Name)
	d.restored.recordRemoval(now, e)
	return Change{Entry: e, Removed: true}
}

// Entries returns a copy of the list without the missing entries, sorted by
// name.
func (d *Directory) Entries() []Entry {
	out := make([]Entry, 0, len(d.entries))
	for name, e := range d.entries {
		if !d.IsMissing(name) {
			out = append(out, e)
		}
	}
	slices.SortFunc(out, func(a, b Entry) int { return cmp.Compare(a.Name, b.Name) })
	return out
}
