// Package replica implements a small stand-in for the platform's replicas with
// their published protocol: plain services and model engines with slots, a
// queue, instance names, refusals, and lost, duplicate and truncated responses.
// It records the requests that it executed.
package replica

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Options configures a Server.
type Options struct {
	// Instance is the replica's instance name.
	Instance string
	// Slots and Queue together bound the number of concurrent requests. There
	// is no bound if Slots is 0.
	Slots int
	Queue int
	// ServiceTime is the time that a plain request, or each event of a stream,
	// takes.
	ServiceTime time.Duration
	// Events is the number of events in a stream; 0 for a plain service.
	Events int
	// CrashPart is the ID of a part of prompts, other than the last one, that ends the
	// replica before the first event; empty for none.
	CrashPart string
	// CrashBody is the body of requests that end the replica without a response; empty for
	// none.
	CrashBody string
}

// Faults are faults to inject into all following requests.
type Faults struct {
	// Status, unless 0, is the response status of requests after their
	// execution.
	Status int
	// LoseResponse executes requests and closes the connection without a
	// response.
	LoseResponse bool
	// QueueFull refuses requests as if the queue were full.
	QueueFull bool
	// RetryAfter is sent with refusals as the Retry-After header, unless empty.
	RetryAfter string
	// Leaving marks all responses as those of a replica that is leaving.
	Leaving bool
	// NoResponse reads requests and never responds.
	NoResponse bool
	// DuplicateResponse sends each plain response twice.
	DuplicateResponse bool
	// DripAfter, unless 0, sends this number of events of a stream and then one
	// byte of the next event at a time, for ever.
	DripAfter int
	// PauseAfter, unless 0, makes streams silent for PauseTime after this number of events,
	// as if they were preempted.
	PauseAfter int
	// Unsigned omits the signature of responses.
	Unsigned bool
	// TruncateStreamAfter closes the connection of streams after this number of
	// events, in the middle of the next; 0 for never.
	TruncateStreamAfter int
	// TruncateBody closes the connection of plain responses before the end of
	// their body.
	TruncateBody bool
}

// Execution is a request that the replica executed.
type Execution struct {
	ID     string
	Method string
	URI    string
	// Body is the beginning of the body, of maxKeptBody bytes at most.
	Body   string
	Header http.Header
	// FirstEvent is the number of the first event to send, in a stream.
	FirstEvent int
	// StartedAt is when the execution began.
	StartedAt time.Time
}

// Account returns the client account that the host set; empty if none.
func (e *Execution) Account() string { return e.Header.Get("X-Wigeonsail-Tenant") }

// CallerKey returns the caller's key, which a host must not forward; empty if
// the host removed it.
func (e *Execution) CallerKey() string { return e.Header.Get("X-Wigeonsail-Key") }

// PauseTime is how long a stream with Faults.PauseAfter is silent. It exceeds the shortest
// time after which a gateway sends a silent stream elsewhere.
const PauseTime = 1500 * time.Millisecond

// maxKeptBody bounds the bytes of a request's body that are recorded.
const maxKeptBody = 4 << 10

const headerSignature = "X-Wigeonsail-Response-Signature"

// signature returns the response signature for a request.
func signature(id string) string { return "sig." + id }

// HasSignature reports whether a response carries a replica's signature for the
// request.
func HasSignature(header http.Header, id string) bool {
	return header.Get(headerSignature) == signature(id)
}

// ResponseBody returns the body of a plain service's response to a request.
func ResponseBody(id string) string { return "answer to " + id }

// StreamBody returns the body of a complete stream with this number of events.
func StreamBody(events int) string {
	var out strings.Builder
	for i := 1; i <= events; i++ {
		out.WriteString(formatEvent(i))
	}
	return out.String()
}

