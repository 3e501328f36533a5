package server

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/wigeonsail/wigeonsail/internal/settings"
	"github.com/wigeonsail/wigeonsail/internal/standin/logstore"
	"github.com/wigeonsail/wigeonsail/internal/standin/replica"
	"github.com/wigeonsail/wigeonsail/internal/standin/users"
	"github.com/wigeonsail/wigeonsail/opconfig"
)

// Names of the fixture's configuration.
const (
	fleetKey    = "key-of-club"
	servicePool = users.ServicePool
	enginePool  = users.EnginePool
)

// fleet is a store, replicas and one or more hosts.
type fleet struct {
	t        *testing.T
	store    *logstore.Server
	storeURL string
	replicas map[string]*replica.Server
	sequence int
}

func newFleet(t *testing.T) *fleet {
	f := &fleet{t: t, store: logstore.New(), replicas: make(map[string]*replica.Server)}
	f.storeURL = serveStore(t, f.store)
	return f
}

// serveStore returns the store's address.
func serveStore(t *testing.T, store *logstore.Server) string {
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	t.Cleanup(server.CloseClientConnections)
	return strings.TrimPrefix(server.URL, "http://")
}

// cutOff gives the hosts that start from now on a store that never answers.
func (f *fleet) cutOff() {
	silent := logstore.New()
	silent.SetFault(logstore.FaultNoResponse)
	f.storeURL = serveStore(f.t, silent)
}

// fleetConfig is a configuration of a service and an engine pool.
func fleetConfig(version int, keys ...string) map[string]any {
	return users.NewConfig(version, append([]string{fleetKey}, keys...)...)
}

func (f *fleet) publish(cfg map[string]any) {
	users.PublishConfig(f.store, cfg)
}

// add starts a replica and lists it.
func (f *fleet) add(pool string, opts replica.Options) *replica.Server {
	r, err := replica.Start(opts)
	must.NoError(f.t, err)
	f.t.Cleanup(r.Close)
	f.replicas[opts.Instance] = r
	f.list(pool, r, "ready")
	return r
}

// list writes a replica's entry.
func (f *fleet) list(pool string, r *replica.Server, state string) {
	f.listAt(pool, r.Instance(), r.Address(), state)
}

// listAt writes an entry of an endpoint at an address.
func (f *fleet) listAt(pool, instance, address, state string) {
	f.sequence++
	users.PutEndpoint(f.store, pool, instance, address, state, f.sequence)
}

// deadAddress returns an address that refuses connections. Its port stays taken
// until the test ends, so that no other process serves there meanwhile.
func deadAddress(t *testing.T) string {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	must.NoError(t, err)
	t.Cleanup(func() { must.NoError(t, syscall.Close(fd)) })
	must.NoError(t, syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	name, err := syscall.Getsockname(fd)
	must.NoError(t, err)
	return fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port)
}

// host starts a host.
func (f *fleet) host(name string, seeds ...string) *Gateway {
	s := settings.DefaultGateway()
	s.Host, s.Domain = name, "north"
	s.Listen = settings.GatewayListen{
		Callers: "127.0.0.1:0", Readiness: "127.0.0.1:0", Peers: "127.0.0.1:0", Metrics: "127.0.0.1:0",
	}
	s.Platform.Address = f.storeURL
	s.Platform.ListEvery = opconfig.Duration(20 * time.Millisecond)
	s.Peers.Secret = "secret-of-the-tests"
	s.Peers.Seeds = seeds
	s.Shutdown.Linger = opconfig.Duration(50 * time.Millisecond)
	g, err := NewGateway(&s, &log.Logger{Handler: discard.New()})
	must.NoError(f.t, err)
	g.Start()
	f.t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		// A host that a test has shut down already is shut down again.
		_ = g.Shutdown(ctx)
	})
	return g
}

// readyHost starts a host and waits until it is ready.
func (f *fleet) readyHost(name string, seeds ...string) *Gateway {
	g := f.host(name, seeds...)
	f.eventually(g.Ready)
	return g
}

func (f *fleet) eventually(cond func() bool) {
	f.t.Helper()
	must.Wait(f.t, wait.InitialSuccess(wait.BoolFunc(cond), wait.Timeout(5*time.Second), wait.Gap(5*time.Millisecond)))
}

// fleetAnswer is what a caller gets.
type fleetAnswer struct {
	status int
	header http.Header
	body   string
	// broken says that the answer did not end whole.
	broken bool
}

// send sends a request with a new attempt id.
func (f *fleet) send(g *Gateway, method, path, body string, change func(*http.Request)) fleetAnswer {
	f.t.Helper()
	f.sequence++
	return f.sendAs(g, fmt.Sprintf("id-%d", f.sequence), method, path, body, change)
}

// sendAs sends a request with an attempt id.
func (f *fleet) sendAs(g *Gateway, id, method, path, body string, change func(*http.Request)) fleetAnswer {
	f.t.Helper()
	req, err := users.NewRequest(f.t.Context(), method, g.Address("callers"), path, body, id, fleetKey)
	must.NoError(f.t, err)
	if change != nil {
		change(req)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return fleetAnswer{broken: true}
	}
	defer res.Body.Close()
	got, err := io.ReadAll(res.Body)
	return fleetAnswer{status: res.StatusCode, header: res.Header, body: string(got), broken: err != nil}
}

func (f *fleet) confirm(g *Gateway) fleetAnswer {
	f.t.Helper()
	return f.send(g, http.MethodPost, "/confirm/12?x=1", "referee", nil)
}

// stream asks for a stream on a route.
func (f *fleet) stream(g *Gateway, route string) fleetAnswer {
	f.t.Helper()
	return f.send(g, http.MethodPost, "/"+route+"/1", "prompt", users.SetModelHeaders)
}

// runs counts what all replicas ran.
func (f *fleet) runs() int {
	n := 0
	for _, r := range f.replicas {
		n += len(r.Executions())
	}
	return n
}
