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

// failingPeers fail every fetch of their configuration.
type failingPeers struct{ port.LoadShareClient }

func (failingPeers) FetchConfig(context.Context, string, model.Version) (port.ConfigRecord, error) {
	return port.ConfigRecord{}, errors.New("too slow")
}

// addPeer adds a live peer that has a version of the configuration.
func addPeer(c *control, address string, domain model.DomainName, version model.Version) {
	c.peers.peers[address] = &peer{host: model.HostID(address), domain: domain, version: version, lastSeen: at(0)}
}

// A host fetches from a peer of its own failure domain if it can, and only from
// peers that have a newer version and sent a digest recently.
func TestConfigIsFetchedFromLocalPeerFirst(t *testing.T) {
	c, _ := newTestControl(t)
	addPeer(c, "old", "north", 0)
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
	c.fetchNewerConfig(at(0))
	select {
	case <-c.gateway.readConfigNow:
	case <-time.After(5 * time.Second):
		t.Fatal("the host did not request a read of the store")
	}
	c.gateway.workers.Wait()
}
