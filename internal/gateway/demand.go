package gateway

import (
	"slices"
	"strings"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/balance"
	"github.com/wigeonsail/wigeonsail/internal/core/capacity"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/core/routing"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

// The work that callers request of the pools whose endpoints can be ordered:
//
//  1. Each host counts what its callers have requested, served or not, and sends the rates to
//     its direct peers. Such records name no failure domain.
//  2. A relay sends the sum of its failure domain to the relays of the others, and the sums
//     of all domains to the hosts of its own. Such records name the domain.
//  3. The sum of a domain is the larger one of what its hosts and what its relay have
//     reported: neither counts work that was not requested.
//  4. A relay passes on only what it knows first-hand: from hosts, and from relays of their
//     own domain if that is another one. Relays of one domain would keep old sums alive.

const (
	// demandInterval is the time over which requests are counted and between two digests
	// with demand. demandWindow is the time over which rates are averaged.
	demandInterval = 500 * time.Millisecond
	demandWindow   = 2 * time.Second
	// demandLife is the time for which a record counts.
	demandLife = 3 * time.Second
	// maxDemandRecords bounds the records of a digest.
	maxDemandRecords = 256
)

// demandMeter counts the requests of this host's callers and holds the records of others. The
// control loop owns it.
type demandMeter struct {
	// counts are those of the current interval, which began at countedFrom; before are those
	// of earlier ones, the newest last.
	counts      map[model.PoolName]capacity.Demand
	countedFrom time.Time
	before      []map[model.PoolName]capacity.Demand
	// hosts are the records of other hosts, domains those of relays.
	hosts   map[model.HostID]demandReport
	domains map[model.DomainName]demandReport
	// directSentAt, localSentAt and remoteSentAt are when records were last sent to direct
	// peers, and as a relay to the local failure domain and to others.
	directSentAt, localSentAt, remoteSentAt time.Time
}

// demandReport are the records of a host or of a failure domain.
type demandReport struct {
	at      time.Time
	domain  model.DomainName
	demands []capacity.Demand
	// firstHand reports that the sender belongs to the failure domain.
	firstHand bool
}

func newDemandMeter() *demandMeter {
	return &demandMeter{
		counts: make(map[model.PoolName]capacity.Demand),
		hosts:  make(map[model.HostID]demandReport), domains: make(map[model.DomainName]demandReport),
	}
}

// recordRequest counts a request that was placed or refused for the first time.
func (m *demandMeter) recordRequest(req *balance.Request, d balance.Decision) {
	if len(req.Avoid) > 0 {
		return
	}
	sum := m.counts[req.Pool]
	sum.Requests++
	sum.OutputTokens += float64(req.Prompt.MaxOutputTokens)
	if d.IsRefused() {
		sum.Refused++
		sum.PromptTokens += float64(req.Prompt.UnsharedTokens())
	} else {
		sum.PromptTokens += float64(d.OwnPrefill)
	}
	m.counts[req.Pool] = sum
}

// tick ends the interval of counts when it is over, and drops outdated records.
func (m *demandMeter) tick(now time.Time) {
	if m.countedFrom.IsZero() {
		m.countedFrom = now
	}
	if now.Sub(m.countedFrom) < demandInterval {
		return
	}
	m.before = append(m.before, m.counts)
	if excess := len(m.before) - int(demandWindow/demandInterval); excess > 0 {
		m.before = m.before[excess:]
	}
	m.counts, m.countedFrom = make(map[model.PoolName]capacity.Demand), now
	m.expire(now)
}

// expire drops outdated records.
func (m *demandMeter) expire(now time.Time) {
	for host, r := range m.hosts {
		if now.Sub(r.at) > demandLife {
			delete(m.hosts, host)
		}
	}
	for domain, r := range m.domains {
		if now.Sub(r.at) > demandLife {
			delete(m.domains, domain)
		}
	}
}

// own returns the rates of this host's callers.
func (m *demandMeter) own() demandSum {
	sum := make(demandSum)
	for _, counts := range m.before {
		for pool, n := range counts {
			n.Pool = pool
			sum.add(n, 1/(float64(len(m.before))*demandInterval.Seconds()))
		}
	}
	return sum
}

// receive records the records of a digest.
func (m *demandMeter) receive(now time.Time, d port.LoadDigest) {
	byDomain := make(map[model.DomainName][]capacity.Demand)
	for _, n := range d.Demand[:min(len(d.Demand), maxDemandRecords)] {
		byDomain[n.Domain] = append(byDomain[n.Domain], n)
	}
	for domain, demands := range byDomain {
		if domain == "" {
			m.hosts[d.Host] = demandReport{at: now, domain: d.Domain, demands: demands}
			continue
		}
		firstHand := d.Domain == domain
		if !firstHand && m.domains[domain].firstHand {
			continue
		}
		m.domains[domain] = demandReport{at: now, domain: domain, demands: demands, firstHand: firstHand}
	}
}

// byDomain returns the sums by failure domain, own is that of this host.
func (m *demandMeter) byDomain(own model.DomainName) map[model.DomainName]demandSum {
	return m.sums(own, func(demandReport) bool { return true })
}

// firstHand is like byDomain for the sums that a relay passes on.
func (m *demandMeter) firstHand(own model.DomainName) map[model.DomainName]demandSum {
	return m.sums(own, func(r demandReport) bool { return r.firstHand && r.domain != own })
}

// sums returns the sums by failure domain of the hosts and of the relays' reports that count.
func (m *demandMeter) sums(own model.DomainName, counts func(demandReport) bool) map[model.DomainName]demandSum {
	out := map[model.DomainName]demandSum{own: m.own()}
	for _, r := range m.hosts {
		if out[r.domain] == nil {
			out[r.domain] = make(demandSum)
		}
		for _, n := range r.demands {
			out[r.domain].add(n, 1)
		}
	}
	for domain, r := range m.domains {
		if !counts(r) {
			continue
		}
		total := make(demandSum)
		for _, n := range r.demands {
			total.add(n, 1)
		}
		out[domain] = out[domain].larger(total)
	}
	return out
}

// demandSum is the demand by pool.
type demandSum map[model.PoolName]capacity.Demand

// add adds a demand times a factor. What is negative or not a number counts as 0.
func (s demandSum) add(n capacity.Demand, factor float64) {
	sum := s[n.Pool]
	sum.Pool = n.Pool
	for _, field := range []struct {
		to   *float64
		from float64
	}{
		{&sum.Requests, n.Requests},
		{&sum.Refused, n.Refused},
		{&sum.PromptTokens, n.PromptTokens},
		{&sum.OutputTokens, n.OutputTokens},
	} {
		if field.from > 0 {
			*field.to += field.from * factor
		}
	}
	s[n.Pool] = sum
}

// larger returns by pool the larger one of two sums.
func (s demandSum) larger(other demandSum) demandSum {
	out := make(demandSum, max(len(s), len(other)))
	for pool, n := range s {
		out[pool] = n
	}
	for pool, n := range other {
		if n.Requests > out[pool].Requests {
			out[pool] = n
		}
	}
	return out
}

// records returns the sums as records of a failure domain, one of each of the pools.
func (s demandSum) records(domain model.DomainName, pools map[model.PoolName]routing.Pool) []capacity.Demand {
	out := make([]capacity.Demand, 0, len(pools))
	for pool := range pools {
		n := s[pool]
		n.Pool, n.Domain = pool, domain
		out = append(out, n)
	}
	slices.SortFunc(out, func(a, b capacity.Demand) int { return strings.Compare(string(a.Pool), string(b.Pool)) })
	return out[:min(len(out), maxDemandRecords)]
}

// isDemandDue reports whether records are to be sent again, and notes that they are.
func isDemandDue(now time.Time, sentAt *time.Time) bool {
	if now.Sub(*sentAt) < demandInterval {
		return false
	}
	*sentAt = now
	return true
}

// directDemand returns the records of this host for its direct peers.
func (c *control) directDemand(now time.Time) []capacity.Demand {
	if !c.capacity.isOn() || !isDemandDue(now, &c.demand.directSentAt) {
		return nil
	}
	return c.demand.own().records("", c.capacity.pools)
}

// localDemand returns the sums of all failure domains for the hosts of the local one. Domains
// whose records do not fit are left to a later digest, in a random order: receivers take the
// records of a domain as complete.
func (c *control) localDemand(now time.Time) []capacity.Demand {
	if !c.capacity.isOn() || !isDemandDue(now, &c.demand.localSentAt) {
		return nil
	}
	var out []capacity.Demand
	for domain, sum := range c.demand.firstHand(c.gateway.opts.Domain) {
		if records := sum.records(domain, c.capacity.pools); len(out)+len(records) <= maxDemandRecords {
			out = append(out, records...)
		}
	}
	return out
}

// remoteDemand returns the sums of the local failure domain for hosts of others.
func (c *control) remoteDemand(now time.Time) []capacity.Demand {
	if !c.capacity.isOn() || !isDemandDue(now, &c.demand.remoteSentAt) {
		return nil
	}
	own := c.gateway.opts.Domain
	return c.demand.firstHand(own)[own].records(own, c.capacity.pools)
}

// mergeDemand returns the records of both digests, the newer ones where both have some of a
// host or a failure domain.
func mergeDemand(older, newer []capacity.Demand) []capacity.Demand {
	if len(older) == 0 {
		return newer
	}
	renewed := make(map[model.DomainName]bool, len(newer))
	for _, n := range newer {
		renewed[n.Domain] = true
	}
	out := slices.Clone(newer)
	for _, n := range older {
		if !renewed[n.Domain] {
			out = append(out, n)
		}
	}
	return out
}
