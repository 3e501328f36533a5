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
	// lengthBytes is the size of the length field before each record.
	lengthBytes = 4
	// maxPageItems is the maximum number of items in a page of newest records.
	maxPageItems = 500
	// maxCachedResponses is the number of recent appends per producer and
	// partition whose responses are kept, to respond to retries.
	maxCachedResponses = 5
	maxBodyBytes       = 2 << 20
)

// producer is the state of an idempotent producer in a partition.
type producer struct {
	epoch, sequence int64
	started         bool
	responses       []cachedResponse
}

// cachedResponse is the response to a recent append of a producer.
type cachedResponse struct {
	sequence int64
	response appendResponse
}

// appendResponse is the body of the response to a successful append.
type appendResponse struct {
	Offset uint64 `json:"offset"`
	End    uint64 `json:"end"`
}

// conflictResponse is the body of the response to a refused append.
type conflictResponse struct {
	Reason   string `json:"reason,omitempty"`
	Sequence int64  `json:"sequence,omitempty"`
	End      uint64 `json:"end"`
}

// encodeKeyedRecord encodes a record of a keyed topic: the key's length in one
// byte, the key, and the value.
func encodeKeyedRecord(key string, value []byte) []byte {
	out := append([]byte{byte(len(key))}, key...)
	return append(out, value...)
}

// decodeKeyedRecord decodes a record of a keyed topic. ok is false for a record
// that is too short for its key.
func decodeKeyedRecord(data []byte) (key string, value []byte, ok bool) {
	if len(data) == 0 || int(data[0]) > len(data)-1 {
		return "", nil, false
	}
	end := 1 + int(data[0])
	return string(data[1:end]), data[end:], true
}

// appendRecord appends a record and, in a keyed topic, updates the latest
// record of its key.
func (p *partition) appendRecord(topic string, data []byte) {
	rec := Record{Offset: p.end, Data: slices.Clone(data)}
	p.records = append(p.records, rec)
	p.end++
	if !strings.HasPrefix(topic, keyedPrefix) {
		return
	}
	key, value, ok := decodeKeyedRecord(data)
	switch {
	case !ok:
	case len(value) == 0:
		delete(p.newest, key)
	default:
		p.newest[key] = rec
	}
}

// DecodeRecords splits a request body into records. It returns false if the
// body ends within a record.
func DecodeRecords(body []byte) ([][]byte, bool) {
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

// queryInt returns an integer query parameter, and false if it is missing or
// invalid.
func queryInt(query url.Values, name string) (int64, bool) {
	n, err := strconv.ParseInt(query.Get(name), 10, 64)
	return n, err == nil
}

// append serves an append. It refuses topics that only the operator and the
// replicas write, an expected offset other than the partition's end, and fenced
// or out-of-order producers.
func (s *Server) append(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	topic := query.Get("topic")
	part, _ := queryInt(query, "part")
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	records, whole := DecodeRecords(body)
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
	p := s.getPartition(topic, int(part))
	if at, given := queryInt(query, "at"); given && uint64(at) != p.end {
		writeJSON(w, http.StatusPreconditionFailed, conflictResponse{End: p.end})
		return
	}
	if name := query.Get("producer"); name != "" {
		done, status, body := p.checkProducer(name, query)
		if done {
			writeJSON(w, status, body)
			return
		}
	}
	result := appendResponse{Offset: p.end}
	for _, rec := range records {
		p.appendRecord(topic, rec)
	}
	result.End = p.end
	if name := query.Get("producer"); name != "" && len(records) > 0 {
		p.cacheResponse(name, result)
	}
	s.wakeReaders()
	writeJSON(w, http.StatusOK, result)
}

// checkProducer checks the epoch and sequence of a producer's append. If done,
// the records must not be appended, and status and body are the response: the
// cached one for a retry, or a conflict.
func (p *partition) checkProducer(name string, query url.Values) (done bool, status int, body any) {
	epoch, _ := queryInt(query, "epoch")
	sequence, hasSequence := queryInt(query, "sequence")
	state := p.producers[name]
	if state == nil {
		state = &producer{epoch: epoch}
		p.producers[name] = state
	}
	if epoch < state.epoch {
		return true, http.StatusConflict, conflictResponse{Reason: "fenced", End: p.end}
	}
	if epoch > state.epoch {
		*state = producer{epoch: epoch}
	}
	if !hasSequence {
		return false, 0, nil
	}
	for _, old := range state.responses {
		if old.sequence == sequence {
			return true, http.StatusOK, old.response
		}
	}
	if state.started && sequence != state.sequence+1 {
		return true, http.StatusConflict, conflictResponse{Reason: "seq", Sequence: state.sequence + 1, End: p.end}
	}
	state.started = true
	state.sequence = sequence
	return false, 0, nil
}

// cacheResponse stores the response to a producer's latest append for retries.
func (p *partition) cacheResponse(name string, result appendResponse) {
	state := p.producers[name]
	state.responses = append(state.responses, cachedResponse{sequence: state.sequence, response: result})
	if len(state.responses) > maxCachedResponses {
		state.responses = state.responses[1:]
	}
}

// read serves a long poll: it waits up to wait_ms for a record at or after
// from.
func (s *Server) read(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	part, _ := queryInt(query, "part")
	from, _ := queryInt(query, "from")
	waitMS, _ := queryInt(query, "wait_ms")
	deadline := time.Now().Add(time.Duration(waitMS) * time.Millisecond)
	for {
		s.mu.Lock()
		p := s.getPartition(query.Get("topic"), int(part))
		s.setEraHeader(w)
		if uint64(from) < p.first || uint64(from) > p.end {
			first := p.first
			s.mu.Unlock()
			writeJSON(w, http.StatusGone, map[string]uint64{"first": first})
			return
		}
		if uint64(from) < p.end || !time.Now().Before(deadline) {
			body := p.encodeFrom(uint64(from))
			s.mu.Unlock()
			// A write error means that the client has disconnected.
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

// encodeFrom encodes the response to a read: the end and first offsets, and the
// records from an offset on, each after its length.
func (p *partition) encodeFrom(from uint64) []byte {
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

// newestItem is one key in a page of newest records.
type newestItem struct {
	Key    string `json:"key"`
	Value  []byte `json:"value"`
	Offset uint64 `json:"offset"`
}

// newest serves one page of the latest records of a keyed topic, in order of the
// keys. The page starts after the key in the query.
func (s *Server) newest(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	part, _ := queryInt(query, "part")
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.getPartition(query.Get("topic"), int(part))
	page := struct {
		Items   []newestItem `json:"items"`
		HasMore bool         `json:"has_more"`
		End     uint64       `json:"end"`
	}{Items: []newestItem{}, End: p.end}
	for _, key := range slices.Sorted(maps.Keys(p.newest)) {
		if key <= query.Get("after") && query.Has("after") {
			continue
		}
		if len(page.Items) == maxPageItems {
			page.HasMore = true
			break
		}
		_, value, _ := decodeKeyedRecord(p.newest[key].Data)
		page.Items = append(page.Items, newestItem{Key: key, Value: value, Offset: p.newest[key].Offset})
	}
	writeJSON(w, http.StatusOK, page)
}

// trim drops the records of a partition before an offset.
func (s *Server) trim(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	part, _ := queryInt(query, "part")
	before, given := queryInt(query, "before")
	if !given {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.getPartition(query.Get("topic"), int(part)).dropBefore(uint64(before))
	s.wakeReaders()
	writeJSON(w, http.StatusOK, struct{}{})
}
