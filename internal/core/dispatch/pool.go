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
	// preemptible are the running requests that give way.
	preemptible []*request
}

// classState is what is known of a class in a pool.
type classState struct {
	// seen says that the class sends requests to the pool.
	seen bool
	// inFlight is this host's work of the class in the pool.
	inFlight   int
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

// free returns the room that this host may still use, and the room that it may
// use in all.
func (p *pool) free(now time.Time) (free, limit int) {
	for _, e := range p.endpoints {
		free += e.Free(now)
		if e.Usable(now) {
			limit += e.Limit
		}
	}
	return free, limit
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

// addPreemptible and removePreemptible keep the list of running requests that
// give way.
func (p *pool) addPreemptible(r *request) {
	r.place = len(p.preemptible)
	p.preemptible = append(p.preemptible, r)
}

func (p *pool) removePreemptible(r *request) {
	last := len(p.preemptible) - 1
	if r.place > last || p.preemptible[r.place] != r {
		return
	}
	moved := p.preemptible[last]
	p.preemptible[r.place] = moved
	moved.place = r.place
	p.preemptible[last] = nil
	p.preemptible = p.preemptible[:last]
}
