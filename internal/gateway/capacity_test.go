package gateway

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/clock"
	"github.com/wigeonsail/wigeonsail/internal/core/capacity"
	"github.com/wigeonsail/wigeonsail/internal/core/directory"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/core/routing"
	"github.com/wigeonsail/wigeonsail/internal/core/usage"
	"github.com/wigeonsail/wigeonsail/internal/loop"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

// scaledPool returns a pool of which endpoints can be ordered.
func scaledPool() routing.Pool {
	return routing.Pool{
		Name: "p", Engine: &routing.Engine{Slots: 10, CacheTokens: 100_000},
		Scaling: &routing.Scaling{Min: 1, Max: 50, BootTime: 4 * time.Second, ReclaimablePrice: 0.2},
	}
}

func TestAllHostsLearnTheDemandOfAll(t *testing.T) {
	for _, perDomain := range []int{2, 30} {
		t.Run(fmt.Sprint(perDomain), func(t *testing.T) {
			f := newFleet(t, 3, perDomain)
			for _, c := range f.hosts {
				c.gateway.opts.Duties = &Duties{Held: []port.Duty{port.DutyCapacity}}
				c.capacity.setPools([]routing.Pool{scaledPool(), {Name: "plain"}})
				c.demand.before = []map[model.PoolName]capacity.Demand{{"p": {Requests: 1, PromptTokens: 500}, "plain": {Requests: 3}}}
			}
			f.run(12 * time.Second)
			for address, c := range f.hosts {
				v := c.poolViews(f.now)
				must.SliceLen(t, 1, v)
				must.Eq(t, float64(6*perDomain), v[0].Demand.Requests, must.Sprint(address))
				must.Eq(t, float64(3000*perDomain), v[0].Demand.PromptTokens)
				must.True(t, c.isDemandComplete(f.now, c.demand.byDomain(c.gateway.opts.Domain)))
			}
		})
	}
}

// Relays of a failure domain send each other what they know. Neither a demand that has
// fallen nor that of a domain that is cut off may be kept alive by that.
func TestRelaysDoNotKeepOldDemandAlive(t *testing.T) {
	f := newFleet(t, 3, 30)
	setDemand := func(requests float64) {
		for _, c := range f.hosts {
			c.demand.before = []map[model.PoolName]capacity.Demand{{"p": {Requests: requests}}}
		}
	}
	for _, c := range f.hosts {
		c.gateway.opts.Duties = &Duties{Held: []port.Duty{port.DutyCapacity}}
		c.capacity.setPools([]routing.Pool{scaledPool()})
	}
	setDemand(10)
	f.run(12 * time.Second)
	setDemand(1)
	f.run(8 * time.Second)
	for address, c := range f.hosts {
		must.Eq(t, 180, c.poolViews(f.now)[0].Demand.Requests, must.Sprint(address))
	}
	isApart := func(c *control) bool { return c.gateway.opts.Domain == "d2" }
	f.isCut = func(from, to *control) bool { return isApart(from) != isApart(to) }
	f.run(2 * demandLife)
	for address, c := range f.hosts {
		must.True(t, isApart(c) || c.demand.domains["d2"].at.IsZero(), must.Sprint(address))
	}
}

// Receivers take the records of a failure domain as complete.
func TestDemandOfADomainIsSentWholeOrNotAtAll(t *testing.T) {
	f := newFleet(t, 1, 1)
	c := f.hosts["h-0-0"]
	c.gateway.opts.Duties = &Duties{Held: []port.Duty{port.DutyCapacity}}
	var pools []routing.Pool
	for i := range 30 {
		pool := scaledPool()
		pool.Name = model.PoolName(fmt.Sprint("p", i))
		pools = append(pools, pool)
	}
	c.capacity.setPools(pools)
	for i := range 20 {
		domain := model.DomainName(fmt.Sprint("e", i))
		c.demand.receive(f.now, port.LoadDigest{Domain: domain, Demand: []capacity.Demand{{Pool: "p1", Domain: domain, Requests: 1}}})
	}
	sent := make(map[model.DomainName]int)
	for _, n := range c.localDemand(f.now) {
		sent[n.Domain]++
	}
	for domain, n := range sent {
		must.Eq(t, len(pools), n, must.Sprint(domain))
	}
}

