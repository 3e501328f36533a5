package resume

import (
	"slices"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/directory"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// The version belongs to a start of an endpoint, and responses name neither. A host knows at
// once on which connection a stream began; the list of endpoints shows later which start that
// was.

const (
	// StartReportTime is the time from when an endpoint accepts connections until the store
	// lists this start of it.
	StartReportTime = 500 * time.Millisecond
	// maxClockSkew is the largest difference between the clocks of a host and an endpoint.
	maxClockSkew = 500 * time.Millisecond
	// maxStarts and maxPending bound what is kept.
	maxStarts  = 8
	maxPending = 1 << 12
	// startsExpiryInterval is the time between two searches for old starts.
	startsExpiryInterval = time.Minute
)

// Source is who wrote a stream: the process that served an endpoint for some time.
type Source struct {
	Pool     model.PoolName
	Endpoint model.EndpointName
	// RunningAt is a time at which the process served, such as the opening of the connection.
	RunningAt time.Time
	// BeganAt is when the stream began; the process has served until then.
	BeganAt time.Time
}

// ListView is what is known of the list of endpoints.
type ListView struct {
	// AsOf is a time as of which the list is known.
	AsOf time.Time
	// Downtime returns when a listed start of an endpoint was first and last found to be down
	// of late; zero if it was not.
	Downtime func(instance model.Instance) (first, last time.Time)
}

// Settlement says whether the version of a source is known.
type Settlement int

const (
	// Unsettled means that a later state of the list shows the version.
	Unsettled Settlement = iota
	// Settled means that the version is certain.
	Settled
	// Unprovable means that several versions are possible, and no later list excludes any.
	Unprovable
)

// start is a start of an endpoint.
type start struct {
	// started is its Unix time in milliseconds, by the clock of the endpoint.
	started  int64
	software model.SoftwareVersion
	// seen is when the list first showed it. Others before it may have been missed until gap,
	// which is zero if the list had none.
	seen, gap time.Time
}

// ranAt reports whether the endpoint certainly had this start or a later one at a time.
func (s start) ranAt(at time.Time) bool {
	return s.started > 0 && !time.UnixMilli(s.started).After(at.Add(-maxClockSkew))
}

// mayHaveRunAt reports whether the endpoint may have had this start at a time.
func (s start) mayHaveRunAt(at time.Time) bool {
	return s.started == 0 || !time.UnixMilli(s.started).After(at.Add(maxClockSkew))
}

// ObserveStart records a listed entry.
func (s *State) ObserveStart(now time.Time, e directory.Entry) {
	known := s.starts[e.Name]
	found := start{started: e.Started, software: e.Software, seen: now}
	if last := len(known) - 1; last >= 0 {
		if known[last].started == e.Started && known[last].software == e.Software {
			return
		}
		if s.gapAt.After(known[last].seen) {
			found.gap = s.gapAt
		}
	}
	known = append(known, found)
	if len(known) > maxStarts {
		known = slices.Delete(known, 0, 1)
	}
	s.starts[e.Name] = known
}

// expireStarts forgets the endpoints that are not listed and whose last start is too old for a
// stream to be resumed.
func (s *State) expireStarts(now time.Time, isListed func(model.EndpointName) bool) {
	for name, known := range s.starts {
		if now.Sub(known[len(known)-1].seen) > streamMemory && !isListed(name) {
			delete(s.starts, name)
		}
	}
}

// Version returns the version of a source, as far as the list shows it.
func (s *State) Version(list ListView, from Source) (model.SoftwareVersion, Settlement) {
	candidates, complete := s.candidates(from)
	if !complete {
		return "", Unprovable
	}
	if list.AsOf.Before(from.RunningAt.Add(StartReportTime)) {
		return "", Unsettled
	}
	candidates = slices.DeleteFunc(candidates, func(c start) bool { return list.wasDown(c, from) })
	if len(candidates) == 0 {
		return "", Unsettled
	}
	software := candidates[0].software
	for _, c := range candidates[1:] {
		if c.software != software {
			return "", Unprovable
		}
	}
	if software == "" {
		return "", Unprovable
	}
	return software, Settled
}

// SoleVersionWithoutStore returns the version of a source while the list cannot be read: the
// only one that its pool has had since then, unless the endpoint was found to be down.
func (s *State) SoleVersionWithoutStore(now time.Time, list ListView, from Source) (model.SoftwareVersion, bool) {
	candidates, complete := s.candidates(from)
	if !complete || slices.ContainsFunc(candidates, func(c start) bool { return list.wasDown(c, from) }) {
		return "", false
	}
	return s.SoleVersion(now, from.Pool, now.Sub(from.RunningAt))
}

// wasDown reports whether a start was found to be down before the source was running or
// shortly before its stream began, so that the source is a later start which the list may not
// show yet. A start that is still listed directory.RestartListTime after that was not down.
func (v ListView) wasDown(c start, from Source) bool {
	first, last := v.Downtime(model.Instance{Name: from.Endpoint, Started: c.started})
	if last.IsZero() || !from.RunningAt.After(first) {
		return false
	}
	certain := last.Add(directory.RestartListTime)
	return from.BeganAt.Before(certain) || v.AsOf.Before(certain)
}

// candidates returns the starts of which one is the source, as far as the list shows. It
// returns false if one that it has not shown may be.
func (s *State) candidates(from Source) ([]start, bool) {
	list := s.starts[from.Endpoint]
	first := -1
	for i, c := range list {
		if !c.seen.After(from.RunningAt) || c.ranAt(from.RunningAt) {
			first = i
		}
	}
	if first < 0 {
		return nil, false
	}
	out := []start{list[first]}
	for _, c := range list[first+1:] {
		if from.RunningAt.Before(c.gap) {
			return nil, false
		}
		if c.mayHaveRunAt(from.RunningAt) {
			out = append(out, c)
		}
	}
	return out, true
}

// SourcedStreams are streams that began at a source whose version was not certain.
type SourcedStreams struct {
	Streams []StreamID
	Source  Source
}

// pendingBegin are streams whose version is not known yet.
type pendingBegin struct {
	SourcedStreams
	at time.Time
	// reported reports that they began at another host, which has reported them, sent that
	// they began at this host and were reported.
	reported, sent bool
}

// RecordSource records streams that began at this host at a source.
func (s *State) RecordSource(now time.Time, list ListView, begun SourcedStreams) {
	s.addPending(now, list, pendingBegin{SourcedStreams: begun, at: now})
}

// RecordSourceReport records streams that began at another host at a source.
func (s *State) RecordSourceReport(now time.Time, list ListView, begun SourcedStreams) {
	s.addPending(now, list, pendingBegin{SourcedStreams: begun, at: now, reported: true})
}

func (s *State) addPending(now time.Time, list ListView, p pendingBegin) {
	if s.settle(now, list, p) {
		return
	}
	if len(s.pending) >= maxPending {
		s.pending = slices.Delete(s.pending, 0, 1)
	}
	s.pending = append(s.pending, p)
}

// Settle records the versions that have become certain.
func (s *State) Settle(now time.Time, list ListView) {
	s.pending = slices.DeleteFunc(s.pending, func(p pendingBegin) bool {
		return now.Sub(p.at) > streamMemory || s.settle(now, list, p)
	})
}

// settle records the version of streams that have begun. It returns false while a later list
// may show it.
func (s *State) settle(now time.Time, list ListView, p pendingBegin) bool {
	software, settlement := s.Version(list, p.Source)
	if settlement != Settled {
		return settlement == Unprovable
	}
	record := s.RecordBegin
	if p.reported {
		record = s.RecordReport
	}
	for _, id := range p.Streams {
		record(now, Begin{Stream: id, Origin: Origin{Pool: p.Source.Pool, Software: software}})
	}
	return true
}

// Pending returns the source of a stream whose version is not known yet. It returns false if
// there is none.
func (s *State) Pending(id StreamID) (Source, bool) {
	for _, p := range s.pending {
		if slices.Contains(p.Streams, id) {
			return p.Source, true
		}
	}
	return Source{}, false
}

// TakeUnsentSources returns the streams that began at this host, whose version is not known
// yet, and that were not reported yet. current is as for TakeUnsent.
func (s *State) TakeUnsentSources(now time.Time, current bool) []SourcedStreams {
	if current && s.isAllProven(now) {
		return nil
	}
	var out []SourcedStreams
	for i := range s.pending {
		if p := &s.pending[i]; !p.reported && !p.sent {
			p.sent = true
			out = append(out, p.SourcedStreams)
		}
	}
	return out
}
