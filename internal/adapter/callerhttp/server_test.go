package callerhttp

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/goleak"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeRouter serves all model and service calls by its complete function.
type fakeRouter struct {
	complete func(ctx context.Context, req port.CallerRequest, w port.CallerResponseWriter) error
	ready    bool
}

func (f *fakeRouter) Authenticate(key string) (model.AccountName, error) {
	if key != "good" {
		return "", unauthorized()
	}
	return "account", nil
}

func (f *fakeRouter) Complete(ctx context.Context, req port.CallerRequest, w port.CallerResponseWriter) error {
	return f.complete(ctx, req, w)
}

func (f *fakeRouter) Serve(ctx context.Context, req port.CallerRequest, w port.CallerResponseWriter) error {
	return f.complete(ctx, req, w)
}

func (f *fakeRouter) Models(model.AccountName) []model.ModelName { return []model.ModelName{"draft"} }

func (f *fakeRouter) IssueTicket(context.Context, model.AccountName) (port.Ticket, error) {
	return port.Ticket{Text: "ticket", Expires: time.Unix(1, 0)}, nil
}

func (f *fakeRouter) Ready() bool { return f.ready }

func serve(t *testing.T, router port.Router) *httptest.Server {
	srv, err := New(Options{Router: router, MaxBody: 1 << 10})
	must.NoError(t, err)
	out := httptest.NewServer(srv.Handler())
	t.Cleanup(out.Close)
	return out
}

const streamBody = `{"model":"draft","stream":true,"messages":[{}]}`

// post sends a body and passes the response to read.
func post(t *testing.T, url, body string, read func(res *http.Response)) {
	req, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	must.NoError(t, err)
	req.Header.Set("Authorization", "Bearer good")
	req.Header.Set("Content-Type", "application/json")
	res, err := http.DefaultClient.Do(req)
	must.NoError(t, err)
	defer res.Body.Close()
	read(res)
}

// TestEachEventIsFlushedSeparately sends each event only after the caller has
// read the previous one, so it hangs if events are buffered.
func TestEachEventIsFlushedSeparately(t *testing.T) {
	next := make(chan struct{})
	router := &fakeRouter{complete: func(_ context.Context, _ port.CallerRequest, w port.CallerResponseWriter) error {
		must.NoError(t, w.Start(http.StatusOK, nil))
		for _, text := range []string{"one", "two", "three"} {
			must.NoError(t, w.WriteEvent([]byte(text), 1))
			<-next
		}
		return nil
	}}
	post(t, serve(t, router).URL+"/v1/chat/completions", streamBody, func(res *http.Response) {
		lines := bufio.NewReader(res.Body)
		for _, text := range []string{"one", "two", "three"} {
			line, err := lines.ReadString('\n')
			must.NoError(t, err)
			must.Eq(t, "data: "+text+"\n", line)
			_, err = lines.ReadString('\n')
			must.NoError(t, err)
			next <- struct{}{}
		}
	})
}

func TestRequestBodyIsPassedOnUnchanged(t *testing.T) {
	const body = `{"model": "draft",  "messages":[ {"b":1, "a":2.50} ], "x": null}`
	var got port.CallerRequest
	router := &fakeRouter{complete: func(_ context.Context, req port.CallerRequest, w port.CallerResponseWriter) error {
		got = req
		return w.Start(http.StatusOK, nil)
	}}
	post(t, serve(t, router).URL+"/v1/chat/completions", body, func(*http.Response) {})
	must.Eq(t, body, string(got.Body))
	must.Eq(t, model.ModelName("draft"), got.Model)
	must.Eq(t, model.AccountName("account"), got.Account)
}

func TestIncompleteResponseAbortsConnection(t *testing.T) {
	router := &fakeRouter{complete: func(_ context.Context, _ port.CallerRequest, w port.CallerResponseWriter) error {
		must.NoError(t, w.Start(http.StatusOK, http.Header{"Content-Type": {"text/plain"}}))
		must.NoError(t, w.WriteBody([]byte("half")))
		return &port.RequestError{Code: port.CodeEndpointFailed, Status: http.StatusBadGateway}
	}}
	post(t, serve(t, router).URL+"/services/x/y", "{}", func(res *http.Response) {
		_, err := io.ReadAll(res.Body)
		must.Error(t, err)
	})
}

func TestErrorResponseHasRetryAfter(t *testing.T) {
	router := &fakeRouter{complete: func(context.Context, port.CallerRequest, port.CallerResponseWriter) error {
		return &port.RequestError{
			Code: port.CodeOverloaded, Status: http.StatusServiceUnavailable, Message: "full",
			Outcome: model.OutcomeNotRun, RetryAfter: 1200 * time.Millisecond,
		}
	}}
	post(t, serve(t, router).URL+"/v1/chat/completions", streamBody, func(res *http.Response) {
		body, err := io.ReadAll(res.Body)
		must.NoError(t, err)
		must.Eq(t, http.StatusServiceUnavailable, res.StatusCode)
		must.Eq(t, "2", res.Header.Get("Retry-After"))
		must.StrContains(t, string(body), `"retry_after":2`)
		must.StrContains(t, string(body), `"outcome":"not_run"`)
		must.StrContains(t, string(body), res.Header.Get("X-Request-Id"))
	})
}

func TestReadinessReflectsRouter(t *testing.T) {
	for ready, want := range map[bool]int{true: http.StatusOK, false: http.StatusServiceUnavailable} {
		res, err := http.Get(serve(t, &fakeRouter{ready: ready}).URL + "/readyz")
		must.NoError(t, err)
		must.NoError(t, res.Body.Close())
		must.Eq(t, want, res.StatusCode)
	}
}

func TestShutdownAnswersARequestThatIsBeingReceived(t *testing.T) {
	srv, err := New(Options{Router: &fakeRouter{}, MaxBody: 1 << 10})
	must.NoError(t, err)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	served := make(chan error, 1)
	go func() { served <- srv.Serve(listener) }()
	conn, err := net.Dial("tcp", listener.Addr().String())
	must.NoError(t, err)
	defer conn.Close()
	const request = "GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n"
	reader := bufio.NewReader(conn)
	get := func(part string) error {
		_, _ = io.WriteString(conn, part)
		res, err := http.ReadResponse(reader, nil)
		if err != nil {
			return err
		}
		_, err = io.Copy(io.Discard, res.Body)
		return errors.Join(err, res.Body.Close())
	}
	must.NoError(t, get(request))
	_, err = io.WriteString(conn, request[:20])
	must.NoError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- srv.Shutdown(ctx) }()
	must.NoError(t, <-served)
	must.NoError(t, get(request[20:]))
	must.NoError(t, <-ended)
}
