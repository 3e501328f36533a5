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
//  1. Some hosts read the platform's store. All hosts tell their version.
//  2. A host with an older one asks a peer of its failure domain that has it, or
//     any, after a random moment: a large configuration and a slow link bear few
//     askers at once, and there are more who have it soon.
//  3. When the peer does not answer in time, the host reads the store, and then
//     asks the next peer.

const (
	// configAskSpread is the time over which hosts spread their questions.
	configAskSpread = 250 * time.Millisecond
	// configAskTimeout bounds a question. A host must follow a configuration
	// within about 2 s, and has to try twice.
	configAskTimeout = 700 * time.Millisecond
)

// seekConfig asks a peer for its configuration if one has a newer version.
func (c *control) seekConfig(now time.Time) {
	if c.fetchingConfig {
		return
	}
	address := c.configHolder(now)
	if address == "" {
		return
	}
	c.fetchingConfig = true
	known := c.version()
	wait := time.Duration(c.gateway.draws.next() * float64(configAskSpread))
	if known == 0 {
		// The host serves nothing before.
		wait = 0
	}
	g := c.gateway
	g.background(func(ctx context.Context) {
		defer g.loop.Post(loop.Func(func(time.Time) { c.fetchingConfig = false }))
		if !clock.Sleep(ctx, wait) {
			return
		}
		ctx, cancel := context.WithTimeout(ctx, configAskTimeout)
		defer cancel()
		rec, err := g.opts.Peers.FetchConfig(ctx, address, known)
		if err != nil {
			g.opts.Log.WithError(err).WithField("address", address).Warn("peers: configuration not fetched")
			g.askForConfigNews()
			return
		}
		g.configFetched(rec, address)
	})
}

// configFetched puts a peer's configuration in force. The control loop knows of
// it before it hears that the fetch has ended.
func (g *Gateway) configFetched(rec port.ConfigRecord, address string) {
	if rec.Version > 0 {
		g.takeConfig(rec.Data, "peer "+address)
	}
}

// configHolder chooses a peer with a newer configuration than this host's: one of
// the own failure domain if there is any. It returns "" for none.
func (c *control) configHolder(now time.Time) string {
	var near, all []string
	for address, p := range c.peers.peers {
		if p.version <= c.version() || !c.peers.isLive(now, p) {
			continue
		}
		all = append(all, address)
		if c.peers.isNear(p) {
			near = append(near, address)
		}
	}
	if len(near) > 0 {
		all = near
	}
	if len(all) == 0 {
		return ""
	}
	return all[int(c.gateway.draws.next()*float64(len(all)))]
}

// askForConfigNews lets the host read the configuration from the store at once.
func (g *Gateway) askForConfigNews() {
	select {
	case g.configNews <- struct{}{}:
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
