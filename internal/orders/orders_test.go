package orders

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/clock"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/core/order"
	"github.com/wigeonsail/wigeonsail/internal/loop"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

// fakePlatform is a log of one stream and a weight store.
type fakePlatform struct {
	mu      sync.Mutex
	records []port.Record
	stats   int
}

func (p *fakePlatform) Append(_ context.Context, _ port.StreamName, data []byte) (model.Offset, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	offset := model.Offset(len(p.records))
	p.records = append(p.records, port.Record{Offset: offset, Data: data})
	return offset, nil
}

func (p *fakePlatform) Read(ctx context.Context, _ port.StreamName, from model.Offset, _ int, wait time.Duration) (port.Batch, error) {
	if wait > 0 {
		clock.Sleep(ctx, 100*time.Millisecond)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	batch := port.Batch{NextOffset: model.Offset(len(p.records))}
	if from < batch.NextOffset {
		batch.Records = append(batch.Records, p.records[from:]...)
	}
	return batch, nil
}

func (p *fakePlatform) Stat(context.Context, model.ModelName) (int64, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stats++
	return 1, nil
}

// fakeEngines takes all orders.
type fakeEngines struct {
	port.EngineClient
	mu     sync.Mutex
	orders []port.EngineOrder
}

func (e *fakeEngines) Order(_ context.Context, _ string, o port.EngineOrder) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders = append(e.orders, o)
	return nil
}

func (e *fakeEngines) count() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.orders)
}

func controller(host model.HostID, p *fakePlatform, e *fakeEngines, wanted ...order.Wanted) *Controller {
	return New(Options{
		Loop: loop.New(), Host: host, Incarnation: 1, Domain: "d", PlatformLog: p, Engines: e, Weights: p,
		Wanted: func() []order.Wanted { return wanted },
		Log:    &log.Logger{Handler: discard.New()},
	})
}

// run runs a controller with a control loop of its own until the returned function
// is called.
func run(t *testing.T, g *Controller) func() {
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		g.opts.Loop.Run(ctx, tickEvery, g.Tick)
		close(ended)
	}()
	g.Start()
	return func() {
		g.Close()
		stop()
		<-ended
	}
}

// firstTerm is when a host that starts alone holds the lease.
const firstTerm = DefaultLease + DefaultOrderTimeout + margin + 2*time.Second

func TestOneHostGivesOrdersAndHandsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, e := &fakePlatform{}, &fakeEngines{}
		wanted := order.Wanted{Endpoint: "e", Address: "a:1", Role: "decode"}
		controllers := []*Controller{controller("h1", p, e, wanted), controller("h2", p, e, wanted)}
		stops := make([]func(), len(controllers))
		for i, g := range controllers {
			stops[i] = run(t, g)
		}
		tell := func(role string) {
			for _, g := range controllers {
				g.Report("e", port.EngineLoad{Role: role})
			}
			time.Sleep(time.Second)
			synctest.Wait()
		}
		tell("prefill")
		must.Eq(t, 0, e.count())
		time.Sleep(firstTerm)
		tell("prefill")
		must.Eq(t, 1, e.count())
		holder := 0
		if name, _ := controllers[0].keeper.Holder(); name == "h2" {
			holder = 1
		}
		first := e.orders[0].Fencing
		stops[holder]()
		time.Sleep(DefaultOrderTimeout + margin + 2*time.Second)
		tell("prefill")
		must.Eq(t, 2, e.count())
		must.Greater(t, first, e.orders[1].Fencing)
		stops[1-holder]()
	})
}

func TestLoadsKeepToTheWeightStoresBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, e := &fakePlatform{}, &fakeEngines{}
		var wanted []order.Wanted
		for _, name := range []model.EndpointName{"a", "b", "c", "d", "e", "f"} {
			wanted = append(wanted, order.Wanted{Endpoint: name, Models: []model.ModelName{"m"}})
		}
		g := controller("h1", p, e, wanted...)
		stop := run(t, g)
		time.Sleep(firstTerm)
		for _, w := range wanted {
			g.Report(w.Endpoint, port.EngineLoad{})
		}
		time.Sleep(time.Second)
		must.Eq(t, weightBurst, e.count())
		time.Sleep(10 * time.Second)
		must.Eq(t, len(wanted), e.count())
		must.Eq(t, len(wanted), p.stats)
		stop()
	})
}
