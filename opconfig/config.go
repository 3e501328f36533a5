// Package opconfig is the library with which operators create a configuration:
// request classes, client accounts, pools, endpoints and routes. A program builds
// a Config, checks it with Validate and prints it with Marshal; `wigeonsail config
// publish` publishes the printed file.
package opconfig

import (
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// SchemaVersion is the version of the configuration schema.
const SchemaVersion = 1

// Config is a complete configuration.
type Config struct {
	// Schema is SchemaVersion.
	Schema int `toml:"schema"`
	// Classes are the request classes.
	Classes []Class `toml:"class"`
	// Accounts are the client accounts.
	Accounts []Account `toml:"account"`
	// Pools are the sets of interchangeable endpoints.
	Pools []Pool `toml:"pool"`
	// Endpoints are the replicas in all failure domains.
	Endpoints []Endpoint `toml:"endpoint"`
	// Routes assign requests to a class and a pool.
	Routes []Route `toml:"route"`
}

// Class is a request class with its service level and priority.
type Class struct {
	Name model.ClassName `toml:"name"`
	// Tier is the priority of the class; 0 is served first.
	Tier model.Tier `toml:"tier"`
	// Floor is the share of a pool's room, from 0 to 1, that the class may use
	// even while higher tiers have work.
	Floor float64 `toml:"floor"`
	// FirstToken is the latency target to the first token or, for plain
	// services, to the whole answer.
	FirstToken Duration `toml:"first_token"`
	// BetweenTokens is the latency target between tokens; 0 for none.
	BetweenTokens Duration `toml:"between_tokens"`
	// Objective is the share of requests, above 0 and below 1, that must meet the
	// targets.
	Objective float64 `toml:"objective"`
	// Deadline is the time limit of a request whose caller sets none.
	Deadline Duration `toml:"deadline"`
	// Protected classes are never shed or preempted for unprotected ones.
	Protected bool `toml:"protected"`
	// Idempotent means that a request may run more than once.
	Idempotent bool `toml:"idempotent"`
	// Preemptible classes are preempted by higher tiers on endpoints that can
	// resume: completely by protected classes, down to their floor by others.
	// Only idempotent classes are preempted.
	Preemptible bool `toml:"preemptible"`
	// Headroom is the share of a pool's room, from 0 to 1, that is kept free
	// for this class.
	Headroom float64 `toml:"headroom"`
	// MaxQueued bounds the number of queued requests of one account in this class.
	MaxQueued int `toml:"max_queued"`
	// RetryBudget is the allowed number of retries as a share of first attempts.
	RetryBudget float64 `toml:"retry_budget"`
}

// Account is a client account.
type Account struct {
	Name model.AccountName `toml:"name"`
	// KeyHashes are the hex SHA-256 digests of the account's keys.
	KeyHashes []string `toml:"key_hashes"`
	// Share is the weight of the account among those of a class; at least 1.
	Share int `toml:"share"`
	// DefaultClass is used if neither route nor header names a class.
	DefaultClass model.ClassName `toml:"default_class,omitempty"`
	// Classes restricts the account to these classes; empty allows all.
	Classes []model.ClassName `toml:"classes,omitempty"`
	// Limits bound the account by class across all hosts.
	Limits []Limit `toml:"limit,omitempty"`
}

// Limit bounds one account in one class across all hosts.
type Limit struct {
	Class model.ClassName `toml:"class"`
	// RequestsPerSecond bounds the request rate; 0 for no limit.
	RequestsPerSecond float64 `toml:"requests_per_second"`
	// Burst is the number of requests that may arrive at once.
	Burst int `toml:"burst"`
	// TokensInFlight bounds the tokens of requests in progress; 0 for no limit.
	TokensInFlight int `toml:"tokens_in_flight"`
}

// PoolKind distinguishes pools of model engines from pools of plain services.
type PoolKind string

// The kinds of pools.
const (
	// KindEngine is a pool of model engines.
	KindEngine PoolKind = "engine"
	// KindService is a pool of plain services.
	KindService PoolKind = "service"
)

// Pool is a set of interchangeable endpoints.
type Pool struct {
	Name model.PoolName `toml:"name"`
	Kind PoolKind       `toml:"kind"`
	// Models are the models that an engine pool serves.
	Models []model.ModelName `toml:"models,omitempty"`
	// Deduplicates means that the service itself runs each idempotency key at most
	// once.
	Deduplicates bool `toml:"deduplicates,omitempty"`
	// ChecksFencing means that the endpoints reject a stale fencing number.
	ChecksFencing bool `toml:"checks_fencing,omitempty"`
}

// Endpoint is one replica of a pool.
type Endpoint struct {
	Name model.EndpointName `toml:"name"`
	Pool model.PoolName     `toml:"pool"`
	// Domain is the failure domain of the endpoint.
	Domain model.DomainName `toml:"domain"`
	// Address is the address of the endpoint as host:port.
	Address string `toml:"address"`
	// Room is the initial estimate of how many requests the endpoint serves
	// concurrently. Hosts adjust it at run time.
	Room int `toml:"room"`
	// Role is the wanted role of an engine, for example "prefill"; empty leaves
	// the role unchanged.
	Role string `toml:"role,omitempty"`
	// Leaving endpoints receive no new requests.
	Leaving bool `toml:"leaving,omitempty"`
}

// Route assigns requests under a path to a class and a pool.
type Route struct {
	// Path is a path prefix, for example "/services/appointments/".
	Path string `toml:"path"`
	// Methods restricts the route to these HTTP methods; empty allows all.
	Methods []string `toml:"methods,omitempty"`
	// Class is the class of the route's requests; empty means the class of the
	// header or the account's default.
	Class model.ClassName `toml:"class,omitempty"`
	// Pool serves the route; empty for model calls, whose pool follows from the
	// model.
	Pool model.PoolName `toml:"pool,omitempty"`
}

// Duration is a time span that is encoded as text, for example "1.9s".
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(v)
	return nil
}

// Std returns the time span as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }
