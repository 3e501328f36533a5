// Package replica is a small stand-in for the platform's replicas by their
// published protocol: plain services and model engines with slots, a queue,
// instance names, refusals, lost, stray and broken answers. It counts what it
// ran.
package replica

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Options configures a Server.
type Options struct {
	// Instance names the replica.
	Instance string
	// Slots and Queue bound the requests at once; 0 for no bound.
	Slots int
	Queue int
	// Work is the time that a request takes, or an event of a stream.
	Work time.Duration
	// Events is the number of events of a stream; 0 for a plain service.
	Events int
}

// Faults are the replica's misbehaviours. They hold for all following requests.
type Faults struct {
	// Status answers requests with this status after running them.
	Status int
	// Lose runs requests and closes the connection without an answer.
	Lose bool
	// Full refuses requests as if the queue were full.
	Full bool
	// Silent reads requests and never answers.
	Silent bool
	// Stray sends each answer twice.
	Stray bool
	// Unsigned leaves the signature out.
	Unsigned bool
	// CutAfter breaks streams off after so many events; 0 for never.
	CutAfter int
	// CutBody breaks plain answers off in the middle.
	CutBody bool
}

// Run is a request that the replica ran.
type Run struct {
	ID     string
	Method string
	URI    string
	Body   string
	Header http.Header
	// First is the first event of a stream that the replica made.
	First int
	// At is when the replica began it.
	At time.Time
}

// Account is the client account that the host told; empty for none.
func (r *Run) Account() string { return r.Header.Get("X-Wigeonsail-Tenant") }

// Key is the caller's key, which a host must not pass on.
func (r *Run) Key() string { return r.Header.Get("X-Wigeonsail-Key") }

const headerSignature = "X-Wigeonsail-Response-Signature"

func signatureOf(id string) string { return "sig." + id }

// Signed says that an answer carries a replica's signature for a request.
func Signed(header http.Header, id string) bool {
	return header.Get(headerSignature) == signatureOf(id)
}

// AnswerTo is the body of a plain service's answer to a request.
func AnswerTo(id string) string { return "answer to " + id }

// StreamOf is the body of a whole stream of so many events.
func StreamOf(events int) string {
	var out strings.Builder
	for i := 1; i <= events; i++ {
		out.WriteString(event(i))
	}
	return out.String()
}

func event(i int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", i, i) }

// Server is the stand-in.
type Server struct {
	opts     Options
	http     *http.Server
	listener net.Listener

	mu       sync.Mutex
	faults   Faults
	runs     []Run
	canceled int
	refusals int
	inUse    int
	conns    int
}

// Start serves on an address of the loopback range.
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
	s.conns++
}

// Close cuts all connections.
func (s *Server) Close() { _ = s.http.Close() }

// Address is where the replica listens.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Instance is the replica's name.
func (s *Server) Instance() string { return s.opts.Instance }

// SetFaults replaces the faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Runs returns what the replica ran.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.runs...)
}

// Canceled returns the number of requests whose caller left.
func (s *Server) Canceled() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.canceled
}

// Refusals returns the number of requests that found the replica full.
func (s *Server) Refusals() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refusals
}

// Connections returns the number of connections that were opened.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.conns
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
	switch {
	case r.Header.Get("X-Wigeonsail-Expect-Instance") != s.opts.Instance:
		s.release(admitted)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case !admitted:
		w.Header().Set("X-Wigeonsail-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.release(true)
	if faults.Silent {
		<-r.Context().Done()
		return
	}
	first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	s.note(Run{ID: id, Method: r.Method, URI: r.RequestURI, Body: body, Header: r.Header.Clone(), First: first + 1, At: time.Now()})
	if !faults.Unsigned {
		w.Header().Set(headerSignature, signatureOf(id))
	}
	if faults.Lose {
		panic(http.ErrAbortHandler)
	}
	if s.opts.Events > 0 && faults.Status == 0 {
		s.stream(w, r, first, faults)
		return
	}
	s.whole(w, r, faults)
}

func readBody(r *http.Request) (string, error) {
	body, err := io.ReadAll(r.Body)
	return string(body), err
}

// admit takes a slot or a place in the queue.
func (s *Server) admit() (Faults, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Full || s.opts.Slots > 0 && s.inUse >= s.opts.Slots+s.opts.Queue {
		s.refusals++
		return s.faults, false
	}
	s.inUse++
	return s.faults, true
}

func (s *Server) release(admitted bool) {
	if !admitted {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inUse--
}

func (s *Server) note(run Run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs = append(s.runs, run)
}

// work takes the time of a piece of work. It returns false when the caller has
// left.
func (s *Server) work(r *http.Request) bool {
	timer := time.NewTimer(s.opts.Work)
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

// whole answers as a plain service.
func (s *Server) whole(w http.ResponseWriter, r *http.Request, faults Faults) {
	if !s.work(r) {
		return
	}
	body := AnswerTo(w.Header().Get("X-Wigeonsail-Attempt-Id"))
	status := http.StatusOK
	if faults.Status != 0 {
		status = faults.Status
	}
	if faults.CutBody {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)+10))
		w.WriteHeader(status)
		writeText(w, body)
		panic(http.ErrAbortHandler)
	}
	if faults.Stray {
		s.answerTwice(w, status, body)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	writeText(w, body)
}

// answerTwice sends a second answer that nobody asked for.
func (s *Server) answerTwice(w http.ResponseWriter, status int, body string) {
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	var text strings.Builder
	fmt.Fprintf(&text, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	// A Builder takes all bytes.
	_ = w.Header().Write(&text)
	fmt.Fprintf(&text, "Content-Length: %d\r\n\r\n%s", len(body), body)
	writeText(conn, text.String()+text.String())
	// The caller closes the connection.
	_, _ = buffered.ReadByte()
}

// stream answers as a model engine, after the event that the caller has.
func (s *Server) stream(w http.ResponseWriter, r *http.Request, from int, faults Faults) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	for i := from + 1; i <= s.opts.Events; i++ {
		if faults.CutAfter > 0 && i-from > faults.CutAfter {
			writeText(w, "id: 99\ndata: half an ev")
			flush(w)
			panic(http.ErrAbortHandler)
		}
		if !s.work(r) {
			return
		}
		writeText(w, event(i))
		flush(w)
	}
}

// writeText writes to a caller. One that has left shows by its context.
func writeText(w io.Writer, text string) {
	_, _ = w.Write([]byte(text))
}

func flush(w http.ResponseWriter) {
	// A caller that has left shows by its context.
	_ = http.NewResponseController(w).Flush()
}
