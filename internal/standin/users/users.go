// Package users stands in for those who use the platform by its published
// protocol: the operator and the endpoints, who write to its store, and callers.
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
	// Account is the client account that holds all keys.
	Account = "club"
	// ServicePool is the pool of plain services that routes lead to.
	ServicePool = "appointments"
	// EnginePool is the pool of engines.
	EnginePool = "drafts"
)

// States of an endpoint's entry.
const (
	StateReady    = "ready"
	StateDraining = "draining"
)

// Config is a configuration of a service and an engine pool with four routes: of
// what may run once and of what may run twice at each.
func Config(version int, keys ...string) map[string]any {
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

// Publish writes a configuration as the operator does.
func Publish(store *logstore.Server, cfg map[string]any) {
	store.Put("keyed.op", "config", encode(cfg))
}

// List writes the entry of an endpoint as the endpoint does. The sequence grows
// with each entry.
func List(store *logstore.Server, pool, instance, address, state string, sequence int) {
	store.Put("keyed.servers", instance, encode(map[string]any{
		"service": pool, "address": address, "zone": "north", "slots": 8, "state": state, "sequence": sequence, "born": 1,
	}))
}

// encode writes a record. The values are made of strings, numbers and lists of
// them.
func encode(value map[string]any) []byte {
	out, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return out
}

// NewRequest is a caller's request to the host at an address. The caller waits
// for 2 s.
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

// SetPrompt makes a request one to a model, with a small prompt.
func SetPrompt(req *http.Request) {
	req.Header.Set("X-Wigeonsail-Model", "m")
	req.Header.Set("X-Wigeonsail-Token-Usage", "300,20")
	req.Header.Set("X-Wigeonsail-Prompt-Prefix", "a1:200,b2:100")
}

// Ready asks a host at the address of its readiness whether callers should come.
func Ready(ctx context.Context, address string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/ready", nil)
	if err != nil {
		return false
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer res.Body.Close()
	// The answer's body says nothing.
	_, _ = io.Copy(io.Discard, res.Body)
	return res.StatusCode == http.StatusOK
}
