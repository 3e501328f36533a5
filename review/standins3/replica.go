//go:build review3

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// replicaOptions configures a replica.
type replicaOptions struct {
	service, zone string
	// version is that of the replica's software.
	version string
	slots   int
	// events and pause are the number of events of a stream and the time between two; a plain
	// service takes work for a request.
	events int
	pause  time.Duration
	first  time.Duration
	work   time.Duration
	// unframed sends answers that have neither a length nor chunks and end with their channel.
	unframed bool
	// crashPart is a part of prompts, never the last one, that crashes the replica as it begins to
	// write an answer on it. It is back after downtime.
	crashPart string
	downtime  time.Duration
	// listedAddress is the address in the entry; that of the replica if empty.
	listedAddress string
	// address is where the replica listens; a free one if empty.
	address string
}

// replica is a server of the platform's protocol.
type replica struct {
	replicaOptions
	rec      *recorder
	platform *platform

	mu       sync.Mutex
	id       string
	born     int64
	sequence int
	up       bool
	listener net.Listener
	conns    map[net.Conn]bool
	running  int
	runs     []run
	crashes  []time.Time
	lives    int
	name     string
	silent   atomic.Bool
	// keepsID reports that the next lifetimes have the same id; nextVersion is the software version
	// of the next one, if it is another.
	keepsID     bool
	nextVersion string
}

// run is a request that a replica has begun to run.
type run struct {
	id       string
	at       time.Time
	finished time.Time
	// good reports that the replica has sent the whole answer.
	good bool
	part bool
}

func startReplica(rec *recorder, p *platform, name string, opts replicaOptions) (*replica, error) {
	if opts.address == "" {
		var err error
		if opts.address, err = freeAddress("127.0.0.1"); err != nil {
			return nil, err
		}
	}
	r := &replica{replicaOptions: opts, rec: rec, platform: p, name: name, conns: make(map[net.Conn]bool)}
	if err := r.start(); err != nil {
		return nil, err
	}
	go r.heartbeat()
	return r, nil
}

// start begins a lifetime.
func (r *replica) start() error {
	listener, err := net.Listen("tcp", r.address)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.lives++
	if !r.keepsID || r.id == "" {
		r.id = fmt.Sprintf("i-%s-%d", r.name, r.lives)
	}
	if r.nextVersion != "" {
		r.version, r.nextVersion = r.nextVersion, ""
	}
	r.born, r.sequence = time.Now().UnixMilli(), 0
	r.listener, r.up, r.running = listener, true, 0
	r.mu.Unlock()
	r.beat()
	go r.serve(listener)
	return nil
}

func (r *replica) heartbeat() {
	for range time.Tick(heartbeatInterval) {
		r.beat()
	}
}

func (r *replica) beat() {
	r.mu.Lock()
	if !r.up || r.silent.Load() {
		r.mu.Unlock()
		return
	}
	r.sequence++
	address := r.address
	if r.listedAddress != "" {
		address = r.listedAddress
	}
	id, entry := r.id, map[string]any{
		"service": r.service, "address": address, "zone": r.zone, "version": r.softwareVersion(), "slots": r.slots, "state": "ready",
		"cold_remaining_ms": 0, "sequence": r.sequence, "born": r.born,
	}
	r.mu.Unlock()
	r.platform.beat(id, entry)
}

// crash ends the process of the replica: its channels are reset and its port refuses others until
// it is back.
func (r *replica) crash() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.up {
		return
	}
	r.up = false
	r.crashes = append(r.crashes, time.Now())
	_ = r.listener.Close()
	for conn := range r.conns {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
	r.rec.printf("replica %s: crashes", r.id)
	time.AfterFunc(r.downtime, func() {
		for err := r.start(); err != nil; err = r.start() {
			// A channel that was opened meanwhile may use the port.
			r.rec.printf("replica %s: %v", r.name, err)
			time.Sleep(100 * time.Millisecond)
		}
		r.rec.printf("replica %s: is back as %s", r.name, r.id)
	})
}

func (r *replica) serve(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		r.conns[conn] = true
		r.mu.Unlock()
		go r.serveConn(conn)
	}
}

func (r *replica) serveConn(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		r.mu.Lock()
		delete(r.conns, conn)
		r.mu.Unlock()
	}()
	in := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if !r.answer(conn, in, req) {
			return
		}
	}
}

