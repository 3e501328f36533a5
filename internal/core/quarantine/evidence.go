package quarantine

import (
	"slices"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// evidence is what crashes say about one part.
type evidence struct {
	part model.PartID
	// crashes is the number of crashes at different moments, the last of them at last.
	crashes int
	last    time.Time
	// unexplained reports that a part in quarantine does not explain all of them.
	unexplained bool
	// index is the highest index of the part in a prompt.
	index int
}

// evaluate puts the parts into quarantine that crashes point to.
func (s *State) evaluate() []Change {
	var changes []Change
	for len(s.quarantined) < maxParts {
		found := s.strongest()
		if found.crashes < crashesToQuarantine {
			break
		}
		s.quarantined[found.part] = found.last
		changes = append(changes, Change{Part: found.part, Quarantined: true, At: found.last})
	}
	return changes
}

// strongest returns the strongest evidence against a part that is not in quarantine.
// Among parts that always come together, the last one is blamed first, so that the fewest
// requests are affected; the others follow with the first crash that it does not explain.
func (s *State) strongest() evidence {
	crashes, explained := s.explain()
	var best evidence
	for _, part := range partsOf(crashes) {
		e := s.weigh(part, crashes, explained)
		if e.unexplained && (e.crashes > best.crashes || e.crashes == best.crashes && e.index > best.index) {
			best = e
		}
	}
	return best
}

// explain returns the crashes in the order of their times, and the endpoints whose crash
// a part in quarantine explains. It leaves out the other requests at these endpoints.
func (s *State) explain() ([]Crash, map[model.Instance]bool) {
	explained := make(map[model.Instance]bool)
	for _, c := range s.crashes {
		if s.hasQuarantined(c) {
			explained[c.Endpoint] = true
		}
	}
	var out []Crash
	for _, c := range s.crashes {
		if !explained[c.Endpoint] || s.hasQuarantined(c) {
			out = append(out, c)
		}
	}
	slices.SortStableFunc(out, func(a, b Crash) int { return a.At.Compare(b.At) })
	return out, explained
}

// hasQuarantined reports whether a crash names a part that is in quarantine.
func (s *State) hasQuarantined(c Crash) bool {
	return slices.ContainsFunc(c.Parts, func(part model.PartID) bool { _, found := s.quarantined[part]; return found })
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

// weigh returns the evidence of crashes, in the order of their times, against a part.
func (s *State) weigh(part model.PartID, crashes []Crash, explained map[model.Instance]bool) evidence {
	e := evidence{part: part}
	endpoints := make(map[model.Instance]bool)
	for _, c := range crashes {
		if !s.isEvidence(c, part) || endpoints[c.Endpoint] {
			continue
		}
		e.index = max(e.index, slices.Index(c.Parts, part))
		e.unexplained = e.unexplained || !explained[c.Endpoint]
		if e.crashes > 0 && c.At.Sub(e.last) < separation {
			continue
		}
		endpoints[c.Endpoint] = true
		e.crashes++
		e.last = c.At
	}
	return e
}
