package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/core/directory"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/core/routing"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

// cuttableEndpoints are the endpoints as one host reaches them. While its paths are cut,
// responses in progress break, each kept connection is reset when it is used, and new ones
// are refused, or all of them hang.
type cuttableEndpoints struct {
	port.EndpointClient
	mu  sync.Mutex
	cut bool
	// hangs reports that connections hang while the paths are cut.
	hangs bool
	// broken is closed when a cut begins.
	broken chan struct{}
	// kept are the endpoints with a connection from before the cut.
	kept map[model.EndpointName]bool
	// only are the endpoints that are cut off; empty for all.
	only map[model.EndpointName]bool
}

func newCuttableEndpoints(c port.EndpointClient) *cuttableEndpoints {
	return &cuttableEndpoints{EndpointClient: c, broken: make(chan struct{}), kept: make(map[model.EndpointName]bool)}
}

// setCut cuts or restores the paths, to some endpoints or to all if none is named.
func (c *cuttableEndpoints) setCut(cut bool, only ...model.EndpointName) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut, c.only = cut, make(map[model.EndpointName]bool)
	for _, name := range only {
		c.only[name] = true
	}
	if cut && !c.hangs {
		close(c.broken)
		c.broken = make(chan struct{})
	}
}

// use returns the channel that is closed when the paths are cut, or the error of a
// connection that is used while they are.
func (c *cuttableEndpoints) use(name model.EndpointName, sends bool) (<-chan struct{}, *port.EndpointError) {
	c.mu.Lock()
	defer c.mu.Unlock()
	isCut := c.cut && (len(c.only) == 0 || c.only[name])
	if !isCut {
		c.kept[name] = c.kept[name] || sends
		return c.broken, nil
	}
	wasKept := c.kept[name]
	delete(c.kept, name)
	if sends && wasKept {
		return nil, errConnectionReset
	}
	return nil, errConnectionRefused
}

// wait waits while connections hang, at most for limit, or until ctx ends.
func (c *cuttableEndpoints) wait(ctx context.Context, limit time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for c.isHanging() && ctx.Err() == nil {
		sleepUnlessCrashed(ctx, 10*time.Millisecond, nil)
	}
}

func (c *cuttableEndpoints) isHanging() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hangs && c.cut
}

func (c *cuttableEndpoints) Send(ctx context.Context, a port.RoutedAttempt) (port.EndpointResponse, error) {
	broken, err := c.use(a.Endpoint, true)
	if err != nil {
		limit := unackedTime
		if err == errConnectionRefused {
			limit = dialTime
		}
		c.wait(ctx, limit)
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		defer cancel()
		select {
		case <-broken:
		case <-ctx.Done():
		}
	}()
	response, sendErr := c.EndpointClient.Send(ctx, a)
	if sendErr != nil {
		cancel()
		return nil, sendErr
	}
	return cuttableResponse{EndpointResponse: response, endpoints: c, ctx: ctx, cancel: cancel}, nil
}

func (c *cuttableEndpoints) Probe(ctx context.Context, name model.EndpointName, address string) error {
	if _, err := c.use(name, false); err != nil {
		if c.isHanging() {
			c.wait(ctx, checkTime)
			return &port.EndpointError{Outcome: model.OutcomeNotRun, Cause: context.DeadlineExceeded}
		}
		return err
	}
	return c.EndpointClient.Probe(ctx, name, address)
}

// cuttableResponse is a response that breaks when the paths are cut.
type cuttableResponse struct {
	port.EndpointResponse
	endpoints *cuttableEndpoints
	ctx       context.Context
	cancel    context.CancelFunc
}

func (r cuttableResponse) Next() (port.EventBatch, error) {
	if r.endpoints.isHanging() {
		r.endpoints.wait(r.ctx, idleTime)
		return port.EventBatch{}, errConnectionReset
	}
	return r.EndpointResponse.Next()
}

// Times after which hanging connections fail: new ones, checks, ones on which data was sent,
// and idle ones.
const (
	dialTime    = 350 * time.Millisecond
	checkTime   = 200 * time.Millisecond
	unackedTime = 3 * time.Second
	idleTime    = 7 * time.Second
)

func (r cuttableResponse) Close() {
	r.cancel()
	r.EndpointResponse.Close()
}

