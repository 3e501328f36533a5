package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// replicaOptions configures a stand-in for a replica.
type replicaOptions struct {
	id, service, zone, version string
	listen, store              string
	slots, events              int
	gap                        time.Duration
}

// heartbeat is the time between two status reports to the store.
const heartbeat = 1200 * time.Millisecond

// replica is a stand-in for a replica of a service. With events it answers with a stream, whose
// events name the version of its software. It prints a line for each run.
type replica struct {
	opts     replicaOptions
	born     int64
	running  atomic.Int64
	sequence int64
}

func (p *replica) report() {
	p.sequence++
	value, err := json.Marshal(map[string]any{
		"service": p.opts.service, "address": p.opts.listen, "zone": p.opts.zone, "version": p.opts.version,
		"slots": p.opts.slots, "state": "ready", "cold_remaining_ms": 0, "sequence": p.sequence, "born": p.born,
	})
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

func (p *replica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/v1/report" {
		writeJSON(w, http.StatusOK, map[string]any{
			"stage": "both", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "busy": false,
			"sequence": 0, "waiting": 0, "running": p.running.Load(), "kv_used": 0, "kv_total": 400000, "handles": 0,
		})
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	id := r.Header.Get("X-Wigeonsail-Attempt-Id")
	w.Header().Set("X-Wigeonsail-Attempt-Id", id)
	if expected := r.Header.Get("X-Wigeonsail-Expect-Instance"); expected != "" && expected != p.opts.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	defer p.running.Add(-1)
	if p.running.Add(1) > int64(p.opts.slots) {
		w.Header().Set("X-Wigeonsail-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	fmt.Printf("%d run %s at %s version %s from event %d\n", time.Now().UnixMilli(), id, p.opts.id, p.opts.version, from+1)
	w.Header().Set("X-Wigeonsail-Response-Signature", "sig."+id)
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	for i := from + 1; i <= p.opts.events; i++ {
		select {
		case <-time.After(p.opts.gap):
		case <-r.Context().Done():
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, p.opts.version)
		_ = http.NewResponseController(w).Flush()
	}
}

// serve reports the replica to the store and serves until the process ends.
func (p *replica) serve() error {
	p.born = time.Now().UnixMilli()
	server := &http.Server{Addr: p.opts.listen, Handler: p}
	failed := make(chan error, 1)
	go func() { failed <- server.ListenAndServe() }()
	for {
		p.report()
		select {
		case err := <-failed:
			return err
		case <-time.After(heartbeat):
		}
	}
}
