// Package directory holds the list of endpoints that the platform publishes. It
// decides which endpoints may get new requests while entries arrive late,
// expire during an outage of the platform's store, or are deleted.
package directory

import (
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// Entry is what an endpoint publishes about itself.
type Entry struct {
	Name    model.EndpointName
	Pool    model.PoolName
	Address string
	Domain  model.DomainName
	// Slots is the number of requests that the endpoint runs at once.
	Slots int
	// Draining endpoints finish their requests and accept no more.
	Draining bool
	// Started distinguishes a restarted endpoint from its predecessor with the
	// same name.
	Started int64
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

// returnGrace is the time after an outage of the store within which entries
// that expired during the outage return: the platform states about 2 s.
const returnGrace = 2 * time.Second

// outageAfter is the time without a response from the store after which entries
// may have expired unnoticed. It is shorter than three intervals between the
// status reports of an endpoint.
const outageAfter = 2 * time.Second

// Directory is the list of endpoints. It is not safe for concurrent use: the
// control loop owns it.
type Directory struct {
	entries map[model.EndpointName]Entry
	// missing are the entries that were removed shortly after an outage and may
	// return, with the time at which the removal takes effect.
	missing map[model.EndpointName]time.Time
	// lastRead is the time of the last response from the store.
	lastRead time.Time
	// graceUntil is the time until which removals are delayed.
	graceUntil time.Time
}

// New returns an empty directory.
func New() *Directory {
	return &Directory{
		entries: make(map[model.EndpointName]Entry),
		missing: make(map[model.EndpointName]time.Time),
	}
}

// Len returns the number of endpoints, including missing ones.
func (d *Directory) Len() int { return len(d.entries) }

// Has reports whether the endpoint is in the list.
func (d *Directory) Has(name model.EndpointName) bool {
	_, known := d.entries[name]
	return known
}

// IsMissing reports whether the entry was removed but may still return.
func (d *Directory) IsMissing(name model.EndpointName) bool {
	_, missing := d.missing[name]
	return missing
}

// Age returns the time since the last response from the store.
func (d *Directory) Age(now time.Time) time.Duration { return now.Sub(d.lastRead) }

// RecordStoreRead records a response from the store. It must be called before
// the changes in the response are applied.
func (d *Directory) RecordStoreRead(now time.Time) {
	if !d.lastRead.IsZero() && now.Sub(d.lastRead) > outageAfter {
		d.graceUntil = now.Add(returnGrace)
	}
	d.lastRead = now
}

// Put adds or replaces an entry. It returns false if nothing has changed.
func (d *Directory) Put(e Entry) (Change, bool) {
	delete(d.missing, e.Name)
	before, known := d.entries[e.Name]
	if known && before == e {
		return Change{}, false
	}
	d.entries[e.Name] = e
	restarted := known && (before.Started != e.Started || before.Address != e.Address)
	return Change{Entry: e, Restarted: restarted}, true
}

// Remove removes an entry. Shortly after an outage, entries that are not
// draining become missing instead, in case they return; it returns false then
// and for unknown names.
func (d *Directory) Remove(now time.Time, name model.EndpointName) (Change, bool) {
	e, known := d.entries[name]
	if !known {
		return Change{}, false
	}
	if now.Before(d.graceUntil) && !e.Draining {
		if _, waiting := d.missing[name]; !waiting {
			d.missing[name] = d.graceUntil
		}
		return Change{}, false
	}
	return d.drop(e), true
}

// Replace applies a complete list: entries that are not in it are removed.
func (d *Directory) Replace(now time.Time, list []Entry) []Change {
	var out []Change
	seen := make(map[model.EndpointName]bool, len(list))
	for _, e := range list {
		seen[e.Name] = true
		if c, changed := d.Put(e); changed {
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
	return out
}

// ExpireMissing removes the missing entries that have not returned in time.
func (d *Directory) ExpireMissing(now time.Time) []Change {
	var out []Change
	for name, at := range d.missing {
		if now.Before(at) {
			continue
		}
		out = append(out, d.drop(d.entries[name]))
	}
	return out
}

// drop removes an entry at once.
func (d *Directory) drop(e Entry) Change {
	delete(d.entries, e.Name)
	delete(d.missing, e.Name)
	return Change{Entry: e, Removed: true}
}

// Entries returns a copy of the list without the missing entries.
func (d *Directory) Entries() []Entry {
	out := make([]Entry, 0, len(d.entries))
	for name, e := range d.entries {
		if !d.IsMissing(name) {
			out = append(out, e)
		}
	}
	return out
}
