package dispatch_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/core/dispatch"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/opconfig"
)

// chaos drives a Dispatcher with random events and tracks the state of each
// request.
type chaos struct {
	*fixture
	t       *testing.T
	rng     *rand.Rand
	now     int
	waiting map[model.RequestID]bool
	running []dispatch.Action
}

// Under random events, each request must end exactly once and its room be
// freed.
func TestEachRequestEndsOnceAndAllRoomIsFreed(t *testing.T) {
	for seed := range uint64(100) {
		c := &chaos{t: t, rng: rand.New(rand.NewPCG(seed, 1)), waiting: map[model.RequestID]bool{}}
		c.fixture = newFixture(c.config())
		for range 400 {
			c.step()
		}
		for len(c.running) > 0 {
			c.finish()
		}
		c.apply(c.Tick(at(c.now).Add(10 * time.Minute)))
		for len(c.running) > 0 {
			c.finish()
		}
		must.MapEmpty(t, c.waiting)
		must.SliceEmpty(t, c.Digest(at(c.now)).InFlight)
	}
}

// config returns a random configuration that may lack a class or an endpoint.
func (c *chaos) config() *opconfig.Config {
	names := []model.EndpointName{"e1", "e2", "e3"}
	cfg := engines(1+c.rng.IntN(3), names[:1+c.rng.IntN(3)]...)
	cfg.Classes = cfg.Classes[:2+c.rng.IntN(2)]
	cfg.Classes[0].Headroom = 0.2
	return cfg
}

// step applies one random event.
func (c *chaos) step() {
	c.now += c.rng.IntN(500)
	now := at(c.now)
	class := []model.ClassName{"order", "question", "draft"}[c.rng.IntN(3)]
	endpoint := []model.EndpointName{"e1", "e2", "e3"}[c.rng.IntN(3)]
	switch c.rng.IntN(12) {
	case 0:
		c.apply(c.SetConfig(now, c.config()))
	case 1:
		c.apply(c.HandleLoadReport(now, dispatch.LoadReport{Endpoint: endpoint, CanResume: c.rng.IntN(2) == 0, Running: 1, Queued: c.rng.IntN(2)}))
	case 2:
		c.apply(c.SetLeaving(now, endpoint, c.rng.IntN(4) == 0))
	case 3:
		c.apply(c.Tick(now))
	case 4:
		c.apply(c.SetPeers(now, dispatch.PeerView{Hosts: []dispatch.PeerHost{peer(now, dispatch.AccountDemand{Class: class, Queued: c.rng.IntN(2)})}}))
	case 5, 6, 7:
		c.finish()
	default:
		c.next++
		id := model.RequestID(string(class) + "-" + at(c.next).String())
		c.waiting[id] = true
		c.apply(c.Submit(now, model.Request{ID: id, Class: class, Account: "big", Pool: "engines", Arrived: now, Deadline: now.Add(time.Minute)}))
	}
}

// finish ends a random attempt, and sometimes reports its end twice.
func (c *chaos) finish() {
	if len(c.running) == 0 {
		return
	}
	i := c.rng.IntN(len(c.running))
	a := c.running[i]
	c.running = slices.Delete(c.running, i, i+1)
	res := dispatch.Result{Outcome: model.OutcomeRan, Failed: c.rng.IntN(4) == 0, Elapsed: time.Second}
	c.apply(c.Finish(at(c.now), a.Request, a.Attempt, res))
	if c.rng.IntN(4) == 0 {
		c.apply(c.Finish(at(c.now), a.Request, a.Attempt, res))
	}
}

// apply updates the tracked requests and checks that each action is allowed in
// their state.
func (c *chaos) apply(acts []dispatch.Action) {
	for _, a := range acts {
		switch a.Kind {
		case dispatch.ActionGrant:
			must.True(c.t, c.waiting[a.Request], must.Sprint("granted while waiting"))
			delete(c.waiting, a.Request)
			c.running = append(c.running, a)
		case dispatch.ActionPreempt:
			i := slices.IndexFunc(c.running, func(r dispatch.Action) bool {
				return r.Request == a.Request && r.Attempt == a.Attempt && r.Endpoint == a.Endpoint
			})
			must.NonNegative(c.t, i)
			c.running = slices.Delete(c.running, i, i+1)
			c.waiting[a.Request] = true
		default:
			must.True(c.t, c.waiting[a.Request], must.Sprint("refused while waiting"))
			must.GreaterEq(c.t, time.Second, a.RetryAfter)
			delete(c.waiting, a.Request)
		}
	}
}
