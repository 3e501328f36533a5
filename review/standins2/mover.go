package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// movingReplica is a stand-in for a replica whose runs can be moved. POST /leave?ms=N is the notice
// that it is taken away in N ms.
type movingReplica struct {
	opts replicaOptions
	// lost is the share of the moves that are carried out without an answer, unframed that of the
	// streams that have neither a length nor chunks and end with their connection.
	lost, unframed float64
	born           int64
	mu             sync.Mutex
	// runs are the runs in progress by attempt, copies what was copied here, by handle.
	runs     map[string]*run
	copies   map[string]int
	sequence int64
	leavesAt time.Time
	changed  chan struct{}
}

// run is a run in progress. stopped is closed to stop it, ended after its last event.
type run struct {
	stopped, ended chan struct{}
	made           int
}

// serveMovingReplica serves a replica with the options ID SERVICE ZONE LISTEN STORE SLOTS EVENTS
// GAP LOST UNFRAMED VERSION.
func serveMovingReplica(args []string) error {
	slots, err := strconv.Atoi(args[5])
	if err != nil {
		return err
	}
	events, err := strconv.Atoi(args[6])
	if err != nil {
		return err
	}
	gap, err := time.ParseDuration(args[7])
	if err != nil {
		return err
	}
	lost, err := strconv.ParseFloat(args[8], 64)
	if err != nil {
		return err
	}
	unframed, err := strconv.ParseFloat(args[9], 64)
	if err != nil {
		return err
	}
	p := &movingReplica{
		opts: replicaOptions{
			id: args[0], service: args[1], zone: args[2], version: args[10], listen: args[3], store: args[4],
			slots: slots, events: events, gap: gap,
		},
		lost: lost, unframed: unframed, born: time.Now().UnixMilli(), runs: make(map[string]*run), copies: make(map[string]int),
		changed: make(chan struct{}, 1),
	}
	failed := make(chan error, 1)
	go func() { failed <- http.ListenAndServe(p.opts.listen, p) }()
	for {
		p.report()
		select {
		case err := <-failed:
			return err
		case <-p.changed:
		case <-time.After(heartbeat):
		}
	}
}

// report writes the status report to the store.
func (p *movingReplica) report() {
	p.mu.Lock()
	p.sequence++
	entry := map[string]any{
		"service": p.opts.service, "address": p.opts.listen, "zone": p.opts.zone, "version": p.opts.version, "slots": p.opts.slots,
		"state": "ready", "cold_remaining_ms": 0, "sequence": p.sequence, "born": p.born, "spot": true,
	}
	if !p.leavesAt.IsZero() {
		entry["state"], entry["leaves_ms"] = "draining", max(time.Until(p.leavesAt).Milliseconds(), 0)
	}
	p.mu.Unlock()
	value, err := json.Marshal(entry)
	if err != nil {
		return
	}
	req, err := http.NewRequest(http.MethodPut, "http://"+p.opts.store+"/put?topic=keyed.servers&key="+p.opts.id, bytes.NewReader(value))
	if err != nil {
		return
	}
	if res, err := http.DefaultClient.Do(req); err == nil {
		_ = res.Body.Close()
	}
}

func (p *movingReplica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	switch r.URL.Path {
	case "/leave":
		ms, _ := strconv.Atoi(r.URL.Query().Get("ms"))
		p.mu.Lock()
		p.leavesAt = time.Now().Add(time.Duration(ms) * time.Millisecond)
		p.mu.Unlock()
		p.changed <- struct{}{}
		time.AfterFunc(time.Duration(ms)*time.Millisecond, func() { os.Exit(0) })
	case "/copy":
		made, _ := strconv.Atoi(r.URL.Query().Get("made"))
		p.mu.Lock()
		p.copies[r.URL.Query().Get("handle")] = made
		p.mu.Unlock()
	case "/v1/report":
		p.sendReport(w)
	case "/v1/kv-move":
		p.move(w, body)
	default:
		p.stream(w, r)
	}
}

func (p *movingReplica) sendReport(w http.ResponseWriter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	report := map[string]any{
		"stage": "both", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "busy": false, "sequence": 0,
		"waiting": 0, "running": len(p.runs), "kv_used": 0, "kv_total": 400000, "handles": len(p.copies), "state": "ready",
	}
	if !p.leavesAt.IsZero() {
		report["state"], report["leaves_ms"] = "draining", time.Until(p.leavesAt).Milliseconds()
	}
	writeJSON(w, http.StatusOK, report)
}

