package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/standin/logstore"
	"github.com/wigeonsail/wigeonsail/internal/standin/replica"
	"github.com/wigeonsail/wigeonsail/internal/standin/users"
)

type standinUsersCmd struct {
	Listen   string `required:"" placeholder:"HOST:PORT" help:"Address of the store."`
	Services int    `default:"2" help:"Number of plain endpoints."`
	Engines  int    `default:"2" help:"Number of engines."`
	Key      string `default:"club-key" help:"API key of the client account."`
}

// Endpoints of the users' platform: the events of a stream, the requests that run at once,
// and the time of a request or an event.
const (
	standinEvents      = 3
	standinSlots       = 8
	standinServiceTime = 5 * time.Millisecond
)

// Run serves the store until SIGINT or SIGTERM, with a configuration and endpoints. The
// store's address also answers GET /executions, the number of requests by endpoint, and
// PUT /entries/POOL/ENDPOINT/STATE, which lists an endpoint in another state.
func (c standinUsersCmd) Run() error {
	s := usersStandin{store: logstore.New(), replicas: make(map[string]*replica.Server)}
	users.PublishConfig(s.store, users.NewConfig(1, c.Key))
	err := errors.Join(
		s.start(users.ServicePool, c.Services, replica.Options{}),
		s.start(users.EnginePool, c.Engines, replica.Options{Events: standinEvents}),
	)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.Handle("/", s.store)
	mux.HandleFunc("GET /executions", s.serveExecutions)
	mux.HandleFunc("PUT /entries/{pool}/{name}/{state}", s.putEntry)
	return serveStandin("users", c.Listen, mux)
}

// usersStandin are the store and the endpoints by name. The endpoints serve until the
// process ends.
type usersStandin struct {
	store    *logstore.Server
	replicas map[string]*replica.Server
}

// start starts and lists the endpoints of a pool.
func (s *usersStandin) start(pool string, count int, opts replica.Options) error {
	for i := range count {
		opts.Instance, opts.Slots, opts.ServiceTime = fmt.Sprintf("%s-%d", pool, i+1), standinSlots, standinServiceTime
		r, err := replica.Start(opts)
		if err != nil {
			return err
		}
		s.replicas[opts.Instance] = r
		users.PutEndpoint(s.store, pool, opts.Instance, r.Address(), users.StateReady, 1)
	}
	return nil
}

// serveExecutions serves the numbers of requests as JSON.
func (s *usersStandin) serveExecutions(w http.ResponseWriter, _ *http.Request) {
	counts := make(map[string]int)
	for name, r := range s.replicas {
		counts[name] = len(r.Executions())
	}
	// A write error means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(counts)
}

// putEntry lists an endpoint in a state.
func (s *usersStandin) putEntry(w http.ResponseWriter, r *http.Request) {
	listed := s.replicas[r.PathValue("name")]
	if listed == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	users.PutEndpoint(s.store, r.PathValue("pool"), listed.Instance(), listed.Address(), r.PathValue("state"), int(time.Now().UnixNano()))
}
