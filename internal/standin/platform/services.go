package platform

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"golang.org/x/time/rate"

	"github.com/wigeonsail/wigeonsail/internal/adapter/platformhttp/wire"
)

const (
	// maxBodyBytes bounds a request's body; base64 adds a third to a record.
	maxBodyBytes = 2 << 20
	// maxReadRecords bounds the records of one read.
	maxReadRecords = 1000
	// maxWait bounds the wait of one read.
	maxWait = 30 * time.Second
	// defaultWeightBytes is the size of a model that Options does not list.
	defaultWeightBytes = 8 << 30
)

func (s *Server) appendRecord(w http.ResponseWriter, r *http.Request) {
	var req wire.AppendRequest
	if !decode(w, r, &req) {
		return
	}
	if !allow(w, s.appends) {
		return
	}
	offset := s.streams.append(r.PathValue("stream"), req.Data)
	if s.faults.takeLostAnswer() {
		closeConnection()
	}
	answer(w, wire.AppendResponse{Offset: offset})
}

func (s *Server) readRecords(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, err := strconv.ParseUint(query.Get(wire.FromParam), 10, 64)
	if err != nil {
		refuseBad(w, wire.FromParam+" must be an offset")
		return
	}
	limit, err := strconv.Atoi(query.Get(wire.MaxParam))
	if err != nil || limit < 1 {
		refuseBad(w, wire.MaxParam+" must be a number of records from 1")
		return
	}
	wait, err := time.ParseDuration(query.Get(wire.WaitParam))
	if err != nil {
		refuseBad(w, wire.WaitParam+" must be a duration")
		return
	}
	s.longPoll(w, r, from, min(limit, maxReadRecords), min(wait, maxWait))
}

// longPoll answers a read. A fault that is switched on meanwhile ends the
// wait.
func (s *Server) longPoll(w http.ResponseWriter, r *http.Request, from uint64, limit int, wait time.Duration) {
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
	res := s.streams.readWait(ctx, r.PathValue("stream"), from, limit, wait)
	if s.isServed(w, r) {
		answer(w, res)
	}
}

func (s *Server) listHosts(w http.ResponseWriter, _ *http.Request) {
	state, _ := s.faults.snapshot()
	answer(w, wire.HostsResponse{Hosts: s.hosts.list(state.ListLag.Std())})
}

func (s *Server) announceHost(w http.ResponseWriter, r *http.Request) {
	var host wire.Host
	if !decode(w, r, &host) {
		return
	}
	if host.Name != r.PathValue("name") {
		refuseBad(w, "name must be the name in the path")
		return
	}
	s.hosts.announce(host)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) statWeights(w http.ResponseWriter, r *http.Request) {
	if !allow(w, s.stats) {
		return
	}
	size, ok := s.opts.Weights[r.PathValue("name")]
	if !ok {
		size = defaultWeightBytes
	}
	answer(w, wire.WeightResponse{Bytes: size})
}

// allow takes one call from the limit, or refuses it with the time until the
// next is allowed.
func allow(w http.ResponseWriter, limit *rate.Limiter) bool {
	reservation := limit.Reserve()
	delay := reservation.Delay()
	if delay == 0 {
		return true
	}
	reservation.Cancel()
	w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(delay.Seconds()))))
	refuse(w, http.StatusTooManyRequests, wire.ErrorResponse{
		Code: wire.CodeRateLimited, Message: "rate limit used up", NotApplied: true,
		RetryAfterMillis: max(1, delay.Milliseconds()),
	})
	return false
}

func decode(w http.ResponseWriter, r *http.Request, into any) bool {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		refuse(w, http.StatusRequestEntityTooLarge, wire.ErrorResponse{
			Code: wire.CodeTooLarge, Message: "body over " + strconv.Itoa(maxBodyBytes) + " bytes", NotApplied: true,
		})
		return false
	}
	if err != nil {
		refuseBad(w, "body: "+err.Error())
		return false
	}
	if err := json.Unmarshal(body, into); err != nil {
		refuseBad(w, "body: "+err.Error())
		return false
	}
	return true
}

func refuseBad(w http.ResponseWriter, message string) {
	refuse(w, http.StatusBadRequest, wire.ErrorResponse{Code: wire.CodeBadRequest, Message: message, NotApplied: true})
}

func refuse(w http.ResponseWriter, status int, body wire.ErrorResponse) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func answer(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
