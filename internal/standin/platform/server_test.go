package platform

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/adapter/weighthttp/wire"
)

// doRequest sends a request to s and returns the response status. If into isn't
// nil, it decodes the body into it.
func doRequest(t *testing.T, s *Server, method, path, body string, into any) int {
	t.Helper()
	w := httptest.NewRecorder()
	s.ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
	if into != nil {
		must.NoError(t, json.Unmarshal(w.Body.Bytes(), into))
	}
	return w.Code
}

// oneRecord is the request body of an append of the single record "x".
const oneRecord = "\x00\x00\x00\x01x"

func appendOne(t *testing.T, s *Server, stream string) int {
	t.Helper()
	return doRequest(t, s, http.MethodPost, "/v1/log-append?part=0&topic="+stream, oneRecord, nil)
}

// readResult is a decoded response to a read.
type readResult struct {
	status         int
	next, earliest uint64
	records        int
}

func readFrom(t *testing.T, s *Server, from, waitMS int) readResult {
	t.Helper()
	w := httptest.NewRecorder()
	path := fmt.Sprintf("/v1/log-read?topic=s&part=0&from=%d&wait_ms=%d", from, waitMS)
	s.ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
	body := w.Body.Bytes()
	if w.Code != http.StatusOK {
		return readResult{status: w.Code}
	}
	must.Eq(t, 0, (len(body)-16)%len(oneRecord))
	return readResult{
		status: w.Code, next: binary.BigEndian.Uint64(body), earliest: binary.BigEndian.Uint64(body[8:]),
		records: (len(body) - 16) / len(oneRecord),
	}
}

func TestRetentionByCountAndAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Options{RetainRecords: 3, RetainAge: time.Minute})
		for range 5 {
			must.Eq(t, http.StatusOK, appendOne(t, s, "s"))
		}
		must.Eq(t, http.StatusGone, readFrom(t, s, 0, 0).status)
		must.Eq(t, readResult{status: http.StatusOK, next: 5, earliest: 2, records: 3}, readFrom(t, s, 2, 0))
		time.Sleep(time.Minute + time.Second)
		must.Eq(t, http.StatusGone, readFrom(t, s, 2, 0).status)
		must.Eq(t, readResult{status: http.StatusOK, next: 5, earliest: 5}, readFrom(t, s, 5, 0))
	})
}

func TestAppendRateLimitSpansStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Options{AppendsPerSecond: 100, AppendBurst: 2})
		must.Eq(t, http.StatusOK, appendOne(t, s, "a"))
		must.Eq(t, http.StatusOK, appendOne(t, s, "b"))
		var refused wire.ErrorResponse
		status := doRequest(t, s, http.MethodPost, "/v1/log-append?part=0&topic=c", oneRecord, &refused)
		must.Eq(t, http.StatusTooManyRequests, status)
		must.True(t, refused.NotApplied)
		must.Eq(t, 10, refused.RetryAfterMillis)
		time.Sleep(10 * time.Millisecond)
		must.Eq(t, http.StatusOK, appendOne(t, s, "c"))
	})
}

func TestLongPollEndsOnAppendOrTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Options{})
		start := time.Now()
		must.Eq(t, 0, readFrom(t, s, 0, 5000).records)
		must.Eq(t, 5*time.Second, time.Since(start))
		go func() {
			time.Sleep(time.Second)
			appendOne(t, s, "s")
		}()
		must.Eq(t, 1, readFrom(t, s, 0, 5000).records)
		must.Eq(t, 6*time.Second, time.Since(start))
	})
}

func TestOutageEndsLongPoll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Options{})
		start := time.Now()
		go func() {
			time.Sleep(time.Second)
			doRequest(t, s, http.MethodPost, FaultsPath, `{"outage":true}`, nil)
		}()
		var refused wire.ErrorResponse
		status := doRequest(t, s, http.MethodGet, "/v1/log-read?topic=s&part=0&from=0&wait_ms=9000", "", &refused)
		must.Eq(t, http.StatusServiceUnavailable, status)
		must.Eq(t, wire.CodeUnavailable, refused.Code)
		must.Eq(t, time.Second, time.Since(start))
	})
}

func TestHostListLagsAndExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Options{ListLag: 2 * time.Second, ListExpiry: 10 * time.Second})
		announce := func(value string) {
			record := append([]byte("\x02h1"), value...)
			body := append(binary.BigEndian.AppendUint32(nil, uint32(len(record))), record...)
			must.Eq(t, http.StatusOK, doRequest(t, s, http.MethodPost, "/v1/log-append?part=0&topic="+hostsTopic, string(body), nil))
		}
		list := func() []newestItem {
			var res struct {
				Items []newestItem `json:"items"`
			}
			must.Eq(t, http.StatusOK, doRequest(t, s, http.MethodGet, "/v1/log-newest?part=0&topic="+hostsTopic, "", &res))
			return res.Items
		}
		announce("here")
		must.SliceEmpty(t, list())
		time.Sleep(2 * time.Second)
		must.Eq(t, []newestItem{{Key: "h1", Value: []byte("here")}}, list())
		announce("leaving")
		must.Eq(t, "here", string(list()[0].Value))
		time.Sleep(2 * time.Second)
		must.Eq(t, "leaving", string(list()[0].Value))
		time.Sleep(11 * time.Second)
		must.SliceEmpty(t, list())
	})
}

func TestWeightStoreIsRateLimited(t *testing.T) {
	s := New(Options{WeightCallsPerSecond: 0.001, WeightCallBurst: 1, Weights: map[string]int64{"org/model": 7}})
	var size wire.WeightResponse
	must.Eq(t, http.StatusOK, doRequest(t, s, http.MethodGet, "/v1/weights/org/model", "", &size))
	must.Eq(t, 7, size.Bytes)
	must.Eq(t, http.StatusTooManyRequests, doRequest(t, s, http.MethodGet, "/v1/weights/org/model", "", nil))
}

func TestMalformedRequestsReturn400(t *testing.T) {
	s := New(Options{})
	must.Eq(t, http.StatusBadRequest, doRequest(t, s, http.MethodPost, "/v1/log-append?part=0&topic=s", `{`, nil))
	must.Eq(t, http.StatusBadRequest, doRequest(t, s, http.MethodPost, "/v1/log-append?part=0", oneRecord, nil))
	must.Eq(t, http.StatusBadRequest, doRequest(t, s, http.MethodGet, "/v1/log-read?topic=s&part=0&from=x", "", nil))
	must.Eq(t, http.StatusBadRequest, doRequest(t, s, http.MethodPost, "/v1/log-append?part=0&topic="+hostsTopic, "\x00\x00\x00\x01\x09", nil))
	var stats Stats
	must.Eq(t, http.StatusOK, doRequest(t, s, http.MethodGet, StatsPath, "", &stats))
	must.MapEmpty(t, stats.Appends)
}
