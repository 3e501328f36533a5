package cut

import (
	"encoding/json"
	"net/http"
	"slices"
)

// FaultsPath shows and, by POST, changes the link's mode.
const FaultsPath = "/admin/faults"

// maxFaultBytes bounds the body of a change.
const maxFaultBytes = 4 << 10

// Faults is the body of /admin/faults in both directions.
type Faults struct {
	Mode Mode `json:"mode"`
}

// Admin returns the handler of the relay's switch.
func (r *Relay) Admin() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+FaultsPath, r.showFaults)
	mux.HandleFunc("POST "+FaultsPath, r.changeFaults)
	return mux
}

func (r *Relay) showFaults(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(Faults{Mode: r.Mode()})
}

func (r *Relay) changeFaults(w http.ResponseWriter, req *http.Request) {
	var change Faults
	err := json.NewDecoder(http.MaxBytesReader(w, req.Body, maxFaultBytes)).Decode(&change)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !slices.Contains([]Mode{ModeOpen, ModeCut, ModeStall}, change.Mode) {
		http.Error(w, "mode must be open, cut or stall", http.StatusBadRequest)
		return
	}
	r.SetMode(change.Mode)
	r.showFaults(w, req)
}
