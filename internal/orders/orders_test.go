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

// fakePlatform is a fake log with one stream and a fake weight store.
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

// fakeEngines accepts and records all orders.
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

func controller(host model.HostID, p *fakePlatform, e *fakeEngines, desired ...order.DesiredState) *Controller {
	return New(Options{
		Loop: loop.New(), Host: host, Incarnation: 1, Domain: "d", PlatformLog: p, Engines: e, Weights: p,
		Desired: func() []order.DesiredState { return desired },
		Log:     &log.Logger{Handler: discard.New()},
	})
}

// run runs a controller with its own control loop until the returned function is
// called.
func run(t *testing.T, c *Controller) func() {
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		c.opts.Loop.Run(ctx, tickEvery, c.Tick)
		close(ended)
	}()
	c.Start()
	return func() {
		c.Close()
		stop()
		<-ended
	}
}

// firstTerm is the time after which a host that starts alone holds the lease.
const firstTerm = DefaultLease + DefaultOrderTimeout + safetyMargin + 2*time.Second

func TestOnlyLeaseHolderSendsOrdersAndHandsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, e := &fakePlatform{}, &fakeEngines{}
		desired := order.DesiredState{Endpoint: "e", Address: "a:1", Role: "decode"}
		controllers := []*Controller{controller("h1", p, e, desired), controller("h2", p, e, desired)}
		stops := make([]func(), len(controllers))
		for i, c := range controllers {
			stops[i] = run(t, c)
		}
		report := func(role string) {
			for _, c := range controllers {
				c.Report("e", port.EngineLoad{Role: role})
			}
			time.Sleep(time.Second)
			synctest.Wait()
		}
		report("prefill")
		must.Eq(t, 0, e.count())
		time.Sleep(firstTerm)
		report("prefill")
		must.Eq(t, 1, e.count())
		holder := 0
		if name, _ := controllers[0].keeper.Holder(); name == "h2" {
			holder = 1
		}
		first := e.orders[0].Fencing
		stops[holder]()
		time.Sleep(DefaultOrderTimeout + safetyMargin + 2*time.Second)
		report("prefill")
		must.Eq(t, 2, e.count())
		must.Greater(t, first, e.orders[1].Fencing)
		stops[1-holder]()
	})
}

func TestModelLoadsRespectWeightStoreRateLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, e := &fakePlatform{}, &fakeEngines{}
		var desired []order.DesiredState
		for _, name := range []model.EndpointName{"a", "b", "c", "d", "e", "f"} {
			desired = append(desired, order.DesiredState{Endpoint: name, Models: []model.ModelName{"m"}})
		}
		c := controller("h1", p, e, desired...)
		stop := run(t, c)
		time.Sleep(firstTerm)
		for _, w := range desired {
			c.Report(w.Endpoint, port.EngineLoad{})
		}
		time.Sleep(time.Second)
		must.Eq(t, weightBurst, e.count())
		time.Sleep(10 * time.Second)
		must.Eq(t, len(desired), e.count())
		must.Eq(t, len(desired), p.stats)
		stop()
	})
}
