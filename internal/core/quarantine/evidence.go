package quarantine

import (
	"slices"
	"sync"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// weighed is what crashes say about one suspect.
type weighed struct {
	suspect Suspect
	// Evidence are the crashes at different moments.
	Evidence
	// unexplained reports that a suspect in quarantine does not explain all of them.
	unexplained bool
	// endpoints is the number of endpoints that have crashed.
	endpoints int
	// answered reports that an endpoint has answered a part before the crashes.
	answered bool
	// index is the highest index of a part in a prompt.
	index int
}

// isStrongerThan reports whether a part is blamed rather than another one.
func (w weighed) isStrongerThan(other weighed) bool {
	if w.IsQuarantined() != other.IsQuarantined() {
		return w.IsQuarantined()
	}
	if w.IsQuarantined() && w.answered != other.answered {
		return other.answered
	}
	return w.Crashes > other.Crashes || w.Crashes == other.Crashes && w.index > other.index
}

// evaluate puts the suspects into quarantine that crashes point to, suspends those with less
// evidence, and releases the parts that these explain.
func (s *State) evaluate(now time.Time, added []Crash) []Change {
	changes := s.blame(now, added)
	released := s.reconsiderAll(now)
	return slices.Concat(changes, released, s.evaluateReleased(now, released))
}

// blame quarantines and suspends suspects that the crashes added since name.
func (s *State) blame(now time.Time, added []Crash) []Change {
	if !s.hasCandidate(added) {
		return nil
	}
	var changes []Change
	for len(s.suspects) < maxSuspects {
		found := s.strongest(now, added)
		if !found.IsQuarantined() {
			known := s.explain()
			changes = append(changes, s.suspendParts(now, added, known)...)
			return append(changes, s.suspend(now, added, known)...)
		}
		s.suspects[found.suspect] = found.Evidence
		changes = append(changes, Change{Suspect: found.suspect, Evidence: found.Evidence})
	}
	return changes
}

// hasCandidate reports whether a crash names a suspect that enough crashes name for any
// change. Most crashes at once do not.
func (s *State) hasCandidate(added []Crash) bool {
	for _, c := range added {
		if c.Request != 0 && (c.Generation >= crashesToSuspend || s.countNaming(Request(c.Request)) >= crashesToSuspend) {
			return true
		}
		for _, part := range c.Parts {
			enough := CrashesToQuarantine
			if !s.wasAnswered(part) {
				enough = crashesToSuspend
			}
			if s.countNaming(Part(part))+s.suspects[Part(part)].Crashes >= enough {
				return true
			}
		}
	}
	return false
}

// countNaming returns the number of crashes that name a suspect.
func (s *State) countNaming(suspect Suspect) int {
	count := 0
	for i := range s.crashes {
		if s.crashes[i].names(suspect) {
			count++
		}
	}
	return count
}

// strongest returns the strongest evidence against a suspect that is not in quarantine,
// of those that the added crashes name. Whole requests are blamed before parts and parts
// that no endpoint has answered before others. Among parts that nothing tells apart, the last
// one comes first, so that the fewest requests are affected. The others follow with the first crash that it does not explain.
func (s *State) strongest(now time.Time, added []Crash) weighed {
	known := s.explain()
	var best weighed
	for _, part := range partsOf(added) {
		w := s.weighPart(now, part, known)
		if w.unexplained && w.isStrongerThan(best) {
			best = w
		}
	}
	for _, request := range requestsOf(added) {
		w := s.weighRequest(request, known.explained)
		if w.unexplained && !s.suspects[w.suspect].IsQuarantined() && w.Crashes >= best.Crashes {
			best = w
		}
	}
	return best
}

// knownCrashes is what the crashes so far say of each other.
type knownCrashes struct {
	// crashes are those that are evidence, in the order of their times.
	crashes []Crash
	// explained are the endpoints whose crash a suspect in quarantine explains.
	explained map[model.Instance]bool
	// unanswered returns the endpoints that have crashed under a part that no endpoint has
	// answered.
	unanswered func() map[model.Instance]bool
}

// explain returns what is known of the crashes. It leaves out the other requests at endpoints
// whose crash is explained.
func (s *State) explain() knownCrashes {
	out := knownCrashes{explained: make(map[model.Instance]bool), unanswered: sync.OnceValue(s.endpointsUnderUnanswered)}
	for _, c := range s.crashes {
		if s.namesQuarantined(c) {
			out.explained[c.Endpoint] = true
		}
	}
	for _, c := range s.crashes {
		if !out.explained[c.Endpoint] || s.namesQuarantined(c) {
			out.crashes = append(out.crashes, c)
		}
	}
	return out
}

// namesQuarantined reports whether a crash names a suspect that is in quarantine.
func (s *State) namesQuarantined(c Crash) bool {
	if s.suspects[Request(c.Request)].IsQuarantined() {
		return true
	}
	return slices.ContainsFunc(c.Parts, func(part model.PartID) bool { return s.suspects[Part(part)].IsQuarantined() })
}

// partsOf returns the parts that crashes name, each once.
func partsOf(crashes []Crash) []model.PartID {
	var out []model.PartID
	seen := make(map[model.PartID]bool)
	for _, c := range crashes {
		for _, part := range c.Parts {
			if !seen[part] {
				seen[part] = true
				out = append(out, part)
			}
		}
	}
	return out
}

// weighPart returns the evidence of crashes against a part.
func (s *State) weighPart(now time.Time, part model.PartID, known knownCrashes) weighed {
	w := weighed{suspect: Part(part), answered: s.wasAnswered(part)}
	m := newMoments()
	requests := make(map[model.Fingerprint]bool)
	endpoints := make(map[model.Instance]bool)
	// What was known before may be of crashes that this host does not know.
	before, later := s.suspects[w.suspect], newMoments()
	for _, c := range known.crashes {
		if !s.isEvidence(c, w.suspect) || m.has(c.Endpoint) || w.answered && known.unanswered()[c.Endpoint] || now.Sub(c.At) > partMemory {
			continue
		}
		requests[c.Request] = true
		endpoints[c.Endpoint] = true
		if c.At.Sub(before.At) >= separation {
			later.add(c)
		}
		w.index = max(w.index, slices.Index(c.Parts, part))
		w.unexplained = w.unexplained || !known.explained[c.Endpoint]
		m.add(c)
	}
	w.endpoints = len(endpoints)
	w.Evidence = Evidence{Crashes: max(m.count, before.Crashes+later.count), At: m.last}
	// Several requests that crash endpoints, and have the part in common, are no
	// explanation for each other.
	w.unexplained = w.unexplained || len(requests) > 1 && !s.hasQuarantinedPart(known.crashes, w.suspect)
	return w
}

// hasQuarantinedPart reports whether a crash that names a suspect names a part in
// quarantine.
func (s *State) hasQuarantinedPart(crashes []Crash, suspect Suspect) bool {
	return slices.ContainsFunc(crashes, func(c Crash) bool {
		return c.names(suspect) && slices.ContainsFunc(c.Parts, func(part model.PartID) bool {
			return s.suspects[Part(part)].IsQuarantined()
		})
	})
}

// moments counts crashes at different moments, which are added in the order of their
// times.
type moments struct {
	endpoints map[model.Instance]bool
	count     int
	last      time.Time
}

func newMoments() *moments { return &moments{endpoints: make(map[model.Instance]bool)} }

// has reports whether the crash of an endpoint was counted.
func (m *moments) has(endpoint model.Instance) bool { return m.endpoints[endpoint] }

// add counts a crash unless it is at the same moment as the one before.
func (m *moments) add(c Crash) {
	if m.count > 0 && c.At.Sub(m.last) < separation {
		return
	}
	m.endpoints[c.Endpoint] = true
	m.count++
	m.last = c.At
}
