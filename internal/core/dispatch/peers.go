package dispatch

import (
	"slices"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/core/placement"
)

const (
	// spillDigestAge is the oldest digest of another domain that requests are
	// spilled on.
	spillDigestAge = 5 * time.Second
	// unseenSlack is the work at an endpoint, beyond what is known, that the lag
	// of reports and digests explains.
	unseenSlack = 2
	// reportMaxAge is the oldest load report that is believed.
	reportMaxAge = 5 * time.Second
	// baseRate keeps a part of the room for a host without demand, in requests
	// a second.
	baseRate = 1.0
	// evenShare is the part of the mean demand that each host has in advance.
	evenShare = 0.5
)

// SetPeers replaces the view of the other hosts. The view stays the caller's:
// what spills take off the room of a domain is kept in a copy.
func (d *Dispatcher) SetPeers(now time.Time, view PeerView) []Action {
	view.Domains = slices.Clone(view.Domains)
	for i := range view.Domains {
		view.Domains[i].FreeRoom = slices.Clone(view.Domains[i].FreeRoom)
	}
	d.peers = view
	d.countPeers()
	var out []Action
	for _, p := range d.poolList {
		d.refresh(now, p)
		out = d.run(now, p, out)
	}
	return out
}

// countPeers sums the peers' work at each endpoint and their demand by class.
func (d *Dispatcher) countPeers() {
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

// refresh works out how much of each endpoint's room this host may use. A host
// that has no part of any endpoint, because there are more hosts than room, may
// still send one request at a time.
func (d *Dispatcher) refresh(now time.Time, p *pool) {
	part := d.roomPart(now, p)
	p.yields = d.peersWait(p)
	sum := 0
	for _, e := range p.endpoints {
		e.Peers.Part = part
		e.Peers.Owner = d.owns(e.Name)
		e.Refresh(d.opts.Sharing)
		sum += e.Limit
	}
	if sum == 0 && len(p.endpoints) > 0 && d.opts.Sharing == placement.SharingParts {
		p.endpoints[0].Limit = 1
	}
}

func (d *Dispatcher) owns(name model.EndpointName) bool {
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

// roomPart returns this host's part of the domain's demand on a pool. The hosts
// stand in the order of their names, so that all see the same parts. Part of
// the room is shared evenly, since a host that has just started has no demand
// yet.
func (d *Dispatcher) roomPart(now time.Time, p *pool) placement.Part {
	own := p.demand.Rate(now)
	before, sum, hosts := 0.0, own, 1.0
	hostsBefore := 0.0
	for _, h := range d.peerDemand {
		rate := h.rate(p)
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
	return placement.Part{From: from, To: from + (own+even)/total}
}

// spill returns the forward to another domain that has room. A request is
// forwarded once at most.
func (d *Dispatcher) spill(now time.Time, req model.Request, c *class, p *pool) (Action, bool) {
	if req.Forwarded {
		return Action{}, false
	}
	var best *int
	var domain model.DomainName
	seen := 0
	for i := range d.peers.Domains {
		dom := &d.peers.Domains[i]
		if now.Sub(dom.At) > spillDigestAge {
			continue
		}
		room := dom.room(p.Name, c.Protected)
		if room == nil || *room <= 0 {
			continue
		}
		// Drawing by room keeps all hosts from choosing the same domain.
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

func (dom *PeerDomain) room(name model.PoolName, protected bool) *int {
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
// host may still grant without the headroom and the requests that wait.
func (d *Dispatcher) FreeRoom(now time.Time) []PoolRoom {
	var out []PoolRoom
	for _, p := range d.poolList {
		room := p.room(now)
		free, limit := room.free, room.limit
		free -= p.reserved(d.rules, nil, limit) + p.tiers.Len()
		for i, c := range d.rules.classes {
			if c.Protected {
				limit -= p.states[i].inFlight + p.tiers.Queue(i).Len()
			}
		}
		out = append(out, PoolRoom{Pool: p.Name, Room: max(free, 0), Protected: max(limit, 0)})
	}
	return out
}

// ReportLoad takes an endpoint's load report. A report that is old says nothing
// of the load, but a leave it announces holds.
func (d *Dispatcher) ReportLoad(now time.Time, rep LoadReport) []Action {
	ref := d.endpoints[rep.Endpoint]
	if ref == nil {
		return nil
	}
	ref.SetLeaving(placement.LeavingReport, rep.Leaving)
	ref.CanResume = rep.CanResume
	ref.Models = rep.Models
	ref.Reports = rep.Age <= reportMaxAge
	if rep.Age <= reportMaxAge {
		ref.learnQueue(now, rep)
	}
	ref.Refresh(d.opts.Sharing)
	return d.run(now, ref.pool, nil)
}

// learnQueue adjusts the room to what the endpoint says of its queue.
func (ref *endpointRef) learnQueue(now time.Time, rep LoadReport) {
	known := ref.Own + ref.Peers.InFlight
	switch {
	case rep.Queued == 0:
		ref.Room.Clear()
	case rep.Running+rep.Queued > known+unseenSlack:
		ref.Room.Crowded(now)
	default:
		ref.Room.Queued(rep.Running)
	}
}

// SetLeaving marks an endpoint as leaving, or as back, by another source than
// the configuration.
func (d *Dispatcher) SetLeaving(now time.Time, name model.EndpointName, leaving bool) []Action {
	ref := d.endpoints[name]
	if ref == nil {
		return nil
	}
	ref.SetLeaving(placement.LeavingList, leaving)
	return d.run(now, ref.pool, nil)
}
