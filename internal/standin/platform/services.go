package platform

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"golang.org/x/time/rate"

	"github.com/wigeonsail/wigeonsail/internal/adapter/weighthttp/wire"
	"github.com/wigeonsail/wigeonsail/internal/standin/logstore"
)

const (
	// maxBodyBytes is the size limit of request bodies.
	maxBodyBytes = 2 << 20
	// maxWait is the maximum duration of a long poll.
	maxWait = 30 * time.Second
	// defaultWeightBytes is the size of models that Options.Weights doesn't
	// list.
	defaultWeightBytes = 8 << 30
)

func (s *Server) appendRecords(w http.ResponseWriter, r *http.Request) {
	topic := r.URL.Query().Get("topic")
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil || topic == "" {
		writeBadRequest(w, "a topic and a body of a bounded size are needed")
		return
	}
	records, ok := logstore.DecodeRecords(body)
	if !ok || len(records) == 0 {
		writeBadRequest(w, "the body holds no whole records")
		return
	}
	if topic == hostsTopic {
		s.announceHosts(w, records)
		return
	}
	if !checkRateLimit(w, s.appendLimit) {
		return
	}
	var first uint64
	for i, record := range records {
		offset := s.streams.append(topic, record)
		if i == 0 {
			first = offset
		}
	}
	if s.faults.takeLostResponse() {
		closeConnection()
	}
	writeJSON(w, appendResponse{Offset: first, End: first + uint64(len(records))})
}

// appendResponse is the body of the response to an append.
type appendResponse struct {
	Offset uint64 `json:"offset"`
	End    uint64 `json:"end"`
}

func (s *Server) readRecords(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, err := strconv.ParseUint(query.Get("from"), 10, 64)
	if err != nil {
		writeBadRequest(w, "from must be an offset")
		return
	}
	waitMS, err := strconv.Atoi(query.Get("wait_ms"))
	if err != nil && query.Has("wait_ms") {
		writeBadRequest(w, "wait_ms must be a number of milliseconds")
		return
	}
	s.longPoll(w, r, from, min(time.Duration(waitMS)*time.Millisecond, maxWait))
}

// longPoll serves a read. It waits up to wait for a record at or after from; a
// change of the injected faults ends the wait.
func (s *Server) longPoll(w http.ResponseWriter, r *http.Request, from uint64, wait time.Duration) {
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	_, changed := s.faults.snapshot()
	go func() {
		select {
		case <-changed:
			cancel()
		case <-ctx.Done():
		}
	}()
	res := s.streams.readWait(ctx, r.URL.Query().Get("topic"), from, wait)
	w.Header().Set(eraHeader, strconv.FormatUint(res.era, 10))
	if !s.checkAvailable(w, r) {
		return
	}
	if from < res.earliest || from > res.next {
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(http.StatusGone)
		_ = json.NewEncoder(w).Encode(map[string]uint64{"first": res.earliest})
		return
	}
	out := binary.BigEndian.AppendUint64(nil, res.next)
	out = binary.BigEndian.AppendUint64(out, res.earliest)
	for _, record := range res.records {
		out = binary.BigEndian.AppendUint32(out, uint32(len(record)))
		out = append(out, record...)
	}
	_, _ = w.Write(out)
}

// hostsTopic is the topic of the host list, which shows changes late.
const hostsTopic = "keyed.wigeonsail-hosts"

// announceHosts stores host entries. Each record is the key's length in one
// byte, the key, and the value.
func (s *Server) announceHosts(w http.ResponseWriter, records [][]byte) {
	for _, record := range records {
		if len(record) == 0 || len(record) < 1+int(record[0]) {
			writeBadRequest(w, "a record has no whole key")
			return
		}
		at := 1 + int(record[0])
		s.hosts.announce(string(record[1:at]), record[at:])
	}
	writeJSON(w, appendResponse{})
}

// newestItem is a key with its latest value.
type newestItem struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
}

func (s *Server) listNewest(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("topic") != hostsTopic {
		writeBadRequest(w, "this stand-in keeps the newest records of one topic")
		return
	}
	state, _ := s.faults.snapshot()
	writeJSON(w, struct {
		Items   []newestItem `json:"items"`
		HasMore bool         `json:"has_more"`
		End     uint64       `json:"end"`
	}{Items: s.hosts.list(state.ListLag.Std())})
}

func (s *Server) getWeights(w http.ResponseWriter, r *http.Request) {
	if !checkRateLimit(w, s.weightLimit) {
		return
	}
	size, ok := s.opts.Weights[r.PathValue("name")]
	if !ok {
		size = defaultWeightBytes
	}
	writeJSON(w, wire.WeightResponse{Bytes: size})
}

// checkRateLimit reports whether the rate limit allows the call, and counts the
// call against the limit if so. If not, it responds with status 429 and the time
// until the next call is allowed.
func checkRateLimit(w http.ResponseWriter, limit *rate.Limiter) bool {
	reservation := limit.Reserve()
	delay := reservation.Delay()
	if delay == 0 {
		return true
	}
	reservation.Cancel()
	w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(delay.Seconds()))))
	writeError(w, http.StatusTooManyRequests, wire.ErrorResponse{
		Code: wire.CodeRateLimited, Message: "rate limit used up", NotApplied: true,
		RetryAfterMillis: max(1, delay.Milliseconds()),
	})
	return false
}

func writeBadRequest(w http.ResponseWriter, message string) {
	writeError(w, http.StatusBadRequest, wire.ErrorResponse{Code: wire.CodeBadRequest, Message: message, NotApplied: true})
}

func writeError(w http.ResponseWriter, status int, body wire.ErrorResponse) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
