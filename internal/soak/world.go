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
	// firstKey is the callers' key.
	initialKey = "key-of-club"
	// streamEvents is the number of events of a stream.
	streamEvents = 12
	// readyTimeout bounds the start of all hosts.
	readyTimeout = 15 * time.Second
)

// world is the processes and the stand-ins around them.
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
	// keys are the callers' keys, by the version that added them.
	keys     []string
	sequence int
}

// endpoint is a replica with the link to it.
type endpoint struct {
	*replica.Server
	pool string
	link *cut.Relay
	// address is the link's, listed in the store.
	address string
	// drained is when the store listed it as draining; zero before.
	drained time.Time
}

func newEnvironment(opts Options) (*environment, error) {
	w := &environment{opts: opts, startedAt: time.Now(), store: logstore.New(), keys: []string{initialKey}}
	storeAddress, err := w.startServer(w.store)
	if err != nil {
		return nil, err
	}
	for i := range opts.Services + opts.Engines {
		pool := users.ServicePool
		if i >= opts.Services {
			pool = users.EnginePool
		}
		if err := w.addEndpoint(pool); err != nil {
			return nil, errors.Join(err, w.closeAll())
		}
	}
	w.publish()
	for i := range opts.Hosts {
		link, address, err := w.startRelay(storeAddress)
		if err != nil {
			return nil, errors.Join(err, w.closeAll())
		}
		h, err := newHostProcess(w, i, address, link)
		if err != nil {
			return nil, errors.Join(err, w.closeAll())
		}
		w.hosts = append(w.hosts, h)
	}
	return w, nil
}

// serve serves a handler on a loopback address.
func (w *environment) startServer(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	w.servers = append(w.servers, server)
	go func() {
		// Serve ends when the server is closed.
		_ = server.Serve(listener)
	}()
	return listener.Addr().String(), nil
}

// relay opens a link to an address.
func (w *environment) startRelay(to string) (*cut.Relay, string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	r := cut.New(to)
	w.relays = append(w.relays, r)
	w.listeners = append(w.listeners, listener)
	go func() {
		// Serve ends when the listener is closed.
		_ = r.Serve(listener)
	}()
	return r, listener.Addr().String(), nil
}

// addEndpoint starts a replica and lists it.
func (w *environment) addEndpoint(pool string) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sequence++
	opts := replica.Options{Instance: fmt.Sprintf("i-%d", w.sequence), Slots: 8, Queue: 16, ServiceTime: 3 * time.Millisecond}
	if pool == users.EnginePool {
		opts.Events = streamEvents
	}
	server, err := replica.Start(opts)
	if err != nil {
		return err
	}
	link, address, err := w.startRelay(server.Address())
	if err != nil {
		server.Close()
		return err
	}
	e := &endpoint{Server: server, pool: pool, link: link, address: address}
	w.replicas = append(w.replicas, e)
	w.listEndpoint(e, users.StateReady)
	return nil
}

// list writes an endpoint's entry. The caller holds mu or no one else lists.
func (w *environment) listEndpoint(e *endpoint, state string) {
	users.PutEndpoint(w.store, e.pool, e.Instance(), e.address, state, w.sequence)
}

// drain lists an endpoint as draining, and a new one in its place.
func (w *environment) replaceEndpoint(e *endpoint) error {
	w.mu.Lock()
	e.drained = time.Now()
	w.listEndpoint(e, users.StateDraining)
	w.mu.Unlock()
	return w.addEndpoint(e.pool)
}

// endpoints returns those that were ever listed.
func (w *environment) endpoints() []*endpoint {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]*endpoint(nil), w.replicas...)
}

// publish writes the next configuration, which adds a key.
func (w *environment) publish() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version++
	if w.version > 1 {
		w.keys = append(w.keys, fmt.Sprintf("key-of-version-%d", w.version))
	}
	users.PublishConfig(w.store, users.NewConfig(w.version, w.keys...))
}

// newestKey returns the key that the newest configuration added.
func (w *environment) newestKey() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.keys[len(w.keys)-1]
}

// start starts all hosts and waits until they are ready.
func (w *environment) start(ctx context.Context) error {
	for _, h := range w.hosts {
		if err := h.start(); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, h := range w.hosts {
		for !h.isReady(ctx) {
			if ctx.Err() != nil {
				return fmt.Errorf("host %s is not ready: %w", h.name, ctx.Err())
			}
			sleep(ctx, 20*time.Millisecond)
		}
	}
	return nil
}

func (w *environment) close() {
	if err := w.closeAll(); err != nil {
		w.trace("close: %v", err)
	}
}

func (w *environment) closeAll() error {
	var failed error
	for _, h := range w.hosts {
		h.kill()
	}
	for _, r := range w.relays {
		r.Close()
	}
	for _, l := range w.listeners {
		failed = errors.Join(failed, l.Close())
	}
	for _, e := range w.endpoints() {
		e.Close()
	}
	for _, s := range w.servers {
		failed = errors.Join(failed, s.Close())
	}
	return failed
}