// formatEvent returns the encoded event with number i, counted from 1.
func formatEvent(i int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", i, i) }

// Server is a replica. It implements http.Handler.
type Server struct {
	opts     Options
	http     *http.Server
	listener net.Listener

	mu          sync.Mutex
	faults      Faults
	limit       string
	brittle     string
	executions  []Execution
	canceled    int
	refusals    int
	inFlight    int
	connections int
}

// Start starts a Server on a free loopback port.
func Start(opts Options) (*Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{opts: opts, listener: listener}
	s.http = &http.Server{Handler: s, ReadHeaderTimeout: time.Second, ConnState: s.countConn}
	go func() {
		// Serve ends when the listener is closed.
		_ = s.http.Serve(listener)
	}()
	return s, nil
}

func (s *Server) countConn(_ net.Conn, state http.ConnState) {
	if state != http.StateNew {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.connections++
}

// Close stops listening and closes all connections.
func (s *Server) Close() { _ = s.http.Close() }

// Address returns the address that the replica listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Instance returns the replica's instance name.
func (s *Server) Instance() string { return s.opts.Instance }

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// SetLimit sets the value of the header that states a request limit in all responses;
// empty for none.
func (s *Server) SetLimit(text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = text
}

// SetBrittle sets the value of the header that states brittleness in all responses; empty
// for none.
func (s *Server) SetBrittle(text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.brittle = text
}

// statedBrittleness returns the value of the header that states brittleness.
func (s *Server) statedBrittleness() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.brittle
}

// crashes reports whether the body of a request, or a part of its prompt, ends the replica.
func (s *Server) crashes(prefix, body string) bool {
	if s.opts.CrashBody != "" && body == s.opts.CrashBody {
		return true
	}
	parts := strings.Split(prefix, ",")
	return s.opts.CrashPart != "" && slices.ContainsFunc(parts[:len(parts)-1], func(part string) bool {
		return strings.HasPrefix(part, s.opts.CrashPart+":")
	})
}

func (s *Server) statedLimit() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limit
}

// Executions returns the requests that the replica executed, oldest first.
func (s *Server) Executions() []Execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Execution(nil), s.executions...)
}

// Canceled returns the number of requests whose client disconnected during
// their execution.
func (s *Server) Canceled() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.canceled
}

// Refusals returns the number of requests that were refused because the replica
// was full.
func (s *Server) Refusals() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refusals
}

// Connections returns the number of connections accepted so far.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.connections
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := readBody(r)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	id := r.Header.Get("X-Wigeonsail-Attempt-Id")
	w.Header().Set("X-Wigeonsail-Attempt-Id", id)
	w.Header().Set("X-Wigeonsail-Instance-Id", s.opts.Instance)
	faults, admitted := s.admit()
	if brittle := s.statedBrittleness(); brittle != "" {
		w.Header().Set("Server-Brittle", brittle)
	}
	if limit := s.statedLimit(); limit != "" {
		w.Header().Set("Server-Limit", limit)
	}
	if faults.Leaving {
		w.Header().Set("Server-Leaving", "1")
	}
	switch {
	case r.Header.Get("X-Wigeonsail-Expect-Instance") != s.opts.Instance:
		s.release(admitted)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case !admitted:
		w.Header().Set("X-Wigeonsail-Not-Executed", "1")
		if faults.RetryAfter != "" {
			w.Header().Set("Retry-After", faults.RetryAfter)
		}
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.release(true)
	if faults.NoResponse {
		<-r.Context().Done()
		return
	}
	first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	s.recordExecution(Execution{ID: id, Method: r.Method, URI: r.RequestURI, Body: body, Header: r.Header.Clone(), FirstEvent: first + 1, StartedAt: time.Now()})
	if !faults.Unsigned {
		w.Header().Set(headerSignature, signature(id))
	}
	if s.crashes(r.Header.Get("X-Wigeonsail-Prompt-Prefix"), body) {
		s.Close()
		panic(http.ErrAbortHandler)
	}
	if faults.LoseResponse {
		panic(http.ErrAbortHandler)
	}
	if s.opts.Events > 0 && faults.Status == 0 {
		s.serveStream(w, r, first, faults)
		return
	}
	s.servePlain(w, r, faults)
}

