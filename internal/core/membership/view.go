package membership

import (
	"sort"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/dispatch"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// View returns the state of this host and the other hosts for the dispatcher.
// It includes suspect hosts, since their work may still run.
func (t *Table) View(now time.Time) dispatch.PeerView {
	self := t.self.Work
	self.Host, self.At = t.opts.Host, now
	view := dispatch.PeerView{Hosts: []dispatch.PeerHost{self}}
	for _, m := range t.members {
		if t.health(now, m) == Gone {
			continue
		}
		work := m.heartbeat.Work
		work.Host, work.At = m.heartbeat.Host, m.lastSeen
		view.Hosts = append(view.Hosts, work)
	}
	for domain, d := range t.domains {
		if now.Sub(d.receivedAt) < digestTTL && len(d.digest.Gateways) > 0 {
			view.Domains = append(view.Domains, dispatch.PeerDomain{Domain: domain, FreeRoom: d.digest.FreeRoom, At: d.receivedAt})
		}
	}
	sort.Slice(view.Hosts, func(i, j int) bool { return view.Hosts[i].Host < view.Hosts[j].Host })
	sort.Slice(view.Domains, func(i, j int) bool { return view.Domains[i].Domain < view.Domains[j].Domain })
	return view
}

// Gateway returns the address of a host of another failure domain that accepts
// forwarded requests, or "" if there is none.
func (t *Table) Gateway(now time.Time, domain model.DomainName) string {
	d := t.domains[domain]
	if d == nil || now.Sub(d.receivedAt) >= digestTTL {
		return ""
	}
	answering := make([]string, 0, len(d.digest.Gateways))
	for _, address := range d.digest.Gateways {
		if c := t.contacts[address]; c == nil || c.failedCalls == 0 {
			answering = append(answering, address)
		}
	}
	picked := t.pickInTurn(answering, 1)
	if len(picked) == 0 {
		return ""
	}
	return picked[0]
}

// LeavingEndpoints returns the endpoints that any host of the local failure
// domain reports as leaving.
func (t *Table) LeavingEndpoints(now time.Time) []model.EndpointName {
	seen := make(map[model.EndpointName]bool)
	for _, m := range t.members {
		if t.health(now, m) == Gone {
			continue
		}
		for _, name := range m.heartbeat.LeavingEndpoints {
			seen[name] = true
		}
	}
	out := make([]model.EndpointName, 0, len(seen))
	for name := range seen {
		out = append(out, name)
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}

// NewestVersion returns the highest version that a reachable host reports and
// the address of that host. The address is "" when this host's version is the
// highest.
func (t *Table) NewestVersion(now time.Time) (model.Version, string) {
	version, address := t.self.Version, ""
	for _, m := range t.members {
		if m.heartbeat.Version > version && t.health(now, m) == Live {
			version, address = m.heartbeat.Version, m.heartbeat.Address
		}
	}
	for _, d := range t.domains {
		if d.digest.Version > version && now.Sub(d.receivedAt) < digestTTL && len(d.digest.Gateways) > 0 {
			version, address = d.digest.Version, d.digest.Gateways[0]
		}
	}
	return version, address
}

// Domain is the state of another failure domain.
type Domain struct {
	Name     model.DomainName
	Version  model.Version
	Gateways []string
	// LastDigest is when the last digest of the domain was received.
	LastDigest time.Time
	// Fresh reports whether the digest is recent enough to be used.
	Fresh bool
}

// Domains returns the other failure domains, ordered by name.
func (t *Table) Domains(now time.Time) []Domain {
	out := make([]Domain, 0, len(t.domains))
	for name, d := range t.domains {
		out = append(out, Domain{
			Name: name, Version: d.digest.Version, Gateways: d.digest.Gateways,
			LastDigest: d.receivedAt, Fresh: now.Sub(d.receivedAt) < digestTTL,
		})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}
