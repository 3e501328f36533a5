package virtual

import (
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/dispatch"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/core/placement"
)

const (
	// tickInterval is the time between two ticks of a host's dispatcher.
	tickInterval = 100 * time.Millisecond
	// digestInterval is the time between two load digests of a host to its
	// failure domain. zeroDelayDigestInterval replaces it if the digest delay
	// is 0, so that digests are as good as current.
	digestInterval          = 100 * time.Millisecond
	zeroDelayDigestInterval = 10 * time.Millisecond
	// domainDigestInterval is the time between two digests of a failure domain
	// to the other ones.
	domainDigestInterval = 200 * time.Millisecond
	// reportInterval is the time between two load reports of an endpoint.
	// reportDelay is the time until a host receives a report.
	reportInterval = time.Second
	reportDelay    = 500 * time.Millisecond
	// peerTTL is the time after which hosts drop the digest of a silent peer,
	// in addition to the digest delay.
	peerTTL = 10 * time.Second
	// isolateFrom is the fraction of the run after which hosts are isolated
	// from their peers, if Options.IsolateHosts is set.
	isolateFrom = 0.3
)

// peer is a host that runs the project's dispatcher, with its view of the other
// hosts and failure domains.
type peer struct {
	*host
	dispatcher *dispatch.Dispatcher
	cluster    *cluster
	// digests are the latest digests of the hosts of the failure domain, by the
	// host's position in it. domains are those of the failure domains, by index.
	digests []dispatch.PeerHost
	domains []dispatch.PeerDomain
}

// addPeers adds the hosts that run the project's policy.
func (c *cluster) addPeers(sharing placement.Sharing) {
	cfg := c.config()
	var peers []*peer
	for i := range c.params.domains * c.params.hostsPerDomain {
		h := &host{cluster: c, index: i, domain: i / c.params.hostsPerDomain}
		h.id = model.HostID("host-" + string(rune('a'+i)))
		dispatcher := dispatch.New(dispatch.Options{
			Host: h.id, Domain: domainName(h.domain), Seed: c.opts.Seed + uint64(i), Sharing: sharing,
		})
		h.policy = dispatcher
		dispatcher.SetConfig(c.clock.Now(), cfg)
		c.hosts = append(c.hosts, h)
		peers = append(peers, &peer{
			host: h, dispatcher: dispatcher, cluster: c,
			digests: make([]dispatch.PeerHost, c.params.hostsPerDomain),
			domains: make([]dispatch.PeerDomain, c.params.domains),
		})
	}
	for _, p := range peers {
		p.schedule(peers)
	}
}

// schedule schedules the host's ticks, its digests and its polls of load
// reports.
func (p *peer) schedule(all []*peer) {
	c := p.cluster
	offset := time.Duration(p.index) * time.Millisecond
	c.clock.Every(offset, tickInterval, c.isFinished, func() { c.apply(p.host, p.dispatcher.Tick(c.clock.Now())) })
	period := digestInterval
	if c.opts.DigestDelay == 0 {
		period = zeroDelayDigestInterval
	}
	c.clock.Every(offset, period, c.isFinished, func() { p.sendDigest(all) })
	c.clock.Every(offset, domainDigestInterval, c.isFinished, func() { p.sendDomainDigest(all) })
	c.clock.Every(offset, reportInterval, c.isFinished, func() { p.pollLoadReports() })
}

// isFinished reports whether all requests have arrived and ended.
func (c *cluster) isFinished() bool {
	if c.clock.Now().Sub(time.Unix(0, 0)) < c.opts.Duration {
		return false
	}
	for len(c.unfinished) > 0 && c.unfinished[0].isEnded() {
		c.unfinished = c.unfinished[1:]
	}
	return len(c.unfinished) == 0
}

// isIsolated reports whether the host currently exchanges no digests with its
// failure domain.
func (p *peer) isIsolated() bool {
	c := p.cluster
	first := p.index%c.params.hostsPerDomain == 0
	from := seconds(isolateFrom * c.opts.Duration.Seconds())
	return c.opts.IsolateHosts && first && c.clock.Now().Sub(time.Unix(0, 0)) >= from
}

// sendDigest sends the host's load digest to the other hosts of its failure
// domain. An isolated host sends and receives none, and only drops expired
// digests from its dispatcher's view.
func (p *peer) sendDigest(all []*peer) {
	c := p.cluster
	d := p.dispatcher.Digest(c.clock.Now())
	for _, other := range all {
		if other.domain != p.domain || other == p || p.isIsolated() || other.isIsolated() {
			continue
		}
		c.clock.After(c.opts.DigestDelay, func() { other.receiveDigest(p.index, d) })
	}
	if p.isIsolated() {
		c.apply(p.host, p.dispatcher.SetPeers(c.clock.Now(), p.view()))
	}
}

// receiveDigest stores the digest of a host and updates the dispatcher's view.
func (p *peer) receiveDigest(from int, d dispatch.PeerHost) {
	c := p.cluster
	p.digests[from%c.params.hostsPerDomain] = d
	c.apply(p.host, p.dispatcher.SetPeers(c.clock.Now(), p.view()))
}

// view returns the host's view of itself, of the hosts of its failure domain
// whose digests are recent enough, and of the other failure domains.
func (p *peer) view() dispatch.PeerView {
	now := p.cluster.clock.Now()
	view := dispatch.PeerView{Hosts: []dispatch.PeerHost{{Host: p.id, At: now}}}
	for _, d := range p.digests {
		if d.Host != "" && now.Sub(d.At) < p.cluster.opts.DigestDelay+peerTTL {
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

// sendDomainDigest sends the free room of the failure domain to the hosts of
// all others. Only the last host of a failure domain sends it.
func (p *peer) sendDomainDigest(all []*peer) {
	c := p.cluster
	if p.index%c.params.hostsPerDomain != c.params.hostsPerDomain-1 {
		return
	}
	d := dispatch.PeerDomain{Domain: domainName(p.domain), FreeRoom: p.dispatcher.FreeRoom(c.clock.Now()), At: c.clock.Now()}
	for _, other := range all {
		if other.domain == p.domain {
			continue
		}
		copied := d
		copied.FreeRoom = append([]dispatch.PoolRoom(nil), d.FreeRoom...)
		c.clock.After(c.opts.DigestDelay+c.params.crossDomainLatency, func() { other.domains[p.domain] = copied })
	}
}

// pollLoadReports reads the load reports of the engines of the host's failure
// domain, and passes them to the dispatcher after reportDelay.
func (p *peer) pollLoadReports() {
	c := p.cluster
	for _, e := range c.engines {
		if e.domain != p.domain || e.pool != enginePool {
			continue
		}
		rep := dispatch.LoadReport{
			Endpoint: e.name, Running: len(e.running), Queued: len(e.waiting),
			CanResume: true, Age: reportDelay,
		}
		c.clock.After(reportDelay, func() { c.apply(p.host, p.dispatcher.HandleLoadReport(c.clock.Now(), rep)) })
	}
}

// grantingHost returns the host that queues and grants the request. With
// placement.SharingOwner that is the owner of a random endpoint of the
// request's pool in the failure domain. Otherwise, and for baselines, it is h
// itself.
func (c *cluster) grantingHost(j *job, h *host) *host {
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
	first := h.domain * c.params.hostsPerDomain
	for _, other := range c.hosts[first : first+c.params.hostsPerDomain] {
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
