package server

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"golang.org/x/sync/errgroup"

	"github.com/wigeonsail/wigeonsail/internal/standin/engine"
)

const chatPath = "/v1/chat/completions"

func TestConcurrentCallersGetTheirOwnResponses(t *testing.T) {
	f := newFixture(t, fixtureOptions{engines: []engine.Options{{BetweenTokens: time.Millisecond}, {BetweenTokens: 2 * time.Millisecond}}})
	var group errgroup.Group
	for i := range 60 {
		tag := fmt.Sprintf("caller-%d", i)
		stream := i%2 == 0
		group.Go(func() error {
			r := f.post(chatPath, chatBody(tag, 10+i%7, stream), nil)
			got := r.body
			if stream {
				got = streamedText(r.body)
			}
			if r.err != nil || r.status != http.StatusOK || !strings.Contains(got, expectedText(tag, 10+i%7)) || strings.Count(got, "caller-") != 10+i%7 {
				return fmt.Errorf("%s: status %d, error %w, body %q", tag, r.status, r.err, r.body)
			}
			return nil
		})
	}
	must.NoError(t, group.Wait())
}

func TestBrokenStreamResumesFromLastToken(t *testing.T) {
	f := newFixture(t, fixtureOptions{engines: []engine.Options{{CanResume: true}, {CanResume: true}}})
	f.setFaults(f.engines[0], engine.Faults{CloseAfter: 5})
	for i := range 8 {
		r := f.post(chatPath, chatBody(fmt.Sprint("r", i), 12, true), nil)
		must.NoError(t, r.err)
		must.Eq(t, expectedText(fmt.Sprint("r", i), 12), streamedText(r.body))
		must.StrContains(t, r.body, "[DONE]")
	}
	must.Positive(t, f.stats(f.engines[1]).Resumed)
}

func TestStreamThatCannotResumeEndsWithErrorEvent(t *testing.T) {
	f := newFixture(t, fixtureOptions{engines: []engine.Options{{}}})
	f.setFaults(f.engines[0], engine.Faults{CloseAfter: 5})
	r := f.post(chatPath, chatBody("cut", 12, true), nil)
	must.NoError(t, r.err)
	must.Eq(t, expectedText("cut", 5), streamedText(r.body))
	must.StrContains(t, r.body, "event: error")
	must.StrContains(t, r.body, `"outcome":"unknown"`)
	must.StrNotContains(t, r.body, "[DONE]")
}

func TestFailedAttemptIsRetriedOnAnotherEngine(t *testing.T) {
	for name, faults := range map[string]engine.Faults{
		"garbage":     {Garbage: true},
		"refusal":     {Refuse: true},
		"early close": {CloseAfter: 1},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, fixtureOptions{engines: []engine.Options{{}, {}}})
			f.setFaults(f.engines[0], faults)
			for i := range 6 {
				tag := fmt.Sprint("w", i)
				r := f.post(chatPath, chatBody(tag, 4, false), nil)
				must.NoError(t, r.err)
				must.Eq(t, http.StatusOK, r.status, must.Sprint(r.body))
				must.StrContains(t, r.body, expectedText(tag, 4))
			}
		})
	}
}

func TestSilentEngineTimesOutAtDeadline(t *testing.T) {
	f := newFixture(t, fixtureOptions{engines: []engine.Options{{}}})
	f.setFaults(f.engines[0], engine.Faults{Silent: true})
	r := f.post(chatPath, chatBody("late", 4, false), http.Header{"X-Wigeonsail-Deadline-Ms": {"200"}})
	must.Eq(t, http.StatusGatewayTimeout, r.status)
	must.StrContains(t, r.body, `"code":"deadline_exceeded"`)
	must.StrContains(t, r.body, `"outcome":"unknown"`)
	must.NotEq(t, "", r.header.Get("Retry-After"))
}

func TestCallerDisconnectCancelsEngineRequest(t *testing.T) {
	f := newFixture(t, fixtureOptions{engines: []engine.Options{{BetweenTokens: 5 * time.Millisecond}}})
	ctx, cancel := context.WithCancel(context.Background())
	res, err := f.client.Do(f.request(ctx, chatPath, chatBody("gone", 10000, true), nil))
	must.NoError(t, err)
	_, err = res.Body.Read(make([]byte, 64))
	must.NoError(t, err)
	cancel()
	must.NoError(t, res.Body.Close())
	f.eventually(func() bool { return f.stats(f.engines[0]).Canceled == 1 })
}

func TestSlowReaderDoesNotDelayOtherStreams(t *testing.T) {
	f := newFixture(t, fixtureOptions{engines: []engine.Options{{}}})
	res, err := f.client.Do(f.request(context.Background(), chatPath, chatBody(strings.Repeat("s", 40), 200000, true), nil))
	must.NoError(t, err)
	defer res.Body.Close()
	for i := range 5 {
		r := f.post(chatPath, chatBody(fmt.Sprint("q", i), 5, true), nil)
		must.NoError(t, r.err)
		must.Eq(t, expectedText(fmt.Sprint("q", i), 5), streamedText(r.body))
	}
}

func TestInvalidRequestsReachNoEngine(t *testing.T) {
	f := newFixture(t, fixtureOptions{engines: []engine.Options{{}}, maxBody: 2000})
	for name, c := range map[string]struct {
		body   string
		header http.Header
		status int
		want   string
	}{
		"broken JSON":    {`{"model":`, nil, 400, `"code":"bad_request"`},
		"no messages":    {`{"model":"draft"}`, nil, 400, `"field":"messages"`},
		"unknown model":  {`{"model":"none","messages":[{}]}`, nil, 404, `"code":"unknown_model"`},
		"oversized":      {chatBody(strings.Repeat("x", 3000), 1, false), nil, 413, `"code":"body_too_large"`},
		"unknown class":  {chatBody("x", 1, false), http.Header{"X-Wigeonsail-Class": {"none"}}, 403, `"code":"forbidden"`},
		"wrong deadline": {chatBody("x", 1, false), http.Header{"X-Wigeonsail-Deadline-Ms": {"0"}}, 400, `"code":"bad_request"`},
	} {
		t.Run(name, func(t *testing.T) {
			r := f.post(chatPath, c.body, c.header)
			must.NoError(t, r.err)
			must.Eq(t, c.status, r.status, must.Sprint(r.body))
			must.StrContains(t, r.body, c.want)
			must.StrContains(t, r.body, `"outcome":"not_run"`)
		})
	}
	must.Zero(t, f.stats(f.engines[0]).Started)
}
