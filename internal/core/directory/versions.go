package directory

import (
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// version is a software version of a pool.
type version struct {
	pool     model.PoolName
	software model.SoftwareVersion
}

// versionCounts are the numbers of listed endpoints by pool and software version, without
// missing ones. They are kept with each change: to go over all entries at each change would
// cost the square of the number of endpoints while all of them start.
type versionCounts map[version]int

// add adds n endpoints like e.
func (v versionCounts) add(e Entry, n int) {
	key := version{e.Pool, e.Software}
	v[key] += n
	if v[key] == 0 {
		delete(v, key)
	}
}

// Versions returns one entry with only a pool and a software version for each pair of them
// that the Entries have, in no particular order.
func (d *Directory) Versions() []Entry {
	out := make([]Entry, 0, len(d.versions))
	for v := range d.versions {
		out = append(out, Entry{Pool: v.pool, Software: v.software})
	}
	return out
}

// put sets an entry, which is not missing any more.
func (d *Directory) put(e Entry) {
	d.clear(e.Name)
	d.entries[e.Name] = e
	d.versions.add(e, 1)
}

// clear deletes an entry.
func (d *Directory) clear(name model.EndpointName) {
	if e, listed := d.entries[name]; listed {
		d.unmarkMissing(name)
		d.versions.add(e, -1)
		delete(d.entries, name)
	}
}

// markMissing marks a listed entry as missing until its removal takes effect.
func (d *Directory) markMissing(name model.EndpointName, until time.Time) {
	if !d.IsMissing(name) {
		d.missing[name] = until
		d.versions.add(d.entries[name], -1)
	}
}

// unmarkMissing reverses markMissing.
func (d *Directory) unmarkMissing(name model.EndpointName) {
	if d.IsMissing(name) {
		delete(d.missing, name)
		d.versions.add(d.entries[name], 1)
	}
}
