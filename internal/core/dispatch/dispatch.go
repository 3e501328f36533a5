// Package dispatch decides which request is served when and where. It joins
// admission, placement and retries in one state machine: typed events with a
// time go in, typed actions come out. It has no I/O, clock or goroutines, so
// that a host and the virtual load tool drive the same decisions.
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
	// Host is this host.
	Host model.HostID
	// Domain is this host's failure domain.
	Domain model.DomainName
	// Seed starts the random choices between endpoints.
	Seed uint64
	// Sharing is how the hosts of a domain share the room of an endpoint.
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
	// endpoints are those of this host's failure domain.
	endpoints map[model.EndpointName]*endpointRef
	requests  map[model.RequestID]*request
	expiry    admission.Expiry
	demand    demandTable
	peers     PeerView
	// peerDemand is that of the other hosts of the failure domain.
	peerDemand []hostDemand
	draining   bool
}

type endpointRef struct {
	*placement.Endpoint
	pool *pool
}

// request is a request that waits or runs.
type request struct {
	admission.Item
	req   model.Request
	class *class
	pool  *pool
	// state is that of the class in the pool.
	state   *classState
	attempt model.Attempt
	// endpoint is nil while the request waits.
	endpoint *placement.Endpoint
	granted  time.Time
	// tokens were relayed in the running attempt.
	tokens      int
	preemptions int
	// place is the position among the running requests of its class.
	place int
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

// SetDraining makes the Dispatcher refuse new requests, and hands back those
// that wait, because this host is leaving. Running requests end normally.
func (d *Dispatcher) SetDraining(now time.Time) []Action {
	d.draining = true
	var out []Action
	for it := d.expiry.First(); it != nil; it = d.expiry.First() {
		out = append(out, d.drop(now, d.requests[it.ID], ReasonLeaving))
	}
	return out
}

// Tick lets time pass: deadlines, waiting times, ejections and trials.
func (d *Dispatcher) Tick(now time.Time) []Action {
	out := d.expire(now)
	for _, p := range d.poolList {
		placement.EjectOutliers(now, p.endpoints)
		d.refresh(now, p)
		out = d.run(now, p, out)
	}
	return out
}

// expire refuses the requests that can no longer meet their deadline.
func (d *Dispatcher) expire(now time.Time) []Action {
	var out []Action
	for {
		it := d.expiry.First()
		if it == nil || now.Before(it.LatestStart) {
			return out
		}
		out = append(out, d.drop(now, d.requests[it.ID], ReasonDeadline))
	}
}

// drop refuses a request that waits.
func (d *Dispatcher) drop(now time.Time, r *request, reason Reason) Action {
	wait := r.state.wait(now, r.pool, r.class, r.Account, r.class.share(r.Account))
	d.unqueue(r)
	delete(d.requests, r.ID)
	return refusal(r.req, r.attempt, reason, wait)
}

func (d *Dispatcher) unqueue(r *request) {
	r.pool.tiers.Queue(r.class.index).Remove(&r.Item)
	d.expiry.Remove(&r.Item)
}
