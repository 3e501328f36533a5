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

// slowPeers fail to hand out their configuration.
type slowPeers struct{ port.LoadShareClient }

func (slowPeers) FetchConfig(context.Context, string, model.Version) (port.ConfigRecord, error) {
	return port.ConfigRecord{}, errors.New("too slow")
}

func withPeer(c *control, address string, domain model.DomainName, version model.Version) {
	c.peers.peers[address] = &peer{host: model.HostID(address), domain: domain, version: version, heard: at(0)}
}

// Hosts ask within their failure domain if they can, and only those that have a
// newer version and were heard of late.
func TestConfigsAreAskedOfNearPeers(t *testing.T) {
	c, _ := idleControl(t)
	withPeer(c, "old", "north", 0)
	must.Eq(t, "", c.configHolder(at(0)))
	withPeer(c, "far", "south", 3)
	must.Eq(t, "far", c.configHolder(at(0)))
	withPeer(c, "near", "north", 2)
	for range 20 {
		must.Eq(t, "near", c.configHolder(at(0)))
	}
	must.Eq(t, "", c.configHolder(at(time.Minute)))
}

// Load: a peer's link is too slow for all that ask it. The host reads the store.
func TestConfigsAreReadWhenPeersFail(t *testing.T) {
	c, _ := idleControl(t)
	c.gateway.opts.Peers = slowPeers{}
	withPeer(c, "peer", "north", 3)
	c.seekConfig(at(0))
	select {
	case <-c.gateway.configNews:
	case <-time.After(5 * time.Second):
		t.Fatal("the store was not asked")
	}
	c.gateway.workers.Wait()
}
