// Package engine is a small stand-in for a model engine, for scenarios and for
// a first run. It speaks the OpenAI-compatible protocol with the extensions
// for priority, resuming, load reports and orders, and has switches for
// faults.
package engine

import (
	"net/http"
	"sync"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// Options configures an Engine.
type Options struct {
	// Name names the replica in its answers.
	Name string
	// Models are the models loaded at the start.
	Models []model.ModelName
	// Slots is the number of requests that run at once.
	Slots int
	// FirstToken is the time to the first token once a request runs.
	FirstToken time.Duration
	// BetweenTokens is the time between tokens.
	BetweenTokens time.Duration
	// DefaultTokens is the length of answers without max_tokens.
	DefaultTokens int
	// ReportLag is how old load reports are.
	ReportLag time.Duration
	// CanResume says that the engine resumes streams.
	CanResume bool
	// ChecksFencing says that orders with a stale fencing number are refused.
	ChecksFencing bool
}

// Faults are the switches of an Engine.
type Faults struct {
	// Leaving makes the engine report that it leaves.
	Leaving bool `json:"leaving"`
	// Refuse answers new requests with 503.
	Refuse bool `json:"refuse"`
	// SlowBy is added between tokens, in milliseconds.
	SlowByMS int `json:"slow_by_ms"`
	// CloseAfter closes streams after that many tokens; 0 for never.
	CloseAfter int `json:"close_after"`
	// Garbage answers with bytes that are no answer.
	Garbage bool `json:"garbage"`
	// Silent takes requests and never answers.
	Silent bool `json:"silent"`
	// FreezeReports keeps the load report as it is.
	FreezeReports bool `json:"freeze_reports"`
}

// Stats counts what the engine did.
type Stats struct {
	Started   int `json:"started"`
	Finished  int `json:"finished"`
	Canceled  int `json:"canceled"`
	Resumed   int `json:"resumed"`
	Generated int `json:"generated_tokens"`
	// Orders are the orders that took effect, in order.
	Orders []Order `json:"orders"`
	// StaleOrders were refused for their fencing number.
	StaleOrders int `json:"stale_orders"`
}

// Order is an order as it came over the wire.
type Order struct {
	Kind    string       `json:"kind"`
	Target  string       `json:"target"`
	Fencing model.Offset `json:"fencing"`
}

// Engine is a stand-in for one replica.
type Engine struct {
	opts  Options
	slots *slots

	mu      sync.Mutex
	faults  Faults
	stats   Stats
	models  []model.ModelName
	role    string
	fencing model.Offset
	report  report
}

// New returns an idle engine.
func New(opts Options) *Engine {
	return &Engine{
		opts:   opts,
		slots:  newSlots(opts.Slots),
		models: append([]model.ModelName(nil), opts.Models...),
	}
}

// Handler serves the engine's protocol and its switches.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.complete)
	mux.HandleFunc("POST /v1/completions", e.complete)
	mux.HandleFunc("GET /load", e.serveLoad)
	mux.HandleFunc("POST /orders", e.takeOrder)
	mux.HandleFunc("PUT /admin/faults", e.setFaults)
	mux.HandleFunc("GET /admin/stats", e.serveStats)
	return mux
}

func (e *Engine) currentFaults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

func (e *Engine) count(change func(*Stats)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change(&e.stats)
}