// newCutFleet starts a fleet and returns the endpoints as its first hosts reach them.
func newCutFleet(hosts, endpoints, cut int) (*crashFleet, []*cuttableEndpoints) {
	paths := make([]*cuttableEndpoints, cut)
	f := newCrashFleetWith(hosts, endpoints, func(i int, c port.EndpointClient) port.EndpointClient {
		if i >= cut {
			return c
		}
		paths[i] = newCuttableEndpoints(c)
		return paths[i]
	})
	return f, paths
}

// knownCrashes returns the number of crashes that a host that runs knows of.
func (g *Gateway) knownCrashes() int {
	count, _ := queryLoop(context.Background(), g, func(now time.Time) int { return len(g.control.quarantine.Report(now).Crashes) })
	return count
}

// A host that loses its paths to endpoints must not tell the others that the endpoints have crashed.
func TestHostWithoutPathsReportsNoCrashes(t *testing.T) {
	for _, c := range []struct {
		name string
		only []model.EndpointName
	}{
		{"no endpoint is reached", nil},
		{"some endpoints are reached", []model.EndpointName{"e0", "e1", "e2", "e3", "e4", "e5", "e6", "e7", "e8"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, paths := newCutFleet(3, 12, 1)
				defer f.close()
				f.play(3*time.Second, time.Hour, sharedParts)
				paths[0].setCut(true, c.only...)
				for range 5 {
					f.play(500*time.Millisecond, time.Hour, sharedParts)
					for _, g := range f.gateways {
						must.Zero(t, g.knownCrashes())
					}
				}
				paths[0].setCut(false)
				f.play(3*time.Second, time.Hour, sharedParts)
				for _, g := range f.gateways {
					must.Zero(t, g.knownCrashes())
					must.Zero(t, g.countSuspects())
				}
			})
		})
	}
}

// sharedParts are the parts of a sound request.
func sharedParts(int) []model.PartID { return []model.PartID{commonPart, 7} }

// A host that loses its paths serves its callers through hosts that reach the endpoints, as often as they are served there.
func TestCallersAreServedThroughOtherHosts(t *testing.T) {
	for _, c := range []struct {
		name       string
		hosts, cut int
	}{
		{"a third of the hosts", 6, 2},
		{"most hosts", 6, 4},
		{"all hosts but one", 6, 5},
		{"most hosts, with relays", 24, 16},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, paths := newCutFleet(c.hosts, 12, c.cut)
				defer f.close()
				f.play(3*time.Second, time.Hour, sharedParts)
				for _, p := range paths {
					p.setCut(true)
				}
				from := time.Now().Add(cutSettling)
				f.play(8*time.Second, time.Hour, sharedParts)
				must.GreaterEq(t, minSoundShare, f.soundShare(from))
				for _, p := range paths {
					p.setCut(false)
				}
				from = time.Now().Add(cutSettling)
				f.play(6*time.Second, time.Hour, sharedParts)
				must.GreaterEq(t, minSoundShare, f.soundShare(from))
				for _, g := range f.gateways {
					must.True(t, g.Ready())
					must.Eq(t, 0, g.countUnreached())
				}
			})
		})
	}
}

// cutSettling is the time after the beginning or the end of a cut from which on callers
// must be served as before.
const cutSettling = 3 * time.Second

// countUnreached returns the number of endpoints that a host that runs does not reach.
func (g *Gateway) countUnreached() int {
	count, _ := queryLoop(context.Background(), g, func(time.Time) int { return g.control.balancer.PathReport().Unreached })
	return count
}

// sameVersionDecoder decodes endpoints that all run one version of the software.
type sameVersionDecoder struct{ endpointDecoder }

func (d sameVersionDecoder) Endpoint(key string, value []byte) (directory.Entry, error) {
	out, err := d.endpointDecoder.Endpoint(key, value)
	out.Software = "1"
	return out, err
}

