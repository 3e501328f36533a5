package gateway

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/core/resume"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

// storeLink is the store that one gateway can be cut off from. Reads do not return before
// they are cancelled while it is.
type storeLink struct {
	*endpointLog
	mu     sync.Mutex
	healed chan struct{}
}

// cut cuts the gateway off from the store until heal is called.
func (s *storeLink) cut() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.healed = make(chan struct{})
}

func (s *storeLink) heal() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.healed)
	s.healed = nil
}

func (s *storeLink) wait(ctx context.Context) error {
	s.mu.Lock()
	healed := s.healed
	s.mu.Unlock()
	if healed == nil {
		return nil
	}
	select {
	case <-healed:
		return errConnectionReset
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *storeLink) LatestValues(ctx context.Context, topic port.Topic) (port.KeyedBatch, error) {
	if err := s.wait(ctx); err != nil {
		return port.KeyedBatch{}, err
	}
	return s.endpointLog.LatestValues(ctx, topic)
}

func (s *storeLink) Changes(ctx context.Context, topic port.Topic, from model.Position, wait time.Duration) (port.KeyedBatch, error) {
	if err := s.wait(ctx); err != nil {
		return port.KeyedBatch{}, err
	}
	return s.endpointLog.Changes(ctx, topic, from, wait)
}

// peerLinks are the peers that one gateway can be cut off from in both directions. Digests
// are late then, and calls do not return before they are cancelled.
type peerLinks struct {
	*directPeers
	// others are the links of all gateways, by address.
	others map[string]*peerLinks
	mu     sync.Mutex
	isCut  bool
	late   []func()
}

func (p *peerLinks) cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isCut = true
}

// heal delivers the late digests in order.
func (p *peerLinks) heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isCut = false
	for _, deliver := range p.late {
		deliver()
	}
	p.late = nil
}

// holdBack keeps a delivery until the cut has healed. It returns false if there is none.
func (p *peerLinks) holdBack(deliver func()) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isCut {
		p.late = append(p.late, deliver)
	}
	return p.isCut
}

// wait waits for the end of the call while either host is cut off.
func (p *peerLinks) wait(ctx context.Context, address string) error {
	for _, end := range []*peerLinks{p, p.others[address]} {
		end.mu.Lock()
		isCut := end.isCut
		end.mu.Unlock()
		if isCut {
			<-ctx.Done()
			return ctx.Err()
		}
	}
	return nil
}

// cuttableStream is a stream of digests over links that can be cut.
type cuttableStream struct {
	links   *peerLinks
	address string
}

func (s cuttableStream) Close() {}

func (s cuttableStream) Send(d port.LoadDigest) error {
	deliver := func() { s.links.get(s.address).HandleDigest(d) }
	if !s.links.holdBack(deliver) && !s.links.others[s.address].holdBack(deliver) {
		deliver()
	}
	return nil
}

func (p *peerLinks) OpenLoadStream(_ context.Context, address string) (port.LoadStream, error) {
	return cuttableStream{p, address}, nil
}

func (p *peerLinks) FetchHosts(ctx context.Context, address string, self port.HostInfo) ([]port.HostInfo, error) {
	if err := p.wait(ctx, address); err != nil {
		return nil, err
	}
	return p.directPeers.FetchHosts(ctx, address, self)
}

func (p *peerLinks) FindStream(ctx context.Context, address string, id resume.StreamID) (resume.Origin, bool, error) {
	if err := p.wait(ctx, address); err != nil {
		return resume.Origin{}, false, err
	}
	return p.directPeers.FindStream(ctx, address, id)
}

func (p *peerLinks) FetchEndpoints(ctx context.Context, address string) (port.EndpointList, error) {
	if err := p.wait(ctx, address); err != nil {
		return port.EndpointList{}, err
	}
	return p.directPeers.FetchEndpoints(ctx, address)
}

// cuttableFleet is a fleet whose hosts can be cut off.
type cuttableFleet struct {
	*versionFleet
	stores map[string]*storeLink
	links  map[string]*peerLinks
}

func newCuttableFleet(hosts int) *cuttableFleet {
	f := &cuttableFleet{newVersionFleet(hosts), make(map[string]*storeLink), make(map[string]*peerLinks)}
	for i := range hosts {
		address := fmt.Sprint("h", i)
		f.stores[address] = &storeLink{endpointLog: f.list}
		f.links[address] = &peerLinks{directPeers: f.peers, others: f.links}
	}
	f.change = func(opts *Options) { opts.Lists, opts.Peers = f.stores[opts.PeerAddress], f.links[opts.PeerAddress] }
	return f
}

// runSole starts the hosts before endpoints of version v1, and waits until the history of
// the pool shows where streams began.
func (f *cuttableFleet) runSole() {
	f.addVersions(3, "v1")
	f.run()
	time.Sleep(2 * resume.MinStreamLife)
}

// breakOften makes endpoints break off after a few events, so that callers have to take
// streams up again at the next host.
func (f *cuttableFleet) breakOften() {
	f.endpoints.mu.Lock()
	defer f.endpoints.mu.Unlock()
	f.endpoints.breakAfter = func(port.RoutedAttempt) int { return 3 }
}

// beginAt starts streams at a gateway. Callers take them up again at the next ones.
func (f *cuttableFleet) beginAt(gateway, count int) {
	for range count {
		f.call(gateway)
	}
}

// A host is cut off for less time than the age up to which it takes its list for current.
func TestStreamOfVersionThatJoinedDuringCutIsNotJoined(t *testing.T) {
	for _, c := range []struct {
		name         string
		store, peers bool
	}{{"from store and peers", true, true}, {"from peers", false, true}, {"from the store", true, false}, {"not at all", false, false}} {
		synctest.Test(t, func(t *testing.T) {
			f := newCuttableFleet(3)
			defer f.close()
			f.runSole()
			if c.store {
				f.stores["h1"].cut()
			}
			if c.peers {
				f.links["h1"].cut()
			}
			f.breakOften()
			f.addVersions(6, "v2")
			f.gateways[0].requestListRead()
			time.Sleep(100 * time.Millisecond)
			f.beginAt(0, 30)
			time.Sleep(1500 * time.Millisecond)
			if c.store {
				f.stores["h1"].heal()
			}
			if c.peers {
				f.links["h1"].heal()
			}
			got := f.results()
			must.Zero(t, got.joined, must.Sprint(c.name))
			must.Positive(t, got.wentOn, must.Sprint(c.name))
		})
	}
}
