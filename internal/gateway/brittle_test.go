package gateway

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/core/balance"
	"github.com/wigeonsail/wigeonsail/internal/core/directory"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

// brittleSetup describes a fleet before endpoints that are brittle.
type brittleSetup struct {
	domains, perDomain int
	endpoints          int
	slots, queue       int
	rejections         int
	service            time.Duration
	load, urgentShare  float64
	viewInterval       time.Duration
}

// brittleFleet is a fleet before brittle endpoints of one pool, in simulated time.
type brittleFleet struct {
	*fleet
	brittleSetup
	rng     *rand.Rand
	brittle bool
	states  map[model.EndpointName]*brittleEndpoint
	order   []model.EndpointName
	next    int
	due     float64
	// submitted and served count requests: not urgent and urgent.
	submitted, served [2]int
	rejected, falls   int
	// busy is the slot time in use, and open the slot time of endpoints that run.
	busy, open time.Duration
}

// brittleEndpoint is an endpoint that falls over when it rejects too much.
type brittleEndpoint struct {
	running, queued []brittleRun
	rejectedAt      []time.Time
	downUntil       time.Time
	started         int64
}

// brittleRun is a request at an endpoint.
type brittleRun struct {
	host   *control
	id     model.RequestID
	urgent int
	ends   time.Time
}

// brittleRecovery is the time for which an endpoint that has fallen over is away.
const brittleRecovery = 3 * time.Second

func newBrittleFleet(t *testing.T, setup brittleSetup) *brittleFleet {
	f := &brittleFleet{
		fleet: newFleet(t, setup.domains, setup.perDomain), brittleSetup: setup, rng: rand.New(rand.NewPCG(1, 2)),
		states: make(map[model.EndpointName]*brittleEndpoint),
	}
	for i := range setup.endpoints {
		name := model.EndpointName(fmt.Sprint("e-", i))
		f.states[name], f.order = &brittleEndpoint{started: 1}, append(f.order, name)
	}
	for _, address := range f.fleet.order {
		f.introduce(address)
	}
	f.run(3 * time.Second)
	return f
}

// introduce lists the endpoints at a host.
func (f *brittleFleet) introduce(address string) {
	c := f.hosts[address]
	c.gateway.opts.MinDigestInterval = f.viewInterval
	c.balancer.Apply(directory.Change{Removed: true, Entry: directory.Entry{Name: "service"}})
	for _, name := range f.order {
		f.list(c, name, false)
	}
}

// list lists an endpoint at a host.
func (f *brittleFleet) list(c *control, name model.EndpointName, restarted bool) {
	c.balancer.Apply(directory.Change{Restarted: restarted, Entry: directory.Entry{
		Name: name, Pool: "p", Address: string(name), Started: f.states[name].started,
		Domain: model.DomainName(fmt.Sprint("d", len(name)%f.domains)), Slots: f.slots,
	}})
}

// play lets the fleet serve requests for some simulated time.
func (f *brittleFleet) play(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.serve()
		f.due += f.load * float64(f.endpoints*f.slots) * tickInterval.Seconds() / f.service.Seconds()
		for ; f.due >= 1; f.due-- {
			f.submitNext()
		}
		f.run(tickInterval)
	}
}

// submitNext submits a request at a random host.
func (f *brittleFleet) submitNext() {
	c := f.hosts[f.fleet.order[f.rng.IntN(len(f.fleet.order))]]
	urgent := 0
	if f.rng.Float64() < f.urgentShare {
		urgent = 1
	}
	f.submitted[urgent]++
	req := balance.Request{Pool: "p", Rank: model.Tier(1 - urgent), Target: time.Second, Arrived: f.now}
	for range maxDelivered {
		f.next++
		req.ID = model.RequestID(fmt.Sprint("r", f.next))
		decision := c.balancer.Submit(f.now, req)
		if decision.IsRefused() || f.send(c, &req, decision, urgent) {
			return
		}
	}
}

// send sends a request to an endpoint and returns whether that has taken it.
func (f *brittleFleet) send(c *control, req *balance.Request, decision balance.Decision, urgent int) bool {
	e := f.states[decision.Endpoint]
	run := brittleRun{host: c, id: req.ID, urgent: urgent}
	if f.now.Before(e.downUntil) {
		c.balancer.Finish(f.now, req.ID, balance.Result{Failure: balance.FailureUnreachable})
		req.Avoid = append(req.Avoid, decision.Endpoint)
		return false
	}
	if len(e.running)+len(e.queued) < f.slots+f.queue {
		e.queued = append(e.queued, run)
		return true
	}
	f.rejected++
	c.recordBrittleness(f.now, req.ID, f.statement())
	c.balancer.Finish(f.now, req.ID, balance.Result{Failure: balance.FailureRefused})
	req.Avoid, req.Retry = append(req.Avoid, decision.Endpoint), true
	f.countRejection(e)
	return false
}

