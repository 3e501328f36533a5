package port

import (
	"context"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/opconfig"
)

// Operators is what a host offers to operators. Every call fails with an
// *OperatorError.
type Operators interface {
	// Config returns a configuration; version 0 is the one in force.
	Config(ctx context.Context, version model.Version) (PublishedConfig, error)
	// Publish appends a configuration and returns once its fate is known.
	Publish(ctx context.Context, call Publication) (PublishResult, error)
	// History lists the accepted versions that the host knows, oldest first.
	History(ctx context.Context) ([]ConfigVersion, error)
	// Hosts returns the hosts and failure domains as the host knows them.
	Hosts(ctx context.Context) (HostsView, error)
	// Endpoints lists the configured endpoints.
	Endpoints(ctx context.Context) ([]EndpointView, error)
	// DrainEndpoint publishes the configuration in force with the endpoint
	// marked.
	DrainEndpoint(ctx context.Context, call EndpointDrain) (PublishResult, error)
	// DrainHost lets this host leave.
	DrainHost(ctx context.Context, operator string) error
}

// Publication is an operator's wish to put a configuration in force.
type Publication struct {
	// ID identifies the publication; the same ID yields one version.
	ID     string
	Base   model.Version
	Author string
	Note   string
	// Body is the configuration in TOML.
	Body []byte
}

// EndpointDrain is an operator's wish to drain an endpoint or to take it back.
type EndpointDrain struct {
	ID       string
	Endpoint model.EndpointName
	Leaving  bool
	Author   string
	Note     string
}

// ConfigVersion describes an accepted configuration.
type ConfigVersion struct {
	Version   model.Version
	PublishID string
	Author    string
	Note      string
	At        time.Time
}

// PublishedConfig is an accepted configuration with its body.
type PublishedConfig struct {
	ConfigVersion
	// Body is the configuration in TOML.
	Body []byte
}

// PublishResult is the fate of a publication.
type PublishResult struct {
	Accepted bool
	// Current is the accepted version or, in a conflict, the one that won.
	Current ConfigVersion
	// Changes lead from the version in force to a refused configuration.
	Changes []opconfig.Change
}

// HostsView is a host's view of all hosts.
type HostsView struct {
	Host    model.HostID
	Domain  model.DomainName
	Config  ConfigView
	Hosts   []HostView
	Domains []DomainView
}

// ConfigView tells how a host follows the configuration.
type ConfigView struct {
	Version model.Version
	// InForce is how long the version has been in force.
	InForce time.Duration
	// LogReachable says that the last read of the log succeeded.
	LogReachable bool
	// Settled says that the host can judge the log's next record.
	Settled bool
	// Problem is why the host stopped following; empty when it did not.
	Problem string
}

// HostView is a host of the own failure domain.
type HostView struct {
	Name        model.HostID
	Incarnation model.Incarnation
	Domain      model.DomainName
	Address     string
	// State is starting, ready or leaving; Health live, suspect or gone.
	State   string
	Health  string
	Version model.Version
	// VersionFor is how long the version has been in force there.
	VersionFor time.Duration
	// HeardAgo is the age of the last heartbeat.
	HeardAgo time.Duration
	// Listed says that the platform's list has the host.
	Listed bool
}

// DomainView is another failure domain.
type DomainView struct {
	Name      model.DomainName
	Version   model.Version
	HeardAgo  time.Duration
	Reachable bool
	Gateways  []string
}

// EndpointView is a configured endpoint as a host sees it.
type EndpointView struct {
	Name    model.EndpointName
	Pool    model.PoolName
	Kind    opconfig.PoolKind
	Domain  model.DomainName
	Address string
	Leaving bool
	// LeavingBy names who says so: config, report, list or peer.
	LeavingBy []string
	// InFlight is the host's own work at the endpoint.
	InFlight int
	// Models are those that the endpoint reports; WantedModels those that the
	// configuration wants.
	Models       []model.ModelName
	WantedModels []model.ModelName
}

// OperatorErrorCode tells what went wrong with an operator's call.
type OperatorErrorCode string

// The codes of operator errors.
const (
	// OperatorInvalid means that the configuration is wrong.
	OperatorInvalid OperatorErrorCode = "invalid"
	// OperatorNotFound means that there is no such version or endpoint.
	OperatorNotFound OperatorErrorCode = "not_found"
	// OperatorUnavailable means that the host cannot do it now.
	OperatorUnavailable OperatorErrorCode = "unavailable"
	// OperatorUnsettled means that it is not known whether the publication
	// was accepted; the same publish id settles it.
	OperatorUnsettled OperatorErrorCode = "unsettled"
)

// OperatorError is a failed call of an operator.
type OperatorError struct {
	Code    OperatorErrorCode
	Message string
	Outcome model.Outcome
	// RetryAfter is when to come back; 0 where that does not help.
	RetryAfter time.Duration
	// Fields are the wrong fields of a configuration.
	Fields []*opconfig.FieldError
	Cause  error
}

// Error implements error.
func (e *OperatorError) Error() string { return e.Message }

// Unwrap returns the cause.
func (e *OperatorError) Unwrap() error { return e.Cause }