func readBody(r *http.Request) (string, error) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxKeptBody))
	if err == nil {
		_, err = io.Copy(io.Discard, r.Body)
	}
	return string(body), err
}

// admit takes a slot or a place in the queue. It returns the faults in force
// and reports whether the request was admitted.
func (s *Server) admit() (Faults, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.QueueFull || s.opts.Slots > 0 && s.inFlight >= s.opts.Slots+s.opts.Queue {
		s.refusals++
		return s.faults, false
	}
	s.inFlight++
	return s.faults, true
}

func (s *Server) release(admitted bool) {
	if !admitted {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
}

func (s *Server) recordExecution(e Execution) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.executions = append(s.executions, e)
}

// simulateWork pauses for some time. It returns false if the client disconnects
// first.
func (s *Server) simulateWork(r *http.Request, work time.Duration) bool {
	timer := time.NewTimer(work)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		s.mu.Lock()
		defer s.mu.Unlock()
		s.canceled++
		return false
	}
}

// servePlain responds as a plain service.
func (s *Server) servePlain(w http.ResponseWriter, r *http.Request, faults Faults) {
	if !s.simulateWork(r, s.opts.ServiceTime) {
		return
	}
	body := ResponseBody(w.Header().Get("X-Wigeonsail-Attempt-Id"))
	status := http.StatusOK
	if faults.Status != 0 {
		status = faults.Status
	}
	if faults.TruncateBody {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)+10))
		w.WriteHeader(status)
		writeText(w, body)
		panic(http.ErrAbortHandler)
	}
	if faults.DuplicateResponse {
		s.respondTwice(w, status, body)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	writeText(w, body)
}

// respondTwice sends the response twice on the same connection.
func (s *Server) respondTwice(w http.ResponseWriter, status int, body string) {
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	var text strings.Builder
	fmt.Fprintf(&text, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	// Writes to a Builder don't fail.
	_ = w.Header().Write(&text)
	fmt.Fprintf(&text, "Content-Length: %d\r\n\r\n%s", len(body), body)
	writeText(conn, text.String()+text.String())
	// Waits until the client closes the connection.
	_, _ = buffered.ReadByte()
}

// serveStream responds as a model engine, with the events after from, the last
// event that the client has.
func (s *Server) serveStream(w http.ResponseWriter, r *http.Request, from int, faults Faults) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	for i := from + 1; i <= s.opts.Events; i++ {
		if faults.TruncateStreamAfter > 0 && i-from > faults.TruncateStreamAfter {
			writeText(w, "id: 99\ndata: half an ev")
			flush(w)
			panic(http.ErrAbortHandler)
		}
		if faults.DripAfter > 0 && i-from > faults.DripAfter {
			s.drip(w, r)
			return
		}
		work := s.opts.ServiceTime
		if faults.PauseAfter > 0 && from == 0 && i == faults.PauseAfter+1 {
			work += PauseTime
		}
		if !s.simulateWork(r, work) {
			return
		}
		writeText(w, formatEvent(i))
		flush(w)
	}
}

// dripInterval is the time between the bytes of an event that never ends.
const dripInterval = 50 * time.Millisecond

// drip sends one byte of an event at a time until the client disconnects.
func (s *Server) drip(w http.ResponseWriter, r *http.Request) {
	ticker := time.NewTicker(dripInterval)
	defer ticker.Stop()
	for {
		writeText(w, "x")
		flush(w)
		select {
		case <-ticker.C:
		case <-r.Context().Done():
			return
		}
	}
}

// writeText writes text and ignores errors: a client that has disconnected is
// detected by its request context.
func writeText(w io.Writer, text string) {
	_, _ = w.Write([]byte(text))
}

func flush(w http.ResponseWriter) {
	// A client that has disconnected is detected by its request context.
	_ = http.NewResponseController(w).Flush()
}
