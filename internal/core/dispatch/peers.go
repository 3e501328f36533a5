package dispatch

import (
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/core/placement"
)

const (
	// silentAfter is the age of a peer's digest from which its host counts as
	// cut off.
	silentAfter = 2 * time.Second
	// spillDigestAge is the oldest digest of another domain that requests are
	// spilled on.
	spillDigestAge = 5 * time.Second
	// reportMaxAge is the oldest load report that is believed.
	reportMaxAge = 5 * time.Second
	// baseRate keeps a part of the room for a host without demand, in requests
	// a second.
	baseRate = 1.0
)

// SetPeers replaces the view of the other hosts.
func (d *Dispatcher) SetPeers(now time.Time, view PeerView) []Action {
	d.peers = view
	d.countPeers()
	var out []Action
	for _, p := range d.poolList {
		d.refresh(now, p)
		out = d.run(now, p, out)
	}
	return out
}

// countPeers sums the peers' work at each endpoint.
func (d *Dispatcher) countPeers() {
	for _, p := range d.poolList {
		for _, e := range p.endpoints {
			e.Peers.InFlight = 0
		}
	}
	for _, h := range d.peers.Hosts {
		if h.Host == d.opts.Host {
			continue
		}
		for _, c := range h.InFlight {
			if ref := d.endpoints[c.Endpoint]; ref != nil {
				ref.Peers.InFlight += c.Count
			}
		}
	}
}

// refresh works out how much of each endpoint's room this host may use.
func (d *Dispatcher) refresh(now time.Time, p *pool) {
	part := d.roomPart(now, p)
	waiting, silent := d.peersNeed(now, p)
	for _, e := range p.endpoints {
		e.Peers.Part = part
		e.Peers.Waiting = waiting
		e.Peers.Silent = silent
		e.Peers.Owner = d.owns(e.Name)
		e.Refresh(d.opts.Sharing)
	}
}

// peersNeed says whether a peer has requests waiting for the pool, and whether
// a peer is silent.
func (d *Dispatcher) peersNeed(now time.Time, p *pool) (waiting, silent bool) {
	for _, h := range d.peers.Hosts {
		if h.Host == d.opts.Host {
			continue
		}
		waiting = waiting || d.waits(p, h)
		silent = silent || now.Sub(h.At) > silentAfter
	}
	return waiting, silent
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

// waits says that a peer has requests waiting in a class that uses the pool.
func (d *Dispatcher) waits(p *pool, h PeerHost) bool {
	for _, e := range h.Demand {
		if e.Queued > 0 && d.uses(p, e.Class) {
			return true
		}
	}
	return false
}

func (d *Dispatcher) uses(p *pool, name model.ClassName) bool {
	c := d.rules.byName[name]
	return c != nil && p.states[c.index].seen
}

// roomPart returns this host's part of the domain's demand on a pool.
func (d *Dispatcher) roomPart(now time.Time, p *pool) float64 {
	own := baseRate + p.demand.Rate(now)
	sum := own
	for _, h := range d.peers.Hosts {
		if h.Host == d.opts.Host {
			continue
		}
		sum += baseRate
		for _, e := range h.Demand {
			if d.uses(p, e.Class) {
				sum += e.Rate
			}
		}
	}
	return own / sum
}

// spill returns the forward to another domain that has room. A request is
// forwarded once at most.
func (d *Dispatcher) spill(now time.Time, req model.Request, p *pool) (Action, bool) {
	if req.Forwarded {
		return Action{}, false
	}
	var best *PoolRoom
	var domain model.DomainName
	seen := 0
	for i := range d.peers.Domains {
		dom := &d.peers.Domains[i]
		if now.Sub(dom.At) > spillDigestAge {
			continue
		}
		room := dom.room(p.Name)
		if room == nil || room.Room <= 0 {
			continue
		}
		// Drawing by room keeps all hosts from choosing the same domain.
		seen += room.Room
		if d.rng.IntN(seen) < room.Room {
			best, domain = room, dom.Domain
		}
	}
	if best == nil {
		return Action{}, false
	}
	best.Room--
	return Action{Kind: ActionSpill, Request: req.ID, Attempt: req.Attempt, Domain: domain}, true
}

func (dom *PeerDomain) room(name model.PoolName) *PoolRoom {
	for i := range dom.FreeRoom {
		if dom.FreeRoom[i].Pool == name {
			return &dom.FreeRoom[i]
		}
	}
	return nil
}

// FreeRoom returns the room of each pool that other domains may use: what this
// host may still grant without the headroom and the requests that wait.
func (d *Dispatcher) FreeRoom(now time.Time) []PoolRoom {
	var out []PoolRoom
	for _, p := range d.poolList {
		free, limit := p.free(now)
		free -= p.reserved(d.rules, nil, limit) + p.tiers.Len()
		out = append(out, PoolRoom{Pool: p.Name, Room: max(free, 0)})
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
	if rep.Age <= reportMaxAge && rep.Queued > 0 {
		ref.Room.Congested(now)
	}
	ref.Refresh(d.opts.Sharing)
	return d.run(now, ref.pool, nil)
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
