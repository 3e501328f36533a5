// Package users implements small stand-ins for the operator and the endpoints,
// which write to the platform's store by its published protocol, and for the
// callers of a host.
package users

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/wigeonsail/wigeonsail/internal/standin/logstore"
)

const (
	// Host is the host name of all routes.
	Host = "club.example"
	// Account is the client account that all keys belong to.
	Account = "club"
	// ServicePool is the name of the pool of plain services.
	ServicePool = "appointments"
	// ConfigTopic is the store's topic with the configuration.
	ConfigTopic = "keyed.op"
	// EndpointsTopic is the list of endpoints.
	EndpointsTopic = "keyed.servers"
	// ForeignKey is a key of another writer, in Latin-1.
	ForeignKey = "stock-z\xfcrich-1"
	// ForeignEntry is an entry of a service that no route names.
	ForeignEntry = `{"service":"stock","address":"127.0.0.1:9","zone":"north","version":"7","slots":4,"state":"ready","sequence":1}`
	// EnginePool is the name of the pool of engines.
	EnginePool = "drafts"
)

// States in an endpoint's entry.
const (
	StateReady    = "ready"
	StateDraining = "draining"
)

// NewConfig returns a configuration with a service pool and an engine pool.
// Each has two routes: one whose requests may run only once (confirm, draft),
// and one whose requests may run twice (read, brief).
func NewConfig(version int, keys ...string) map[string]any {
	route := func(name, kind, pool string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": Host, "path_prefix": "/" + name + "/", "kind": kind, "service": pool,
			"timeout_ms": 3000, "target_latency_ms": 300, "priority": 1, "max_attempts": attempts,
			"resumable": name == "brief", "gap_aim_ms": 250,
		}
	}
	return map[string]any{
		"version": version,
		"routes": []any{
			route("confirm", "unsafe", ServicePool, 1),
			route("read", "safe", ServicePool, 2),
			route("draft", "streaming", EnginePool, 1),
			route("brief", "streaming", EnginePool, 2),
		},
		"services": []any{
			map[string]any{"name": ServicePool, "max_connections": 100},
			map[string]any{"name": EnginePool, "max_connections": 100, "engine": map[string]any{"slots": 8, "kv_capacity_tokens": 100000}},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": Account, "api_keys": keys}},
	}
}

// PublishConfig writes a configuration to the store, as the operator does.
func PublishConfig(store *logstore.Server, cfg map[string]any) {
	store.Put(ConfigTopic, "config", mustMarshal(cfg))
}

// PutEndpoint writes an endpoint's entry to the store, as the endpoint does.
// The sequence must grow with each entry.
func PutEndpoint(store *logstore.Server, pool, instance, address, state string, sequence int) {
	PutEndpointIn(store, "north", pool, instance, address, state, sequence)
}

// PutEndpointIn is PutEndpoint for an endpoint in a failure domain.
func PutEndpointIn(store *logstore.Server, domain, pool, instance, address, state string, sequence int) {
	store.Put(EndpointsTopic, instance, mustMarshal(map[string]any{
		"service": pool, "address": address, "zone": domain, "version": "v1", "slots": 8, "state": state, "sequence": sequence, "born": 1,
	}))
}

// mustMarshal encodes a value as JSON. It panics on an error, which can't occur
// for values made of strings, numbers and lists.
func mustMarshal(value map[string]any) []byte {
	out, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return out
}

// NewRequest returns a caller's request to the host at an address, with a
// deadline of 2 s.
func NewRequest(ctx context.Context, method, address, path, body, id, key string) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Host = Host
	req.Header.Set("X-Wigeonsail-Attempt-Id", id)
	req.Header.Set("X-Wigeonsail-Deadline-Ms", "2000")
	req.Header.Set("X-Wigeonsail-Key", key)
	return req, nil
}

// SetModelHeaders adds the headers of a model request with a small prompt.
func SetModelHeaders(req *http.Request) {
	req.Header.Set("X-Wigeonsail-Model", "m")
	req.Header.Set("X-Wigeonsail-Token-Usage", "300,20")
	req.Header.Set("X-Wigeonsail-Prompt-Prefix", "a1:200,b2:100")
}

// IsReady reports whether the host with this readiness address responds that
// callers should use it.
func IsReady(ctx context.Context, address string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/ready", nil)
	if err != nil {
		return false
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer res.Body.Close()
	// The body has no meaning; reading it lets the connection be reused.
	_, _ = io.Copy(io.Discard, res.Body)
	return res.StatusCode == http.StatusOK
}