// A stream that may be resumed does not wait for connections that hang: it goes on through another host.
func TestHangingStreamsGoOnThroughOtherHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		paths := make([]*cuttableEndpoints, 3)
		f := startCrashFleet(&crashFleet{kind: routing.Streaming, decoder: sameVersionDecoder{}, connect: func(i int, c port.EndpointClient) port.EndpointClient {
			paths[i] = newCuttableEndpoints(c)
			paths[i].hangs = true
			return paths[i]
		}}, 3, 12)
		defer f.close()
		f.endpoints.events = 24
		f.play(3*time.Second, time.Hour, sharedParts)
		for range 30 {
			f.call(commonPart, 7)
		}
		time.Sleep(shortPrefill + 100*time.Millisecond)
		paths[0].setCut(true)
		cutAt := time.Now()
		f.callers.Wait()
		must.LessEq(t, cutSettling, time.Since(cutAt))
		must.Eq(t, 1, f.soundShare(cutAt.Add(-time.Second)))
	})
}

// countedEndpoints counts the requests that arrive at endpoints.
type countedEndpoints struct {
	port.EndpointClient
	mu       *sync.Mutex
	arrivals map[model.RequestID]int
}

func (c countedEndpoints) Send(ctx context.Context, a port.RoutedAttempt) (port.EndpointResponse, error) {
	c.mu.Lock()
	c.arrivals[a.Call.ID]++
	c.mu.Unlock()
	return c.EndpointClient.Send(ctx, a)
}

// flappingPaths is a fleet in which some hosts lose their paths and get them back.
type flappingPaths struct {
	hosts, cut int
	hangs      bool
	// times are the times in milliseconds between changes.
	times []int
}

// play sends requests that may run once. It returns how often the one that arrived most often
// has arrived, and the share that is served once the paths are back.
func (p flappingPaths) play() (arrivals int, share float64) {
	counted := countedEndpoints{mu: new(sync.Mutex), arrivals: make(map[model.RequestID]int)}
	paths := make([]*cuttableEndpoints, p.cut)
	f := startCrashFleet(&crashFleet{kind: routing.NonIdempotent, connect: func(i int, c port.EndpointClient) port.EndpointClient {
		counted.EndpointClient = c
		if i >= p.cut {
			return counted
		}
		paths[i] = newCuttableEndpoints(counted)
		paths[i].hangs = p.hangs
		return paths[i]
	}}, p.hosts, 12)
	defer f.close()
	f.play(time.Second, time.Hour, sharedParts)
	for i, ms := range p.times {
		for _, c := range paths {
			c.setCut(i%2 == 0)
		}
		f.play(time.Duration(ms)*time.Millisecond, time.Hour, sharedParts)
	}
	for _, c := range paths {
		c.setCut(false)
	}
	from := time.Now().Add(cutSettling)
	f.play(cutSettling+time.Second, time.Hour, sharedParts)
	for _, count := range counted.arrivals {
		arrivals = max(arrivals, count)
	}
	return arrivals, f.soundShare(from)
}

// While paths come and go, a request that may run once arrives at an endpoint at most once.
func TestRequestsRunAtMostOnceWhilePathsFlap(t *testing.T) {
	for seed := range uint64(30) {
		rng := rand.New(rand.NewPCG(seed, 0))
		p := flappingPaths{hosts: 2 + rng.IntN(4), hangs: rng.IntN(2) == 0}
		p.cut = 1 + rng.IntN(p.hosts-1)
		for range 2 + rng.IntN(5) {
			p.times = append(p.times, 50+rng.IntN(1450))
		}
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				arrivals, share := p.play()
				must.Eq(t, 1, arrivals, must.Sprintf("%+v", p))
				must.GreaterEq(t, minSoundShare, share, must.Sprintf("%+v", p))
			})
		})
	}
}

// A host without paths takes callers while other hosts send its attempts, and sends them away if none does.
func TestHostWithoutPathsTakesCallersWhileItCanServeThem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, paths := newCutFleet(3, 12, 3)
		defer f.close()
		f.play(time.Second, time.Hour, sharedParts)
		paths[0].setCut(true)
		f.play(cutSettling, time.Hour, sharedParts)
		must.True(t, f.gateways[0].Ready())
		must.False(t, f.gateways[0].ClosesConnections())
		paths[1].setCut(true)
		paths[2].setCut(true)
		f.play(cutSettling, time.Hour, sharedParts)
		for _, g := range f.gateways {
			must.False(t, g.Ready())
			must.True(t, g.ClosesConnections())
		}
		for _, p := range paths {
			p.setCut(false)
		}
		time.Sleep(cutSettling)
		for _, g := range f.gateways {
			must.True(t, g.Ready())
			must.False(t, g.ClosesConnections())
		}
	})
}
