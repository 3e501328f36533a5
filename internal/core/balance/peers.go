package balance

import (
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

const (
	// peerMaxAge is the age from which on what a peer said of its work no longer
	// counts: most requests have ended by then.
	peerMaxAge = 2 * time.Second
	// hostMemory is how long a silent host still has its part of what all hosts
	// share: it may be cut off and go on.
	hostMemory = 30 * time.Second
)

// EndpointLoad is the work of one host at one endpoint.
type EndpointLoad struct {
	Endpoint model.EndpointName
	Load
}

type peerLoad struct {
	heard time.Time
	loads []EndpointLoad
}

// OwnLoad returns this host's work.
func (b *Balancer) OwnLoad(now time.Time) []EndpointLoad {
	b.refresh(now)
	b.changed = false
	var out []EndpointLoad
	for name, e := range b.endpoints {
		if e.own.Count > 0 {
			out = append(out, EndpointLoad{Endpoint: name, Load: e.own})
		}
	}
	return out
}

// Changed says that requests began or ended since the last OwnLoad.
func (b *Balancer) Changed() bool { return b.changed }

// Marks returns what the other hosts should know of held parts. They are told
// every interval at most.
func (b *Balancer) Marks(now time.Time, interval time.Duration) []Mark {
	return b.holders.recent(now, max(markFor, 2*interval))
}

// SetPeer takes what another host says of its work. The lists must not be
// changed afterwards.
func (b *Balancer) SetPeer(now time.Time, host model.HostID, loads []EndpointLoad, marks []Mark) {
	for _, m := range marks {
		b.holders.take(now, m)
	}
	if before := b.peers[host]; before != nil {
		b.addPeer(before.loads, -1)
	}
	b.peers[host] = &peerLoad{heard: now, loads: loads}
	b.hosts[host] = now
	b.addPeer(loads, 1)
}

// SetFarInterval tells how often hosts of different failure domains hear from
// each other.
func (b *Balancer) SetFarInterval(d time.Duration) { b.farInterval = d }

// Tick forgets the work of peers that are silent.
func (b *Balancer) Tick(now time.Time) {
	for host, p := range b.peers {
		if now.Sub(p.heard) > peerMaxAge {
			b.addPeer(p.loads, -1)
			delete(b.peers, host)
		}
	}
	for host, heard := range b.hosts {
		if now.Sub(heard) > hostMemory {
			delete(b.hosts, host)
		}
	}
}

// Peers returns the number of hosts that were heard of late.
func (b *Balancer) Peers() int { return len(b.peers) }

// addPeer adds a peer's work to its endpoints, or takes it off with sign -1.
func (b *Balancer) addPeer(loads []EndpointLoad, sign int) {
	for _, l := range loads {
		if e := b.endpoints[l.Endpoint]; e != nil {
			e.peers.sumTimes(l.Load, sign)
		}
	}
}

// countPeers sums the peers' work at an endpoint that is new here.
func (b *Balancer) countPeers(e *endpoint) {
	for _, p := range b.peers {
		for _, l := range p.loads {
			if l.Endpoint == e.Name {
				e.peers.sum(l.Load)
			}
		}
	}
}

func (b *Balancer) peersAge(now time.Time) time.Duration {
	oldest := time.Duration(0)
	for _, p := range b.peers {
		oldest = max(oldest, now.Sub(p.heard))
	}
	return oldest
}
