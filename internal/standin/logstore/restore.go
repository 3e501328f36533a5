package logstore

import (
	"maps"
	"net/http"
	"slices"
	"strconv"
)

// eraHeader holds the era of the store, in all its responses.
const eraHeader = "Store-Era"

// Copy is a copy of the records of all topics.
type Copy struct {
	partitions map[partitionKey]*partition
}

// Copy returns a copy of the records as they are now.
func (s *Server) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{partitions: clonePartitions(s.partitions)}
}

// Restore replaces all records by those of an older copy, as after a loss of the
// store, and begins a new era. Records appended since the copy are lost, and their
// offsets are assigned again.
func (s *Server) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.partitions = clonePartitions(c.partitions)
	s.era++
	s.wakeReaders()
}

// Era returns the current era.
func (s *Server) Era() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// setEraHeader sets the header with the current era. The caller holds mu.
func (s *Server) setEraHeader(w http.ResponseWriter) {
	w.Header().Set(eraHeader, strconv.FormatUint(s.era, 10))
}

func clonePartitions(from map[partitionKey]*partition) map[partitionKey]*partition {
	out := make(map[partitionKey]*partition, len(from))
	for key, p := range from {
		out[key] = p.clone()
	}
	return out
}

func (p *partition) clone() *partition {
	out := &partition{
		records: slices.Clone(p.records), first: p.first, end: p.end,
		producers: make(map[string]*producer, len(p.producers)), newest: maps.Clone(p.newest),
	}
	for name, state := range p.producers {
		copied := *state
		copied.responses = slices.Clone(state.responses)
		out.producers[name] = &copied
	}
	return out
}
