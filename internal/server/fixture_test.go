package server

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/shoenig/test/must"
	"go.uber.org/goleak"

	"github.com/wigeonsail/wigeonsail/internal/core/configstate"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/settings"
	"github.com/wigeonsail/wigeonsail/internal/standin/engine"
	"github.com/wigeonsail/wigeonsail/internal/standin/platform"
	"github.com/wigeonsail/wigeonsail/internal/standin/service"
	"github.com/wigeonsail/wigeonsail/opconfig"
	fleetplatform "github.com/wigeonsail/wigeonsail/platform"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	testKey    = "test-key"
	testModel  = "draft"
	testDomain = "domain-1"
)

// fixture is a test fixture of a host with stand-ins for the platform, engines and
// services.
type fixture struct {
	t        testing.TB
	server   *Server
	url      string
	client   *http.Client
	engines  []*httptest.Server
	services []*httptest.Server
	store    *service.Store
}

// fixtureOptions sizes a fixture.
type fixtureOptions struct {
	engines  []engine.Options
	services int
	maxBody  int64
}

// newFixture starts a host with the stand-ins of opts.
func newFixture(t testing.TB, opts fixtureOptions) *fixture {
	t.Helper()
	f := &fixture{t: t, store: service.NewStore(), client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2048}}}
	for i, o := range opts.engines {
		o.Name = fmt.Sprintf("engine-%d", i+1)
		o.Models = []model.ModelName{testModel}
		o.Slots = 16
		f.engines = append(f.engines, f.startStandin(engine.New(o).Handler()))
	}
	for i := range opts.services {
		replica := service.New(service.Options{Name: fmt.Sprintf("service-%d", i+1), Store: f.store})
		f.services = append(f.services, f.startStandin(replica.Handler()))
	}
	f.start(opts)
	return f
}

// newBenchFixture starts a host with one engine that the benchmark implements.
func newBenchFixture(b *testing.B, engine http.Handler) *fixture {
	b.Helper()
	f := &fixture{t: b, store: service.NewStore(), client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2048}}}
	f.engines = append(f.engines, f.startStandin(engine))
	f.start(fixtureOptions{})
	return f
}

func (f *fixture) startStandin(handler http.Handler) *httptest.Server {
	srv := httptest.NewServer(handler)
	f.t.Cleanup(srv.Close)
	return srv
}

// start starts a stand-in platform, publishes the configuration, and starts the
// host and waits until it is ready.
func (f *fixture) start(opts fixtureOptions) {
	t := f.t
	log.SetHandler(discard.New())
	platformServer := f.startStandin(platform.New(platform.Options{}))
	f.publish(platformServer.URL)
	s := settings.Default()
	s.Host, s.Domain = "host-1", testDomain
	s.Platform.URL = platformServer.URL
	s.Listen = settings.Listen{Callers: "127.0.0.1:0", Operators: "127.0.0.1:0", Peers: "127.0.0.1:0"}
	s.Peers.Secret = "a-secret-of-the-test"
	if opts.maxBody > 0 {
		s.Limits.MaxBody = opts.maxBody
	}
	srv, err := New(&s, log.Log)
	must.NoError(t, err)
	srv.Start()
	f.server = srv
	f.url = "http://" + srv.CallerAddress()
	t.Cleanup(func() {
		f.client.CloseIdleConnections()
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		must.NoError(t, srv.Shutdown(ctx))
	})
	f.eventually(srv.Ready)
}

// publish appends the configuration to the log of the platform at url.
func (f *fixture) publish(url string) {
	body, err := opconfig.Marshal(f.config())
	must.NoError(f.t, err)
	record := configstate.Record{Schema: configstate.RecordSchema, PublishID: "1", Version: 1, Author: "test", Body: body}
	data, err := record.Encode()
	must.NoError(f.t, err)
	client := fleetplatform.NewStore(fleetplatform.StoreOptions{URL: url, Host: "operator"})
	defer client.Close()
	_, err = client.Append(context.Background(), configstate.Stream, data)
	must.NoError(f.t, err)
}

