package balance

import (
	"maps"
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
	// domain is the failure domain of the host; empty for the sum of a domain.
	domain model.DomainName
	loads  []EndpointLoad
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

// MarksSince returns what the other hosts should know of held parts, from a
// number on, and the number to go on with. The first number is 0.
func (b *Balancer) MarksSince(from int) ([]Mark, int) { return b.holders.since(from, true) }

// DomainMarksSince does the same for all hosts of this host's failure domain.
func (b *Balancer) DomainMarksSince(from int) ([]Mark, int) { return b.holders.since(from, false) }

// SetPeer takes what another host says of its work. The lists must not be
// changed afterwards.
func (b *Balancer) SetPeer(now time.Time, host model.HostID, domain model.DomainName, loads []EndpointLoad, marks []Mark) {
	b.takeMarks(now, marks, domain == b.opts.Domain)
	b.hosts[host] = now
	b.domain(domain).sign(now)
	b.setLoad(host, &peerLoad{heard: now, domain: domain, loads: loads})
}

// HeardPeer tells that another host was heard, which said nothing of its work.
func (b *Balancer) HeardPeer(now time.Time, host model.HostID, domain model.DomainName) {
	b.hosts[host] = now
	b.domain(domain).sign(now)
}

// ForgetPeer forgets what another host said of its work itself, since relays
// tell it from now on.
func (b *Balancer) ForgetPeer(host model.HostID) { b.dropLoad(host) }

// SetDomain takes the sum of the work of another failure domain, as its relay
// says.
func (b *Balancer) SetDomain(now time.Time, domain model.DomainName, loads []EndpointLoad, marks []Mark) {
	b.takeMarks(now, marks, false)
	b.domain(domain).sign(now)
	b.setLoad(sumOf(domain), &peerLoad{heard: now, loads: loads})
}

// sumOf is the name under which the sum of a domain is kept. Hosts have no such
// names.
func sumOf(domain model.DomainName) model.HostID { return model.HostID("/" + string(domain)) }

func (b *Balancer) takeMarks(now time.Time, marks []Mark, near bool) {
	for _, m := range marks {
		b.holders.take(now, m)
		if near {
			b.holders.keepToTell(m, false)
		}
	}
}

func (b *Balancer) setLoad(name model.HostID, load *peerLoad) {
	b.dropLoad(name)
	b.peers[name] = load
	b.addPeer(load.loads, 1)
}

// dropLoad forgets what a host or a domain has said.
func (b *Balancer) dropLoad(name model.HostID) {
	if before := b.peers[name]; before != nil {
		b.addPeer(before.loads, -1)
		delete(b.peers, name)
	}
}

// ForgetDomain forgets the sum of a domain, whose hosts tell of their work
// themselves from now on.
func (b *Balancer) ForgetDomain(domain model.DomainName) { b.dropLoad(sumOf(domain)) }

// DomainSum is the sum of the work of the hosts of a failure domain.
type DomainSum map[model.EndpointName]Load

// Loads returns the sum as a list.
func (s DomainSum) Loads() []EndpointLoad {
	out := make([]EndpointLoad, 0, len(s))
	for name, sum := range s {
		if sum != (Load{}) {
			out = append(out, EndpointLoad{Endpoint: name, Load: sum})
		}
	}
	return out
}

// Without returns the sum of the work of all hosts but one.
func (s DomainSum) Without(loads []EndpointLoad) []EndpointLoad {
	rest := maps.Clone(s)
	for _, l := range loads {
		sum := rest[l.Endpoint]
		sum.sumTimes(l.Load, -1)
		rest[l.Endpoint] = sum
	}
	return rest.Loads()
}

// PeerLoad returns what another host said of its work.
func (b *Balancer) PeerLoad(host model.HostID) []EndpointLoad {
	if p := b.peers[host]; p != nil {
		return p.loads
	}
	return nil
}

// DomainSum returns the sum for this host's failure domain.
func (b *Balancer) DomainSum(now time.Time) DomainSum {
	b.refresh(now)
	sums := make(DomainSum)
	for name, e := range b.endpoints {
		if e.own.Count > 0 {
			sums[name] = e.own
		}
	}
	for _, p := range b.peers {
		if p.domain != b.opts.Domain {
			continue
		}
		for _, l := range p.loads {
			sum := sums[l.Endpoint]
			sum.sum(l.Load)
			sums[l.Endpoint] = sum
		}
	}
	return sums
}

// SetFarInterval tells how often hosts of different failure domains hear from
// each other.
func (b *Balancer) SetFarInterval(d time.Duration) { b.farInterval = d }

// Tick forgets the work of peers that are silent.
func (b *Balancer) Tick(now time.Time) {
	for host, p := range b.peers {
		if now.Sub(p.heard) > peerMaxAge {
			b.dropLoad(host)
		}
	}
	for host, heard := range b.hosts {
		if now.Sub(heard) > hostMemory {
			delete(b.hosts, host)
		}
	}
}

// Peers returns the number of hosts and domains that were heard of late.
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
