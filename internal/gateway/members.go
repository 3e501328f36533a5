package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/core/relay"
	"github.com/wigeonsail/wigeonsail/internal/loop"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

// How hosts find each other. The number of connections of a host must not grow with
// the fleet:
//
//  1. A host that starts asks its seeds for hosts, and names itself. A seed answers
//     with the hosts of the caller's failure domain and some of each other domain.
//  2. Hosts that exchange digests repeat such lists every few seconds, with the time
//     since each host was last heard from.
//  3. A host that hears from no relay of its domain, or a relay that knows no host of
//     another domain any more, asks again: seeds, and hosts that it knew.

const (
	// hostsPerRemoteDomain is the number of hosts of another failure domain in a
	// list: its relays and some that may replace them.
	hostsPerRemoteDomain = 4
	// maxLocalHosts bounds the hosts of one failure domain in a list.
	maxLocalHosts = 256
	// joinInterval is the time between two requests for hosts while this host
	// joins, rejoinInterval while it is isolated. Another request is made every
	// refreshInterval by relays, so that parts of the fleet which have found
	// different hosts find each other.
	joinInterval    = 400 * time.Millisecond
	rejoinInterval  = time.Second
	refreshInterval = 15 * time.Second
	// joinRequests is the number of requests that a host makes when it starts, to
	// one seed after the other. All hosts of a fleet may start at once, and a seed
	// knows those that have asked it before.
	joinRequests = 3
)

// joiner asks other hosts for hosts. The control loop owns it.
type joiner struct {
	// ask asks the host at an address. Its result is passed to answered.
	ask      func(address string)
	requests int
	asking   bool
	// askedAt is when the last request was made or, once answered, its answer came.
	askedAt time.Time
	// checkedAt is when it was last determined whether a request is due.
	checkedAt time.Time
}

// tick asks for hosts if that is due.
func (j *joiner) tick(now time.Time, t *peerTable) {
	if j.asking || t.gateway.opts.Peers == nil || now.Sub(j.askedAt) < joinInterval {
		return
	}
	if now.Sub(j.checkedAt) < joinInterval {
		return
	}
	j.checkedAt = now
	if now.Sub(j.askedAt) < j.interval(now, t) {
		return
	}
	address := t.pickHostSource(j.requests)
	if address == "" {
		return
	}
	j.asking, j.askedAt = true, now
	j.requests++
	j.ask(address)
}

// hasAskedSeeds reports whether the requests of a host that starts were answered, and
// the hosts that they named had firstConfigWait to send digests.
func (j *joiner) hasAskedSeeds(now time.Time) bool {
	return j.requests >= joinRequests && !j.asking && now.Sub(j.askedAt) >= firstConfigWait
}

// answered records the hosts that another host has named.
func (j *joiner) answered(now time.Time, t *peerTable, hosts []port.HostInfo) {
	j.asking, j.askedAt = false, now
	for _, info := range hosts {
		t.learn(now, info)
	}
}

// askForHosts asks the host at an address for hosts in the background.
func (t *peerTable) askForHosts(address string) {
	g := t.gateway
	self := t.self()
	g.background(func(ctx context.Context) {
		hosts, err := g.opts.Peers.FetchHosts(ctx, address, self)
		if err != nil {
			g.opts.Metrics.PeerError("hosts")
			g.opts.Log.WithError(err).WithField("address", address).Warn("peers: asking for hosts failed")
		}
		g.loop.Post(loop.Func(func(now time.Time) { t.joiner.answered(now, t, hosts) }))
	})
}

// interval returns the time between two requests for hosts.
func (j *joiner) interval(now time.Time, t *peerTable) time.Duration {
	switch {
	case j.requests < joinRequests:
		return joinInterval
	case t.isIsolated(now):
		return rejoinInterval
	case t.digests.isRelay:
		return refreshInterval
	default:
		return forgetPeerAfter
	}
}

// isIsolated reports whether this host needs to know more hosts: it hears from none
// of its failure domain although it knows some, or as a relay from none of another
// domain.
func (t *peerTable) isIsolated(now time.Time) bool {
	known := make(map[model.DomainName]bool)
	heard := make(map[model.DomainName]bool)
	for _, p := range t.peers {
		if p.host == "" {
			known[""] = true
			continue
		}
		known[p.domain] = true
		heard[p.domain] = heard[p.domain] || t.hearsFrom(now, p)
	}
	own := t.gateway.opts.Domain
	if len(known) == 1 && known[""] || known[own] && !heard[own] {
		return true
	}
	if !t.digests.isRelay {
		return false
	}
	for domain := range known {
		if domain != "" && domain != own && !heard[domain] {
			return true
		}
	}
	return false
}

