package gateway

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

// cuttableEndpoints are the endpoints as one host reaches them. While its paths are cut,
// responses in progress break, each kept connection is reset when it is used, and new ones
// are refused.
type cuttableEndpoints struct {
	port.EndpointClient
	mu  sync.Mutex
	cut bool
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
	if cut {
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

func (c *cuttableEndpoints) Send(ctx context.Context, a port.RoutedAttempt) (port.EndpointResponse, error) {
	broken, err := c.use(a.Endpoint, true)
	if err != nil {
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
	return cuttableResponse{EndpointResponse: response, cancel: cancel}, nil
}

func (c *cuttableEndpoints) Probe(ctx context.Context, name model.EndpointName, address string) error {
	if _, err := c.use(name, false); err != nil {
		return err
	}
	return c.EndpointClient.Probe(ctx, name, address)
}

// cuttableResponse is a response that breaks when the paths are cut.
type cuttableResponse struct {
	port.EndpointResponse
	cancel context.CancelFunc
}

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
