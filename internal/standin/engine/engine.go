// Package engine implements a small stand-in for a model engine, for scenarios
// and for first runs. It serves the OpenAI-compatible protocol with the
// extensions for priority, stream resumption, load reports and orders. Faults
// can be injected over HTTP.
package engine

import (
	"net/http"
	"sync"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// Options configures an Engine.
type Options struct {
	// Name is the replica's name; responses carry it as their id.
	Name string
	// Models are the models that are loaded at startup.
	Models []model.ModelName
	// Slots is the maximum number of concurrently running requests.
	Slots int
	// FirstToken is the time to the first token, measured from when the request
	// gets a slot.
	FirstToken time.Duration
	// BetweenTokens is the time between consecutive tokens.
	BetweenTokens time.Duration
	// DefaultTokens is the number of tokens for requests without max_tokens.
	DefaultTokens int
	// ReportInterval is the shortest time between updates of the load report,
	// so a report can be this old.
	ReportInterval time.Duration
	// CanResume makes the engine honor requests to resume a stream, and report
	// that it can.
	CanResume bool
	// ChecksFencing makes the engine refuse orders with a stale fencing number.
	ChecksFencing bool
}

// Faults are the injected faults of an Engine and the body of PUT
// /admin/faults.
type Faults struct {
	// Leaving sets "leaving" in the load report.
	Leaving bool `json:"leaving"`
	// Refuse rejects new requests with status 503.
	Refuse bool `json:"refuse"`
	// SlowByMS is added to the time of each token, in milliseconds.
	SlowByMS int `json:"slow_by_ms"`
	// CloseAfter closes the connection before the token with this index; 0 for
	// never.
	CloseAfter int `json:"close_after"`
	// Garbage responds with bytes that are no valid completion.
	Garbage bool `json:"garbage"`
	// Silent accepts requests and never responds.
	Silent bool `json:"silent"`
	// FreezeReports stops updates of the running and queued counts in the load
	// report.
	FreezeReports bool `json:"freeze_reports"`
}

// Stats is the body of the response to GET /admin/stats.
type Stats struct {
	// Started, Finished, Canceled and Resumed count completion requests,
	// Generated the tokens of all of them.
	Started   int `json:"started"`
	Finished  int `json:"finished"`
	Canceled  int `json:"canceled"`
	Resumed   int `json:"resumed"`
	Generated int `json:"generated_tokens"`
	// Orders lists the orders that took effect, oldest first.
	Orders []Order `json:"orders"`
	// StaleOrders counts the orders that were refused for a stale fencing
	// number.
	StaleOrders int `json:"stale_orders"`
}

// Order is the body of POST /orders.
type Order struct {
	Kind    string       `json:"kind"`
	Target  string       `json:"target"`
	Fencing model.Offset `json:"fencing"`
}

// Engine is a stand-in for one engine replica.
type Engine struct {
	opts  Options
	slots *slots

	mu      sync.Mutex
	faults  Faults
	stats   Stats
	models  []model.ModelName
	role    string
	fencing model.Offset
	report  loadReport
}

// New returns an idle Engine.
func New(opts Options) *Engine {
	return &Engine{
		opts:   opts,
		slots:  newSlots(opts.Slots),
		models: append([]model.ModelName(nil), opts.Models...),
	}
}

// Handler returns the handler of the engine's protocol and its admin endpoints.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.serveCompletion)
	mux.HandleFunc("POST /v1/completions", e.serveCompletion)
	mux.HandleFunc("GET /load", e.serveLoad)
	mux.HandleFunc("POST /orders", e.applyOrderRequest)
	mux.HandleFunc("PUT /admin/faults", e.setFaults)
	mux.HandleFunc("GET /admin/stats", e.serveStats)
	return mux
}

func (e *Engine) currentFaults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// updateStats calls change on the counters under the lock.
func (e *Engine) updateStats(change func(*Stats)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change(&e.stats)
}
