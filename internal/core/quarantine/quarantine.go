// Package quarantine finds requests that crash endpoints, and decides which requests are
// not sent to endpoints because of them. It is a state machine without I/O and without a
// clock.
//
// The suspects are shared parts of prompts and whole requests. One host sees few of the
// crashes that a suspect causes, so hosts report crashes to each other:
//
//  1. A crash report names a request that was in progress at an endpoint when it crashed,
//     and the shared parts of its prompt unless the endpoint had begun to answer. Any of
//     them may be the cause, or none.
//  2. A request that an endpoint begins to answer clears its parts of all crashes before;
//     one that is answered completely clears itself.
//  3. A suspect is quarantined once crashes of several endpoints, at different moments,
//     have it in common and it is not cleared. Endpoints that fail together count once.
//  4. Of parts that the same crashes have in common, one that no endpoint has answered before
//     is blamed rather than one that was. If nothing tells them apart, a request with the
//     blamed part and without another one of them may go on trial, as in 6, to clear it.
//  5. A quarantined suspect explains the crashes that it is named in. Alone, they are no
//     evidence against others.
//  6. A whole request with less evidence is suspended: one host at a time may send it, to
//     one endpoint, and the result decides. So is a part that no endpoint has answered, if
//     others of the same prompts were answered.
package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

const (
	// CrashesToQuarantine is the number of crashes at different moments from which on a
	// suspect counts as their cause.
	CrashesToQuarantine = 3
	// separation is the time between crashes from which on they count as two. Times of
	// other hosts are not exact, and the endpoints of a failure domain do not all fail at
	// the same moment.
	separation = 250 * time.Millisecond
	// clearMargin is by how much the times at which other hosts have cleared suspects may
	// be understated, so that a crash is later only if it is later by more.
	clearMargin = 400 * time.Millisecond
	// partMemory is how long a crash is evidence against parts of prompts.
	partMemory = 2 * time.Minute
	// Duration is how long a suspect stays in quarantine, or suspended, after the last
	// crash that is evidence against it, and how long a crash is evidence against a whole
	// request.
	Duration = 10 * time.Minute
	// reportTime is how long crashes and cleared suspects are reported to other hosts. It
	// exceeds the longest time between two digests.
	reportTime = 5 * time.Second
	// maxCrashes, maxSuspects, maxCleared and maxPartsPerCrash bound what is kept,
	// maxReportedCrashes and maxReportedCleared what is reported.
	maxCrashes         = 512
	maxSuspects        = 256
	maxCleared         = 1024
	maxPartsPerCrash   = 32
	maxReportedCrashes = 64
	maxReportedCleared = 256
)

// Crash is a request that was in progress at an endpoint when it crashed.
type Crash struct {
	// ID identifies the attempt among all hosts.
	ID       uint64
	Endpoint model.Instance
	// Parts are the shared parts of the prompt, in order; none if the endpoint had begun
	// to answer.
	Parts []model.PartID
	// Request identifies the content of the request; 0 if it is not known.
	Request model.Fingerprint
	// Generation is the number of crashes at different moments by the request, this one
	// included, that the host knew of when it sent the request.
	Generation int
	// At is when the endpoint crashed.
	At time.Time
}

// Evidence is what is known of a suspect.
type Evidence struct {
	// Crashes is the number of crashes at different moments. From CrashesToQuarantine on
	// the suspect is in quarantine, below it is suspended.
	Crashes int
	// At is the time of the last of them.
	At time.Time
}

// IsQuarantined reports whether the evidence is sufficient for the quarantine.
func (e Evidence) IsQuarantined() bool { return e.Crashes >= CrashesToQuarantine }

// merge returns the evidence of both.
func (e Evidence) merge(other Evidence) Evidence {
	if other.At.After(e.At) {
		e.At = other.At
	}
	e.Crashes = max(e.Crashes, other.Crashes)
	return e
}

// SuspectEvidence is the evidence against a suspect.
type SuspectEvidence struct {
	Suspect Suspect
	Evidence
	// Testable reports that another part may be the cause, and that the checked request
	// lacks that one. It is set by Check only.
	Testable bool
}

// NeedsTrial reports whether a request may be sent on trial only, rather than not at all.
func (e SuspectEvidence) NeedsTrial() bool { return e.Testable || !e.IsQuarantined() }

