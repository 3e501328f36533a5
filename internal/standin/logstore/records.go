package logstore

import (
	"encoding/binary"
	"io"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	keyedPrefix = "keyed."
	// lengthBytes is the size of a record's length.
	lengthBytes = 4
	// pageItems bounds a page of newest records.
	pageItems = 500
	// keptRepeats is the number of a producer's appends whose answers are kept.
	keptRepeats = 5
	maxCall     = 2 << 20
)

// producer is the state of a producer in a partition.
type producer struct {
	epoch, sequence int64
	started         bool
	repeats         []repeat
}

type repeat struct {
	sequence int64
	answer   appended
}

// appended is the answer to an append.
type appended struct {
	Offset uint64 `json:"offset"`
	End    uint64 `json:"end"`
}

// conflict is the answer to an append that was refused.
type conflict struct {
	Reason   string `json:"reason,omitempty"`
	Sequence int64  `json:"sequence,omitempty"`
	End      uint64 `json:"end"`
}

// keyedRecord is the content of a record of a keyed topic.
func keyedRecord(key string, value []byte) []byte {
	out := append([]byte{byte(len(key))}, key...)
	return append(out, value...)
}

// splitKeyed takes a record of a keyed topic apart.
func splitKeyed(data []byte) (key string, value []byte, ok bool) {
	if len(data) == 0 || int(data[0]) > len(data)-1 {
		return "", nil, false
	}
	return string(data[1 : 1+data[0]]), data[1+data[0]:], true
}

// add appends a record.
func (p *partition) add(topic string, data []byte) {
	rec := Record{Offset: p.end, Data: slices.Clone(data)}
	p.records = append(p.records, rec)
	p.end++
	if !strings.HasPrefix(topic, keyedPrefix) {
		return
	}
	key, value, ok := splitKeyed(data)
	switch {
	case !ok:
	case len(value) == 0:
		delete(p.newest, key)
	default:
		p.newest[key] = rec
	}
}

// SplitRecords cuts a call's body into records. It returns false for a body that
// ends within one.
func SplitRecords(body []byte) ([][]byte, bool) {
	var out [][]byte
	for len(body) > 0 {
		if len(body) < lengthBytes {
			return nil, false
		}
		size := int(binary.BigEndian.Uint32(body))
		body = body[lengthBytes:]
		if size > len(body) {
			return nil, false
		}
		out = append(out, body[:size])
		body = body[size:]
	}
	return out, true
}

func number(query url.Values, name string) (int64, bool) {
	n, err := strconv.ParseInt(query.Get(name), 10, 64)
	return n, err == nil
}

func (s *Server) append(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	topic := query.Get("topic")
	part, _ := number(query, "part")
	body, err := io.ReadAll(io.LimitReader(r.Body, maxCall))
	records, whole := SplitRecords(body)
	if err != nil || !whole || topic == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if topic == "keyed.op" || topic == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(topic, int(part))
	if at, given := number(query, "at"); given && uint64(at) != p.end {
		answer(w, http.StatusPreconditionFailed, conflict{End: p.end})
		return
	}
	if name := query.Get("producer"); name != "" {
		done, status, body := p.admit(name, query)
		if done {
			answer(w, status, body)
			return
		}
	}
	result := appended{Offset: p.end}
	for _, rec := range records {
		p.add(topic, rec)
	}
	result.End = p.end
	if name := query.Get("producer"); name != "" && len(records) > 0 {
		p.remember(name, result)
	}
	s.wake()
	answer(w, http.StatusOK, result)
}

// admit checks the epoch and sequence of an append. done says that it is
// answered without being appended.
func (p *partition) admit(name string, query url.Values) (done bool, status int, body any) {
	epoch, _ := number(query, "epoch")
	sequence, hasSequence := number(query, "sequence")
	state := p.producers[name]
	if state == nil {
		state = &producer{epoch: epoch}
		p.producers[name] = state
	}
	if epoch < state.epoch {
		return true, http.StatusConflict, conflict{Reason: "fenced", End: p.end}
	}
	if epoch > state.epoch {
		*state = producer{epoch: epoch}
	}
	if !hasSequence {
		return false, 0, nil
	}
	for _, old := range state.repeats {
		if old.sequence == sequence {
			return true, http.StatusOK, old.answer
		}
	}
	if state.started && sequence != state.sequence+1 {
		return true, http.StatusConflict, conflict{Reason: "seq", Sequence: state.sequence + 1, End: p.end}
	}
	state.started = true
	state.sequence = sequence
	return false, 0, nil
}

func (p *partition) remember(name string, result appended) {
	state := p.producers[name]
	state.repeats = append(state.repeats, repeat{sequence: state.sequence, answer: result})
	if len(state.repeats) > keptRepeats {
		state.repeats = state.repeats[1:]
	}
}

func (s *Server) read(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	part, _ := number(query, "part")
	from, _ := number(query, "from")
	waitMS, _ := number(query, "wait_ms")
	deadline := time.Now().Add(time.Duration(waitMS) * time.Millisecond)
	for {
		s.mu.Lock()
		p := s.partition(query.Get("topic"), int(part))
		if uint64(from) < p.first {
			first := p.first
			s.mu.Unlock()
			answer(w, http.StatusGone, map[string]uint64{"first": first})
			return
		}
		if uint64(from) < p.end || !time.Now().Before(deadline) {
			body := p.encode(uint64(from))
			s.mu.Unlock()
			// The caller that does not read the answer has gone.
			_, _ = w.Write(body)
			return
		}
		changed := s.changed
		s.mu.Unlock()
		timer := time.NewTimer(time.Until(deadline))
		select {
		case <-changed:
		case <-timer.C:
		case <-r.Context().Done():
			timer.Stop()
			return
		}
		timer.Stop()
	}
}

// encode returns the records from an offset on in their binary form.
func (p *partition) encode(from uint64) []byte {
	out := binary.BigEndian.AppendUint64(nil, p.end)
	out = binary.BigEndian.AppendUint64(out, p.first)
	for _, rec := range p.records {
		if rec.Offset < from {
			continue
		}
		out = binary.BigEndian.AppendUint32(out, uint32(len(rec.Data)))
		out = append(out, rec.Data...)
	}
	return out
}

// newestItem is a row of an answer about keys.
type newestItem struct {
	Key    string `json:"key"`
	Value  []byte `json:"value"`
	Offset uint64 `json:"offset"`
}

func (s *Server) newest(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	part, _ := number(query, "part")
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(query.Get("topic"), int(part))
	page := struct {
		Items   []newestItem `json:"items"`
		HasMore bool         `json:"has_more"`
		End     uint64       `json:"end"`
	}{Items: []newestItem{}, End: p.end}
	for _, key := range slices.Sorted(maps.Keys(p.newest)) {
		if key <= query.Get("after") && query.Has("after") {
			continue
		}
		if len(page.Items) == pageItems {
			page.HasMore = true
			break
		}
		_, value, _ := splitKeyed(p.newest[key].Data)
		page.Items = append(page.Items, newestItem{Key: key, Value: value, Offset: p.newest[key].Offset})
	}
	answer(w, http.StatusOK, page)
}

func (s *Server) trim(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	part, _ := number(query, "part")
	before, given := number(query, "before")
	if !given {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.partition(query.Get("topic"), int(part)).drop(uint64(before))
	s.wake()
	answer(w, http.StatusOK, struct{}{})
}
