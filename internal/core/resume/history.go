package resume

import (
	"maps"
	"slices"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/directory"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// History is which versions a pool has had.
type History struct {
	// Software are the versions of its endpoints, sorted.
	Software []model.SoftwareVersion
	// Since is since when there were no others, as far as it is known without a gap.
	Since time.Time
	// Era is the era of the store in which this was observed. A later one may lack what was
	// observed after it.
	Era model.Era
}

// Equal reports whether both histories are the same.
func (h History) Equal(other History) bool {
	return h.Era == other.Era && h.Since.Equal(other.Since) && slices.Equal(h.Software, other.Software)
}

// pool is the history of a pool.
type pool struct {
	History
	// changed reports that the versions were others before, at a time of this process.
	changed bool
}

// Observe records the endpoints that are listed now. It returns the pools whose versions
// have changed.
func (s *State) Observe(now time.Time, entries []directory.Entry) []model.PoolName {
	listed := versionsByPool(entries)
	for name := range s.pools {
		if _, found := listed[name]; !found {
			listed[name] = nil
		}
	}
	var out []model.PoolName
	for name, software := range listed {
		before, known := s.pools[name]
		if known && slices.Equal(before.Software, software) || !known && len(s.pools) >= maxPools {
			continue
		}
		s.pools[name] = pool{History: History{Software: software, Since: now, Era: s.era}, changed: known}
		s.adoptStored(name)
		out = append(out, name)
	}
	return out
}

// Interrupt records that the list of endpoints was not up to date until now, so that other
// versions may have served unnoticed.
func (s *State) Interrupt(now time.Time) {
	s.gapAt = now
	for name, p := range s.pools {
		p.Since = now
		s.pools[name] = p
	}
}

// EnterEra records the era of the store in which the list of endpoints is observed from now
// on. The first list of a later era may lack versions that have served.
func (s *State) EnterEra(now time.Time, era model.Era) {
	if era <= s.era {
		return
	}
	later := s.era != 0
	s.era = era
	if !later {
		return
	}
	s.Interrupt(now)
	for name, p := range s.pools {
		p.Era = era
		s.pools[name] = p
	}
}

// Adopt applies the history of a pool as earlier processes have known it. It counts if the
// pool has the same versions when this process first observes it, in the same era of the
// store: after a restoration, neither the history nor the list shows what was lost.
func (s *State) Adopt(name model.PoolName, h History) {
	if len(s.stored) >= maxPools {
		return
	}
	s.stored[name] = h
	s.adoptStored(name)
}

// adoptStored applies the history of earlier processes to a pool.
func (s *State) adoptStored(name model.PoolName) {
	h, stored := s.stored[name]
	p, known := s.pools[name]
	if stored && known && h.Era == s.era && !p.changed && slices.Equal(p.Software, h.Software) && h.Since.Before(p.Since) {
		p.History = h
		s.pools[name] = p
	}
}

// Pools returns the names of the pools.
func (s *State) Pools() []model.PoolName { return slices.Collect(maps.Keys(s.pools)) }

// versionsByPool returns the sorted versions of the endpoints of each pool.
func versionsByPool(entries []directory.Entry) map[model.PoolName][]model.SoftwareVersion {
	sets := make(map[model.PoolName]map[model.SoftwareVersion]bool)
	for _, e := range entries {
		if sets[e.Pool] == nil {
			sets[e.Pool] = make(map[model.SoftwareVersion]bool)
		}
		sets[e.Pool][e.Software] = true
	}
	out := make(map[model.PoolName][]model.SoftwareVersion, len(sets))
	for pool, set := range sets {
		out[pool] = slices.Sorted(maps.Keys(set))
	}
	return out
}

// History returns the history of a pool.
func (s *State) History(name model.PoolName) History { return s.pools[name].History }

// isAllProven reports whether the history of each pool proves where its streams began, so
// that none has to be reported.
func (s *State) isAllProven(now time.Time) bool {
	for name, p := range s.pools {
		if _, sole := s.SoleVersion(now, name, streamMemory); !sole && len(p.Software) > 0 {
			return false
		}
	}
	return true
}

// SoleVersion returns the only version that the streams of a pool can have begun at, if they
// began within the given time. It returns false if there is none.
func (s *State) SoleVersion(now time.Time, name model.PoolName, life time.Duration) (model.SoftwareVersion, bool) {
	h := s.pools[name]
	if len(h.Software) != 1 || h.Software[0] == "" || now.Sub(h.Since) < life {
		return "", false
	}
	return h.Software[0], true
}
