package soak

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/standin/cut"
	"github.com/wigeonsail/wigeonsail/internal/standin/logstore"
	"github.com/wigeonsail/wigeonsail/internal/standin/replica"
	"github.com/wigeonsail/wigeonsail/internal/standin/users"
)

const (
	// initialKey is the caller key of the first configuration, which all
	// callers use during the faults.
	initialKey = "key-of-club"
	// streamEvents is the number of events in each stream.
	streamEvents = 12
	// readyTimeout is the time within which all hosts must become ready at the
	// start.
	readyTimeout = 15 * time.Second
)

// environment holds the gateway processes and the stand-ins that they use.
type environment struct {
	opts      Options
	startedAt time.Time
	store     *logstore.Server
	hosts     []*hostProcess
	servers   []*http.Server
	relays    []*cut.Relay
	listeners []net.Listener
	mu        sync.Mutex
	replicas  []*endpoint
	version   int
	// keys are the caller keys, in the order of the versions that added them.
	keys []string
	// sequence is the sequence of the entries that endpoints write to the store.
	sequence int
}

// endpoint is a replica and the relay that hosts connect to it through.
type endpoint struct {
	*replica.Server
	pool string
	link *cut.Relay
	// address is the relay's address, which is listed in the store.
	address string
	// drained is when the endpoint was listed as draining; zero before that.
	drained time.Time
	// leavingSince is when the endpoint began to state in its responses that it is
	// leaving; zero before that.
	leavingSince time.Time
}

// newEnvironment starts the store and the endpoints, publishes the first
// configuration, and writes the hosts' settings. The hosts aren't started yet.
func newEnvironment(opts Options) (*environment, error) {
	env := &environment{opts: opts, startedAt: time.Now(), store: logstore.New(), keys: []string{initialKey}}
	storeAddress, err := env.startServer(env.store)
	if err != nil {
		return nil, err
	}
	for i := range opts.Services + opts.Engines {
		pool := users.ServicePool
		if i >= opts.Services {
			pool = users.EnginePool
		}
		if err := env.addEndpoint(pool); err != nil {
			return nil, errors.Join(err, env.closeAll())
		}
	}
	env.publish()
	for i := range opts.Hosts {
		link, address, err := env.startRelay(storeAddress)
		if err != nil {
			return nil, errors.Join(err, env.closeAll())
		}
		h, err := newHostProcess(env, i, address, link)
		if err != nil {
			return nil, errors.Join(err, env.closeAll())
		}
		env.hosts = append(env.hosts, h)
	}
	return env, nil
}

// startServer serves a handler on a free loopback port and returns its address.
func (env *environment) startServer(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	env.servers = append(env.servers, server)
	go func() {
		// Serve ends when the server is closed.
		_ = server.Serve(listener)
	}()
	return listener.Addr().String(), nil
}

// startRelay starts a relay to an address and returns it with its own address.
func (env *environment) startRelay(to string) (*cut.Relay, string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	r := cut.New(to)
	env.relays = append(env.relays, r)
	env.listeners = append(env.listeners, listener)
	go func() {
		// Serve ends when the listener is closed.
		_ = r.Serve(listener)
	}()
	return r, listener.Addr().String(), nil
}

// addEndpoint starts a replica with a relay and lists it in the store as ready.
func (env *environment) addEndpoint(pool string) error {
	env.mu.Lock()
	defer env.mu.Unlock()
	opts := replica.Options{Instance: fmt.Sprintf("i-%d", len(env.replicas)+1), Slots: 8, Queue: 16, ServiceTime: 3 * time.Millisecond}
	if pool == users.EnginePool {
		opts.Events = streamEvents
	}
	server, err := replica.Start(opts)
	if err != nil {
		return err
	}
	link, address, err := env.startRelay(server.Address())
	if err != nil {
		server.Close()
		return err
	}
	e := &endpoint{Server: server, pool: pool, link: link, address: address}
	env.replicas = append(env.replicas, e)
	env.listEndpoint(e, users.StateReady)
	return nil
}

// leavingSince returns when the endpoint began to state that it is leaving; zero if
// it has not.
func (env *environment) leavingSince(e *endpoint) time.Time {
	env.mu.Lock()
	defer env.mu.Unlock()
	return e.leavingSince
}

// listEndpoint writes an endpoint's entry to the store. The caller holds mu.
func (env *environment) listEndpoint(e *endpoint, state string) {
	env.sequence++
	users.PutEndpoint(env.store, e.pool, e.Instance(), e.address, state, env.sequence)
}

// replaceEndpoint lists an endpoint as draining, and starts and lists a new one
// in its place.
func (env *environment) replaceEndpoint(e *endpoint) error {
	env.mu.Lock()
	e.drained = time.Now()
	env.listEndpoint(e, users.StateDraining)
	env.mu.Unlock()
	return env.addEndpoint(e.pool)
}

// endpoints returns all endpoints that were ever listed.
func (env *environment) endpoints() []*endpoint {
	env.mu.Lock()
	defer env.mu.Unlock()
	return append([]*endpoint(nil), env.replicas...)
}

// publish writes the next version of the configuration, which adds a caller key
// unless it is the first.
func (env *environment) publish() {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.version++
	if env.version > 1 {
		env.keys = append(env.keys, fmt.Sprintf("key-of-version-%d", env.version))
	}
	users.PublishConfig(env.store, users.NewConfig(env.version, env.keys...))
}

// republish writes the configuration and all entries again, as the operator and the
// endpoints do after the store was restored.
func (env *environment) republish() {
	env.mu.Lock()
	defer env.mu.Unlock()
	users.PublishConfig(env.store, users.NewConfig(env.version, env.keys...))
	env.sequence++
	for _, e := range env.replicas {
		state := users.StateReady
		if !e.drained.IsZero() {
			state = users.StateDraining
		}
		env.listEndpoint(e, state)
	}
}

// newestKey returns the caller key that the newest configuration added.
func (env *environment) newestKey() string {
	env.mu.Lock()
	defer env.mu.Unlock()
	return env.keys[len(env.keys)-1]
}

// start starts all hosts and waits until they are ready.
func (env *environment) start(ctx context.Context) error {
	for _, h := range env.hosts {
		if err := h.start(); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, h := range env.hosts {
		for !h.isReady(ctx) {
			if ctx.Err() != nil {
				return fmt.Errorf("host %s is not ready: %w", h.name, ctx.Err())
			}
			sleep(ctx, 20*time.Millisecond)
		}
	}
	return nil
}

func (env *environment) close() {
	if err := env.closeAll(); err != nil {
		env.trace("close: %v", err)
	}
}

// closeAll kills the hosts and closes the stand-ins. It returns all errors.
func (env *environment) closeAll() error {
	var failed error
	for _, h := range env.hosts {
		h.kill()
	}
	for _, r := range env.relays {
		r.Close()
	}
	for _, l := range env.listeners {
		failed = errors.Join(failed, l.Close())
	}
	for _, e := range env.endpoints() {
		e.Close()
	}
	for _, s := range env.servers {
		failed = errors.Join(failed, s.Close())
	}
	return failed
}