// pickHostSource returns the address to ask for hosts: the seeds in turn, starting at
// different ones at different hosts, and each second time a known host that is no
// seed, since the seeds may be gone. It returns "" for none.
func (t *peerTable) pickHostSource(request int) string {
	var seeds, others []string
	for address, p := range t.peers {
		if p.seed {
			seeds = append(seeds, address)
		} else if p.host != "" {
			others = append(others, address)
		}
	}
	slices.Sort(seeds)
	slices.Sort(others)
	if len(seeds) == 0 || request >= joinRequests && request%2 == 1 && len(others) > 0 {
		if len(others) == 0 {
			return ""
		}
		return others[int(t.gateway.rng.fraction()*float64(len(others)))]
	}
	return seeds[(request+int(t.gateway.opts.Seed%uint64(len(seeds))))%len(seeds)]
}

// self returns the description of this host.
func (t *peerTable) self() port.HostInfo {
	opts := &t.gateway.opts
	return port.HostInfo{Host: opts.Host, Domain: opts.Domain, Address: opts.PeerAddress, LinkSpeedMbps: opts.LinkMbps}
}

// learn records what another host has reported about a host.
func (t *peerTable) learn(now time.Time, info port.HostInfo) {
	if info.Host == t.gateway.opts.Host || info.Age >= forgetPeerAfter {
		return
	}
	p := t.add(now, info.Address, false)
	if p == nil {
		return
	}
	heardAt := now.Add(-max(info.Age, 0))
	if !heardAt.After(p.heardAt()) && p.host != "" {
		return
	}
	if p.host != info.Host || p.domain != info.Domain {
		t.digests.membersChanged()
	}
	p.host, p.domain, p.linkMbps = info.Host, info.Domain, info.LinkSpeedMbps
	p.reportedAt = later(p.reportedAt, heardAt)
}

// hostsFor returns the hosts to list for a host of a failure domain: all live ones
// of that domain that this host knows, and some of each other one.
func (t *peerTable) hostsFor(now time.Time, domain model.DomainName) []port.HostInfo {
	byDomain := make(map[model.DomainName][]relay.Member)
	for _, m := range t.liveMembers(now) {
		byDomain[m.Domain] = append(byDomain[m.Domain], m)
	}
	self := t.self()
	byDomain[self.Domain] = append(byDomain[self.Domain], relay.Member{Host: self.Host, Domain: self.Domain, Address: self.Address, LinkMbps: self.LinkSpeedMbps})
	var out []port.HostInfo
	for name, members := range byDomain {
		count := hostsPerRemoteDomain
		if name == domain {
			count = maxLocalHosts
		}
		for _, m := range relay.SelectN(members, count) {
			out = append(out, t.info(now, m))
		}
	}
	return out
}

// info returns the description of a live host.
func (t *peerTable) info(now time.Time, m relay.Member) port.HostInfo {
	out := port.HostInfo{Host: m.Host, Domain: m.Domain, Address: m.Address, LinkSpeedMbps: m.LinkMbps}
	if p := t.peers[m.Address]; p != nil {
		out.Age = max(now.Sub(p.heardAt()), 0)
	}
	return out
}

// admit records a host that joins and returns the hosts that it needs to know.
func (t *peerTable) admit(now time.Time, caller port.HostInfo) []port.HostInfo {
	caller.Age = 0
	t.learn(now, caller)
	return t.hostsFor(now, caller.Domain)
}

// HandleFetchHosts returns the hosts that a host which joins the fleet needs to know,
// and records that host. It implements port.LoadHandler.
func (g *Gateway) HandleFetchHosts(ctx context.Context, caller port.HostInfo) ([]port.HostInfo, error) {
	hosts, ok := queryLoop(ctx, g, func(now time.Time) []port.HostInfo { return g.control.peers.admit(now, caller) })
	if !ok {
		return nil, errStopped
	}
	return hosts, nil
}