// ClearedSuspect is when a suspect was last cleared.
type ClearedSuspect struct {
	Suspect Suspect
	At      time.Time
}

// Report is what a host reports to others.
type Report struct {
	// Crashes are the crashes of late.
	Crashes []Crash
	// Suspects are the suspects that are in quarantine or suspended.
	Suspects []SuspectEvidence
	// Cleared are the suspects that were cleared of late.
	Cleared []ClearedSuspect
}

// Change is a suspect that enters the quarantine, is suspended, or is released.
type Change struct {
	Suspect Suspect
	Evidence
	// Released reports that the suspect is sent to endpoints again.
	Released bool
}

// State is what one host knows of crashes. It is not safe for concurrent use.
type State struct {
	// crashes are in the order of their times.
	crashes []Crash
	// known holds the IDs of crashes.
	known    map[uint64]bool
	suspects map[Suspect]Evidence
	cleared  map[Suspect]clearing
}

// clearing is when a suspect was last cleared.
type clearing struct {
	at time.Time
	// learned is when this host learned of it.
	learned time.Time
}

// New returns a State that knows of no crashes.
func New() *State {
	return &State{known: make(map[uint64]bool), suspects: make(map[Suspect]Evidence), cleared: make(map[Suspect]clearing)}
}

// IsWatching reports whether there are crashes or suspects, so that responses must be
// recorded.
func (s *State) IsWatching() bool { return len(s.crashes) > 0 || len(s.suspects) > 0 }

// Count returns the number of suspects of a kind in quarantine.
func (s *State) Count(kind Kind) int {
	count := 0
	for suspect, e := range s.suspects {
		if suspect.Kind == kind && e.IsQuarantined() {
			count++
		}
	}
	return count
}

// Check returns the evidence against a request for which it is in quarantine or
// suspended. It returns false if there is none.
func (s *State) Check(now time.Time, p model.Prompt, f model.Fingerprint) (SuspectEvidence, bool) {
	if len(s.suspects) == 0 {
		return SuspectEvidence{}, false
	}
	var onTrial []SuspectEvidence
	for _, part := range p.SharedParts() {
		suspect := Part(part.ID)
		e, found := s.current(now, suspect)
		if !found {
			continue
		}
		out := SuspectEvidence{Suspect: suspect, Evidence: e, Testable: e.IsQuarantined() && s.isTest(suspect, p)}
		if !out.NeedsTrial() {
			return out, true
		}
		onTrial = append(onTrial, out)
	}
	if e, found := s.current(now, Request(f)); found {
		return SuspectEvidence{Suspect: Request(f), Evidence: e}, true
	}
	if len(onTrial) > 0 {
		return onTrial[0], true
	}
	return SuspectEvidence{}, false
}

// current returns the evidence against a suspect unless its time is over.
func (s *State) current(now time.Time, suspect Suspect) (Evidence, bool) {
	e, found := s.suspects[suspect]
	return e, found && now.Before(e.At.Add(Duration))
}

// Knows reports whether a crash was recorded.
func (s *State) Knows(c Crash) bool { return s.known[c.ID] }

// RecordCrash records a crash and returns the suspects that it puts into quarantine or
// suspends. It reports whether the crash is new.
func (s *State) RecordCrash(now time.Time, c Crash) ([]Change, bool) {
	if !s.addCrash(now, c) {
		return nil, false
	}
	return s.evaluate(now, []Crash{c}), true
}

// addCrash records a crash. It returns false for one that is known, old, or names nothing.
func (s *State) addCrash(now time.Time, c Crash) bool {
	if s.known[c.ID] || len(c.Parts) == 0 && c.Request == 0 || len(c.Parts) > maxPartsPerCrash || now.Sub(c.At) > Duration {
		return false
	}
	if len(s.crashes) >= maxCrashes {
		s.forgetCrash(s.weakest())
	}
	i, _ := slices.BinarySearchFunc(s.crashes, c.At, func(other Crash, at time.Time) int {
		return cmp.Or(other.At.Compare(at), -1)
	})
	s.crashes = slices.Insert(s.crashes, i, c)
	s.known[c.ID] = true
	return true
}

// forgetCrash removes the crash with an index.
func (s *State) forgetCrash(i int) {
	delete(s.known, s.crashes[i].ID)
	s.crashes = slices.Delete(s.crashes, i, i+1)
}

