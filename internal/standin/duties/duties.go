// Package duties implements a small stand-in for the platform's service for calls that one
// host at a time makes: reports of usage and orders of endpoints. It checks that the hosts
// keep the rules for such calls. Faults are injected by method calls.
package duties

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Fault is a fault that the server injects into every call.
type Fault uint8

// The faults.
const (
	// FaultNone serves calls normally.
	FaultNone Fault = iota
	// FaultConflict responds with status 409 and FaultTooManyRequests with 429, both
	// without effect.
	FaultConflict
	FaultTooManyRequests
	// FaultSilent never responds, without effect.
	FaultSilent
	// FaultLate closes the connection and executes the call after the delay.
	FaultLate
)

// Call is a call that the server has accepted.
type Call struct {
	Holder  string
	Fence   uint64
	Subject string
	Body    []byte
}

// Server is the service. It implements http.Handler.
type Server struct {
	lease time.Duration

	mu    sync.Mutex
	fault Fault
	delay time.Duration
	// highest is the highest fence seen, by subject, and holders the holder that sent each.
	highest map[string]uint64
	holders map[string]string
	// reports are the accepted counts by window.
	reports map[int64]map[string]int64
	calls   []Call
	// lastCall is when each holder last had a call accepted, lastHolder that of the newest.
	lastCall   map[string]time.Time
	lastHolder string
	violations []string
	late       sync.WaitGroup
}

// New returns a server that checks that holders do not alternate within the lease.
func New(lease time.Duration) *Server {
	return &Server{
		lease: lease, highest: make(map[string]uint64), holders: make(map[string]string),
		reports: make(map[int64]map[string]int64), lastCall: make(map[string]time.Time),
	}
}

// SetFault injects a fault into all following calls. delay is that of FaultLate.
func (s *Server) SetFault(f Fault, delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault, s.delay = f, delay
}

// Reports returns the accepted counts by window.
func (s *Server) Reports() map[int64]map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.reports)
}

// Calls returns the accepted calls in order.
func (s *Server) Calls() []Call {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Call(nil), s.calls...)
}

// Violations returns the rules that the hosts have broken.
func (s *Server) Violations() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.violations...)
}

// Wait waits for the calls that take effect late.
func (s *Server) Wait() { s.late.Wait() }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	call, status := parse(r)
	if status != 0 {
		w.WriteHeader(status)
		return
	}
	s.mu.Lock()
	fault, delay := s.fault, s.delay
	s.mu.Unlock()
	switch fault {
	case FaultConflict:
		w.WriteHeader(http.StatusConflict)
	case FaultTooManyRequests:
		w.WriteHeader(http.StatusTooManyRequests)
	case FaultSilent:
		<-r.Context().Done()
	case FaultLate:
		s.late.Go(func() {
			timer := time.NewTimer(delay)
			defer timer.Stop()
			<-timer.C
			s.Execute(call)
		})
		panic(http.ErrAbortHandler)
	default:
		w.WriteHeader(s.Execute(call))
	}
}

// parse reads a call. It returns a status other than 0 if it is malformed.
func parse(r *http.Request) (Call, int) {
	call := Call{Holder: r.Header.Get("X-Wigeonsail-Duty-Holder")}
	var err error
	call.Fence, err = strconv.ParseUint(r.Header.Get("X-Wigeonsail-Fencing-Token"), 10, 64)
	if err != nil || call.Holder == "" || r.Method != http.MethodPost {
		return call, http.StatusBadRequest
	}
	var body json.RawMessage
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		return call, http.StatusBadRequest
	}
	call.Body = body
	switch r.URL.Path {
	case "/usage":
		call.Subject = "usage"
	case "/scale":
		var order struct{ Service, Zone string }
		if err := json.Unmarshal(body, &order); err != nil || order.Service == "" || order.Zone == "" {
			return call, http.StatusBadRequest
		}
		call.Subject = "scale " + order.Service + " " + order.Zone
	default:
		return call, http.StatusNotFound
	}
	return call, 0
}

// Execute carries out a call, and returns its status.
func (s *Server) Execute(call Call) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if call.Fence < s.highest[call.Subject] {
		return http.StatusConflict
	}
	s.highest[call.Subject] = call.Fence
	key := call.Subject + " " + strconv.FormatUint(call.Fence, 10)
	if before, used := s.holders[key]; used && before != call.Holder {
		s.violations = append(s.violations, fmt.Sprintf("%s and %s sent fence %d for %s", before, call.Holder, call.Fence, call.Subject))
	}
	s.holders[key] = call.Holder
	s.checkOrder(call.Holder)
	s.calls = append(s.calls, call)
	if call.Subject == "usage" {
		s.checkReport(call)
	}
	return http.StatusOK
}

// checkOrder checks that a holder which was followed by another one does not act again
// within the lease.
func (s *Server) checkOrder(holder string) {
	now := time.Now()
	if last, acted := s.lastCall[holder]; acted && s.lastHolder != holder && now.Sub(last) < s.lease {
		s.violations = append(s.violations, fmt.Sprintf("%s acts again %s after it was followed by %s", holder, now.Sub(last), s.lastHolder))
	}
	s.lastCall[holder], s.lastHolder = now, holder
}

// checkReport checks that all reports of a window are equal.
func (s *Server) checkReport(call Call) {
	var report struct {
		Window int64            `json:"window_seq"`
		Counts map[string]int64 `json:"counts"`
	}
	if err := json.Unmarshal(call.Body, &report); err != nil || report.Counts == nil {
		s.violations = append(s.violations, "malformed report "+string(call.Body))
		return
	}
	if before, known := s.reports[report.Window]; known && !maps.Equal(before, report.Counts) {
		s.violations = append(s.violations, fmt.Sprintf("window %d was reported with %v and with %v", report.Window, before, report.Counts))
		return
	}
	s.reports[report.Window] = report.Counts
}
