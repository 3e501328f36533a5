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

// pool is a pool's endpoints in this failure domain and its waiting requests.
type pool struct {
	opconfig.Pool
	endpoints []*placement.Endpoint
	tiers     *admission.Tiers
	states    []*classState
	// demand is the offered load of all classes.
	demand admission.Demand
	// yields says that a peer has protected requests waiting for the pool.
	yields bool
}

// classState is what is known of a class in a pool.
type classState struct {
	// seen says that the class sends requests to the pool.
	seen bool
	// inFlight is this host's work of the class in the pool.
	inFlight int
	// running are the requests in flight, where the class is preemptible.
	running    []*request
	drain      admission.DrainRate
	firstToken attempt.Durations
	elapsed    attempt.Durations
}

func newPool(cfg opconfig.Pool, r *rules) *pool {
	p := &pool{Pool: cfg}
	p.setRules(r)
	return p
}

func (p *pool) setRules(r *rules) {
	p.tiers = admission.NewTiers(r.order)
	p.states = nil
	for range r.classes {
		p.states = append(p.states, &classState{})
	}
}

// poolRoom is what this host may use of a pool.
type poolRoom struct {
	// free is left for all classes, protected for protected ones.
	free, protected int
	// limit is the room with this host's work.
	limit int
}

// room returns what this host may use now.
func (p *pool) room(now time.Time) poolRoom {
	var r poolRoom
	for _, e := range p.endpoints {
		r.free += e.Free(now, false)
		r.protected += e.Free(now, true)
		if e.Usable(now) {
			r.limit += e.Limit
		}
	}
	return r
}

// usable says that an endpoint may get new work.
func (p *pool) usable(now time.Time) bool {
	for _, e := range p.endpoints {
		if e.Usable(now) {
			return true
		}
	}
	return false
}

// reserved returns the room that is kept free for other classes than c.
func (p *pool) reserved(r *rules, c *class, limit int) int {
	sum := 0
	for i, other := range r.classes {
		if other == c || other.Headroom <= 0 || !p.states[i].seen {
			continue
		}
		kept := int(math.Ceil(other.Headroom * float64(limit)))
		sum += max(kept-p.states[i].inFlight, 0)
	}
	return sum
}

// wait estimates how long a further request of the account waits in its class.
func (s *classState) wait(now time.Time, p *pool, c *class, name model.AccountName, share int) time.Duration {
	ahead := p.tiers.Queue(c.index).Ahead(name, share)
	return s.drain.Wait(now, ahead+1)
}

// addRunning and removeRunning keep the list of requests that may give way.
func (s *classState) addRunning(r *request) {
	r.place = len(s.running)
	s.running = append(s.running, r)
}

func (s *classState) removeRunning(r *request) {
	last := len(s.running) - 1
	if r.place > last || s.running[r.place] != r {
		return
	}
	moved := s.running[last]
	s.running[r.place] = moved
	moved.place = r.place
	s.running[last] = nil
	s.running = s.running[:last]
}
