// Package opconfig is the library with which operators describe and print a
// configuration: request classes, client accounts, pools, endpoints and routes.
// A program builds a Config, checks it with Validate and prints it with
// Marshal; `wigeonsail config publish` takes what it printed.
package opconfig

import (
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// SchemaVersion is the version of the configuration's form.
const SchemaVersion = 1

// Config is the whole configuration.
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
	// Routes lead requests to a class and a pool.
	Routes []Route `toml:"route"`
}

// Class is a request class. Its tier orders it among the others.
type Class struct {
	Name model.ClassName `toml:"name"`
	// Tier orders classes; 0 is served first.
	Tier model.Tier `toml:"tier"`
	// Floor is the share of a pool's room, from 0 to 1, that the class may
	// fill even while higher tiers have work.
	Floor float64 `toml:"floor"`
	// FirstToken is the latency target to the first token or, for plain
	// services, to the whole answer.
	FirstToken Duration `toml:"first_token"`
	// BetweenTokens is the target between tokens; 0 for none.
	BetweenTokens Duration `toml:"between_tokens"`
	// Objective is the share of requests, from 0 to 1, that are to meet the
	// targets.
	Objective float64 `toml:"objective"`
	// Deadline is the time that a request has when its caller names none.
	Deadline Duration `toml:"deadline"`
	// Protected classes are never shed or preempted for unprotected ones.
	Protected bool `toml:"protected"`
	// Idempotent says that a request may run more than once.
	Idempotent bool `toml:"idempotent"`
	// Preemptible classes give way to higher tiers where the endpoint can
	// resume: to protected classes wholly, to others down to their floor.
	// Only idempotent classes are preempted.
	Preemptible bool `toml:"preemptible"`
	// Headroom is the share of a pool's room, from 0 to 1, that is kept free
	// for this class.
	Headroom float64 `toml:"headroom"`
	// MaxQueued bounds the queued requests of one account in this class.
	MaxQueued int `toml:"max_queued"`
	// RetryBudget is the allowed retries as a share of first tries.
	RetryBudget float64 `toml:"retry_budget"`
}

// Account is a client account.
type Account struct {
	Name model.AccountName `toml:"name"`
	// KeyHashes are hex SHA-256 digests of the account's keys.
	KeyHashes []string `toml:"key_hashes"`
	// Share weighs the account among the others of a class; at least 1.
	Share int `toml:"share"`
	// DefaultClass is used where neither route nor header names a class.
	DefaultClass model.ClassName `toml:"default_class,omitempty"`
	// Classes restricts the account to these classes; empty allows all.
	Classes []model.ClassName `toml:"classes,omitempty"`
	// Limits bound the account by class over all hosts.
	Limits []Limit `toml:"limit,omitempty"`
}

// Limit bounds one account in one class over all hosts.
type Limit struct {
	Class model.ClassName `toml:"class"`
	// RequestsPerSecond bounds the rate; 0 for no bound.
	RequestsPerSecond float64 `toml:"requests_per_second"`
	// Burst is the number of requests that may come at once.
	Burst int `toml:"burst"`
	// TokensInFlight bounds the tokens of work in progress; 0 for no bound.
	TokensInFlight int `toml:"tokens_in_flight"`
}

// PoolKind tells model engines from plain services.
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
	// Deduplicates says that the service itself runs a key at most once.
	Deduplicates bool `toml:"deduplicates,omitempty"`
	// ChecksFencing says that the endpoints refuse a stale fencing number.
	ChecksFencing bool `toml:"checks_fencing,omitempty"`
}

// Endpoint is one replica.
type Endpoint struct {
	Name    model.EndpointName `toml:"name"`
	Pool    model.PoolName     `toml:"pool"`
	Domain  model.DomainName   `toml:"domain"`
	Address string             `toml:"address"`
	// Room is the number of requests that the endpoint serves at once, as a
	// first guess; the hosts learn it.
	Room int `toml:"room"`
	// Role is the role that an engine is to have, for example "prefill";
	// empty leaves it as it is.
	Role string `toml:"role,omitempty"`
	// Leaving endpoints get no new work.
	Leaving bool `toml:"leaving,omitempty"`
}

// Route leads requests under a path to a class and a pool.
type Route struct {
	// Path is a path prefix, for example "/services/appointments/".
	Path string `toml:"path"`
	// Methods restricts the route; empty allows all.
	Methods []string `toml:"methods,omitempty"`
	// Class is the class of the route's requests; empty leaves it to the
	// header or the account.
	Class model.ClassName `toml:"class,omitempty"`
	// Pool serves the route; empty for model calls, where the model decides.
	Pool model.PoolName `toml:"pool,omitempty"`
}

// Duration is a time span that TOML writes as text, for example "1.9s".
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
