package main

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// store is a stand-in for the platform's log service: appends, reads with a long poll, and
// the newest record of each key of a keyed topic. It keeps all records, but for a drill in
// which it comes back from an older copy.
type store struct {
	mu     sync.Mutex
	topics map[string][][]byte
	// era is sent with all answers. It rises with each drill.
	era int
	// away reports that the store resets all calls.
	away bool
	// changed is closed and replaced on each change.
	changed chan struct{}
}

func newStore() *store {
	return &store{topics: make(map[string][][]byte), era: 1, changed: make(chan struct{})}
}

// put appends a record to a keyed topic, as the operator and the replicas do. An empty value
// removes the key.
func (s *store) put(topic, key string, value any) {
	var data []byte
	if value != nil {
		data, _ = json.Marshal(value)
	}
	record := append([]byte{byte(len(key))}, key...)
	s.append(topic, [][]byte{append(record, data...)}, -1)
}

// append adds records. It returns the first offset and the end, and false if the topic does
// not end at the offset at, unless at is negative.
func (s *store) append(topic string, records [][]byte, at int) (first, end int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	first = len(s.topics[topic])
	if at >= 0 && first != at {
		return first, first, false
	}
	s.topics[topic] = append(s.topics[topic], records...)
	s.wake()
	return first, len(s.topics[topic]), true
}

// wake wakes the waiting reads. The caller holds mu.
func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// copyTopics returns a copy of all records.
func (s *store) copyTopics() map[string][][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string][][]byte)
	for topic, records := range s.topics {
		out[topic] = slices.Clone(records)
	}
	return out
}

// leave makes the store reset all calls.
func (s *store) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	s.wake()
}

// restore brings the store back from a copy.
func (s *store) restore(topics map[string][][]byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topics, s.away = topics, false
	s.era++
	s.wake()
}

// state returns the era, and whether the store is away.
func (s *store) state() (era int, away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era, s.away
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	era, away := s.state()
	if away {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Store-Era", strconv.Itoa(era))
	topic := r.URL.Query().Get("topic")
	switch r.Method + " " + r.URL.Path {
	case "POST /v1/log-append":
		s.serveAppend(w, r, topic)
	case "GET /v1/log-read":
		s.serveRead(w, r, topic, era)
	case "GET /v1/log-newest":
		s.serveNewest(w, topic)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request, topic string) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var records [][]byte
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		if n > len(body)-4 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		records = append(records, body[4:4+n])
		body = body[4+n:]
	}
	at := -1
	if text := r.URL.Query().Get("at"); text != "" {
		at, _ = strconv.Atoi(text)
	}
	first, end, ok := s.append(topic, records, at)
	w.Header().Set("Content-Type", "application/json")
	if !ok {
		w.WriteHeader(http.StatusPreconditionFailed)
	}
	_ = json.NewEncoder(w).Encode(map[string]int{"offset": first, "end": end})
}

// serveRead answers a read that came in an era. A drill resets the reads that wait.
func (s *store) serveRead(w http.ResponseWriter, r *http.Request, topic string, era int) {
	from, _ := strconv.Atoi(r.URL.Query().Get("from"))
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		records, changed, interrupted := s.topics[topic], s.changed, s.away || s.era != era
		s.mu.Unlock()
		if interrupted {
			panic(http.ErrAbortHandler)
		}
		if from > len(records) {
			w.Header().Set("Content-Type", "application/json")
			w.WriteHeader(http.StatusGone)
			_ = json.NewEncoder(w).Encode(map[string]int{"first": 0})
			return
		}
		if from < len(records) || wait == 0 {
			writeRecords(w, records, from)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func writeRecords(w http.ResponseWriter, records [][]byte, from int) {
	out := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	out = binary.BigEndian.AppendUint64(out, 0)
	for _, record := range records[from:] {
		out = binary.BigEndian.AppendUint32(out, uint32(len(record)))
		out = append(out, record...)
	}
	_, _ = w.Write(out)
}

func (s *store) serveNewest(w http.ResponseWriter, topic string) {
	type item struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset int    `json:"offset"`
	}
	s.mu.Lock()
	records := s.topics[topic]
	s.mu.Unlock()
	newest := make(map[string]item)
	for i, record := range records {
		n := int(record[0])
		key, value := string(record[1:1+n]), record[1+n:]
		if len(value) == 0 {
			delete(newest, key)
			continue
		}
		newest[key] = item{Key: key, Value: value, Offset: i}
	}
	items := make([]item, 0, len(newest))
	for _, it := range newest {
		items = append(items, it)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "has_more": false, "end": len(records)})
}
