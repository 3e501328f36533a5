package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in for the platform's store: topics with one partition, reads with a long
// poll, and the newest record of each key. PUT /put?topic=T&key=K is how the stand-ins of the
// operator and of the replicas write.
type store struct {
	mu      sync.Mutex
	topics  map[string]*topic
	changed chan struct{}
}

type topic struct {
	records [][]byte
	newest  map[string]keyedValue
}

type keyedValue struct {
	value  []byte
	offset int
}

func newStore() *store {
	return &store{topics: make(map[string]*topic), changed: make(chan struct{})}
}

func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: make(map[string]keyedValue)}
		s.topics[name] = t
	}
	return t
}

// add appends a record. The caller holds mu.
func (s *store) add(name string, record []byte) {
	t := s.topic(name)
	offset := len(t.records)
	t.records = append(t.records, record)
	if strings.HasPrefix(name, "keyed.") && len(record) > 0 && len(record) > int(record[0]) {
		key, value := string(record[1:1+record[0]]), record[1+record[0]:]
		delete(t.newest, key)
		if len(value) > 0 {
			t.newest[key] = keyedValue{value: value, offset: offset}
		}
	}
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Store-Era", "1")
	query := r.URL.Query()
	name := query.Get("topic")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	switch r.URL.Path {
	case "/put":
		s.mu.Lock()
		defer s.mu.Unlock()
		key := query.Get("key")
		s.add(name, append(append([]byte{byte(len(key))}, key...), body...))
		s.wake()
	case "/v1/log-append":
		s.append(w, name, query.Get("at"), body)
	case "/v1/log-read":
		from, _ := strconv.Atoi(query.Get("from"))
		wait, _ := strconv.Atoi(query.Get("wait_ms"))
		s.read(w, r, name, from, time.Duration(wait)*time.Millisecond)
	case "/v1/log-newest":
		s.sendNewest(w, name)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) append(w http.ResponseWriter, name, at string, body []byte) {
	if name == "keyed.op" || name == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	offset := len(s.topic(name).records)
	if at != "" && at != strconv.Itoa(offset) {
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"end": offset})
		return
	}
	for len(body) >= 4 {
		size := int(binary.BigEndian.Uint32(body))
		if size > len(body)-4 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		s.add(name, body[4:4+size])
		body = body[4+size:]
	}
	s.wake()
	writeJSON(w, http.StatusOK, map[string]any{"offset": offset, "end": len(s.topic(name).records)})
}

func (s *store) read(w http.ResponseWriter, r *http.Request, name string, from int, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for waiting := true; ; {
		s.mu.Lock()
		t, changed := s.topic(name), s.changed
		end := len(t.records)
		if from > end {
			s.mu.Unlock()
			writeJSON(w, http.StatusGone, map[string]any{"first": 0})
			return
		}
		if from < end || !waiting {
			out := binary.BigEndian.AppendUint64(nil, uint64(end))
			out = binary.BigEndian.AppendUint64(out, 0)
			for _, record := range t.records[from:end] {
				out = binary.BigEndian.AppendUint32(out, uint32(len(record)))
				out = append(out, record...)
			}
			s.mu.Unlock()
			_, _ = w.Write(out)
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) sendNewest(w http.ResponseWriter, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	items := make([]any, 0, len(t.newest))
	var keys []string
	for key := range t.newest {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	for _, key := range keys {
		v := t.newest[key]
		items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(v.value), "offset": v.offset})
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "end": len(t.records)})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
