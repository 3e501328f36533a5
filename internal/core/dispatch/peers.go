package dispatch

import (
	"slices"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/core/placement"
)

const (
	// maxSpillDigestAge is the age of a digest of another domain above which no
	// requests are spilled there.
	maxSpillDigestAge = 5 * time.Second
	// unseenLoadSlack is the number of requests at an endpoint, beyond the
	// known ones, that the lag of reports and digests explains.
	unseenLoadSlack = 2
	// reportMaxAge is the age above which the load in a report is ignored.
	reportMaxAge = 5 * time.Second
	// baseRate reserves a share of the room for a host without demand, in
	// requests per second.
	baseRate = 1.0
	// evenShare is the share of the mean demand that every host is credited
	// with in advance.
	evenShare = 0.5
)

// SetPeers replaces the view of the other hosts. The caller keeps ownership of
// view: spills are deducted from the room of a domain in a copy.
func (d *Dispatcher) SetPeers(now time.Time, view PeerView) []Action {
	view.Domains = slices.Clone(view.Domains)
	for i := range view.Domains {
		view.Domains[i].FreeRoom = slices.Clone(view.Domains[i].FreeRoom)
	}
	d.peers = view
	d.sumPeerLoad()
	var out []Action
	for _, p := range d.poolList {
		d.refreshLimits(now, p)
		out = d.grantQueued(now, p, out)
	}
	return out
}

// sumPeerLoad sums the peers' requests at each endpoint and their demand by
// class.
func (d *Dispatcher) sumPeerLoad() {
	d.peerDemand = d.peerDemand[:0]
	for _, p := range d.poolList {
		for _, e := range p.endpoints {
			e.Peers.InFlight = 0
		}
	}
	for _, h := range d.peers.Hosts {
		if h.Host == d.opts.Host {
			continue
		}
		d.peerDemand = append(d.peerDemand, d.rules.sumDemand(h))
		for _, c := range h.InFlight {
			if ref := d.endpoints[c.Endpoint]; ref != nil {
				ref.Peers.InFlight += c.Count
			}
		}
	}
}

// refreshLimits updates how much of each endpoint's room this host may use. A
// host whose share is 0 at every endpoint, because there are more hosts than
// room, may still send one request at a time.
func (d *Dispatcher) refreshLimits(now time.Time, p *pool) {
	interval := d.roomInterval(now, p)
	p.yieldsToPeers = d.hasPeerProtectedQueue(p)
	sum := 0
	for _, e := range p.endpoints {
		e.Peers.Interval = interval
		e.Peers.Owner = d.isOwner(e.Name)
		e.UpdateLimits(d.opts.Sharing)
		sum += e.Limit
	}
	if sum == 0 && len(p.endpoints) > 0 && d.opts.Sharing == placement.SharingByDemand {
		p.endpoints[0].Limit = 1
	}
}

// isOwner reports whether this host owns the endpoint under SharingOwner.
func (d *Dispatcher) isOwner(name model.EndpointName) bool {
	if d.opts.Sharing != placement.SharingOwner {
		return false
	}
	hosts := []model.HostID{d.opts.Host}
	for _, h := range d.peers.Hosts {
		if h.Host != d.opts.Host {
			hosts = append(hosts, h.Host)
		}
	}
	return placement.Owner(name, hosts) == d.opts.Host
}

// roomInterval returns this host's interval of the domain's demand on a pool.
// The hosts are ordered by name, so that all compute the same intervals. A part
// of the room is shared evenly, since a host that has just started has no
// demand yet.
func (d *Dispatcher) roomInterval(now time.Time, p *pool) placement.Interval {
	own := p.demand.Rate(now)
	before, sum, hosts := 0.0, own, 1.0
	hostsBefore := 0.0
	for _, h := range d.peerDemand {
		rate := h.poolRate(p)
		sum += rate
		hosts++
		if h.host < d.opts.Host {
			before += rate
			hostsBefore++
		}
	}
	even := max(baseRate, evenShare*sum/hosts)
	total := sum + even*hosts
	from := (before + even*hostsBefore) / total
	return placement.Interval{From: from, To: from + (own+even)/total}
}

