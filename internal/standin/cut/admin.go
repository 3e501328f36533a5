package cut

import (
	"encoding/json"
	"net/http"
	"slices"
)

// FaultsPath is the path of the admin endpoint that returns the link mode (GET)
// or sets it (POST).
const FaultsPath = "/admin/faults"

// maxFaultBytes is the size limit of a POST body.
const maxFaultBytes = 4 << 10

// Faults is the request and response body of FaultsPath.
type Faults struct {
	Mode Mode `json:"mode"`
}

// AdminHandler returns the HTTP handler of the relay's admin endpoint.
func (r *Relay) AdminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+FaultsPath, r.getFaults)
	mux.HandleFunc("POST "+FaultsPath, r.setFaults)
	return mux
}

func (r *Relay) getFaults(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(Faults{Mode: r.Mode()})
}

func (r *Relay) setFaults(w http.ResponseWriter, req *http.Request) {
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
	r.getFaults(w, req)
}