// answer answers a request. It returns false if the channel ends with the answer.
func (r *replica) answer(conn net.Conn, in *bufio.Reader, req *http.Request) bool {
	attempt := req.Header.Get("X-Wigeonsail-Attempt-Id")
	r.mu.Lock()
	id := r.id
	full := r.running >= r.slots
	r.mu.Unlock()
	reject := func(status int, more string) bool {
		_, err := fmt.Fprintf(conn, "HTTP/1.1 %d %s\r\nX-Wigeonsail-Attempt-Id: %s\r\nX-Wigeonsail-Not-Executed: 1\r\n%sContent-Length: 0\r\n\r\n",
			status, http.StatusText(status), attempt, more)
		return err == nil
	}
	switch {
	case req.Header.Get("X-Wigeonsail-Expect-Instance") != "" && req.Header.Get("X-Wigeonsail-Expect-Instance") != id:
		return reject(http.StatusMisdirectedRequest, "X-Wigeonsail-Instance-Id: "+id+"\r\n")
	case req.URL.Path == "/health":
		_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Wigeonsail-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
		return err == nil
	case attempt == "":
		return reject(http.StatusBadRequest, "")
	case full:
		return reject(http.StatusServiceUnavailable, "")
	}
	at := r.begin(attempt, r.hasCrashPart(req))
	defer func() {
		r.mu.Lock()
		r.running--
		r.mu.Unlock()
	}()
	gone := watchClose(conn, in)
	if r.events == 0 {
		return r.answerPlain(conn, attempt, at, gone)
	}
	if !sleepUnless(gone, r.first) {
		return false
	}
	if r.runAt(at).part {
		r.crash()
		return false
	}
	return r.stream(conn, req, attempt, at, gone)
}

// begin records a run, and returns its number.
func (r *replica) begin(attempt string, part bool) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running++
	r.runs = append(r.runs, run{id: attempt, at: time.Now(), part: part})
	r.rec.printf("replica %s: runs %s", r.id, attempt)
	return len(r.runs) - 1
}

func (r *replica) runAt(at int) run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[at]
}

// finish records that a run has come to a good end.
func (r *replica) finish(at int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[at].finished, r.runs[at].good = time.Now(), true
	r.rec.printf("replica %s: has sent the whole answer to %s", r.id, r.runs[at].id)
}

// hasCrashPart reports whether the prompt of a request has the part that crashes the replica.
func (r *replica) hasCrashPart(req *http.Request) bool {
	parts := strings.Split(req.Header.Get("X-Wigeonsail-Prompt-Prefix"), ",")
	return r.crashPart != "" && slices.ContainsFunc(parts[:len(parts)-1], func(part string) bool {
		id, _, _ := strings.Cut(part, ":")
		return id == r.crashPart
	})
}

// watchClose returns a channel that is closed when the caller closes its channel.
func watchClose(conn net.Conn, in *bufio.Reader) <-chan struct{} {
	gone := make(chan struct{})
	go func() {
		if _, err := in.Peek(1); err != nil {
			close(gone)
		}
	}()
	return gone
}

// sleepUnless waits. It returns false if the caller leaves before.
func sleepUnless(gone <-chan struct{}, d time.Duration) bool {
	select {
	case <-gone:
		return false
	case <-time.After(d):
		return true
	}
}

func (r *replica) softwareVersion() string {
	if r.version == "" {
		return "v1"
	}
	return r.version
}

func signature(attempt string) string { return "3e1b." + attempt }

func (r *replica) answerPlain(conn net.Conn, attempt string, at int, gone <-chan struct{}) bool {
	if !sleepUnless(gone, r.work) {
		return false
	}
	body := "answer to " + attempt
	framing := "Connection: close\r\n"
	if !r.unframed {
		framing += "Content-Length: " + strconv.Itoa(len(body)) + "\r\n"
	}
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Wigeonsail-Attempt-Id: %s\r\nX-Wigeonsail-Response-Signature: %s\r\nContent-Type: text/plain\r\n%s\r\n%s",
		attempt, signature(attempt), framing, body)
	if err == nil {
		r.finish(at)
	}
	return false
}

func (r *replica) stream(conn net.Conn, req *http.Request, attempt string, at int, gone <-chan struct{}) bool {
	framing, write := "Connection: close\r\nTransfer-Encoding: chunked\r\n", func(text string) error {
		_, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(text), text)
		return err
	}
	if r.unframed {
		framing, write = "Connection: close\r\n", func(text string) error {
			_, err := io.WriteString(conn, text)
			return err
		}
	}
	if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Wigeonsail-Attempt-Id: %s\r\nX-Wigeonsail-Response-Signature: %s\r\nContent-Type: text/event-stream\r\n%s\r\n",
		attempt, signature(attempt), framing); err != nil {
		return false
	}
	first := 1
	if last, err := strconv.Atoi(req.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	for i := first; i <= r.events; i++ {
		if err := write(fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", i, i, r.softwareVersion())); err != nil {
			return false
		}
		if i < r.events && !sleepUnless(gone, r.pause) {
			r.rec.printf("replica %s: %s was left after event %d", r.id, attempt, i)
			return false
		}
	}
	if !r.unframed {
		if _, err := io.WriteString(conn, "0\r\n\r\n"); err != nil {
			return false
		}
	}
	r.finish(at)
	return false
}

func sortTimes(times []time.Time) { slices.SortFunc(times, time.Time.Compare) }
