package directory

import (
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// An endpoint that the platform takes away says in its entry how long it stays. The entry is on
// its way for some time, so the endpoint ends up to maxEntryDelay before the recorded end.

const (
	// maxEntryDelay is the longest time in which an entry usually reaches a host.
	maxEntryDelay = time.Second
	// departureMemory is how long the end of an endpoint is remembered.
	departureMemory = 30 * time.Second
)

// departure is when an instance of an endpoint ends.
type departure struct {
	started int64
	at      time.Time
}

// recordDeparture records when the endpoint of an entry ends, if the entry says it. The
// earliest time counts.
func (d *Directory) recordDeparture(now time.Time, e Entry) {
	if e.Leaves <= 0 {
		return
	}
	at := now.Add(e.Leaves)
	if known, found := d.departures[e.Name]; found && known.started == e.Started && !at.Before(known.at) {
		return
	}
	d.departures[e.Name] = departure{started: e.Started, at: at}
}

// EndsAt returns the latest time at which an endpoint ends, and false if it is not known.
func (d *Directory) EndsAt(instance model.Instance) (time.Time, bool) {
	known, found := d.departures[instance.Name]
	return known.at, found && known.started == instance.Started
}

// HasEnded reports whether an endpoint may have ended by a time as it has announced.
func (d *Directory) HasEnded(instance model.Instance, at time.Time) bool {
	end, known := d.EndsAt(instance)
	return known && !at.Before(end.Add(-maxEntryDelay))
}

// expireDepartures forgets the ends of endpoints that have ended long ago.
func (d *Directory) expireDepartures(now time.Time) {
	for name, known := range d.departures {
		if now.Sub(known.at) > departureMemory {
			delete(d.departures, name)
		}
	}
}

// HasDepartures reports whether any endpoint has announced its end of late.
func (d *Directory) HasDepartures() bool { return len(d.departures) > 0 }
