package quarantine

import (
	"maps"
	"slices"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// endpointsToSuspendPart is the number of endpoints that have crashed under a part from which on it
// is suspended, also if they crashed at the same moment.
const endpointsToSuspendPart = 4

// A part that always came with the cause of crashes is named by as many of them. What
// endpoints have answered before tells the two apart.

// wasAnswered reports whether an endpoint has begun to answer a part of late, whatever has
// crashed since.
func (s *State) wasAnswered(part model.PartID) bool {
	_, found := s.cleared[Part(part)]
	return found
}

// companions returns the other parts that all crashes name which are evidence against a part,
// without those that are in quarantine. Each of them may be the cause instead.
func (s *State) companions(suspect Suspect) []model.PartID {
	var out []model.PartID
	first := true
	for i := range s.crashes {
		c := &s.crashes[i]
		switch {
		case !s.isEvidence(*c, suspect):
		case first:
			first = false
			out = slices.DeleteFunc(slices.Clone(c.Parts), func(part model.PartID) bool {
				return Part(part) == suspect || s.suspects[Part(part)].IsQuarantined()
			})
		default:
			out = slices.DeleteFunc(out, func(part model.PartID) bool { return !slices.Contains(c.Parts, part) })
		}
	}
	return out
}

// alternatives returns the companions of a part that are as likely the cause as it is.
func (s *State) alternatives(suspect Suspect) []model.PartID {
	answered := s.wasAnswered(model.PartID(suspect.ID))
	return slices.DeleteFunc(s.companions(suspect), func(part model.PartID) bool {
		return !s.isUncleared(part, suspect) || s.wasAnswered(part) && !answered
	})
}

// isUncleared reports whether some of the crashes that are evidence against a suspect are
// evidence against a part as well.
func (s *State) isUncleared(part model.PartID, suspect Suspect) bool {
	return slices.ContainsFunc(s.crashes, func(c Crash) bool { return s.isEvidence(c, suspect) && s.isEvidence(c, Part(part)) })
}

// isTest reports whether the response to a prompt tells a quarantined part from another one
// that is as likely the cause: the prompt lacks the other one.
func (s *State) isTest(suspect Suspect, p model.Prompt) bool {
	return slices.ContainsFunc(s.alternatives(suspect), func(part model.PartID) bool {
		return !slices.ContainsFunc(p.SharedParts(), func(other model.Part) bool { return other.ID == part })
	})
}

// reviewAnswered applies that a part was answered: it is no longer blamed rather than another one
// that was not, and that one may be suspended.
func (s *State) reviewAnswered(now time.Time, suspect Suspect) []Change {
	changes := s.reconsider(now, suspect)
	if named := s.crashesNaming(suspect); suspect.Kind == KindPart && len(named) > 0 {
		changes = append(changes, s.suspendParts(now, named, s.explain())...)
	}
	return changes
}

// crashesNaming returns the crashes that name a suspect.
func (s *State) crashesNaming(suspect Suspect) []Crash {
	var out []Crash
	for _, c := range s.crashes {
		if c.names(suspect) {
			out = append(out, c)
		}
	}
	return out
}

// reconsider releases a part that endpoints have answered before, if it is suspended, or if no
// endpoint has answered another part that is named by the same crashes.
func (s *State) reconsider(now time.Time, suspect Suspect) []Change {
	e, found := s.suspects[suspect]
	if !found || suspect.Kind != KindPart || !s.wasAnswered(model.PartID(suspect.ID)) {
		return nil
	}
	if !e.IsQuarantined() {
		return s.clear(now, suspect, e.At)
	}
	unanswered := func(part model.PartID) bool { return !s.wasAnswered(part) }
	if !slices.ContainsFunc(s.companions(suspect), unanswered) && !s.isExplained(now, suspect) {
		return nil
	}
	return s.clear(now, suspect, e.At)
}

// reconsiderAll reconsiders all parts.
func (s *State) reconsiderAll(now time.Time) []Change {
	var out []Change
	for _, suspect := range slices.Collect(maps.Keys(s.suspects)) {
		out = append(out, s.reconsider(now, suspect)...)
	}
	return out
}

// unansweredCauses returns the parts that no endpoint has answered and that are suspect, or that
// crashes at different moments name.
func (s *State) unansweredCauses() map[model.PartID]bool {
	named := make(map[model.PartID]*moments)
	out := make(map[model.PartID]bool)
	for _, c := range s.crashes {
		for _, part := range c.Parts {
			if s.wasAnswered(part) {
				continue
			}
			if named[part] == nil {
				named[part] = newMoments()
			}
			if !named[part].has(c.Endpoint) {
				named[part].add(c)
			}
			_, found := s.suspects[Part(part)]
			out[part] = found || named[part].count >= crashesToSuspend
		}
	}
	return out
}

// endpointsUnderUnanswered returns the endpoints that have crashed under a part that no endpoint
// has answered. The other requests in progress there, which crash reports name as well, are no
// evidence against parts that were answered.
func (s *State) endpointsUnderUnanswered() map[model.Instance]bool {
	causes := s.unansweredCauses()
	out := make(map[model.Instance]bool)
	for _, c := range s.crashes {
		if slices.ContainsFunc(c.Parts, func(part model.PartID) bool { return causes[part] }) {
			out[c.Endpoint] = true
		}
	}
	return out
}

// isExplained reports whether the crashes of endpoints that are evidence against an answered part
// are too few without those under parts that were not.
func (s *State) isExplained(now time.Time, suspect Suspect) bool {
	likelier := s.endpointsUnderUnanswered()
	m, explained := newMoments(), false
	for _, c := range s.crashes {
		switch {
		case !s.isEvidence(c, suspect) || now.Sub(c.At) > partMemory:
		case likelier[c.Endpoint]:
			explained = true
		case !m.has(c.Endpoint):
			m.add(c)
		}
	}
	return explained && m.count < CrashesToQuarantine
}

// suspendParts suspends the parts that the added crashes name, that no endpoint has answered, and
// whose evidence is not sufficient for the quarantine. It returns those with more evidence than
// before.
func (s *State) suspendParts(now time.Time, added []Crash, known knownCrashes) []Change {
	var changes []Change
	for _, part := range partsOf(added) {
		w := s.weighPart(now, part, known)
		if w.answered || !w.unexplained || w.IsQuarantined() || w.Crashes < crashesToSuspend && w.endpoints < endpointsToSuspendPart {
			continue
		}
		if !slices.ContainsFunc(s.companions(w.suspect), s.wasAnswered) {
			// Nothing is known of any part yet.
			continue
		}
		if s.suspect(now, SuspectEvidence{Suspect: w.suspect, Evidence: w.Evidence}) {
			changes = append(changes, Change{Suspect: w.suspect, Evidence: w.Evidence})
		}
	}
	return changes
}

// evaluateReleased puts the parts into quarantine that crashes point to after changes have
// released the one that was blamed for them.
func (s *State) evaluateReleased(now time.Time, changes []Change) []Change {
	var out []Change
	for _, change := range changes {
		if !change.Released || change.Suspect.Kind != KindPart || !change.IsQuarantined() {
			continue
		}
		out = append(out, s.evaluate(now, s.crashesNaming(change.Suspect))...)
	}
	return out
}
