// Package resume decides at which software version an interrupted stream may go on. What
// two versions write does not fit together, so a stream goes on only at the version that
// began it. It is a state machine without I/O and without a clock.
//
// A host knows where a stream began in one of two ways:
//
//  1. It has forwarded the first event itself, or another host has told it so.
//  2. The pool has had endpoints of one version only, for longer than a stream lasts. This
//     holds also for streams of hosts that were lost.
package resume

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

const (
	// streamMemory is how long a stream is remembered.
	streamMemory = 10 * time.Minute
	// MinStreamLife is the least time from the first event of a stream until a caller
	// resumes it for the last time that is to be expected, whatever its time limit.
	MinStreamLife = time.Minute
	// maxStreams, maxUnsent and maxPools bound what is kept.
	maxStreams = 1 << 16
	maxUnsent  = 1 << 12
	maxPools   = 1 << 10
)

// StreamID identifies a stream by the caller's request that brought its first event.
type StreamID uint64

// NewStreamID returns the ID of the stream that began with a caller's request.
func NewStreamID(request model.RequestID) StreamID {
	return StreamID(xxhash.Sum64String(string(request)))
}

// Origin is where a stream began.
type Origin struct {
	Pool     model.PoolName
	Software model.SoftwareVersion
}

// IsKnown reports whether a stream may go on at the origin: an endpoint that states no
// version may run any.
func (o Origin) IsKnown() bool { return o.Software != "" }

// Begin is the beginning of a stream.
type Begin struct {
	Stream StreamID
	Origin Origin
}

// stream is what is known of a stream.
type stream struct {
	origin Origin
	// ambiguous reports that streams of several origins have the ID.
	ambiguous bool
	at        time.Time
}

// State is what one host knows of streams and versions. It is not safe for concurrent use.
type State struct {
	streams map[StreamID]stream
	// byAge are the IDs of streams, the oldest first.
	byAge []StreamID
	// unsent are the streams that began at this host and were not reported yet, the oldest
	// first.
	unsent []unsentBegin
	pools  map[model.PoolName]pool
	// era is the era of the store in which the list was observed last; 0 before the first one.
	era model.Era
	// stored are the histories that earlier processes have saved.
	stored map[model.PoolName]History
	// starts are the starts of endpoints that the list has shown, in order, gapAt is the end of
	// its last gap.
	starts map[model.EndpointName][]start
	gapAt  time.Time
	// startsExpiredAt is when old starts were last forgotten.
	startsExpiredAt time.Time
	// pending are the streams whose version is not known yet, the oldest first.
	pending []pendingBegin
}

type unsentBegin struct {
	Begin
	at time.Time
}

// New returns a State that knows nothing.
func New() *State {
	return &State{
		streams: make(map[StreamID]stream), pools: make(map[model.PoolName]pool),
		stored: make(map[model.PoolName]History), starts: make(map[model.EndpointName][]start),
	}
}

// RecordBegin records a stream that began at this host, to be reported to others.
func (s *State) RecordBegin(now time.Time, b Begin) {
	if !s.record(now, b) {
		return
	}
	if len(s.unsent) >= maxUnsent {
		s.unsent = s.unsent[1:]
	}
	s.unsent = append(s.unsent, unsentBegin{Begin: b, at: now})
}

// RecordReport records a stream that began at another host. A report without a version says
// nothing: the host that sent it was not certain then.
func (s *State) RecordReport(now time.Time, b Begin) {
	if b.Origin.IsKnown() {
		s.record(now, b)
	}
}

// record records a stream. It returns false if it was known.
func (s *State) record(now time.Time, b Begin) bool {
	if before, known := s.streams[b.Stream]; known {
		before.ambiguous = before.ambiguous || before.origin != b.Origin
		s.streams[b.Stream] = before
		return false
	}
	if len(s.byAge) >= maxStreams {
		s.forgetOldest()
	}
	s.streams[b.Stream] = stream{origin: b.Origin, at: now}
	s.byAge = append(s.byAge, b.Stream)
	return true
}

// forgetOldest forgets the stream that was recorded first.
func (s *State) forgetOldest() {
	delete(s.streams, s.byAge[0])
	s.byAge = s.byAge[1:]
}

// Origin returns where a stream began, as recorded. It returns false if the stream is not
// known, and an unknown Origin if streams of several origins have the ID.
func (s *State) Origin(id StreamID) (Origin, bool) {
	found, known := s.streams[id]
	if found.ambiguous {
		return Origin{}, true
	}
	return found.origin, known
}

// TakeUnsent returns the streams that began at this host, that were not reported yet, and
// whose origin other hosts may not be able to conclude from the history of the pool. current
// reports whether the list of endpoints is up to date.
func (s *State) TakeUnsent(now time.Time, current bool) []Begin {
	if current && s.isAllProven(now) {
		return nil
	}
	var out []Begin
	s.unsent = slices.DeleteFunc(s.unsent, func(b unsentBegin) bool {
		if now.Sub(b.at) > streamMemory {
			return true
		}
		if _, sole := s.SoleVersion(now, b.Origin.Pool, streamMemory); sole && current {
			return false
		}
		out = append(out, b.Begin)
		return true
	})
	return out
}

// Expire forgets the streams that are too old to be resumed, and the endpoints of which none
// can be.
func (s *State) Expire(now time.Time, isListed func(model.EndpointName) bool) {
	if now.Sub(s.startsExpiredAt) > startsExpiryInterval {
		s.startsExpiredAt = now
		s.expireStarts(now, isListed)
	}
	for len(s.byAge) > 0 && now.Sub(s.streams[s.byAge[0]].at) > streamMemory {
		s.forgetOldest()
	}
}
