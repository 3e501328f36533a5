package directory

import (
	"cmp"
	"slices"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// An endpoint that is leaving reports so in its responses, often before its entry
// says it. From then on it counts as draining for as long as this start of it may
// be listed, whatever its entry says.

// maxLeavingMarks bounds the remembered reports. Far fewer endpoints leave at
// once.
const maxLeavingMarks = 4096

// leavingMark is a report of an endpoint that it is leaving.
type leavingMark struct {
	// started identifies the start of the endpoint.
	started int64
	// unlistedSince is when its entry was found to be gone; zero while listed.
	unlistedSince time.Time
}

// MarkLeaving records that an endpoint has reported that it is leaving. It returns
// the change of its entry, and false if nothing has changed. Reports of endpoints
// that are not listed are ignored.
func (d *Directory) MarkLeaving(instance model.Instance) (Change, bool) {
	e, listed := d.entries[instance.Name]
	if !listed || e.Started != instance.Started || len(d.leaving) >= maxLeavingMarks {
		return Change{}, false
	}
	before := d.withLeaving(e)
	d.leaving[instance.Name] = leavingMark{started: instance.Started}
	return Change{Entry: d.withLeaving(e)}, !before.Draining
}

// Leaving returns the endpoints that have reported that they are leaving, sorted
// by name.
func (d *Directory) Leaving() []model.Instance {
	out := make([]model.Instance, 0, len(d.leaving))
	for name, mark := range d.leaving {
		out = append(out, model.Instance{Name: name, Started: mark.started})
	}
	slices.SortFunc(out, func(a, b model.Instance) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// withLeaving returns the entry as draining if this start of its endpoint has
// reported that it is leaving.
func (d *Directory) withLeaving(e Entry) Entry {
	if mark, marked := d.leaving[e.Name]; marked && mark.started == e.Started {
		e.Draining = true
	}
	return e
}

// IsDraining reports whether the endpoint is listed as draining or has reported that it is
// leaving.
func (d *Directory) IsDraining(name model.EndpointName) bool {
	return d.withLeaving(d.entries[name]).Draining
}

// expireLeaving forgets the reports of endpoints that have restarted, or that have
// not been listed for removalMemory.
func (d *Directory) expireLeaving(now time.Time) {
	for name, mark := range d.leaving {
		e, listed := d.entries[name]
		switch {
		case listed && e.Started != mark.started:
			delete(d.leaving, name)
		case listed:
			mark.unlistedSince = time.Time{}
			d.leaving[name] = mark
		case mark.unlistedSince.IsZero():
			mark.unlistedSince = now
			d.leaving[name] = mark
		case now.Sub(mark.unlistedSince) > removalMemory:
			delete(d.leaving, name)
		}
	}
}
