package platform

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/adapter/platformhttp/wire"
)

// ask does one call and decodes its answer.
func ask(t *testing.T, s *Server, method, path, body string, into any) int {
	t.Helper()
	w := httptest.NewRecorder()
	s.ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
	if into != nil {
		must.NoError(t, json.Unmarshal(w.Body.Bytes(), into))
	}
	return w.Code
}

func appendOne(t *testing.T, s *Server, stream string) int {
	t.Helper()
	return ask(t, s, http.MethodPost, "/v1/streams/"+stream+"/records", `{"data":"eA=="}`, nil)
}

func readAll(t *testing.T, s *Server, wait string) wire.ReadResponse {
	t.Helper()
	var res wire.ReadResponse
	path := fmt.Sprintf("/v1/streams/s/records?from=0&max=10&wait=%s", wait)
	must.Eq(t, http.StatusOK, ask(t, s, http.MethodGet, path, "", &res))
	return res
}

func TestRetentionByCountAndAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Options{RetainRecords: 3, RetainAge: time.Minute})
		for range 5 {
			must.Eq(t, http.StatusOK, appendOne(t, s, "s"))
		}
		res := readAll(t, s, "0s")
		must.Eq(t, 2, res.Earliest)
		must.Eq(t, 5, res.Next)
		must.Len(t, 3, res.Records)
		must.Eq(t, 2, res.Records[0].Offset)
		time.Sleep(time.Minute + time.Second)
		res = readAll(t, s, "0s")
		must.Eq(t, 5, res.Earliest)
		must.SliceEmpty(t, res.Records)
	})
}

func TestAppendsAreRateLimitedOverAllStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Options{AppendsPerSecond: 100, AppendBurst: 2})
		must.Eq(t, http.StatusOK, appendOne(t, s, "a"))
		must.Eq(t, http.StatusOK, appendOne(t, s, "b"))
		var refused wire.ErrorResponse
		status := ask(t, s, http.MethodPost, "/v1/streams/c/records", `{"data":"eA=="}`, &refused)
		must.Eq(t, http.StatusTooManyRequests, status)
		must.True(t, refused.NotApplied)
		must.Eq(t, 10, refused.RetryAfterMillis)
		time.Sleep(10 * time.Millisecond)
		must.Eq(t, http.StatusOK, appendOne(t, s, "c"))
	})
}

func TestLongPollEndsWithAppendOrTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Options{})
		start := time.Now()
		must.SliceEmpty(t, readAll(t, s, "5s").Records)
		must.Eq(t, 5*time.Second, time.Since(start))
		go func() {
			time.Sleep(time.Second)
			appendOne(t, s, "s")
		}()
		must.Len(t, 1, readAll(t, s, "5s").Records)
		must.Eq(t, 6*time.Second, time.Since(start))
	})
}

func TestOutageEndsLongPoll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Options{})
		start := time.Now()
		go func() {
			time.Sleep(time.Second)
			ask(t, s, http.MethodPost, FaultsPath, `{"outage":true}`, nil)
		}()
		var refused wire.ErrorResponse
		status := ask(t, s, http.MethodGet, "/v1/streams/s/records?from=0&max=1&wait=9s", "", &refused)
		must.Eq(t, http.StatusServiceUnavailable, status)
		must.Eq(t, wire.CodeUnavailable, refused.Code)
		must.Eq(t, time.Second, time.Since(start))
	})
}

func TestHostListLagsAndExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Options{ListLag: 2 * time.Second, ListExpiry: 10 * time.Second})
		announce := func(leaving bool) {
			body := fmt.Sprintf(`{"name":"h1","domain":"d1","leaving":%t}`, leaving)
			must.Eq(t, http.StatusNoContent, ask(t, s, http.MethodPut, "/v1/hosts/h1", body, nil))
		}
		list := func() []wire.Host {
			var res wire.HostsResponse
			must.Eq(t, http.StatusOK, ask(t, s, http.MethodGet, "/v1/hosts", "", &res))
			return res.Hosts
		}
		announce(false)
		must.SliceEmpty(t, list())
		time.Sleep(2 * time.Second)
		must.Eq(t, []wire.Host{{Name: "h1", Domain: "d1"}}, list())
		announce(true)
		must.False(t, list()[0].Leaving)
		time.Sleep(2 * time.Second)
		must.True(t, list()[0].Leaving)
		time.Sleep(11 * time.Second)
		must.SliceEmpty(t, list())
	})
}

func TestWeightStoreIsRateLimited(t *testing.T) {
	s := New(Options{StatsPerSecond: 0.001, StatBurst: 1, Weights: map[string]int64{"org/model": 7}})
	var size wire.WeightResponse
	must.Eq(t, http.StatusOK, ask(t, s, http.MethodGet, "/v1/weights/org/model", "", &size))
	must.Eq(t, 7, size.Bytes)
	must.Eq(t, http.StatusTooManyRequests, ask(t, s, http.MethodGet, "/v1/weights/org/model", "", nil))
}

func TestBadRequestsAreRefused(t *testing.T) {
	s := New(Options{})
	must.Eq(t, http.StatusBadRequest, ask(t, s, http.MethodPost, "/v1/streams/s/records", `{`, nil))
	must.Eq(t, http.StatusBadRequest, ask(t, s, http.MethodGet, "/v1/streams/s/records?from=x&max=1&wait=0s", "", nil))
	must.Eq(t, http.StatusBadRequest, ask(t, s, http.MethodPut, "/v1/hosts/a", `{"name":"b"}`, nil))
	var stats Stats
	must.Eq(t, http.StatusOK, ask(t, s, http.MethodGet, StatsPath, "", &stats))
	must.MapEmpty(t, stats.Appends)
}