// statement returns what responses state at present.
func (f *brittleFleet) statement() port.Brittleness {
	return port.Brittleness{Stated: f.brittle, Rejections: float64(f.rejections)}
}

// countRejection lets an endpoint fall over that has rejected too much.
func (f *brittleFleet) countRejection(e *brittleEndpoint) {
	e.rejectedAt = append(e.rejectedAt, f.now)
	for f.now.Sub(e.rejectedAt[0]) > time.Second {
		e.rejectedAt = e.rejectedAt[1:]
	}
	if !f.brittle || len(e.rejectedAt) <= f.rejections {
		return
	}
	f.falls++
	for _, r := range append(e.running, e.queued...) {
		if r.host.balancer != nil {
			r.host.balancer.Finish(f.now, r.id, balance.Result{Failure: balance.FailureBroken})
		}
	}
	*e = brittleEndpoint{downUntil: f.now.Add(brittleRecovery), started: e.started + 1}
}

// serve ends the requests that endpoints have served, begins others, and lists the
// endpoints that have started again.
func (f *brittleFleet) serve() {
	for _, name := range f.order {
		e := f.states[name]
		if f.now.Before(e.downUntil) {
			continue
		}
		if !e.downUntil.IsZero() {
			e.downUntil = time.Time{}
			for _, address := range f.fleet.order {
				f.list(f.hosts[address], name, true)
			}
		}
		f.serveAt(e)
		f.open += time.Duration(f.slots) * tickInterval
		f.busy += time.Duration(len(e.running)) * tickInterval
	}
}

// serveAt ends and begins requests at an endpoint.
func (f *brittleFleet) serveAt(e *brittleEndpoint) {
	kept := e.running[:0]
	for _, r := range e.running {
		if f.now.Before(r.ends) {
			kept = append(kept, r)
			continue
		}
		f.served[r.urgent]++
		r.host.recordBrittleness(f.now, r.id, f.statement())
		r.host.balancer.RecordFirstResponse(f.now, r.id)
		r.host.balancer.Finish(f.now, r.id, balance.Result{})
	}
	for len(kept) < f.slots && len(e.queued) > 0 {
		r := e.queued[0]
		e.queued = e.queued[1:]
		r.ends = f.now.Add(time.Duration((0.5 + f.rng.Float64()) * float64(f.service)))
		kept = append(kept, r)
	}
	e.running = kept
}

// begin makes the endpoints brittle: soon they let no requests wait.
func (f *brittleFleet) begin() {
	f.brittle = true
	f.play(2 * time.Second)
	f.queue = 0
	f.play(time.Second)
	f.falls, f.rejected, f.busy, f.open = 0, 0, 0, 0
	f.submitted, f.served = [2]int{}, [2]int{}
}

// allowedFalls returns how many falls are allowed in one brittle time.
func (f *brittleFleet) allowedFalls() int { return 2 + f.endpoints/10 }

// brittleSetups are a small service and a large one before 7 and 18 hosts.
func brittleSetups() []brittleSetup {
	small := brittleSetup{domains: 7, perDomain: 1, endpoints: 4, slots: 6, queue: 6, rejections: 3, service: time.Second, load: 1.6}
	large := brittleSetup{domains: 6, perDomain: 3, endpoints: 18, slots: 64, queue: 16, rejections: 6, service: 3 * time.Second, load: 1.4}
	smallManyHosts, largeFewHosts := large, small
	smallManyHosts.endpoints, smallManyHosts.slots, smallManyHosts.rejections, smallManyHosts.service = 4, 6, 2, time.Second
	largeFewHosts.endpoints, largeFewHosts.slots, largeFewHosts.service = 12, 128, 4*time.Second
	return []brittleSetup{small, large, smallManyHosts, largeFewHosts}
}

// forBrittleSetups runs a test for all sizes and ages of the hosts' views.
func forBrittleSetups(t *testing.T, run func(t *testing.T, setup brittleSetup)) {
	for _, setup := range brittleSetups() {
		for _, interval := range []time.Duration{50 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond} {
			setup := setup
			setup.viewInterval = interval
			name := fmt.Sprintf("%d hosts, %d endpoints, %d slots, views of %v", setup.domains*setup.perDomain, setup.endpoints, setup.slots, interval)
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				run(t, setup)
			})
		}
	}
}

