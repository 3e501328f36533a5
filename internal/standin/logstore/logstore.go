// Package logstore implements a small stand-in for the platform's log service
// with its published protocol: partitioned topics, appends with expected
// offsets and producer epochs, long polls, keyed topics, trimming and consumer
// groups. Faults are injected by method calls.
package logstore

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"
)

// Fault is a fault that the server injects into every call.
type Fault uint8

// The faults.
const (
	// FaultNone serves calls normally.
	FaultNone Fault = iota
	// FaultUnavailable responds with status 503 and FaultTooManyRequests with
	// 429, both without effect.
	FaultUnavailable
	FaultTooManyRequests
	// FaultResetConnection closes the connection and FaultNoResponse never
	// responds, both without effect.
	FaultResetConnection
	FaultNoResponse
	// FaultLostResponse executes the call and closes the connection without a
	// response.
	FaultLostResponse
)

// Record is a stored record of a partition.
type Record struct {
	Offset uint64
	Data   []byte
}

// partition is one partition of a topic, an independent log.
type partition struct {
	records []Record
	// first is the earliest retained offset and end the offset of the next
	// append.
	first, end uint64
	producers  map[string]*producer
	// newest holds the latest record of each key, for keyed topics.
	newest map[string]Record
}

// Server is the log service. It implements http.Handler.
type Server struct {
	mux *http.ServeMux

	mu         sync.Mutex
	partitions map[partitionKey]*partition
	groups     map[string]*group
	fault      Fault
	// silentTopic is a topic whose calls get no response; empty for none.
	silentTopic string
	delay       time.Duration
	calls       map[string]int
	// era is sent with all responses. It rises with each restoration.
	era uint64
	// changed is closed and replaced on each append, trim and fault change.
	changed chan struct{}
}

type partitionKey struct {
	topic string
	part  int
}

// New returns a Server with an empty log.
func New() *Server {
	s := &Server{
		mux:        http.NewServeMux(),
		partitions: make(map[partitionKey]*partition),
		groups:     make(map[string]*group),
		calls:      make(map[string]int),
		era:        1,
		changed:    make(chan struct{}),
	}
	s.mux.HandleFunc("POST /v1/log-append", s.append)
	s.mux.HandleFunc("GET /v1/log-read", s.read)
	s.mux.HandleFunc("GET /v1/log-newest", s.newest)
	s.mux.HandleFunc("POST /v1/log-trim", s.trim)
	s.mux.HandleFunc("POST /v1/log-join", s.join)
	s.mux.HandleFunc("POST /v1/log-leave", s.leave)
	s.mux.HandleFunc("POST /v1/log-commit", s.commit)
	s.mux.HandleFunc("GET /v1/log-owners", s.owners)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls[r.URL.Path]++
	fault, delay := s.fault, s.delay
	if s.silentTopic != "" && r.URL.Query().Get("topic") == s.silentTopic {
		fault = FaultNoResponse
	}
	s.setEraHeader(w)
	s.mu.Unlock()
	if delay > 0 && !sleepRequest(r, delay) {
		return
	}
	switch fault {
	case FaultUnavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
	case FaultTooManyRequests:
		w.WriteHeader(http.StatusTooManyRequests)
	case FaultResetConnection:
		panic(http.ErrAbortHandler)
	case FaultNoResponse:
		// net/http notices that the caller has closed the connection only once the body
		// was read. An error means that it has.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	case FaultLostResponse:
		s.mux.ServeHTTP(discardWriter{header: http.Header{}}, r)
		panic(http.ErrAbortHandler)
	default:
		s.mux.ServeHTTP(w, r)
	}
}

// discardWriter is an http.ResponseWriter that discards the response.
type discardWriter struct{ header http.Header }

// Header implements http.ResponseWriter.
func (d discardWriter) Header() http.Header { return d.header }

// Write implements http.ResponseWriter.
func (discardWriter) Write(data []byte) (int, error) { return len(data), nil }

// WriteHeader implements http.ResponseWriter.
func (discardWriter) WriteHeader(int) {}

// sleepRequest pauses for d. It returns false if the request is canceled first.
func sleepRequest(r *http.Request, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

// SetFault applies a fault to all following calls.
func (s *Server) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
	s.wakeReaders()
}

// SilenceTopic lets all following calls that name a topic get no response; empty for
// none.
func (s *Server) SilenceTopic(topic string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silentTopic = topic
}

// SetDelay delays all following calls by d.
func (s *Server) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// Calls returns the number of calls to a path, including refused ones.
func (s *Server) Calls(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[path]
}

// Put appends a record to a keyed topic, as the operator and the replicas do.
// An empty value removes the key.
func (s *Server) Put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.getPartition(topic, 0)
	p.appendRecord(topic, encodeKeyedRecord(key, value))
	s.wakeReaders()
}

// Expire drops all records of a topic. Keyed topics keep the latest record of
// each key.
func (s *Server) Expire(topic string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, p := range s.partitions {
		if key.topic == topic {
			p.dropBefore(p.end)
		}
	}
	s.wakeReaders()
}

// wakeReaders wakes the waiting long polls. The caller holds mu.
func (s *Server) wakeReaders() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// getPartition returns a partition. It creates the partition on first use. The
// caller holds mu.
func (s *Server) getPartition(topic string, part int) *partition {
	key := partitionKey{topic: topic, part: part}
	p := s.partitions[key]
	if p == nil {
		p = &partition{producers: make(map[string]*producer), newest: make(map[string]Record)}
		s.partitions[key] = p
	}
	return p
}

// dropBefore removes the records before an offset.
func (p *partition) dropBefore(before uint64) {
	kept := 0
	for kept < len(p.records) && p.records[kept].Offset < before {
		kept++
	}
	p.records = p.records[kept:]
	p.first = max(p.first, min(before, p.end))
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A write error means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(body)
}
