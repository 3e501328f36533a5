package port

import (
	"context"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/opconfig"
)

// OperatorService serves the requests of operators. Errors are *OperatorError.
type OperatorService interface {
	// Config returns a configuration; version 0 is the newest accepted one.
	Config(ctx context.Context, version model.Version) (PublishedConfig, error)
	// Publish appends a configuration to the log and returns once it is known
	// whether it was accepted.
	Publish(ctx context.Context, req PublishRequest) (PublishResult, error)
	// History returns the accepted versions known to the host, oldest first.
	History(ctx context.Context) ([]ConfigVersion, error)
	// Hosts returns the host's view of the hosts and failure domains.
	Hosts(ctx context.Context) (HostsView, error)
	// Endpoints returns the configured endpoints.
	Endpoints(ctx context.Context) ([]EndpointView, error)
	// DrainEndpoint publishes the configuration in force with the endpoint
	// marked as leaving, or with the mark removed.
	DrainEndpoint(ctx context.Context, req DrainRequest) (PublishResult, error)
	// DrainHost starts the drain of this host, which then shuts down.
	DrainHost(ctx context.Context, operator string) error
}

// PublishRequest is an operator's request to put a configuration in force.
type PublishRequest struct {
	// ID identifies the publication; repeated requests with the same ID yield a
	// single version.
	ID string
	// Base is the version that the configuration replaces. If another version is
	// in force, the publication is rejected with a conflict.
	Base   model.Version
	Author string
	Note   string
	// Body is the configuration in TOML.
	Body []byte
}

// DrainRequest is an operator's request to drain an endpoint or to resume it.
type DrainRequest struct {
	ID       string
	Endpoint model.EndpointName
	// Leaving is true to drain the endpoint, and false to resume it.
	Leaving bool
	Author  string
	Note    string
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

// PublishResult is the result of a publication.
type PublishResult struct {
	Accepted bool
	// Current is the accepted version or, after a conflict, the version that was
	// accepted instead.
	Current ConfigVersion
	// Changes are the differences between the version in force and a rejected
	// configuration.
	Changes []opconfig.Change
}

// HostsView is a host's view of all hosts and failure domains.
type HostsView struct {
	Host    model.HostID
	Domain  model.DomainName
	Config  ConfigView
	Hosts   []HostView
	Domains []DomainView
}

// ConfigView is the state of a host's configuration.
type ConfigView struct {
	Version model.Version
	// InForce is how long the version has been in force.
	InForce time.Duration
	// LogReachable reports whether the last read of the log succeeded.
	LogReachable bool
	// Settled reports whether the host has the whole history that it needs to
	// decide whether the next record of the log is accepted.
	Settled bool
	// Problem is the reason why the host stopped following the log; empty if it
	// has not stopped.
	Problem string
}

// HostView is a host of the same failure domain.
type HostView struct {
	Name        model.HostID
	Incarnation model.Incarnation
	Domain      model.DomainName
	Address     string
	// State is starting, ready or leaving; Health live, suspect or gone.
	State   string
	Health  string
	Version model.Version
	// VersionFor is how long the version has been in force at that host.
	VersionFor time.Duration
	// HeartbeatAge is the time since its last heartbeat was received.
	HeartbeatAge time.Duration
	// Listed reports whether the host is in the platform's list.
	Listed bool
}

// DomainView is another failure domain.
type DomainView struct {
	Name    model.DomainName
	Version model.Version
	// DigestAge is the time since the last digest of the domain was received.
	DigestAge time.Duration
	// Reachable reports whether that digest is recent enough to be used.
	Reachable bool
	// Gateways are the peer addresses of hosts that accept forwarded requests.
	Gateways []string
}

// EndpointView is a host's view of a configured endpoint.
type EndpointView struct {
	Name    model.EndpointName
	Pool    model.PoolName
	Kind    opconfig.PoolKind
	Domain  model.DomainName
	Address string
	Leaving bool
	// LeavingBy names the sources that report the endpoint as leaving: config,
	// report, list or peer.
	LeavingBy []string
	// InFlight is the number of the host's own requests at the endpoint.
	InFlight int
	// Models are the models that the endpoint reports as loaded, and WantedModels
	// those that the configuration assigns to it.
	Models       []model.ModelName
	WantedModels []model.ModelName
}

// OperatorErrorCode is the kind of an OperatorError.
type OperatorErrorCode string

// The codes of operator errors.
const (
	// OperatorInvalid means that the configuration is invalid.
	OperatorInvalid OperatorErrorCode = "invalid"
	// OperatorNotFound means that there is no such version or endpoint.
	OperatorNotFound OperatorErrorCode = "not_found"
	// OperatorUnavailable means that the host cannot serve the request now.
	OperatorUnavailable OperatorErrorCode = "unavailable"
	// OperatorUnsettled means that it is not known whether the publication was
	// accepted; a retry with the same publish ID shows it.
	OperatorUnsettled OperatorErrorCode = "unsettled"
)

// OperatorError reports a failed request of an operator.
type OperatorError struct {
	Code    OperatorErrorCode
	Message string
	Outcome model.Outcome
	// RetryAfter is the delay before a retry; 0 if a retry does not help.
	RetryAfter time.Duration
	// Fields are the invalid fields of a configuration.
	Fields []*opconfig.FieldError
	Cause  error
}

// Error implements error.
func (e *OperatorError) Error() string { return e.Message }

// Unwrap returns the cause.
func (e *OperatorError) Unwrap() error { return e.Cause }
