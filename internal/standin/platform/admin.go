package platform

import (
	"encoding/json"
	"io"
	"net/http"
)

// Stats is the body of the response to GET /admin/stats.
type Stats struct {
	// Appends is the number of records appended, by stream.
	Appends map[string]uint64 `json:"appends"`
}

func (s *Server) getFaults(w http.ResponseWriter, _ *http.Request) {
	state, _ := s.faults.snapshot()
	writeJSON(w, state)
}

func (s *Server) setFaults(w http.ResponseWriter, r *http.Request) {
	var change FaultChange
	if !decodeBody(w, r, &change) {
		return
	}
	if change.DropRecords {
		s.streams.dropAll()
	}
	if change.TakeCopy {
		s.streams.copyAll()
	}
	if change.RestoreCopy {
		s.streams.restore()
	}
	writeJSON(w, s.faults.apply(change))
}

func (s *Server) getStats(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, Stats{Appends: s.streams.appends()})
}

func (s *Server) putHost(w http.ResponseWriter, r *http.Request) {
	var entry json.RawMessage
	if !decodeBody(w, r, &entry) {
		return
	}
	s.hosts.announce(r.PathValue("name"), entry)
	w.WriteHeader(http.StatusNoContent)
}

// decodeBody decodes a JSON request body. On failure it responds with status
// 400 and returns false.
func decodeBody(w http.ResponseWriter, r *http.Request, into any) bool {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		writeBadRequest(w, "body: "+err.Error())
		return false
	}
	if err := json.Unmarshal(body, into); err != nil {
		writeBadRequest(w, "body: "+err.Error())
		return false
	}
	return true
}
