// Package service is a small stand-in for a plain service, such as the
// appointment service or the order counter. It counts the effects of each
// idempotency key, so that proofs need not trust the router's own words.
package service

import (
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"sync"
	"time"
)

// maxBodyBytes bounds a request's body.
const maxBodyBytes = 8 << 20

// Options configures a Service.
type Options struct {
	// Name names the replica in its answers.
	Name string
	// Delay is the time that a call takes before its effect.
	Delay time.Duration
	// Deduplicates makes the service run a key at most once by itself.
	Deduplicates bool
	// Store holds the effects; replicas may share one. Nil makes a new one.
	Store *Store
}

// Faults are the switches of a Service.
type Faults struct {
	// Leaving makes the service report that it leaves.
	Leaving bool `json:"leaving"`
	// DelayMS is added before the effect, in milliseconds.
	DelayMS int `json:"delay_ms"`
	// AnswerDelayMS is added between the effect and the answer.
	AnswerDelayMS int `json:"answer_delay_ms"`
	// CloseBefore closes the connection before the effect.
	CloseBefore bool `json:"close_before"`
	// CloseAfter closes the connection after the effect, without an answer.
	CloseAfter bool `json:"close_after"`
	// Silent has the effect and never answers.
	Silent bool `json:"silent"`
}

// Effect is what a service keeps of one key.
type Effect struct {
	// Count is how often the key took effect.
	Count int `json:"count"`
	// Body is the body of the first time.
	Body string `json:"body"`
}

// Store keeps effects by key.
type Store struct {
	mu      sync.Mutex
	effects map[string]Effect
	calls   int
}

// NewStore returns an empty store.
func NewStore() *Store { return &Store{effects: make(map[string]Effect)} }

// add counts an effect and returns the key's number of effects.
func (s *Store) add(key string, body []byte, deduplicate bool) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	effect := s.effects[key]
	if deduplicate && effect.Count > 0 {
		return effect.Count
	}
	if effect.Count == 0 {
		effect.Body = string(body)
	}
	effect.Count++
	s.effects[key] = effect
	return effect.Count
}

// Effects returns a copy of all effects by key.
func (s *Store) Effects() map[string]Effect {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.effects)
}

// Service is a stand-in for one replica.
type Service struct {
	opts Options

	mu     sync.Mutex
	faults Faults
}

// New returns a service.
func New(opts Options) *Service {
	if opts.Store == nil {
		opts.Store = NewStore()
	}
	return &Service{opts: opts}
}

// Handler serves calls, reports and switches.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /readyz", s.serveReady)
	mux.HandleFunc("PUT /admin/faults", s.setFaults)
	mux.HandleFunc("GET /admin/effects", s.serveEffects)
	mux.HandleFunc("/", s.call)
	return mux
}

func (s *Service) currentFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// answer is what a caller of the service gets.
type answer struct {
	Service string `json:"service"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	Key     string `json:"key,omitempty"`
	Body    string `json:"body"`
	Effects int    `json:"effects,omitempty"`
}

// call runs one call. Calls other than GET and HEAD have an effect.
func (s *Service) call(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return
	}
	faults := s.currentFaults()
	sleep(s.opts.Delay + time.Duration(faults.DelayMS)*time.Millisecond)
	if faults.CloseBefore {
		panic(http.ErrAbortHandler)
	}
	out := answer{Service: s.opts.Name, Method: r.Method, Path: r.URL.RequestURI(), Key: keyOf(r), Body: string(body)}
	if r.Method != http.MethodGet && r.Method != http.MethodHead {
		out.Effects = s.opts.Store.add(out.Key, body, s.opts.Deduplicates)
	}
	sleep(time.Duration(faults.AnswerDelayMS) * time.Millisecond)
	if faults.CloseAfter {
		panic(http.ErrAbortHandler)
	}
	if faults.Silent {
		<-r.Context().Done()
		return
	}
	writeJSON(w, out)
}

// sleep passes the time even when the caller has gone, as a service does that
// is already at work.
func sleep(d time.Duration) {
	if d > 0 {
		<-time.After(d)
	}
}

// keyOf returns the idempotency key, or the path where there is none.
func keyOf(r *http.Request) string {
	if key := r.Header.Get("Idempotency-Key"); key != "" {
		return key
	}
	return r.URL.Path
}

func (s *Service) serveReady(w http.ResponseWriter, _ *http.Request) {
	if s.currentFaults().Leaving {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (s *Service) setFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, "faults: "+err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.faults = faults
	s.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

func (s *Service) serveEffects(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.opts.Store.Effects())
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// The client sees a broken body when writing fails.
	_ = json.NewEncoder(w).Encode(v)
}