// move carries out POST /v1/kv-move with last: the run stops, and its stream is closed without its
// end. Then its memory is copied.
func (p *movingReplica) move(w http.ResponseWriter, body []byte) {
	var call struct {
		ID, Target string
		Last       bool
	}
	if err := json.Unmarshal(body, &call); err != nil || !call.Last {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	moved := p.runs[call.ID]
	delete(p.runs, call.ID)
	p.mu.Unlock()
	if moved == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	close(moved.stopped)
	<-moved.ended
	handle := fmt.Sprintf("h%d", rand.Uint32())
	res, err := http.Post(fmt.Sprintf("http://%s/copy?handle=%s&made=%d", call.Target, handle, moved.made), "", nil)
	if err != nil {
		fmt.Printf("move of %s: the copy failed: %v\n", call.ID, err)
		panic(http.ErrAbortHandler)
	}
	_ = res.Body.Close()
	if rand.Float64() < p.lost {
		fmt.Printf("move of %s to %s after event %d, its answer is lost\n", call.ID, call.Target, moved.made)
		panic(http.ErrAbortHandler)
	}
	fmt.Printf("move of %s to %s after event %d\n", call.ID, call.Target, moved.made)
	writeJSON(w, http.StatusOK, map[string]any{"handle": handle, "created": moved.made})
}

// stream runs a request.
func (p *movingReplica) stream(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Wigeonsail-Attempt-Id")
	w.Header().Set("X-Wigeonsail-Attempt-Id", id)
	if r.Header.Get("X-Wigeonsail-Expect-Instance") != p.opts.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if source := r.Header.Get("Kv-From"); source != "" {
		_, handle, _ := strings.Cut(source, "/")
		p.mu.Lock()
		_, found := p.copies[handle]
		delete(p.copies, handle)
		p.mu.Unlock()
		if !found {
			w.Header().Set("X-Wigeonsail-Not-Executed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
	}
	mine := &run{stopped: make(chan struct{}), ended: make(chan struct{}), made: from}
	p.mu.Lock()
	full := len(p.runs) >= p.opts.slots
	if !full {
		p.runs[id] = mine
	}
	p.mu.Unlock()
	if full {
		w.Header().Set("X-Wigeonsail-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer close(mine.ended)
	w.Header().Set("X-Wigeonsail-Response-Signature", "sig."+id)
	w.Header().Set("Content-Type", "text/event-stream")
	if rand.Float64() >= p.unframed {
		fmt.Printf("run %s from event %d, in chunks, version %s\n", id, from+1, p.opts.version)
		if !p.events(w, http.NewResponseController(w).Flush, r.Context().Done(), mine, id) {
			panic(http.ErrAbortHandler)
		}
		return
	}
	fmt.Printf("run %s from event %d, to the end of the connection\n", id, from+1)
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	left := make(chan struct{})
	go func() {
		// The caller sends nothing more.
		_, _ = buffered.ReadByte()
		close(left)
	}()
	out := bufio.NewWriter(conn)
	_, _ = out.WriteString("HTTP/1.1 200 OK\r\nConnection: close\r\n")
	_ = w.Header().Write(out)
	_, _ = out.WriteString("\r\n")
	p.events(out, out.Flush, left, mine, id)
}

// events sends the events of a run. It returns false if the run was stopped or its caller has left.
func (p *movingReplica) events(out io.Writer, flush func() error, left <-chan struct{}, mine *run, id string) bool {
	for i := mine.made + 1; i <= p.opts.events; i++ {
		select {
		case <-time.After(p.opts.gap):
		case <-mine.stopped:
			return false
		case <-left:
			p.end(id)
			return false
		}
		_, _ = fmt.Fprintf(out, "id: %d\ndata: %s %d\n\n", i, p.opts.version, i)
		if flush() != nil {
			p.end(id)
			return false
		}
		mine.made = i
	}
	p.end(id)
	return true
}

// end frees the slot of a run.
func (p *movingReplica) end(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.runs, id)
}
