package dispatch

import (
	"math"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/admission"
	"github.com/wigeonsail/wigeonsail/internal/core/attempt"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/core/placement"
	"github.com/wigeonsail/wigeonsail/opconfig"
)

// pool is the state of a pool: its endpoints in this failure domain and its
// queued requests.
type pool struct {
	opconfig.Pool
	endpoints []*placement.Endpoint
	tiers     *admission.Tiers
	// states is indexed like rules.classes.
	states []*classState
	// demand is the offered load of all classes.
	demand admission.Demand
	// yieldsToPeers reports whether a peer has protected requests queued for
	// the pool, so that other classes are held to their floor.
	yieldsToPeers bool
}

// classState is the state of a class in a pool.
type classState struct {
	// used reports whether the class has sent requests to the pool.
	used bool
	// inFlight is the number of this host's requests of the class in flight in
	// the pool.
	inFlight int
	// running are the requests in flight that may be preempted.
	running    []*request
	drain      admission.DrainRate
	firstToken attempt.DurationHistogram
	elapsed    attempt.DurationHistogram
}

// newPool returns a pool without endpoints and requests.
func newPool(cfg opconfig.Pool, r *rules) *pool {
	p := &pool{Pool: cfg}
	p.setRules(r)
	return p
}

// setRules creates empty queues and class states for the rules.
func (p *pool) setRules(r *rules) {
	p.tiers = admission.NewTiers(r.order)
	p.states = nil
	for range r.classes {
		p.states = append(p.states, &classState{})
	}
}

// poolRoom is what this host may use of a pool, in requests.
type poolRoom struct {
	// free is the free room for all classes, protected that for protected
	// classes.
	free, protected int
	// limit is the total room, including this host's requests in flight.
	limit int
}

// room returns what this host may use of the pool now.
func (p *pool) room(now time.Time) poolRoom {
	var r poolRoom
	for _, e := range p.endpoints {
		r.free += e.FreeRoom(now, false)
		r.protected += e.FreeRoom(now, true)
		if e.IsUsable(now) {
			r.limit += e.Limit
		}
	}
	return r
}

// hasUsableEndpoint reports whether an endpoint may get new requests.
func (p *pool) hasUsableEndpoint(now time.Time) bool {
	for _, e := range p.endpoints {
		if e.IsUsable(now) {
			return true
		}
	}
	return false
}

// headroomForOthers returns the room that is kept free for classes other than
// c.
func (p *pool) headroomForOthers(r *rules, c *class, limit int) int {
	sum := 0
	for i, other := range r.classes {
		if other == c || other.Headroom <= 0 || !p.states[i].used {
			continue
		}
		kept := int(math.Ceil(other.Headroom * float64(limit)))
		sum += max(kept-p.states[i].inFlight, 0)
	}
	return sum
}

// expectedWait estimates how long a further request of the account would be
// queued in its class.
func (s *classState) expectedWait(now time.Time, p *pool, c *class, name model.AccountName, share int) time.Duration {
	ahead := p.tiers.Queue(c.index).GrantsAhead(name, share)
	return s.drain.ExpectedWait(now, ahead+1)
}

// addRunning adds a request to the list of preemptible requests.
func (s *classState) addRunning(r *request) {
	r.runningIndex = len(s.running)
	s.running = append(s.running, r)
}

// removeRunning removes a request from the list; requests that are not in it
// are ignored.
func (s *classState) removeRunning(r *request) {
	last := len(s.running) - 1
	if r.runningIndex > last || s.running[r.runningIndex] != r {
		return
	}
	moved := s.running[last]
	s.running[r.runningIndex] = moved
	moved.runningIndex = r.runningIndex
	s.running[last] = nil
	s.running = s.running[:last]
}
