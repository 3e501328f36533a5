package gateway

import (
	"context"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/clock"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/loop"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

// How a new configuration reaches all hosts:
//
//  1. Some hosts read the platform's store. All hosts publish their version.
//  2. A host with an older version fetches the configuration from a peer that
//     has it, preferably of its own failure domain, after a random delay: a
//     large configuration on a slow link can serve few fetches at once, and
//     more peers have it soon.
//  3. If the peer does not answer in time, the host reads the store, and then
//     asks the next peer.

const (
	// configFetchJitter is the upper bound of the random delay before a fetch.
	configFetchJitter = 250 * time.Millisecond
	// configFetchTimeout limits a fetch. A host must apply a configuration
	// within about 2 s, and needs time for two tries.
	configFetchTimeout = 700 * time.Millisecond
	// firstConfigWait is the time from a host's first digest within which it
	// receives digests of all peers that it can reach. A host that starts fetches
	// its first configuration from a peer only after it: a peer that was cut off
	// may have an old one, with keys that were withdrawn since.
	firstConfigWait = 300 * time.Millisecond
)

// fetchNewerConfig starts to fetch the configuration from a peer that has a newer
// version, if there is one and no fetch is in progress. After a failed fetch the
// host reads the store.
func (c *control) fetchNewerConfig(now time.Time) {
	if c.fetchingConfig || c.version() == 0 && !c.hasWaitedForPeers(now) {
		return
	}
	address := c.pickConfigPeer(now)
	if address == "" {
		return
	}
	c.fetchingConfig = true
	known := c.version()
	delay := time.Duration(c.gateway.rng.fraction() * float64(configFetchJitter))
	if known == 0 {
		// The host serves nothing without a configuration.
		delay = 0
	}
	g := c.gateway
	g.background(func(ctx context.Context) {
		defer g.loop.Post(loop.Func(func(time.Time) { c.fetchingConfig = false }))
		if !clock.Sleep(ctx, delay) {
			return
		}
		ctx, cancel := context.WithTimeout(ctx, configFetchTimeout)
		defer cancel()
		rec, err := g.opts.Peers.FetchConfig(ctx, address, known)
		if err != nil {
			g.opts.Log.WithError(err).WithField("address", address).Warn("peers: fetching the configuration failed")
			g.requestConfigRead()
			return
		}
		g.submitFetchedConfig(rec, address)
	})
}

// submitFetchedConfig passes a configuration fetched from a peer to the control
// loop, which receives it before the end of the fetch. It ignores the empty
// record of a peer without a newer version.
func (g *Gateway) submitFetchedConfig(rec port.ConfigRecord, address string) {
	if rec.Version > 0 {
		g.submitConfig(rec.Data, "peer "+address)
	}
}

// hasWaitedForPeers reports whether firstConfigWait has passed since the first
// digest, and since the last seed was asked for hosts.
func (c *control) hasWaitedForPeers(now time.Time) bool {
	return !c.firstDigestAt.IsZero() && now.Sub(c.firstDigestAt) >= firstConfigWait && c.peers.joiner.hasAskedSeeds(now)
}

// pickConfigPeer returns the address of a random live peer with a newer
// configuration than this host's, preferring its own failure domain. A host without
// a configuration picks among the peers with the highest version. It returns "" when
// there is none.
func (c *control) pickConfigPeer(now time.Time) string {
	lowest := c.version() + 1
	if c.version() == 0 {
		for _, p := range c.peers.peers {
			if c.peers.isLive(now, p) {
				lowest = max(lowest, p.version)
			}
		}
	}
	var local, candidates []string
	for address, p := range c.peers.peers {
		if p.version < lowest || !c.peers.isLive(now, p) {
			continue
		}
		candidates = append(candidates, address)
		if c.peers.isLocal(p) {
			local = append(local, address)
		}
	}
	if len(local) > 0 {
		candidates = local
	}
	if len(candidates) == 0 {
		return ""
	}
	return candidates[int(c.gateway.rng.fraction()*float64(len(candidates)))]
}

// requestConfigRead makes the host read the configuration from the store at
// once.
func (g *Gateway) requestConfigRead() {
	select {
	case g.readConfigNow <- struct{}{}:
	default:
	}
}

// version returns the version in force; 0 for none.
func (c *control) version() model.Version {
	if rec := c.gateway.record.Load(); rec != nil {
		return rec.Version
	}
	return 0
}
