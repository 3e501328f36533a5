package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// service is a stand-in for a replica of a plain service.
type service struct {
	id      string
	record  *record
	work    time.Duration
	address string
	server  *http.Server

	mu       sync.Mutex
	arrivals []arrival
}

// arrival is a request that has reached a replica.
type arrival struct {
	id string
	at time.Time
}

// startService starts a replica of a plain service.
func startService(id string, r *record, work time.Duration) *service {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail("no free port: %v", err)
	}
	s := &service{id: id, record: r, work: work, address: listener.Addr().String()}
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(listener) }()
	return s
}

// exit ends the replica.
func (s *service) exit() {
	s.record.say("%s exits", s.id)
	_ = s.server.Close()
}

// ServeHTTP implements http.Handler.
func (s *service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	id := r.Header.Get("X-Wigeonsail-Attempt-Id")
	w.Header().Set("X-Wigeonsail-Attempt-Id", id)
	w.Header().Set("X-Wigeonsail-Instance-Id", s.id)
	if expected := r.Header.Get("X-Wigeonsail-Expect-Instance"); expected != "" && expected != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.mu.Lock()
	s.arrivals = append(s.arrivals, arrival{id, time.Now()})
	s.mu.Unlock()
	s.record.add("%s runs %s", s.id, id)
	time.Sleep(s.work)
	w.Header().Set("X-Wigeonsail-Response-Signature", "sig."+id)
	fmt.Fprintf(w, "answer to %s", id)
}

// takeArrivals returns the requests that have reached the replica.
func (s *service) takeArrivals() []arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]arrival(nil), s.arrivals...)
}
