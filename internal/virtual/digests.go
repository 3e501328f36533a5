package virtual

import (
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/dispatch"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/core/placement"
)

const (
	tickEvery = 100 * time.Millisecond
	// digestEvery is the time between digests; freshDigestEvery stands for
	// digests without delay.
	digestEvery      = 100 * time.Millisecond
	freshDigestEvery = 10 * time.Millisecond
	// domainDigestEvery is the time between digests to other domains.
	domainDigestEvery = 200 * time.Millisecond
	// reportEvery and reportDelay describe the endpoints' load reports.
	reportEvery = time.Second
	reportDelay = 500 * time.Millisecond
	// forgetAfter is when hosts drop a peer that is silent.
	forgetAfter = 10 * time.Second
	// cutFrom is the part of the run at which a host is cut off.
	cutFrom = 0.3
)

// peer is a host with a dispatcher and its view of the others.
type peer struct {
	*host
	core    *dispatch.Dispatcher
	cluster *cluster
	digests []dispatch.PeerHost
	domains []dispatch.PeerDomain
}

// addPeers adds the hosts that run the project's policy.
func (c *cluster) addPeers(sharing placement.Sharing) {
	cfg := c.config()
	var peers []*peer
	for i := range c.load.domains * c.load.hostsPerDomain {
		h := &host{cluster: c, index: i, domain: i / c.load.hostsPerDomain}
		h.id = model.HostID("host-" + string(rune('a'+i)))
		core := dispatch.New(dispatch.Options{
			Host: h.id, Domain: domainName(h.domain), Seed: c.opts.Seed + uint64(i), Sharing: sharing,
		})
		h.policy = core
		core.SetConfig(c.clock.Now(), cfg)
		c.hosts = append(c.hosts, h)
		peers = append(peers, &peer{
			host: h, core: core, cluster: c,
			digests: make([]dispatch.PeerHost, c.load.hostsPerDomain),
			domains: make([]dispatch.PeerDomain, c.load.domains),
		})
	}
	for _, p := range peers {
		p.schedule(peers)
	}
}

// schedule starts the host's ticks, digests and load reports.
func (p *peer) schedule(all []*peer) {
	c := p.cluster
	offset := time.Duration(p.index) * time.Millisecond
	c.clock.Every(offset, tickEvery, c.idle, func() { c.apply(p.host, p.core.Tick(c.clock.Now())) })
	period := digestEvery
	if c.opts.DigestDelay == 0 {
		period = freshDigestEvery
	}
	c.clock.Every(offset, period, c.idle, func() { p.sendDigest(all) })
	c.clock.Every(offset, domainDigestEvery, c.idle, func() { p.sendDomainDigest(all) })
	c.clock.Every(offset, reportEvery, c.idle, func() { p.readReports() })
}

// idle says that all requests have arrived and ended.
func (c *cluster) idle() bool {
	if c.clock.Now().Sub(time.Unix(0, 0)) < c.opts.Duration {
		return false
	}
	for len(c.open) > 0 && c.open[0].ended() {
		c.open = c.open[1:]
	}
	return len(c.open) == 0
}

// cutOff says that the host exchanges no digests.
func (p *peer) cutOff() bool {
	c := p.cluster
	first := p.index%c.load.hostsPerDomain == 0
	from := seconds(cutFrom * c.opts.Duration.Seconds())
	return c.opts.CutOff && first && c.clock.Now().Sub(time.Unix(0, 0)) >= from
}

func (p *peer) sendDigest(all []*peer) {
	c := p.cluster
	d := p.core.Digest(c.clock.Now())
	for _, other := range all {
		if other.domain != p.domain || other == p || p.cutOff() || other.cutOff() {
			continue
		}
		c.clock.After(c.opts.DigestDelay, func() { other.takeDigest(p.index, d) })
	}
	if p.cutOff() {
		c.apply(p.host, p.core.SetPeers(c.clock.Now(), p.view()))
	}
}

func (p *peer) takeDigest(from int, d dispatch.PeerHost) {
	c := p.cluster
	p.digests[from%c.load.hostsPerDomain] = d
	c.apply(p.host, p.core.SetPeers(c.clock.Now(), p.view()))
}

func (p *peer) view() dispatch.PeerView {
	now := p.cluster.clock.Now()
	view := dispatch.PeerView{Hosts: []dispatch.PeerHost{{Host: p.id, At: now}}}
	for _, d := range p.digests {
		if d.Host != "" && now.Sub(d.At) < p.cluster.opts.DigestDelay+forgetAfter {
			view.Hosts = append(view.Hosts, d)
		}
	}
	for _, d := range p.domains {
		if d.Domain != "" {
			view.Domains = append(view.Domains, d)
		}
	}
	return view
}

// sendDomainDigest tells the other domains of the free room; the last host of a
// domain does it for all.
func (p *peer) sendDomainDigest(all []*peer) {
	c := p.cluster
	if p.index%c.load.hostsPerDomain != c.load.hostsPerDomain-1 {
		return
	}
	d := dispatch.PeerDomain{Domain: domainName(p.domain), FreeRoom: p.core.FreeRoom(c.clock.Now()), At: c.clock.Now()}
	for _, other := range all {
		if other.domain == p.domain {
			continue
		}
		copied := d
		copied.FreeRoom = append([]dispatch.PoolRoom(nil), d.FreeRoom...)
		c.clock.After(c.opts.DigestDelay+c.load.betweenDomains, func() { other.domains[p.domain] = copied })
	}
}

func (p *peer) readReports() {
	c := p.cluster
	for _, e := range c.engines {
		if e.domain != p.domain || e.pool != enginePool {
			continue
		}
		rep := dispatch.LoadReport{
			Endpoint: e.name, Running: len(e.running), Queued: len(e.waiting),
			CanResume: true, Age: reportDelay,
		}
		c.clock.After(reportDelay, func() { c.apply(p.host, p.core.HandleLoadReport(c.clock.Now(), rep)) })
	}
}

// owner returns the host that grants for the request where endpoints have
// owners, and otherwise the host itself.
func (c *cluster) owner(j *job, h *host) *host {
	if c.opts.Sharing != placement.SharingOwner || h.id == "" {
		return h
	}
	var pool []*engine
	for _, e := range c.engines {
		if e.pool == j.class.pool && e.domain == h.domain {
			pool = append(pool, e)
		}
	}
	var ids []model.HostID
	first := h.domain * c.load.hostsPerDomain
	for _, other := range c.hosts[first : first+c.load.hostsPerDomain] {
		ids = append(ids, other.id)
	}
	e := pool[c.rng.IntN(len(pool))]
	id := placement.Owner(e.name, ids)
	for _, other := range c.hosts {
		if other.id == id {
			return other
		}
	}
	return h
}
