// Package dispatch decides when and at which endpoint each request is served.
// It combines admission, placement and retries in one state machine: typed
// events with a time go in, typed actions come out. It has no I/O, clock or
// goroutines, so that a host and the virtual load tool run the same decisions.
package dispatch

import (
	"math/rand/v2"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/admission"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/core/placement"
	"github.com/wigeonsail/wigeonsail/opconfig"
)

// Options configures a Dispatcher.
type Options struct {
	// Host is the name of this host.
	Host model.HostID
	// Domain is this host's failure domain.
	Domain model.DomainName
	// Seed seeds the random choices between endpoints.
	Seed uint64
	// Sharing is how the hosts of a failure domain share the room of an
	// endpoint.
	Sharing placement.Sharing
}

// Dispatcher is the state machine. It is not safe for concurrent use: the
// control loop owns it.
type Dispatcher struct {
	opts     Options
	rng      *rand.Rand
	rules    *rules
	pools    map[model.PoolName]*pool
	poolList []*pool
	// endpoints are the endpoints of this host's failure domain.
	endpoints map[model.EndpointName]*endpointRef
	requests  map[model.RequestID]*request
	expiry    admission.Expiry
	demand    demandTable
	peers     PeerView
	// peerDemand is the demand at the other hosts of the failure domain.
	peerDemand []hostDemand
	draining   bool
}

// endpointRef is an endpoint with its pool.
type endpointRef struct {
	*placement.Endpoint
	pool *pool
}

// request is a queued or running request.
type request struct {
	admission.Item
	req   model.Request
	class *class
	pool  *pool
	// state is the state of the class in the pool.
	state   *classState
	attempt model.Attempt
	// endpoint is nil while the request is queued.
	endpoint *placement.Endpoint
	granted  time.Time
	// tokens is the number of tokens relayed in the running attempt.
	tokens      int
	preemptions int
	// runningIndex is the index in the running list of the class.
	runningIndex int
}

// New returns a Dispatcher without configuration.
func New(opts Options) *Dispatcher {
	return &Dispatcher{
		opts:      opts,
		rng:       rand.New(rand.NewPCG(opts.Seed, opts.Seed^0x9e3779b97f4a7c15)),
		rules:     newRules(&opconfig.Config{}, nil),
		pools:     map[model.PoolName]*pool{},
		endpoints: map[model.EndpointName]*endpointRef{},
		requests:  map[model.RequestID]*request{},
		demand:    demandTable{},
	}
}

// SetDraining makes the Dispatcher refuse new requests and the queued ones
// because this host is leaving. Running requests end normally.
func (d *Dispatcher) SetDraining(now time.Time) []Action {
	d.draining = true
	var out []Action
	for it := d.expiry.First(); it != nil; it = d.expiry.First() {
		out = append(out, d.refuseQueued(now, d.requests[it.ID], ReasonLeaving))
	}
	return out
}

// Tick applies everything that depends on time alone: it refuses expired
// requests, ejects outliers, updates limits and grants queued requests.
func (d *Dispatcher) Tick(now time.Time) []Action {
	out := d.expire(now)
	for _, p := range d.poolList {
		placement.EjectOutliers(now, p.endpoints)
		d.refreshLimits(now, p)
		out = d.grantQueued(now, p, out)
	}
	return out
}

// expire refuses the queued requests that can no longer meet their deadline.
func (d *Dispatcher) expire(now time.Time) []Action {
	var out []Action
	for {
		it := d.expiry.First()
		if it == nil || now.Before(it.LatestStart) {
			return out
		}
		out = append(out, d.refuseQueued(now, d.requests[it.ID], ReasonDeadline))
	}
}

// refuseQueued removes a queued request and refuses it.
func (d *Dispatcher) refuseQueued(now time.Time, r *request, reason Reason) Action {
	wait := r.state.expectedWait(now, r.pool, r.class, r.Account, r.class.share(r.Account))
	d.unqueue(r)
	delete(d.requests, r.ID)
	return refusal(r.req, r.attempt, reason, wait)
}

// unqueue removes a request from its queue and from the expiry order.
func (d *Dispatcher) unqueue(r *request) {
	r.pool.tiers.Queue(r.class.index).Remove(&r.Item)
	d.expiry.Remove(&r.Item)
}