// config returns a configuration with the engines and services as endpoints.
func (f *fixture) config() *opconfig.Config {
	span := func(d time.Duration) opconfig.Duration { return opconfig.Duration(d) }
	cfg := &opconfig.Config{
		Schema: opconfig.SchemaVersion,
		Classes: []opconfig.Class{
			{Name: "confirmations", Protected: true, Objective: 0.999, FirstToken: span(2 * time.Second), Deadline: span(10 * time.Second), MaxQueued: 100, RetryBudget: 1},
			{Name: "questions", Tier: 1, Idempotent: true, Objective: 0.95, FirstToken: span(2 * time.Second), Deadline: span(10 * time.Second), MaxQueued: 1000, RetryBudget: 1},
		},
		Accounts: []opconfig.Account{{Name: "test", KeyHashes: []string{opconfig.HashKey(testKey)}, Share: 1, DefaultClass: "questions"}},
		Pools: []opconfig.Pool{
			{Name: "advice", Kind: opconfig.KindEngine, Models: []model.ModelName{testModel}},
			{Name: "appointments", Kind: opconfig.KindService},
		},
		Routes: []opconfig.Route{{Path: "/services/appointments/", Class: "confirmations", Pool: "appointments"}},
	}
	add := func(pool model.PoolName, servers []*httptest.Server) {
		for i, srv := range servers {
			cfg.Endpoints = append(cfg.Endpoints, opconfig.Endpoint{
				Name: model.EndpointName(fmt.Sprintf("%s-%d", pool, i+1)), Pool: pool, Domain: testDomain,
				Address: strings.TrimPrefix(srv.URL, "http://"), Room: 1024,
			})
		}
	}
	add("advice", f.engines)
	add("appointments", f.services)
	return cfg
}

// eventually waits until a condition holds.
func (f *fixture) eventually(done func() bool) {
	f.t.Helper()
	deadline := time.After(10 * time.Second)
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	for !done() {
		select {
		case <-deadline:
			f.t.Fatal("condition did not hold within 10 s")
		case <-ticker.C:
		}
	}
}

// setFaults changes the faults of a stand-in.
func (f *fixture) setFaults(srv *httptest.Server, faults any) {
	body, err := json.Marshal(faults)
	must.NoError(f.t, err)
	req, err := http.NewRequest(http.MethodPut, srv.URL+"/admin/faults", bytes.NewReader(body))
	must.NoError(f.t, err)
	res, err := f.client.Do(req)
	must.NoError(f.t, err)
	must.NoError(f.t, res.Body.Close())
}

// stats returns the counts of a stand-in engine.
func (f *fixture) stats(srv *httptest.Server) engine.Stats {
	res, err := f.client.Get(srv.URL + "/admin/stats")
	must.NoError(f.t, err)
	defer res.Body.Close()
	var stats engine.Stats
	must.NoError(f.t, json.NewDecoder(res.Body).Decode(&stats))
	return stats
}

// request returns a POST request to the host with the key of the test account.
func (f *fixture) request(ctx context.Context, path, body string, header http.Header) *http.Request {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, f.url+path, strings.NewReader(body))
	must.NoError(f.t, err)
	for name, values := range header {
		req.Header[name] = values
	}
	req.Header.Set("Authorization", "Bearer "+testKey)
	req.Header.Set("Content-Type", "application/json")
	return req
}

// response is the response as received by a caller.
type response struct {
	status int
	header http.Header
	body   string
	err    error
}

// post sends a request to the host and reads the response.
func (f *fixture) post(path, body string, header http.Header) response {
	res, err := f.client.Do(f.request(context.Background(), path, body, header))
	if err != nil {
		return response{err: err}
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	return response{status: res.StatusCode, header: res.Header, body: string(data), err: err}
}

// chatBody returns the body of a chat call. tag identifies the request in the
// generated text.
func chatBody(tag string, tokens int, stream bool) string {
	return fmt.Sprintf(`{"model":%q,"stream":%t,"max_tokens":%d,"user":%q,"messages":[{"role":"user","content":"x"}]}`, testModel, stream, tokens, tag)
}

// streamedText joins the tokens of a streamed response.
func streamedText(body string) string {
	var out strings.Builder
	for line := range strings.Lines(body) {
		data, ok := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		var event struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
		}
		if !ok || json.Unmarshal([]byte(data), &event) != nil {
			continue
		}
		for _, c := range event.Choices {
			out.WriteString(c.Delta.Content)
		}
	}
	return out.String()
}

// expectedText returns the text that an engine generates for tag with that many
// tokens.
func expectedText(tag string, tokens int) string {
	var out strings.Builder
	for i := range tokens {
		fmt.Fprintf(&out, "%s#%d ", tag, i)
	}
	return out.String()
}
