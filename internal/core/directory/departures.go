package directory

import (
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// A reclaimable endpoint that drains ends soon, with the requests that are still in progress.
// It, or its entry, may say when. The entry is on its way for some time, so that the endpoint
// ends up to maxEntryDelay before the recorded end.

const (
	// maxEntryDelay is the longest time in which an entry usually reaches a host.
	maxEntryDelay = time.Second
	// departureMemory is how long the end of an endpoint is remembered.
	departureMemory = 30 * time.Second
)

// departure is the announced end of an instance of an endpoint.
type departure struct {
	started int64
	// noticed is when the host learned of it, at the latest time of the end; zero if it is not
	// known.
	noticed, at time.Time
}

// recordDeparture records the announced end of an endpoint, if its entry has one.
func (d *Directory) recordDeparture(now time.Time, e Entry) {
	if !e.Draining || !e.Reclaimable && e.Leaves <= 0 {
		return
	}
	instance := model.Instance{Name: e.Name, Started: e.Started}
	if known, found := d.departures[e.Name]; !found || known.started != e.Started {
		d.departures[e.Name] = departure{started: e.Started, noticed: now}
	}
	if e.Leaves > 0 {
		d.SetEnd(instance, now.Add(e.Leaves))
	}
}

// SetEnd sets the time at which an endpoint with an announced end does so. The earliest time
// counts.
func (d *Directory) SetEnd(instance model.Instance, at time.Time) {
	known, found := d.departures[instance.Name]
	if !found || known.started != instance.Started || !known.at.IsZero() && !at.Before(known.at) {
		return
	}
	known.at = at
	d.departures[instance.Name] = known
}

// IsDeparting reports whether the end of an endpoint is announced.
func (d *Directory) IsDeparting(instance model.Instance) bool {
	known, found := d.departures[instance.Name]
	return found && known.started == instance.Started
}

// EndsAt returns the latest time at which an endpoint ends, and false if it is not known.
func (d *Directory) EndsAt(instance model.Instance) (time.Time, bool) {
	at := d.departures[instance.Name].at
	return at, d.IsDeparting(instance) && !at.IsZero()
}

// HasEnded reports whether an endpoint may have ended by a time as announced.
func (d *Directory) HasEnded(instance model.Instance, by time.Time) bool {
	if end, known := d.EndsAt(instance); known {
		return !by.Before(end.Add(-maxEntryDelay))
	}
	return d.IsDeparting(instance)
}

// HasDepartures reports whether any endpoint has announced its end of late.
func (d *Directory) HasDepartures() bool { return len(d.departures) > 0 }

// expireDepartures forgets the ends that were announced long ago.
func (d *Directory) expireDepartures(now time.Time) {
	for name, known := range d.departures {
		if now.Sub(known.noticed) > departureMemory && now.Sub(known.at) > departureMemory {
			delete(d.departures, name)
		}
	}
}