func TestNoDemandIsSentWithoutTheDuty(t *testing.T) {
	f := newFleet(t, 1, 2)
	c := f.hosts["h-0-0"]
	c.capacity.setPools([]routing.Pool{scaledPool()})
	must.SliceEmpty(t, c.directDemand(f.now))
	must.SliceEmpty(t, c.localDemand(f.now))
	must.SliceEmpty(t, c.remoteDemand(f.now))
}

func TestQueuedDigestsKeepTheNewestDemandOfEachDomain(t *testing.T) {
	older := []capacity.Demand{{Pool: "p", Requests: 1}, {Pool: "p", Domain: "a", Requests: 2}}
	newer := []capacity.Demand{{Pool: "p", Requests: 3}}
	must.Eq(t, []capacity.Demand{{Pool: "p", Requests: 3}, {Pool: "p", Domain: "a", Requests: 2}}, mergeDemand(older, newer))
}

// fakeOrders holds the duty and answers orders with errors by domain.
type fakeOrders struct {
	gateway *Gateway
	errors  map[model.DomainName]error
	mu      sync.Mutex
	orders  []capacity.Order
}

func (f *fakeOrders) holder(time.Time) (port.DutyHolder, bool) {
	return port.DutyHolder{Host: "h", Fence: 0}, true
}

func (f *fakeOrders) call(_ port.DutyHolder, _ port.Duty, send func(ctx context.Context) error, done func(now time.Time, err error)) {
	f.gateway.background(func(ctx context.Context) {
		err := send(ctx)
		f.gateway.loop.Post(loop.Func(func(now time.Time) { done(now, err) }))
	})
}

func (f *fakeOrders) ReportUsage(context.Context, port.DutyHolder, usage.Report) error { return nil }

func (f *fakeOrders) OrderCapacity(_ context.Context, holder port.DutyHolder, o capacity.Order) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.orders = append(f.orders, o)
	return f.errors[o.Domain]
}

func TestTheHolderOrdersReclaimableEndpointsAndRepeatsARefusedOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		logs := memory.New()
		fake := &fakeOrders{errors: map[model.DomainName]error{"b": &port.DutyError{Duty: port.DutyCapacity, Conflict: true}}}
		g := New(Options{Host: "h", Domain: "a", Log: &log.Logger{Handler: logs}, Duties: &Duties{Client: fake, Steady: time.Now}})
		fake.gateway = g
		g.control.capacity.duty = fake
		g.opts.Duties.Held = []port.Duty{port.DutyCapacity}
		ctx, stop := context.WithCancel(context.Background())
		g.ctx = ctx
		go g.loop.Run(ctx, tickInterval, g.control.tick)
		g.loop.Post(loop.Func(func(now time.Time) {
			g.control.capacity.setPools([]routing.Pool{scaledPool()})
			for i := range 20 {
				e := directory.Entry{Name: model.EndpointName(fmt.Sprint(i)), Pool: "p", Domain: "a", Slots: 10}
				if i%2 > 0 {
					e.Domain = "b"
				}
				g.control.directory.Put(now, e)
			}
		}))
		clock.Sleep(ctx, time.Second)
		ordered := capacity.Order{Pool: "p", Domain: "a", Reclaimable: true, Count: 9}
		refused := capacity.Order{Pool: "p", Domain: "b", Reclaimable: true, Count: 9}
		must.Eq(t, []capacity.Order{ordered, refused}, fake.sorted())
		clock.Sleep(ctx, 2*time.Second)
		must.Eq(t, []capacity.Order{ordered, refused, refused}, fake.sorted())
		status, ok := g.PeerStatus(ctx)
		must.True(t, ok)
		must.SliceContains(t, status.Capacity, CapacityView{
			Pool: "p", Domain: "a", Reclaimable: true, Ordered: 9, Booting: 9, Why: capacity.ReasonCheaper,
		})
		must.True(t, slices.ContainsFunc(logs.Entries, func(e *log.Entry) bool {
			return e.Message == "capacity: order failed" && e.Fields["domain"] == model.DomainName("b")
		}))
		stop()
		g.workers.Wait()
		synctest.Wait()
	})
}

// sorted returns the orders by domain.
func (f *fakeOrders) sorted() []capacity.Order {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := slices.Clone(f.orders)
	slices.SortStableFunc(out, func(a, b capacity.Order) int { return int(a.Domain[0]) - int(b.Domain[0]) })
	return out
}
