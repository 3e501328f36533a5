// Package quarantine finds parts of prompts that crash endpoints, and decides which
// requests are not sent to endpoints because of them. It is a state machine without I/O
// and without a clock.
//
// One host sees few of the crashes that a part causes, so hosts report crashes to each
// other:
//
//  1. A crash report names the shared parts of a request that an endpoint had not begun
//     to answer when it crashed. Any of them may be the cause, or none.
//  2. A request that an endpoint begins to answer clears its parts of all crashes before.
//  3. A part is quarantined once crashes of several endpoints, at different moments,
//     have it in common and it is not cleared. Endpoints that fail together count once.
//  4. A quarantined part explains the crashes that it is named in. Alone, they are no
//     evidence against other parts.
package quarantine

import (
	"slices"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

const (
	// crashesToQuarantine is the number of crashes at different moments from which on a
	// part counts as their cause.
	crashesToQuarantine = 3
	// separation is the time between crashes from which on they count as two. Times of
	// other hosts are not exact, and the endpoints of a failure domain do not all fail at
	// the same moment.
	separation = 250 * time.Millisecond
	// crashMemory is how long a crash is evidence.
	crashMemory = 2 * time.Minute
	// Duration is how long a part stays in quarantine after the crash that put it there.
	Duration = 10 * time.Minute
	// reportTime is how long crashes and cleared parts are reported to other hosts. It
	// exceeds the longest time between two digests.
	reportTime = 5 * time.Second
	// maxCrashes, maxParts and maxPartsPerCrash bound what is kept and reported.
	maxCrashes       = 64
	maxParts         = 256
	maxPartsPerCrash = 32
)

// Crash is a request that an endpoint had not begun to answer when it crashed.
type Crash struct {
	// ID identifies the request among all hosts.
	ID       uint64
	Endpoint model.Instance
	// Parts are the shared parts of the prompt, in order.
	Parts []model.PartID
	// At is when the endpoint crashed.
	At time.Time
}

// PartState is when something became known of a part.
type PartState struct {
	Part model.PartID
	At   time.Time
}

// Report is what a host reports to others.
type Report struct {
	// Crashes are the crashes of late.
	Crashes []Crash
	// Quarantined are the parts in quarantine, with the time of the crash that put them
	// there.
	Quarantined []PartState
	// Cleared are the parts that endpoints have begun to answer of late.
	Cleared []PartState
}

// Change is a part that was put into quarantine or taken out of it.
type Change struct {
	Part model.PartID
	// Quarantined reports whether it was put into quarantine, At is the time of the crash
	// that put it there.
	Quarantined bool
	At          time.Time
}

// State is what one host knows of crashes. It is not safe for concurrent use.
type State struct {
	crashes     []Crash
	quarantined map[model.PartID]time.Time
	cleared     map[model.PartID]time.Time
}

// New returns a State that knows of no crashes.
func New() *State {
	return &State{quarantined: make(map[model.PartID]time.Time), cleared: make(map[model.PartID]time.Time)}
}

// IsWatching reports whether there are crashes or quarantined parts, so that responses
// must be recorded.
func (s *State) IsWatching() bool { return len(s.crashes) > 0 || len(s.quarantined) > 0 }

// CountQuarantined returns the number of parts in quarantine.
func (s *State) CountQuarantined() int { return len(s.quarantined) }

// QuarantinedUntil returns the first shared part of a prompt that is in quarantine, and
// until when. It returns false if there is none.
func (s *State) QuarantinedUntil(now time.Time, p model.Prompt) (model.PartID, time.Time, bool) {
	if len(s.quarantined) == 0 {
		return 0, time.Time{}, false
	}
	for _, part := range p.SharedParts() {
		if at, found := s.quarantined[part.ID]; found && now.Before(at.Add(Duration)) {
			return part.ID, at.Add(Duration), true
		}
	}
	return 0, time.Time{}, false
}

// RecordCrash records a crash and returns the parts that it puts into quarantine. It
// reports whether the crash is new.
func (s *State) RecordCrash(now time.Time, c Crash) ([]Change, bool) {
	if !s.addCrash(now, c) {
		return nil, false
	}
	return s.evaluate(), true
}

// addCrash records a crash. It returns false for one that is known, old or without
// shared parts.
func (s *State) addCrash(now time.Time, c Crash) bool {
	known := slices.ContainsFunc(s.crashes, func(other Crash) bool { return other.ID == c.ID })
	if known || len(c.Parts) == 0 || len(c.Parts) > maxPartsPerCrash || now.Sub(c.At) > crashMemory {
		return false
	}
	if len(s.crashes) >= maxCrashes {
		s.crashes = slices.Delete(s.crashes, 0, 1)
	}
	s.crashes = append(s.crashes, c)
	return true
}

// RecordResponse records that an endpoint has begun to answer a request with a prompt.
// It returns the parts that leave the quarantine, and whether any part was cleared that
// crashes name.
func (s *State) RecordResponse(now time.Time, p model.Prompt) (changes []Change, cleared bool) {
	if !s.IsWatching() {
		return nil, false
	}
	for _, part := range p.SharedParts() {
		if s.isSuspect(part.ID) {
			cleared = true
			changes = append(changes, s.clear(part.ID, now)...)
		}
	}
	return changes, cleared
}

// isSuspect reports whether a part is in quarantine or named by a crash since it was
// last cleared.
func (s *State) isSuspect(part model.PartID) bool {
	if _, found := s.quarantined[part]; found {
		return true
	}
	return slices.ContainsFunc(s.crashes, func(c Crash) bool { return s.isEvidence(c, part) })
}

// isEvidence reports whether a crash names a part that was not cleared since.
func (s *State) isEvidence(c Crash, part model.PartID) bool {
	return c.At.After(s.cleared[part]) && slices.Contains(c.Parts, part)
}

// clear clears a part of all crashes before a time.
func (s *State) clear(part model.PartID, at time.Time) []Change {
	before, known := s.cleared[part]
	if !at.After(before) || !known && len(s.cleared) >= maxParts {
		return nil
	}
	s.cleared[part] = at
	since, found := s.quarantined[part]
	if !found || !at.After(since) {
		return nil
	}
	delete(s.quarantined, part)
	return []Change{{Part: part, At: since}}
}

// Merge applies the report of another host. It returns the parts that enter or leave
// the quarantine, and whether anything was new.
func (s *State) Merge(now time.Time, r Report) (changes []Change, news bool) {
	for _, c := range r.Cleared {
		if c.At.After(s.cleared[c.Part].Add(reportTime)) {
			news = true
		}
		changes = append(changes, s.clear(c.Part, c.At)...)
	}
	for _, q := range r.Quarantined {
		if s.quarantine(now, q) {
			news = true
			changes = append(changes, Change{Part: q.Part, Quarantined: true, At: q.At})
		}
	}
	added := false
	for _, c := range r.Crashes {
		added = s.addCrash(now, c) || added
	}
	if added {
		changes = append(changes, s.evaluate()...)
	}
	return changes, news || added
}

// quarantine puts a part into quarantine. It returns false if it is there already, was
// cleared since, or its time is over.
func (s *State) quarantine(now time.Time, q PartState) bool {
	_, known := s.quarantined[q.Part]
	if known || s.cleared[q.Part].After(q.At) || now.Sub(q.At) >= Duration || len(s.quarantined) >= maxParts {
		return false
	}
	s.quarantined[q.Part] = q.At
	return true
}

// Report returns what to report to other hosts.
func (s *State) Report(now time.Time) Report {
	var out Report
	for _, c := range s.crashes {
		if now.Sub(c.At) < reportTime {
			out.Crashes = append(out.Crashes, c)
		}
	}
	for part, at := range s.quarantined {
		out.Quarantined = append(out.Quarantined, PartState{Part: part, At: at})
	}
	for part, at := range s.cleared {
		if now.Sub(at) < reportTime {
			out.Cleared = append(out.Cleared, PartState{Part: part, At: at})
		}
	}
	return out
}

// Expire forgets what is too old to matter, and returns the parts whose quarantine is
// over.
func (s *State) Expire(now time.Time) []Change {
	if len(s.crashes) == 0 && len(s.quarantined) == 0 && len(s.cleared) == 0 {
		return nil
	}
	s.crashes = slices.DeleteFunc(s.crashes, func(c Crash) bool { return now.Sub(c.At) > crashMemory })
	for part, at := range s.cleared {
		if now.Sub(at) > crashMemory {
			delete(s.cleared, part)
		}
	}
	var changes []Change
	for part, at := range s.quarantined {
		if now.Sub(at) >= Duration {
			delete(s.quarantined, part)
			changes = append(changes, Change{Part: part, At: at})
		}
	}
	return changes
}
