package quarantine

import (
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// endpointsToSuspend is the number of endpoints that have crashed under a request from
// which on it is suspended, also if they crashed at the same moment.
const endpointsToSuspend = 3

// crashesToSuspend is the number of crashes at different moments from which on a request
// is suspended.
const crashesToSuspend = 2

// Generation returns the number of crashes at different moments by a request, the next one
// included.
func (s *State) Generation(f model.Fingerprint) int {
	return max(s.suspects[Request(f)].Crashes, s.weighRequest(f, nil).Crashes) + 1
}

// requestsOf returns the requests that crashes name, each once.
func requestsOf(crashes []Crash) []model.Fingerprint {
	var out []model.Fingerprint
	seen := make(map[model.Fingerprint]bool)
	for _, c := range crashes {
		if c.Request != 0 && !seen[c.Request] {
			seen[c.Request] = true
			out = append(out, c.Request)
		}
	}
	return out
}

// weighRequest returns the evidence against a request. Crashes count as different moments
// if they are apart, or if the request was sent again after the host had learned of the one
// before: endpoints that fail together do so under requests that were sent earlier.
func (s *State) weighRequest(f model.Fingerprint, explained map[model.Instance]bool) weighed {
	w := weighed{suspect: Request(f)}
	crashes := s.crashesOf(f)
	m := newMoments()
	endpoints := make(map[model.Instance]bool)
	generation := 0
	for _, c := range crashes {
		endpoints[c.Endpoint] = true
		generation = max(generation, c.Generation)
		w.unexplained = w.unexplained || !explained[c.Endpoint]
		w.At = c.At
		if !m.has(c.Endpoint) {
			m.add(c)
		}
	}
	w.endpoints = len(endpoints)
	before := s.suspects[w.suspect]
	// A generation may include crashes of which the request was cleared since.
	w.Crashes = max(before.Crashes, m.count, min(generation, w.endpoints+before.Crashes))
	if before.At.After(w.At) {
		w.At = before.At
	}
	return w
}

// crashesOf returns the crashes that are evidence against a request, in the order of
// their times.
func (s *State) crashesOf(f model.Fingerprint) []Crash {
	var out []Crash
	for _, c := range s.crashes {
		if s.isEvidence(c, Request(f)) {
			out = append(out, c)
		}
	}
	return out
}

// suspend suspends the requests that the added crashes name and whose evidence is not
// sufficient for the quarantine. It returns those with more evidence than before.
func (s *State) suspend(now time.Time, added []Crash, known knownCrashes) []Change {
	var changes []Change
	for _, f := range requestsOf(added) {
		w := s.weighRequest(f, known.explained)
		if !w.unexplained || w.Crashes < crashesToSuspend && w.endpoints < endpointsToSuspend {
			continue
		}
		if s.suspect(now, SuspectEvidence{Suspect: w.suspect, Evidence: w.Evidence}) {
			changes = append(changes, Change{Suspect: w.suspect, Evidence: w.Evidence})
		}
	}
	return changes
}
