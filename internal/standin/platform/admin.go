package platform

import (
	"encoding/json"
	"io"
	"net/http"
)

// Stats is the body of the answer to /admin/stats.
type Stats struct {
	// Appends counts the appends that took effect, by stream.
	Appends map[string]uint64 `json:"appends"`
}

func (s *Server) showFaults(w http.ResponseWriter, _ *http.Request) {
	state, _ := s.faults.snapshot()
	answer(w, state)
}

func (s *Server) changeFaults(w http.ResponseWriter, r *http.Request) {
	var change FaultChange
	if !decode(w, r, &change) {
		return
	}
	if change.DropRecords {
		s.streams.dropAll()
	}
	answer(w, s.faults.apply(change))
}

func (s *Server) showStats(w http.ResponseWriter, _ *http.Request) {
	answer(w, Stats{Appends: s.streams.appends()})
}

func (s *Server) putHost(w http.ResponseWriter, r *http.Request) {
	var entry json.RawMessage
	if !decode(w, r, &entry) {
		return
	}
	s.hosts.announce(r.PathValue("name"), entry)
	w.WriteHeader(http.StatusNoContent)
}

func decode(w http.ResponseWriter, r *http.Request, into any) bool {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		refuseBad(w, "body: "+err.Error())
		return false
	}
	if err := json.Unmarshal(body, into); err != nil {
		refuseBad(w, "body: "+err.Error())
		return false
	}
	return true
}
