// Package dispatch decides which request is served when and where. It joins
// admission, placement and retries in one state machine: typed events with a
// time go in, typed actions come out. It has no I/O, clock or goroutines, so
// that a host and the virtual load tool drive the same decisions.
package dispatch

import (
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/opconfig"
)

// ActionKind tells what the shell is to do.
type ActionKind uint8

// The kinds of actions.
const (
	// ActionGrant sends the request to Endpoint now.
	ActionGrant ActionKind = iota + 1
	// ActionRefuse answers the caller at once that the request was not run.
	ActionRefuse
	// ActionSpill forwards the request to a host of Domain.
	ActionSpill
	// ActionPreempt cancels the running attempt; the request is queued again
	// and resumed from the last token relayed.
	ActionPreempt
)

// Reason tells why a request was refused.
type Reason uint8

// The reasons of a refusal.
const (
	// ReasonNone stands in actions that refuse nothing.
	ReasonNone Reason = iota
	// ReasonDeadline means that the queue cannot meet the deadline.
	ReasonDeadline
	// ReasonQueueFull means that the account's queue in the class is full.
	ReasonQueueFull
	// ReasonLimit means that the account's limit in the class is used up.
	ReasonLimit
	// ReasonNoEndpoint means that no endpoint of the pool can be reached.
	ReasonNoEndpoint
	// ReasonRetryBudget means that the class has no retries left.
	ReasonRetryBudget
	// ReasonLeaving means that this host is leaving.
	ReasonLeaving
)

// String returns the reason as it stands in error bodies and metrics.
func (r Reason) String() string {
	switch r {
	case ReasonDeadline:
		return "deadline"
	case ReasonQueueFull:
		return "queue_full"
	case ReasonLimit:
		return "limit"
	case ReasonNoEndpoint:
		return "no_endpoint"
	case ReasonRetryBudget:
		return "retry_budget"
	case ReasonLeaving:
		return "leaving"
	default:
		return "none"
	}
}

// Action is an instruction to the shell.
type Action struct {
	Kind    ActionKind
	Request model.RequestID
	Attempt model.Attempt
	// Endpoint and Address say where a granted request goes.
	Endpoint model.EndpointName
	Address  string
	// Priority is the engine's priority for a granted request.
	Priority int
	// Domain says where a spilled request goes.
	Domain model.DomainName
	// Reason and RetryAfter belong to a refusal.
	Reason     Reason
	RetryAfter time.Duration
}

// Result is the end of an attempt.
type Result struct {
	// Outcome is what is known of the attempt's effect.
	Outcome model.Outcome
	// Failed says that the endpoint failed, as against the caller leaving.
	Failed bool
	// Canceled says that the caller has gone.
	Canceled bool
	// FirstToken is the time from the grant to the first token; 0 for none.
	FirstToken time.Duration
	// Elapsed is the time from the grant to the end.
	Elapsed time.Duration
	// Tokens were relayed in this attempt.
	Tokens int
}

// LoadReport is an endpoint's own report, which lags.
type LoadReport struct {
	Endpoint  model.EndpointName
	Running   int
	Queued    int
	Leaving   bool
	CanResume bool
	Models    []model.ModelName
	// Age is how old the report says it is.
	Age time.Duration
}

// Options configures a Dispatcher.
type Options struct {
	// Host is this host.
	Host model.HostID
	// Domain is this host's failure domain.
	Domain model.DomainName
	// Seed starts the random choices between endpoints.
	Seed uint64
}

// Dispatcher is the state machine. It is not safe for concurrent use: the
// control loop owns it.
type Dispatcher struct {
	opts Options
	cfg  *opconfig.Config
}

// New returns a Dispatcher without configuration.
func New(opts Options) *Dispatcher {
	return &Dispatcher{opts: opts, cfg: &opconfig.Config{}}
}

// SetConfig puts a checked configuration in force.
func (d *Dispatcher) SetConfig(now time.Time, cfg *opconfig.Config) []Action {
	d.cfg = cfg
	return nil
}

// Submit takes a new request, or a further attempt of a request whose last
// attempt has ended.
func (d *Dispatcher) Submit(now time.Time, req model.Request) []Action {
	for i := range d.cfg.Endpoints {
		ep := &d.cfg.Endpoints[i]
		if ep.Pool == req.Pool && ep.Domain == d.opts.Domain && !ep.Leaving {
			return []Action{{Kind: ActionGrant, Request: req.ID, Attempt: req.Attempt, Endpoint: ep.Name, Address: ep.Address}}
		}
	}
	return []Action{{Kind: ActionRefuse, Request: req.ID, Reason: ReasonNoEndpoint, RetryAfter: time.Second}}
}

// Cancel withdraws a request whose caller has gone. A running attempt is
// ended by Finish as well.
func (d *Dispatcher) Cancel(now time.Time, id model.RequestID) []Action { return nil }

// Finish ends an attempt that was granted.
func (d *Dispatcher) Finish(now time.Time, id model.RequestID, attempt model.Attempt, res Result) []Action {
	return nil
}

// Progress tells that tokens of a granted attempt were relayed.
func (d *Dispatcher) Progress(now time.Time, id model.RequestID, tokens int) {}

// ReportLoad takes an endpoint's load report.
func (d *Dispatcher) ReportLoad(now time.Time, rep LoadReport) []Action { return nil }

// SetLeaving marks an endpoint as leaving, or as back, by another source than
// the configuration.
func (d *Dispatcher) SetLeaving(now time.Time, name model.EndpointName, leaving bool) []Action {
	return nil
}

// PeerView is what the other hosts told of themselves.
type PeerView struct {
	// Hosts are the live hosts of this host's failure domain, this host
	// included.
	Hosts []PeerHost
	// Domains are the other failure domains that can be reached.
	Domains []PeerDomain
}

// PeerHost is another host's last digest.
type PeerHost struct {
	Host model.HostID
	// InFlight is the host's work by endpoint.
	InFlight []EndpointCount
	// Demand is the host's demand by account and class.
	Demand []AccountDemand
	// At is when the digest was made, by this host's clock.
	At time.Time
}

// EndpointCount is a number of requests at an endpoint.
type EndpointCount struct {
	Endpoint model.EndpointName
	Count    int
}

// AccountDemand is a demand of one account in one class.
type AccountDemand struct {
	Account        model.AccountName
	Class          model.ClassName
	Rate           float64
	TokensInFlight int
	Queued         int
}

// PeerDomain is another domain's last digest.
type PeerDomain struct {
	Domain   model.DomainName
	FreeRoom []PoolRoom
	At       time.Time
}

// PoolRoom is the room left in a pool.
type PoolRoom struct {
	Pool model.PoolName
	Room int
}

// SetPeers replaces the view of the other hosts.
func (d *Dispatcher) SetPeers(now time.Time, view PeerView) []Action { return nil }

// Tick lets time pass: deadlines, waiting times and trials.
func (d *Dispatcher) Tick(now time.Time) []Action { return nil }

// Digest returns this host's own work and demand for its peers.
func (d *Dispatcher) Digest(now time.Time) PeerHost { return PeerHost{Host: d.opts.Host, At: now} }
