package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/core/attempt"
	"github.com/wigeonsail/wigeonsail/internal/core/balance"
	"github.com/wigeonsail/wigeonsail/internal/core/directory"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

const (
	// limitWindow is the time over which a limit holds, limitSettling the time after an
	// endpoint first states it from which on it holds.
	limitWindow   = 4 * time.Second
	limitSettling = 3 * time.Second
	// limitServiceTime is the time that an endpoint takes for a request.
	limitServiceTime = 100 * time.Millisecond
	// limitedLoadPerSecond is the mean number of requests per second and endpoint.
	limitedLoadPerSecond = 5.0
)

// limitedFleet is a fleet before endpoints, some of which state request limits.
type limitedFleet struct {
	*fleet
	rng *rand.Rand
	// limits are the limits that endpoints state at present, in requests per second.
	limits map[model.EndpointName]float64
	// arrivals are the times at which requests reached each endpoint.
	arrivals  map[model.EndpointName][]time.Time
	running   []limitedRun
	endpoints int
	next      int
	refused   int
	submitted int
}

// limitedRun is a request at an endpoint.
type limitedRun struct {
	host     *control
	id       model.RequestID
	endpoint model.EndpointName
	ends     time.Time
}

// newLimitedFleet returns a fleet with a number of endpoints in each failure domain.
func newLimitedFleet(t *testing.T, domains, hosts, endpoints int, seed uint64) *limitedFleet {
	f := &limitedFleet{
		fleet: newFleet(t, domains, hosts), rng: rand.New(rand.NewPCG(seed, 1)),
		limits: make(map[model.EndpointName]float64), arrivals: make(map[model.EndpointName][]time.Time),
		endpoints: domains * endpoints,
	}
	for _, c := range f.hosts {
		f.addEndpoints(c, domains, endpoints)
	}
	f.run(3 * time.Second)
	return f
}

// addEndpoints lists a number of endpoints in each failure domain at a host.
func (f *limitedFleet) addEndpoints(c *control, domains, endpoints int) {
	c.balancer.Apply(directory.Change{Removed: true, Entry: directory.Entry{Name: "service"}})
	for d := range domains {
		for i := range endpoints {
			name := limitedEndpoint(d, i)
			c.balancer.Apply(directory.Change{Entry: directory.Entry{
				Name: name, Pool: "p", Address: string(name), Domain: model.DomainName(fmt.Sprint("d", d)), Slots: 64,
			}})
		}
	}
}

// limitedEndpoint returns the name of an endpoint of a failure domain.
func limitedEndpoint(domain, i int) model.EndpointName {
	return model.EndpointName(fmt.Sprintf("e-%d-%d", domain, i))
}

// play lets the fleet serve requests for some simulated time.
func (f *limitedFleet) play(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.endRequests()
		f.submitRequests()
		f.run(tickInterval)
	}
}

// submitRequests submits the requests that arrive within one tick, at random hosts.
func (f *limitedFleet) submitRequests() {
	expected := limitedLoadPerSecond * float64(f.endpoints) * tickInterval.Seconds()
	count := int(expected)
	if f.rng.Float64() < expected-float64(count) {
		count++
	}
	for range count {
		c := f.hosts[f.order[f.rng.IntN(len(f.order))]]
		f.next++
		id := model.RequestID(fmt.Sprint("r", f.next))
		f.submitted++
		decision := c.balancer.Submit(f.now, balance.Request{ID: id, Pool: "p", Target: time.Second, Arrived: f.now})
		if decision.IsRefused() {
			f.refused++
			continue
		}
		f.arrivals[decision.Endpoint] = append(f.arrivals[decision.Endpoint], f.now)
		f.running = append(f.running, limitedRun{host: c, id: id, endpoint: decision.Endpoint, ends: f.now.Add(limitServiceTime)})
	}
}

// endRequests ends the requests that endpoints have served.
func (f *limitedFleet) endRequests() {
	kept := f.running[:0]
	for _, r := range f.running {
		if f.now.Before(r.ends) {
			kept = append(kept, r)
			continue
		}
		limit, stated := f.limits[r.endpoint]
		r.host.recordLimit(f.now, r.id, port.RequestLimit{Stated: stated, PerSecond: limit})
		r.host.balancer.RecordFirstResponse(f.now, r.id)
		r.host.balancer.Finish(f.now, r.id, balance.Result{})
	}
	f.running = kept
}

