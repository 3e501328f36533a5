package gateway

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

// failingPeers are unreachable.
type failingPeers struct{ port.LoadShareClient }

func (failingPeers) FetchConfig(context.Context, string, model.Version) (port.ConfigRecord, error) {
	return port.ConfigRecord{}, errors.New("too slow")
}

func (failingPeers) OpenLoadStream(context.Context, string) (port.LoadStream, error) {
	return nil, errors.New("unreachable")
}

func (failingPeers) FetchEndpoints(context.Context, string) (port.EndpointList, error) {
	return port.EndpointList{}, errors.New("unreachable")
}

// addPeer adds a live peer that has a version of the configuration.
func addPeer(c *control, address string, domain model.DomainName, version model.Version) {
	c.peers.peers[address] = &peer{host: model.HostID(address), domain: domain, version: version, lastSeen: at(0)}
}

// A host that starts fetches the highest version that its peers have, once it has
// received digests from all of them. One of them may have been cut off for long.
func TestFirstConfigIsTheNewestOfAllPeers(t *testing.T) {
	c, _ := newTestControl(t)
	c.gateway.opts.Peers = failingPeers{}
	c.receiveDigest(at(0), port.LoadDigest{Host: "stale", Domain: "north", Address: "stale", Version: 1})
	must.False(t, c.fetchingConfig)
	c.receiveDigest(at(firstConfigWait-time.Millisecond), port.LoadDigest{Host: "fresh", Domain: "south", Address: "fresh", Version: 2})
	must.False(t, c.fetchingConfig)
	c.peers.joiner.requests, c.peers.joiner.askedAt = joinRequests-1, at(0)
	c.fetchNewerConfig(at(firstConfigWait))
	must.False(t, c.fetchingConfig, must.Sprint("a seed was not asked yet"))
	c.peers.joiner.requests = joinRequests
	for range 20 {
		must.Eq(t, "fresh", c.pickConfigPeer(at(firstConfigWait)))
	}
	c.fetchNewerConfig(at(firstConfigWait))
	must.True(t, c.fetchingConfig)
	c.gateway.stop()
	c.gateway.workers.Wait()
}

// A host fetches from a peer of its own failure domain if it can, and only from
// peers that have a newer version and sent a digest recently.
func TestConfigIsFetchedFromLocalPeerFirst(t *testing.T) {
	c, _ := newTestControl(t)
	c.gateway.record.Store(&port.ConfigRecord{Version: 1})
	addPeer(c, "old", "north", 1)
	must.Eq(t, "", c.pickConfigPeer(at(0)))
	addPeer(c, "far", "south", 3)
	must.Eq(t, "far", c.pickConfigPeer(at(0)))
	addPeer(c, "near", "north", 2)
	for range 20 {
		must.Eq(t, "near", c.pickConfigPeer(at(0)))
	}
	must.Eq(t, "", c.pickConfigPeer(at(time.Minute)))
}

// A peer's link is too slow for all hosts that fetch from it. The host falls
// back to reading the store.
func TestFailedConfigFetchFallsBackToStore(t *testing.T) {
	c, _ := newTestControl(t)
	c.gateway.opts.Peers = failingPeers{}
	addPeer(c, "peer", "north", 3)
	c.firstDigestAt = at(-firstConfigWait)
	c.peers.joiner.requests = joinRequests
	c.fetchNewerConfig(at(0))
	select {
	case <-c.gateway.readConfigNow:
	case <-time.After(5 * time.Second):
		t.Fatal("the host did not request a read of the store")
	}
	c.gateway.workers.Wait()
}
