package balance

import (
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/directory"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// endpointsOf returns the endpoints of a pool that run a version of the software. Those
// that were down of late may have started again with another one.
func (b *Balancer) endpointsOf(p *pool, software model.SoftwareVersion) []*endpoint {
	var out []*endpoint
	for _, e := range p.endpoints {
		if b.certainSoftware(e) == software {
			out = append(out, e)
		}
	}
	return out
}

// certainSoftware returns the version that an endpoint runs; empty if it is not certain.
func (b *Balancer) certainSoftware(e *endpoint) model.SoftwareVersion {
	if b.listAsOf.Before(e.softwareCertainFrom) || e.unreached.mayHideStart(b.listAsOf) {
		return ""
	}
	return e.Software
}

// RecordCrash records when an endpoint has crashed, as found by this host or another one. The
// time may be early by up to maxReportAge, as hosts add to the age of what they pass on.
func (b *Balancer) RecordCrash(now, at time.Time, instance model.Instance) {
	if e := b.endpoints[instance.Name]; e != nil && e.Started == instance.Started {
		if at.After(e.crashedAt) {
			e.crashedAt = at
		}
		first := at.Add(maxReportAge)
		if first.After(now) {
			first = now
		}
		e.down.add(downtime{first: first, last: first})
		e.doubtSoftware(at)
	}
}

// Downtime returns when a listed start of an endpoint was first and last found to be down of
// late; zero if it was not.
func (b *Balancer) Downtime(instance model.Instance) (first, last time.Time) {
	e := b.endpoints[instance.Name]
	if e == nil || e.Started != instance.Started {
		return time.Time{}, time.Time{}
	}
	down := e.down
	down.add(e.unreached)
	return down.first, down.last
}

// RecordListRead records a time as of which the list of endpoints is known.
func (b *Balancer) RecordListRead(asOf time.Time) {
	if asOf.After(b.listAsOf) {
		b.listAsOf = asOf
	}
}

// downtime is when an endpoint was first and last found to be down of late; zero if it was not.
type downtime struct{ first, last time.Time }

// mayHideStart reports whether the list of endpoints as of a time may not show yet that the
// endpoint has started again.
func (d downtime) mayHideStart(listAsOf time.Time) bool {
	return !d.last.IsZero() && listAsOf.Before(d.last.Add(directory.RestartListTime))
}

// add adds another downtime. One that has ended long before the other is dropped.
func (d *downtime) add(other downtime) {
	switch {
	case other.last.IsZero() || other.last.Add(directory.RestartListTime).Before(d.first):
	case d.last.IsZero() || d.last.Add(directory.RestartListTime).Before(other.first):
		*d = other
	default:
		if other.first.Before(d.first) {
			d.first = other.first
		}
		if other.last.After(d.last) {
			d.last = other.last
		}
	}
}

// doubtSoftware records that the endpoint was down, so that it may start again with
// another version.
func (e *endpoint) doubtSoftware(at time.Time) {
	if from := at.Add(directory.RestartListTime); from.After(e.softwareCertainFrom) {
		e.softwareCertainFrom = from
	}
}

// DoubtVersions records that endpoints may have been down until now without this host's
// knowledge.
func (b *Balancer) DoubtVersions(now time.Time) {
	for _, e := range b.endpoints {
		e.doubtSoftware(now)
	}
}