// weakest returns the index of the crash that is the weakest evidence. Many crashes at
// once, of a whole failure domain, must not displace those of a request that crashes one
// endpoint after the other.
func (s *State) weakest() int {
	out := 0
	for i, c := range s.crashes {
		if compareStrength(c, s.crashes[out]) < 0 {
			out = i
		}
	}
	return out
}

// compareStrength orders crashes by generation and time.
func compareStrength(a, b Crash) int {
	return cmp.Or(cmp.Compare(a.Generation, b.Generation), a.At.Compare(b.At))
}

// RecordProgress records that an endpoint has begun to answer a request with a prompt. It
// returns the parts that leave the quarantine, and whether any part was cleared that
// crashes name.
func (s *State) RecordProgress(now time.Time, p model.Prompt) (changes []Change, cleared bool) {
	for _, part := range p.SharedParts() {
		if s.isSuspect(Part(part.ID)) {
			cleared = true
			isFirst := !s.wasAnswered(part.ID)
			changes = append(changes, s.clear(now, Part(part.ID), now)...)
			if isFirst {
				changes = append(changes, s.reviewAnswered(now, Part(part.ID))...)
			}
		}
	}
	return append(changes, s.evaluateReleased(now, changes)...), cleared
}

// RecordAnswered records when an endpoint last began to answer a part that a crash names, unless
// it is known that the part was answered. The results are those of RecordProgress.
func (s *State) RecordAnswered(now time.Time, part model.PartID, answered time.Time) (changes []Change, cleared bool) {
	suspect := Part(part)
	if s.wasAnswered(part) || now.Sub(answered) > Duration {
		return nil, false
	}
	changes = s.clear(now, suspect, answered)
	changes = append(changes, s.reviewAnswered(now, suspect)...)
	return append(changes, s.evaluateReleased(now, changes)...), true
}

// RecordAnswer records that an endpoint has answered a request completely. The results
// are those of RecordProgress.
func (s *State) RecordAnswer(now time.Time, f model.Fingerprint) (changes []Change, cleared bool) {
	return s.Release(now, Request(f))
}

// Release clears a suspect of all crashes so far. The results are those of RecordProgress.
func (s *State) Release(now time.Time, suspect Suspect) (changes []Change, cleared bool) {
	if !s.isSuspect(suspect) {
		return nil, false
	}
	changes = s.clear(now, suspect, now)
	return append(changes, s.evaluateReleased(now, changes)...), true
}

// isSuspect reports whether a suspect is in quarantine, suspended, or named by a crash
// since it was last cleared.
func (s *State) isSuspect(suspect Suspect) bool {
	if _, found := s.suspects[suspect]; found {
		return true
	}
	return slices.ContainsFunc(s.crashes, func(c Crash) bool { return s.isEvidence(c, suspect) })
}

// isEvidence reports whether a crash names a suspect that was not cleared since.
func (s *State) isEvidence(c Crash, suspect Suspect) bool {
	return c.names(suspect) && s.isAfterClear(suspect, c.At)
}

// isAfterClear reports whether a time is after that at which a suspect was last cleared.
func (s *State) isAfterClear(suspect Suspect, at time.Time) bool {
	cleared, found := s.cleared[suspect]
	return !found || at.After(cleared.at.Add(clearMargin))
}

// names reports whether the crash names a suspect.
func (c *Crash) names(suspect Suspect) bool {
	if suspect.Kind == KindRequest {
		return c.Request != 0 && c.Request == model.Fingerprint(suspect.ID)
	}
	return slices.Contains(c.Parts, model.PartID(suspect.ID))
}

// clear clears a suspect of all crashes before a time.
func (s *State) clear(now time.Time, suspect Suspect, at time.Time) []Change {
	before, known := s.cleared[suspect]
	if !at.After(before.at) {
		return nil
	}
	if !known && len(s.cleared) >= maxCleared {
		s.forgetOldestCleared()
	}
	s.cleared[suspect] = clearing{at: at, learned: now}
	e, found := s.suspects[suspect]
	if !found || s.isAfterClear(suspect, e.At) {
		return nil
	}
	delete(s.suspects, suspect)
	return []Change{{Suspect: suspect, Evidence: e, Released: true}}
}

