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
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/wigeonsail/wigeonsail/internal/settings"
	"github.com/wigeonsail/wigeonsail/internal/standin/logstore"
	"github.com/wigeonsail/wigeonsail/internal/standin/replica"
	"github.com/wigeonsail/wigeonsail/internal/standin/users"
	"github.com/wigeonsail/wigeonsail/opconfig"
)

// Names in the configuration of the fixture.
const (
	callerKey   = "key-of-club"
	servicePool = users.ServicePool
	enginePool  = users.EnginePool
)

// fleet is a test fixture of a store, replicas and one or more gateways.
type fleet struct {
	t *testing.T
	// store is the stand-in of the platform's log service; storeURL is the address
	// for hosts that start from now on.
	store    *logstore.Server
	storeURL string
	// replicas are the started replicas by instance name.
	replicas map[string]*replica.Server
	// logHandler receives the log of hosts that start from now on. It is printed if the test
	// fails, unless it is replaced.
	logHandler log.Handler
	// configure changes the settings of hosts that start from now on; nil for none.
	configure func(s *settings.Gateway)
	// prepare changes hosts that start from now on before they start; nil for nothing.
	prepare func(g *Gateway)
	// sequence numbers list entries and attempt IDs.
	sequence int
	// memoryMB is the memory of hosts that start from now on; 0 for the default.
	memoryMB int
}

func newFleet(t *testing.T) *fleet {
	f := &fleet{t: t, store: logstore.New(), replicas: make(map[string]*replica.Server), logHandler: newFailureLog(t)}
	f.storeURL = serveStore(t, f.store)
	return f
}

// serveStore serves a store until the test ends and returns its address.
func serveStore(t *testing.T, store *logstore.Server) string {
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	t.Cleanup(server.CloseClientConnections)
	return strings.TrimPrefix(server.URL, "http://")
}

// useSilentStore makes hosts that start from now on use a store that accepts
// requests and never responds.
func (f *fleet) useSilentStore() {
	silent := logstore.New()
	silent.SetFault(logstore.FaultNoResponse)
	f.storeURL = serveStore(f.t, silent)
}

// fleetConfig returns a configuration with a service pool and an engine pool.
func fleetConfig(version int, keys ...string) map[string]any {
	return users.NewConfig(version, append([]string{callerKey}, keys...)...)
}

func (f *fleet) publish(cfg map[string]any) {
	users.PublishConfig(f.store, cfg)
}

// startReplica starts a replica and registers it as ready.
func (f *fleet) startReplica(pool string, opts replica.Options) *replica.Server {
	r := f.runReplica(opts)
	f.register(pool, r, users.StateReady)
	return r
}

// runReplica starts a replica.
func (f *fleet) runReplica(opts replica.Options) *replica.Server {
	r, err := replica.Start(opts)
	must.NoError(f.t, err)
	f.t.Cleanup(r.Close)
	f.replicas[opts.Instance] = r
	return r
}

// startReplicaIn is startReplica in a failure domain.
func (f *fleet) startReplicaIn(domain, pool string, opts replica.Options) {
	r := f.runReplica(opts)
	f.sequence++
	users.PutEndpointIn(f.store, domain, pool, r.Instance(), r.Address(), users.StateReady, f.sequence)
}

// register writes the list entry of a replica.
func (f *fleet) register(pool string, r *replica.Server, state string) {
	f.registerAt(pool, r.Instance(), r.Address(), state)
}

// registerAt writes a list entry of an endpoint with an address.
func (f *fleet) registerAt(pool, instance, address, state string) {
	f.sequence++
	users.PutEndpoint(f.store, pool, instance, address, state, f.sequence)
}

// deadAddress returns an address that refuses connections. Its port stays bound
// until the test ends, so that no other process can listen on it.
func deadAddress(t *testing.T) string {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	must.NoError(t, err)
	t.Cleanup(func() { must.NoError(t, syscall.Close(fd)) })
	must.NoError(t, syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	name, err := syscall.Getsockname(fd)
	must.NoError(t, err)
	return fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port)
}

// startHost starts a gateway with the peer addresses of other hosts as seeds.
func (f *fleet) startHost(name string, seeds ...string) *Gateway {
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
	if f.memoryMB > 0 {
		s.Limits.Memory = f.memoryMB
	}
	if f.configure != nil {
		f.configure(&s)
	}
	g, err := NewGateway(&s, &log.Logger{Handler: f.logHandler})
	must.NoError(f.t, err)
	if f.prepare != nil {
		f.prepare(g)
	}
	g.Start()
	f.t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		// The error is ignored since a test may have shut down the host already.
		_ = g.Shutdown(ctx)
	})
	return g
}

// startReadyHost starts a gateway and waits until it is ready.
func (f *fleet) startReadyHost(name string, seeds ...string) *Gateway {
	g := f.startHost(name, seeds...)
	f.eventually(g.Ready)
	return g
}

func (f *fleet) eventually(cond func() bool) {
	f.t.Helper()
	f.within(5*time.Second, cond)
}

// within waits for a condition that takes longer than others to hold.
func (f *fleet) within(limit time.Duration, cond func() bool) {
	f.t.Helper()
	must.Wait(f.t, wait.InitialSuccess(wait.BoolFunc(cond), wait.Timeout(limit), wait.Gap(5*time.Millisecond)))
}

// fleetResponse is the response as received by a caller.
type fleetResponse struct {
	status int
	header http.Header
	body   string
	// truncated is true if there was no response or its body was incomplete.
	truncated bool
	// closes is true if the host closes the connection after the response.
	closes bool
	// unread is true if the connection was closed with bytes that the host had not read.
	unread bool
}

// send sends a request with a new attempt ID.
func (f *fleet) send(g *Gateway, method, path, body string, change func(*http.Request)) fleetResponse {
	f.t.Helper()
	f.sequence++
	return f.sendAs(g, fmt.Sprintf("id-%d", f.sequence), method, path, body, change)
}

// sendAs sends a request with the given attempt ID.
func (f *fleet) sendAs(g *Gateway, id, method, path, body string, change func(*http.Request)) fleetResponse {
	f.t.Helper()
	return f.sendWith(http.DefaultClient, g, id, method, path, body, change)
}

// sendWith is sendAs with the connections of a client.
func (f *fleet) sendWith(client *http.Client, g *Gateway, id, method, path, body string, change func(*http.Request)) fleetResponse {
	f.t.Helper()
	req, err := users.NewRequest(f.t.Context(), method, g.Address("callers"), path, body, id, callerKey)
	must.NoError(f.t, err)
	if change != nil {
		change(req)
	}
	res, err := client.Do(req)
	if err != nil {
		return fleetResponse{truncated: true}
	}
	defer res.Body.Close()
	got, err := io.ReadAll(res.Body)
	return fleetResponse{status: res.StatusCode, header: res.Header, body: string(got), truncated: err != nil, closes: res.Close}
}

// postConfirm sends a request on the non-idempotent route.
func (f *fleet) postConfirm(g *Gateway) fleetResponse {
	f.t.Helper()
	return f.send(g, http.MethodPost, "/confirm/12?x=1", "referee", nil)
}

// postStream requests a stream on a route.
func (f *fleet) postStream(g *Gateway, route string) fleetResponse {
	f.t.Helper()
	return f.send(g, http.MethodPost, "/"+route+"/1", "prompt", users.SetModelHeaders)
}

// totalRuns returns the number of requests that all replicas have run.
func (f *fleet) totalRuns() int {
	n := 0
	for _, r := range f.replicas {
		n += len(r.Executions())
	}
	return n
}
