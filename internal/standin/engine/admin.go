package engine

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// report is the load report as JSON.
type report struct {
	Running   int               `json:"running"`
	Queued    int               `json:"queued"`
	Leaving   bool              `json:"leaving"`
	CanResume bool              `json:"can_resume"`
	Models    []model.ModelName `json:"models"`
	Role      string            `json:"role,omitempty"`
	AgeMS     int64             `json:"age_ms"`
	made      time.Time
}

// serveLoad answers with a report that is up to ReportLag old.
func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	running, queued := e.slots.load()
	e.mu.Lock()
	now := time.Now()
	due := now.Sub(e.report.made) >= e.opts.ReportLag
	if due && !e.faults.FreezeReports {
		e.report = report{Running: running, Queued: queued, made: now}
	}
	out := e.report
	out.Leaving = e.faults.Leaving
	out.CanResume = e.opts.CanResume
	out.Models = slices.Clone(e.models)
	out.Role = e.role
	out.AgeMS = now.Sub(out.made).Milliseconds()
	e.mu.Unlock()
	writeJSON(w, out)
}

// takeOrder carries out an order at once.
func (e *Engine) takeOrder(w http.ResponseWriter, r *http.Request) {
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
	e.carryOut(o)
	w.WriteHeader(http.StatusAccepted)
}

// carryOut brings the engine to the order's end. The caller holds mu.
func (e *Engine) carryOut(o Order) {
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
	// The client sees a broken body when writing fails.
	_ = json.NewEncoder(w).Encode(v)
}