// mostInWindow returns the largest number of requests that reached an endpoint within
// limitWindow, of those that arrived between two times.
func (f *limitedFleet) mostInWindow(name model.EndpointName, from, to time.Time) int {
	var recent []time.Time
	most := 0
	for _, at := range f.arrivals[name] {
		if at.Before(from) || at.After(to) {
			continue
		}
		recent = append(recent, at)
		for at.Sub(recent[0]) >= limitWindow {
			recent = recent[1:]
		}
		most = max(most, len(recent))
	}
	return most
}

// countBetween returns the number of requests that reached an endpoint between two times.
func (f *limitedFleet) countBetween(name model.EndpointName, from, to time.Time) int {
	count := 0
	for _, at := range f.arrivals[name] {
		if !at.Before(from) && at.Before(to) {
			count++
		}
	}
	return count
}

// allowedInWindow returns how many requests an endpoint with a limit may get within
// limitWindow.
func allowedInWindow(perSecond float64) int { return int(1.5*perSecond*limitWindow.Seconds() + 5) }

// A limit holds for all hosts together, and a limited endpoint is not left idle.
func TestAllHostsTogetherKeepRequestLimits(t *testing.T) {
	for _, size := range []struct {
		domains, hosts, endpoints int
		limits                    []float64
	}{{4, 2, 3, []float64{0.5, 1, 1.8, 5, 20}}, {6, 3, 4, []float64{0.5, 1, 1.8, 5, 20}}, {6, 9, 6, []float64{1, 5}}} {
		for _, perSecond := range size.limits {
			t.Run(fmt.Sprintf("%d hosts, %v per second", size.domains*size.hosts, perSecond), func(t *testing.T) {
				t.Parallel()
				f := newLimitedFleet(t, size.domains, size.hosts, size.endpoints, 1)
				limited := []model.EndpointName{limitedEndpoint(0, 0), limitedEndpoint(1, 1)}
				f.play(2 * time.Second)
				for _, name := range limited {
					f.limits[name] = perSecond
				}
				stated := f.now
				f.play(20 * time.Second)
				for _, name := range limited {
					must.LessEq(t, allowedInWindow(perSecond), f.mostInWindow(name, stated.Add(limitSettling), f.now))
					if perSecond < limitedLoadPerSecond {
						must.GreaterEq(t, int(0.3*perSecond*17), f.countBetween(name, stated.Add(limitSettling), f.now))
					}
				}
				must.Zero(t, f.refused, must.Sprint("other endpoints are free"))
			})
		}
	}
}

// Hosts that take the place of others, or are cut off, send no more than their shares.
func TestLimitsHoldWhileSharingHostsAreReplaced(t *testing.T) {
	t.Parallel()
	for seed := range uint64(5) {
		const perSecond = 1.0
		name := limitedEndpoint(0, 0)
		f := newLimitedFleet(t, 4, 3, 3, seed)
		f.limits[name] = perSecond
		f.play(limitSettling)
		stated := f.now
		for i := range 6 {
			host := fmt.Sprintf("h-0-%d", i%3)
			f.stop(host)
			f.play(3 * time.Second)
			f.startLimited(host, "d0", 3)
			cut := f.hosts[host]
			f.play(time.Second)
			f.isCut = func(from, to *control) bool { return (from == cut) != (to == cut) }
			f.play(3 * time.Second)
			f.isCut = nil
			f.play(time.Second)
		}
		must.LessEq(t, allowedInWindow(perSecond), f.mostInWindow(name, stated, f.now))
		must.Zero(t, f.refused)
	}
}

// startLimited starts a host that knows all endpoints.
func (f *limitedFleet) startLimited(address string, domain model.DomainName, endpoints int) {
	f.start(address, domain)
	f.addEndpoints(f.hosts[address], f.endpoints/endpoints, endpoints)
}

