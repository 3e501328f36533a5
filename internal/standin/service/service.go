// Package service implements a small stand-in for a plain service, such as the
// appointment service or the order counter. It counts the effects of each
// idempotency key, so that tests need not rely on what the router reports.
package service

import (
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"sync"
	"time"
)

// maxBodyBytes is the size up to which request bodies are read.
const maxBodyBytes = 8 << 20

// Options configures a Service.
type Options struct {
	// Name is the replica's name; responses carry it.
	Name string
	// Delay is the time between a request and its effect.
	Delay time.Duration
	// Deduplicates makes the service itself apply each idempotency key at most
	// once.
	Deduplicates bool
	// Store holds the effects; replicas may share one. If nil, New creates one.
	Store *Store
}

// Faults are the injected faults of a Service and the body of PUT
// /admin/faults.
type Faults struct {
	// Leaving makes /readyz respond with status 503.
	Leaving bool `json:"leaving"`
	// DelayMS is an additional delay before the effect, in milliseconds.
	DelayMS int `json:"delay_ms"`
	// AnswerDelayMS is a delay between the effect and the response, in
	// milliseconds.
	AnswerDelayMS int `json:"answer_delay_ms"`
	// CloseBefore closes the connection before the effect.
	CloseBefore bool `json:"close_before"`
	// CloseAfter closes the connection after the effect, without a response.
	CloseAfter bool `json:"close_after"`
	// Silent applies the effect and never responds.
	Silent bool `json:"silent"`
}

// Effect is the recorded effect of one idempotency key.
type Effect struct {
	// Count is the number of times that the key took effect.
	Count int `json:"count"`
	// Body is the body of the first request that took effect.
	Body string `json:"body"`
}

// Store holds effects by idempotency key.
type Store struct {
	mu      sync.Mutex
	effects map[string]Effect
	calls   int
}

// NewStore returns an empty Store.
func NewStore() *Store { return &Store{effects: make(map[string]Effect)} }

// recordEffect counts an effect and returns the key's number of effects. If
// deduplicate, a key that has taken effect before isn't counted again.
func (s *Store) recordEffect(key string, body []byte, deduplicate bool) int {
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

// Service is one replica.
type Service struct {
	opts Options

	mu     sync.Mutex
	faults Faults
}

// New returns a Service.
func New(opts Options) *Service {
	if opts.Store == nil {
		opts.Store = NewStore()
	}
	return &Service{opts: opts}
}

// headerRequestID identifies a request; responses return it.
const headerRequestID = "X-Request-Id"

// Handler returns the handler of calls, of the readiness check and of the admin
// endpoints.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /readyz", s.serveReady)
	mux.HandleFunc("PUT /admin/faults", s.setFaults)
	mux.HandleFunc("GET /admin/effects", s.serveEffects)
	mux.HandleFunc("/", s.serveCall)
	return mux
}

func (s *Service) currentFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// response is the body of the response to a call.
type response struct {
	Service string `json:"service"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	Key     string `json:"key,omitempty"`
	Body    string `json:"body"`
	Effects int    `json:"effects,omitempty"`
}

// serveCall serves one call. Calls with methods other than GET and HEAD have an
// effect.
func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(headerRequestID, r.Header.Get(headerRequestID))
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return
	}
	faults := s.currentFaults()
	sleep(s.opts.Delay + time.Duration(faults.DelayMS)*time.Millisecond)
	if faults.CloseBefore {
		panic(http.ErrAbortHandler)
	}
	out := response{Service: s.opts.Name, Method: r.Method, Path: r.URL.RequestURI(), Key: idempotencyKey(r), Body: string(body)}
	if r.Method != http.MethodGet && r.Method != http.MethodHead {
		out.Effects = s.opts.Store.recordEffect(out.Key, body, s.opts.Deduplicates)
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

// sleep pauses for d even if the client disconnects, like a service that has
// already started the work.
func sleep(d time.Duration) {
	if d > 0 {
		<-time.After(d)
	}
}

// idempotencyKey returns the request's idempotency key, or its path if it has
// none.
func idempotencyKey(r *http.Request) string {
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
	// If the write fails, the client sees a truncated body.
	_ = json.NewEncoder(w).Encode(v)
}
