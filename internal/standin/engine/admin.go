package engine

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// loadReport is the response body of GET /load.
type loadReport struct {
	Running     int               `json:"running"`
	Queued      int               `json:"queued"`
	Leaving     bool              `json:"leaving"`
	CanResume   bool              `json:"can_resume"`
	Models      []model.ModelName `json:"models"`
	Role        string            `json:"role,omitempty"`
	AgeMS       int64             `json:"age_ms"`
	generatedAt time.Time
}

// serveLoad returns a load report that is at most ReportInterval old. Under
// FreezeReports, the running and queued counts are no longer updated.
func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	running, queued := e.slots.load()
	e.mu.Lock()
	now := time.Now()
	due := now.Sub(e.report.generatedAt) >= e.opts.ReportInterval
	if due && !e.faults.FreezeReports {
		e.report = loadReport{Running: running, Queued: queued, generatedAt: now}
	}
	out := e.report
	out.Leaving = e.faults.Leaving
	out.CanResume = e.opts.CanResume
	out.Models = slices.Clone(e.models)
	out.Role = e.role
	out.AgeMS = now.Sub(out.generatedAt).Milliseconds()
	e.mu.Unlock()
	writeJSON(w, out)
}

// applyOrderRequest serves POST /orders. The order takes effect before the
// response, unless its fencing number is stale and the engine checks it.
func (e *Engine) applyOrderRequest(w http.ResponseWriter, r *http.Request) {
	var o Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, "order: "+err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.opts.ChecksFencing && o.Fencing < e.fencing {
		e.stats.StaleOrders++
		http.Error(w, "stale fencing number", http.StatusConflict)
		return
	}
	e.fencing = max(e.fencing, o.Fencing)
	e.stats.Orders = append(e.stats.Orders, o)
	e.applyOrder(o)
	w.WriteHeader(http.StatusAccepted)
}

// applyOrder changes the engine's role or loads the target model. The caller
// holds mu.
func (e *Engine) applyOrder(o Order) {
	name := model.ModelName(o.Target)
	switch {
	case o.Kind == "change_role":
		e.role = o.Target
	case !slices.Contains(e.models, name):
		e.models = append(e.models, name)
	}
}

func (e *Engine) setFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, "faults: "+err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	e.faults = faults
	e.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) serveStats(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	stats := e.stats
	stats.Orders = slices.Clone(e.stats.Orders)
	e.mu.Unlock()
	writeJSON(w, stats)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// If the write fails, the client sees a truncated body.
	_ = json.NewEncoder(w).Encode(v)
}