// spill returns the action that forwards a request to another domain with free
// room, and whether there is one. It deducts the request from the known room of
// that domain. A request is forwarded at most once.
func (d *Dispatcher) spill(now time.Time, req model.Request, c *class, p *pool) (Action, bool) {
	if req.Forwarded {
		return Action{}, false
	}
	var best *int
	var domain model.DomainName
	seen := 0
	for i := range d.peers.Domains {
		dom := &d.peers.Domains[i]
		if now.Sub(dom.At) > maxSpillDigestAge {
			continue
		}
		room := dom.freeRoom(p.Name, c.Protected)
		if room == nil || *room <= 0 {
			continue
		}
		// Choosing at random, weighted by room, keeps the hosts from all
		// choosing the same domain.
		seen += *room
		if d.rng.IntN(seen) < *room {
			best, domain = room, dom.Domain
		}
	}
	if best == nil {
		return Action{}, false
	}
	*best--
	return Action{Kind: ActionSpill, Request: req.ID, Attempt: req.Attempt, Domain: domain}, true
}

// freeRoom returns a pointer to the free room of a pool, or nil if unknown.
func (dom *PeerDomain) freeRoom(name model.PoolName, protected bool) *int {
	for i := range dom.FreeRoom {
		r := &dom.FreeRoom[i]
		switch {
		case r.Pool != name:
		case protected:
			return &r.Protected
		default:
			return &r.Room
		}
	}
	return nil
}

// FreeRoom returns the room of each pool that other domains may use: what this
// host may still grant, without the headroom and the queued requests.
func (d *Dispatcher) FreeRoom(now time.Time) []PoolRoom {
	var out []PoolRoom
	for _, p := range d.poolList {
		room := p.room(now)
		free, limit := room.free, room.limit
		free -= p.headroomForOthers(d.rules, nil, limit) + p.tiers.Len()
		for i, c := range d.rules.classes {
			if c.Protected {
				limit -= p.states[i].inFlight + p.tiers.Queue(i).Len()
			}
		}
		out = append(out, PoolRoom{Pool: p.Name, Room: max(free, 0), Protected: max(limit, 0)})
	}
	return out
}

// HandleLoadReport applies an endpoint's load report. The load of an old report
// is ignored, but the endpoint is still marked as leaving if the report says
// so.
func (d *Dispatcher) HandleLoadReport(now time.Time, rep LoadReport) []Action {
	ref := d.endpoints[rep.Endpoint]
	if ref == nil {
		return nil
	}
	ref.SetLeaving(placement.LeavingReport, rep.Leaving)
	ref.CanResume = rep.CanResume
	ref.Models = rep.Models
	ref.ReportsLoad = rep.Age <= reportMaxAge
	if rep.Age <= reportMaxAge {
		ref.adjustRoom(now, rep)
	}
	ref.UpdateLimits(d.opts.Sharing)
	return d.grantQueued(now, ref.pool, nil)
}

// adjustRoom updates the learned room with the endpoint's reported queue.
func (ref *endpointRef) adjustRoom(now time.Time, rep LoadReport) {
	known := ref.LocalInFlight + ref.Peers.InFlight
	switch {
	case rep.Queued == 0:
		ref.Room.RecordNoQueue()
	case rep.Running+rep.Queued > known+unseenLoadSlack:
		ref.Room.RecordUnseenLoad(now)
	default:
		ref.Room.RecordQueued(rep.Running)
	}
}

// SetLeaving marks an endpoint as leaving, or not, on behalf of a source other
// than the configuration or the endpoint's own report.
func (d *Dispatcher) SetLeaving(now time.Time, name model.EndpointName, leaving bool) []Action {
	ref := d.endpoints[name]
	if ref == nil {
		return nil
	}
	ref.SetLeaving(placement.LeavingList, leaving)
	return d.grantQueued(now, ref.pool, nil)
}
