// Package directory keeps the list of endpoints that the platform publishes.
// It decides which endpoints may get new requests while entries come late,
// expire during an outage of the platform's store, or are deleted.
package directory

import (
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// Entry is what an endpoint says of itself.
type Entry struct {
	Name    model.EndpointName
	Pool    model.PoolName
	Address string
	Domain  model.DomainName
	// Slots is the number of requests that run at once.
	Slots int
	// Draining endpoints finish their work and take no more.
	Draining bool
	// Started tells a restarted endpoint from its predecessor of the same name.
	Started int64
}

// Change is a difference to the directory before.
type Change struct {
	Entry Entry
	// Gone says that the endpoint takes no more requests because its entry was
	// removed.
	Gone bool
	// Restarted says that the endpoint began anew under its name and address.
	Restarted bool
}

// returnGrace is the time after an outage of the store in which entries that
// expired meanwhile come back: the platform states about 2 s.
const returnGrace = 2 * time.Second

// outageAfter is the time without an answer of the store from which entries may
// have expired unseen. It is below three status reports of an endpoint.
const outageAfter = 2 * time.Second

// Directory is the list. The control loop owns it.
type Directory struct {
	entries map[model.EndpointName]Entry
	// missing are entries that were removed around an outage, with the time at
	// which they count as gone.
	missing map[model.EndpointName]time.Time
	// read is the time of the last answer of the store.
	read time.Time
	// graceUntil is the time until which removals are not believed.
	graceUntil time.Time
}

// New returns an empty directory.
func New() *Directory {
	return &Directory{
		entries: make(map[model.EndpointName]Entry),
		missing: make(map[model.EndpointName]time.Time),
	}
}

// Len returns the number of endpoints.
func (d *Directory) Len() int { return len(d.entries) }

// Knows says that the list has an endpoint.
func (d *Directory) Knows(name model.EndpointName) bool {
	_, known := d.entries[name]
	return known
}

// Missing says that an entry was removed and is waited for.
func (d *Directory) Missing(name model.EndpointName) bool {
	_, missing := d.missing[name]
	return missing
}

// Age returns the time since the last answer of the store.
func (d *Directory) Age(now time.Time) time.Duration { return now.Sub(d.read) }

// Answered tells that the store has answered. It comes before the changes that
// the answer holds.
func (d *Directory) Answered(now time.Time) {
	if !d.read.IsZero() && now.Sub(d.read) > outageAfter {
		d.graceUntil = now.Add(returnGrace)
	}
	d.read = now
}

// Put adds or replaces an entry. It returns false when nothing changed.
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

// Remove takes an entry off the list. Around an outage it waits for the entry
// to come back: then it returns false.
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

// Replace takes a whole list: entries that are not in it are removed.
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

// Tick removes the entries that did not come back in time.
func (d *Directory) Tick(now time.Time) []Change {
	var out []Change
	for name, at := range d.missing {
		if now.Before(at) {
			continue
		}
		out = append(out, d.drop(d.entries[name]))
	}
	return out
}

func (d *Directory) drop(e Entry) Change {
	delete(d.entries, e.Name)
	delete(d.missing, e.Name)
	return Change{Entry: e, Gone: true}
}

// Entries returns a copy of the list, without the entries that were removed and
// are waited for.
func (d *Directory) Entries() []Entry {
	out := make([]Entry, 0, len(d.entries))
	for name, e := range d.entries {
		if !d.Missing(name) {
			out = append(out, e)
		}
	}
	return out
}
