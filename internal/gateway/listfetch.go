package gateway

import (
	"context"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/loop"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

// endsWait is the time after its first list in which a host asks a peer what has ended. Later
// the store has removed what was listed by mistake.
const endsWait = 5 * time.Second

// lacksEnds reports whether the store was restored from a copy before this host read its
// first list, so that a peer may withhold an entry which this host uses.
func (c *control) lacksEnds(now time.Time) bool {
	return !c.knowsEnds && c.nextInList.Era > model.FirstEra && now.Sub(c.firstListAt) < endsWait
}

// learnEnds takes over what a peer withholds while this host lacks it.
func (c *control) learnEnds(now time.Time, list port.EndpointList, address string) {
	if !c.lacksEnds(now) || list.Next.Era != c.nextInList.Era {
		return
	}
	c.knowsEnds = true
	c.applyEndpointChanges(now, c.directory.AdoptWithheld(now, list.Withheld), "list of peer "+address)
}

// refreshStaleList fetches the list of endpoints from the peer with the newest
// copy while the platform's store does not answer this host, and once while this host
// lacks what was seen to end before it started.
func (c *control) refreshStaleList(now time.Time) {
	if best := c.freshestPeer(now); best != "" && c.lacksEnds(now) {
		c.fetchList(now, best)
	}
	if c.fetchingList || c.directory.Age(now) < staleListAge {
		return
	}
	best := c.freshestPeer(now)
	if best == "" || c.directory.Len() > 0 && c.peers.peers[best].knownReadAge > staleListAge {
		return
	}
	c.fetchList(now, best)
}

// freshestPeer returns the address of the peer that knows of the newest read of the list,
// or "" if there are none from which digests arrive.
func (c *control) freshestPeer(now time.Time) string {
	best := ""
	for address, p := range c.peers.peers {
		if p.lastSeen.IsZero() || now.Sub(p.lastSeen) > heartbeatInterval*2 {
			continue
		}
		if best == "" || p.knownReadAge < c.peers.peers[best].knownReadAge {
			best = address
		}
	}
	return best
}

// fetchList starts to fetch the list of endpoints from a peer and adopts it if it
// is newer. It does nothing while a fetch is in progress or within
// listFetchInterval of the last one.
func (c *control) fetchList(now time.Time, address string) {
	if c.fetchingList || now.Sub(c.lastListFetch) < listFetchInterval {
		return
	}
	c.fetchingList = true
	c.lastListFetch = now
	g := c.gateway
	g.background(func(ctx context.Context) {
		list, err := g.opts.Peers.FetchEndpoints(ctx, address)
		if err != nil {
			g.opts.Log.WithError(err).WithField("address", address).Warn("peers: fetching the list of endpoints failed")
		}
		g.loop.Post(loop.Func(func(now time.Time) {
			c.fetchingList = false
			if err == nil {
				c.adoptList(now, list, address)
			}
		}))
	})
}

// adoptList applies the list of the peer at an address if it is newer than this
// host's.
func (c *control) adoptList(now time.Time, list port.EndpointList, address string) {
	c.learnEnds(now, list, address)
	if !list.Next.IsAfter(c.nextInList) {
		return
	}
	if c.nextInList != (model.Position{}) && !c.isListCurrent(now) {
		c.interruptVersions(now)
	}
	c.replaceList(now, list, "list of peer "+address)
	// Changes that this host publishes from now on follow the adopted list.
	c.lastListChange = list.Next
}

// endpointList returns this host's list for other hosts.
func (c *control) endpointList() port.EndpointList {
	return port.EndpointList{Entries: c.directory.Entries(), Withheld: c.directory.Withheld(), Next: c.nextInList}
}

// HandleFetchEndpoints returns this host's list of endpoints. It implements
// port.LoadHandler.
func (g *Gateway) HandleFetchEndpoints(ctx context.Context) (port.EndpointList, error) {
	list, ok := queryLoop(ctx, g, func(time.Time) port.EndpointList { return g.control.endpointList() })
	if !ok {
		return port.EndpointList{}, errStopped
	}
	return list, nil
}