// forgetOldestCleared forgets the suspect that was cleared first.
func (s *State) forgetOldestCleared() {
	var oldest ClearedSuspect
	for suspect, c := range s.cleared {
		if oldest.At.IsZero() || c.at.Before(oldest.At) {
			oldest = ClearedSuspect{Suspect: suspect, At: c.at}
		}
	}
	delete(s.cleared, oldest.Suspect)
}

// Merge applies the report of another host. It returns the suspects that are quarantined,
// suspended or released, and whether anything was new.
func (s *State) Merge(now time.Time, r Report) (changes []Change, news bool) {
	var answered []Suspect
	for _, c := range r.Cleared {
		if _, known := s.cleared[c.Suspect]; !known {
			answered = append(answered, c.Suspect)
		}
		if c.At.After(s.cleared[c.Suspect].at.Add(reportTime)) {
			news = true
		}
		changes = append(changes, s.clear(now, c.Suspect, c.At)...)
	}
	for _, other := range r.Suspects {
		if s.suspect(now, other) {
			news = true
			changes = append(changes, Change{Suspect: other.Suspect, Evidence: s.suspects[other.Suspect]})
		}
	}
	var added []Crash
	for _, c := range r.Crashes {
		if s.addCrash(now, c) {
			added = append(added, c)
		}
	}
	if len(added) > 0 {
		changes = append(changes, s.evaluate(now, added)...)
	}
	for _, suspect := range answered {
		changes = append(changes, s.reviewAnswered(now, suspect)...)
	}
	changes = append(changes, s.reconsiderAll(now)...)
	changes = append(changes, s.evaluateReleased(now, changes)...)
	return changes, news || len(added) > 0
}

// suspect adds evidence against a suspect. It returns false if there is as much already,
// the suspect was cleared since, or the time is over.
func (s *State) suspect(now time.Time, other SuspectEvidence) bool {
	before, known := s.suspects[other.Suspect]
	if !s.isAfterClear(other.Suspect, other.At) || now.Sub(other.At) >= Duration || !known && len(s.suspects) >= maxSuspects {
		return false
	}
	s.suspects[other.Suspect] = before.merge(other.Evidence)
	return other.Crashes > before.Crashes
}

// Report returns what to report to other hosts.
func (s *State) Report(now time.Time) Report {
	var out Report
	for _, c := range s.crashes {
		if now.Sub(c.At) < reportTime {
			out.Crashes = append(out.Crashes, c)
		}
	}
	if len(out.Crashes) > maxReportedCrashes {
		slices.SortStableFunc(out.Crashes, func(a, b Crash) int { return compareStrength(b, a) })
		out.Crashes = out.Crashes[:maxReportedCrashes]
	}
	out.Suspects = s.Suspects()
	for suspect, c := range s.cleared {
		if now.Sub(c.learned) < reportTime {
			out.Cleared = append(out.Cleared, ClearedSuspect{Suspect: suspect, At: c.at})
		}
	}
	if len(out.Cleared) > maxReportedCleared {
		slices.SortFunc(out.Cleared, func(a, b ClearedSuspect) int { return b.At.Compare(a.At) })
		out.Cleared = out.Cleared[:maxReportedCleared]
	}
	return out
}

// Suspects returns the suspects that are in quarantine or suspended.
func (s *State) Suspects() []SuspectEvidence {
	var out []SuspectEvidence
	for suspect, e := range s.suspects {
		out = append(out, SuspectEvidence{Suspect: suspect, Evidence: e})
	}
	return out
}

// Expire forgets what is too old to matter, and returns the suspects whose time is over.
func (s *State) Expire(now time.Time) []Change {
	if len(s.crashes) == 0 && len(s.suspects) == 0 && len(s.cleared) == 0 {
		return nil
	}
	for i := len(s.crashes) - 1; i >= 0; i-- {
		if now.Sub(s.crashes[i].At) > Duration {
			s.forgetCrash(i)
		}
	}
	for suspect, c := range s.cleared {
		if now.Sub(c.at) > Duration {
			delete(s.cleared, suspect)
		}
	}
	var changes []Change
	for suspect, e := range s.suspects {
		if now.Sub(e.At) >= Duration {
			delete(s.suspects, suspect)
			changes = append(changes, Change{Suspect: suspect, Evidence: e, Released: true})
		}
	}
	return changes
}