// A limit must not outlive its end at any host.
func TestEndedLimitIsKnownToAllHosts(t *testing.T) {
	t.Parallel()
	for _, hosts := range []int{2, 9} {
		f := newLimitedFleet(t, 4, hosts, 3, 1)
		name := limitedEndpoint(0, 0)
		f.play(10 * time.Second)
		usual := f.countBetween(name, f.now.Add(-10*time.Second), f.now)
		f.limits[name] = 0.5
		f.play(20 * time.Second)
		delete(f.limits, name)
		f.play(10 * time.Second)
		for _, address := range f.order {
			must.False(t, f.hosts[address].balancer.HasLimits(), must.Sprint(address))
		}
		f.play(10 * time.Second)
		must.GreaterEq(t, usual/2, f.countBetween(name, f.now.Add(-10*time.Second), f.now))
	}
}

// The limits are used up, nothing exceeds them, and refused callers return at different times.
func TestPoolOfLimitedEndpointsRefusesWhatExceedsTheLimits(t *testing.T) {
	t.Parallel()
	const perSecond = 1.0
	f := newLimitedFleet(t, 4, 2, 2, 1)
	for d := range 4 {
		for i := range 2 {
			f.limits[limitedEndpoint(d, i)] = perSecond
		}
	}
	f.play(limitSettling)
	start := f.now
	f.play(20 * time.Second)
	served := 0
	for name := range f.limits {
		must.LessEq(t, allowedInWindow(perSecond), f.mostInWindow(name, start, f.now))
		served += f.countBetween(name, start, f.now)
	}
	must.GreaterEq(t, int(0.7*8*perSecond*20), served)
	returns := make(map[time.Duration]bool)
	for _, address := range f.order {
		for range 20 {
			d := f.hosts[address].balancer.Submit(f.now, balance.Request{ID: "refused", Pool: "p", Target: time.Second, Arrived: f.now})
			if d.IsRefused() {
				must.Eq(t, balance.ReasonLimit, d.Reason)
				must.Positive(t, d.RetryAfter)
				returns[d.RetryAfter] = true
			}
		}
	}
	must.Greater(t, 50, len(returns))
}

// limitReply is a response that states no limit.
type limitReply struct {
	port.EndpointResponse
	status int
}

func (r limitReply) Status() int                              { return r.status }
func (r limitReply) RequestLimit() (port.RequestLimit, error) { return port.RequestLimit{}, nil }

func (r limitReply) Brittleness() (port.Brittleness, error) { return port.Brittleness{}, nil }

// A 421 comes from another endpoint at the address of a limited one.
func TestAnotherEndpointEndsNoLimit(t *testing.T) {
	c, _ := newTestControl(t)
	g := c.gateway
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		g.loop.Run(ctx, time.Hour, func(time.Time) {})
		close(ended)
	}()
	defer func() { stop(); <-ended }()
	c.balancer.SetBudget(attempt.SharedBudgetOptions{Window: 10 * time.Second})
	c.balancer.Apply(directory.Change{Entry: directory.Entry{Name: "e", Pool: "p", Address: "a", Domain: "north", Slots: 4}})
	now := time.Now()
	first := balance.Request{ID: "first", Pool: "p", Target: time.Second, Arrived: now}
	c.balancer.Submit(now, first)
	c.recordLimit(now, first.ID, port.RequestLimit{Stated: true, PerSecond: 1000})
	c.balancer.Submit(now.Add(time.Second), first)
	second := balance.Request{ID: "second", Pool: "p", Target: time.Second, Arrived: now}
	decision := c.balancer.Submit(now.Add(2*time.Second), second)
	must.Eq(t, 1000, decision.Limit)
	x := &exchange{gateway: g, req: second}
	hasLimits := func() bool {
		limits, ok := queryLoop(t.Context(), g, func(time.Time) bool { return c.balancer.HasLimits() })
		must.True(t, ok)
		return limits
	}
	x.recordLimit(decision, limitReply{status: http.StatusMisdirectedRequest})
	must.True(t, hasLimits())
	x.recordLimit(decision, limitReply{status: http.StatusServiceUnavailable})
	must.False(t, hasLimits())
}