// Brittle endpoints do not fall over, and their slots are used.
func TestBrittleEndpointsGetWhatFitsTheirSlots(t *testing.T) {
	forBrittleSetups(t, func(t *testing.T, setup brittleSetup) {
		f := newBrittleFleet(t, setup)
		f.play(5 * time.Second)
		f.begin()
		f.play(20 * time.Second)
		t.Logf("%s falls %d, rejected %d, used %.3f", t.Name()[41:], f.falls, f.rejected, f.busy.Seconds()/f.open.Seconds())
		must.LessEq(t, f.allowedFalls(), f.falls)
		must.GreaterEq(t, setup.leastUse(), f.busy.Seconds()/f.open.Seconds())
	})
}

// leastUse returns the share of the slots that must be in use: nine tenths of what is left
// if a host sees a free slot only after a view interval and fills it within another one. A
// slot is a small part of large endpoints, whose free slots are filled ahead.
func (s *brittleSetup) leastUse() float64 {
	if s.slots >= 64 && s.viewInterval <= 50*time.Millisecond {
		return 0.9
	}
	vacant := 2*s.viewInterval + tickInterval
	return 0.9 * s.service.Seconds() / (s.service + vacant).Seconds()
}

// Hosts that start, stop or are cut off leave brittle endpoints upright.
func TestBrittleEndpointsStayUprightWhileHostsChange(t *testing.T) {
	for _, setup := range brittleSetups()[:3] {
		t.Run(fmt.Sprintf("%d hosts, %d slots", setup.domains*setup.perDomain, setup.slots), func(t *testing.T) {
			t.Parallel()
			setup.viewInterval = 50 * time.Millisecond
			f := newBrittleFleet(t, setup)
			f.play(3 * time.Second)
			f.begin()
			for i := range 3 {
				address := fmt.Sprintf("h-%d-0", 3+i)
				f.stop(address)
				f.play(time.Second)
				f.start(address, model.DomainName(fmt.Sprint("d", 3+i)))
				f.introduce(address)
				f.play(2 * time.Second)
				cut := f.hosts[address]
				f.isCut = func(from, to *control) bool { return (from == cut) != (to == cut) }
				f.play(4 * time.Second)
				f.isCut = nil
				f.play(time.Second)
			}
			t.Logf("falls %d, rejected %d, used %.3f", f.falls, f.rejected, f.busy.Seconds()/f.open.Seconds())
			must.LessEq(t, f.allowedFalls(), f.falls)
		})
	}
}

// Urgent requests get the room of brittle endpoints before others.
func TestUrgentRequestsGetTheRoomOfBrittleEndpointsFirst(t *testing.T) {
	for _, setup := range brittleSetups()[:2] {
		t.Run(fmt.Sprintf("%d hosts", setup.domains*setup.perDomain), func(t *testing.T) {
			t.Parallel()
			setup.viewInterval, setup.urgentShare = 50*time.Millisecond, 0.3
			f := newBrittleFleet(t, setup)
			f.begin()
			f.play(20 * time.Second)
			others := float64(f.served[0]) / float64(f.submitted[0])
			urgent := float64(f.served[1]) / float64(f.submitted[1])
			t.Logf("falls %d, served %.3f of the urgent requests, %.3f of the others", f.falls, urgent, others)
			must.LessEq(t, f.allowedFalls(), f.falls)
			must.GreaterEq(t, 0.85, urgent)
			must.Less(t, urgent, others)
		})
	}
}

// Refused callers return at different times.
func TestRefusalsForWantOfRoomAreSpread(t *testing.T) {
	t.Parallel()
	setup := brittleSetups()[0]
	setup.load, setup.viewInterval = 3, 50*time.Millisecond
	f := newBrittleFleet(t, setup)
	f.begin()
	f.play(3 * time.Second)
	returns := make(map[time.Duration]bool)
	for _, address := range f.fleet.order {
		for range 20 {
			d := f.hosts[address].balancer.Submit(f.now, balance.Request{ID: "refused", Pool: "p", Rank: 1, Target: time.Second, Arrived: f.now})
			if d.IsRefused() {
				must.Eq(t, balance.ReasonBrittle, d.Reason)
				returns[d.RetryAfter] = true
			}
		}
	}
	must.Greater(t, 50, len(returns))
}

// What one host learns of brittleness is known to all, and so is its end.
func TestBrittlenessIsKnownToAllHosts(t *testing.T) {
	t.Parallel()
	setup := brittleSetups()[1]
	setup.load, setup.viewInterval = 0.2, 50*time.Millisecond
	f := newBrittleFleet(t, setup)
	f.brittle = true
	f.play(5 * time.Second)
	for _, c := range f.hosts {
		must.Eq(t, f.endpoints, c.balancer.CountBrittle())
	}
	f.brittle = false
	f.play(10 * time.Second)
	for _, c := range f.hosts {
		must.Zero(t, c.balancer.CountBrittle())
	}
}
