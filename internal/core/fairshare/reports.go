package fairshare

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// Reports of work between hosts:
//
//  1. A host reports what its own callers request, a relay the sum of its failure domain to
//     other domains, and the sum of the fleet within its own domain.
//  2. A report replaces the earlier one of the same source. It lists the largest accounts of
//     each pool and the sum of the others.
//  3. Where hosts and a relay have reported the same, the larger value counts.

const (
	// maxListed is the largest number of accounts of a pool that a report lists, minListed
	// the share of the pool's work from which on an account is listed.
	maxListed      = 16
	minListedShare = 0.01
	// maxReportedWork bounds the records of a report.
	maxReportedWork = 1024
)

// ReceiveHost replaces the report of another host in a failure domain.
func (b *Book) ReceiveHost(now time.Time, host model.HostID, domain model.DomainName, work []Work) {
	b.hosts[host] = newReport(now, domain, work)
}

// ReceiveDomain replaces the report on another failure domain.
func (b *Book) ReceiveDomain(now time.Time, domain model.DomainName, work []Work) {
	b.domains[domain] = newReport(now, domain, work)
}

// ReceiveFleet replaces the report on all hosts.
func (b *Book) ReceiveFleet(now time.Time, work []Work) { b.fleet = newReport(now, "", work) }

// OwnWork returns the report on this host.
func (b *Book) OwnWork(now time.Time) []Work { return b.own(now).report() }

// DomainWork returns the report on this host's failure domain.
func (b *Book) DomainWork(now time.Time, own model.DomainName) []Work {
	return b.domainSums(now, own).report()
}

// FleetWork returns the report on all hosts. It does not contain what a relay has reported
// on them.
func (b *Book) FleetWork(now time.Time) []Work { return b.heardSums(now).report() }

// newReport returns a report of the valid records.
func newReport(now time.Time, domain model.DomainName, work []Work) report {
	r := report{at: now, domain: domain}
	for _, w := range work[:min(len(work), maxReportedWork)] {
		if w.Rate > 0 && !math.IsInf(w.Rate, 1) {
			r.work = append(r.work, w)
		}
	}
	return r
}

func (r report) isCurrent(now time.Time) bool {
	return !r.at.IsZero() && now.Sub(r.at) <= reportLife
}

// sums is the work of accounts at a pool.
type sums struct {
	listed map[model.AccountName]float64
	// rest is the work of the accounts that are not listed, restCount their number, which
	// is estimated from the smallest listed one.
	rest, restCount float64
}

// poolSums is the work by pool.
type poolSums map[model.PoolName]*sums

func (p poolSums) of(pool model.PoolName) *sums {
	if p[pool] == nil {
		p[pool] = &sums{listed: make(map[model.AccountName]float64)}
	}
	return p[pool]
}

// add adds a report.
func (p poolSums) add(work []Work) {
	smallest := make(map[model.PoolName]float64)
	for _, w := range work {
		if w.Account == "" {
			continue
		}
		p.of(w.Pool).listed[w.Account] += w.Rate
		if s, known := smallest[w.Pool]; !known || w.Rate < s {
			smallest[w.Pool] = w.Rate
		}
	}
	for _, w := range work {
		if w.Account != "" {
			continue
		}
		s := p.of(w.Pool)
		s.rest += w.Rate
		if size := smallest[w.Pool]; size > 0 {
			s.restCount = max(s.restCount, w.Rate/size)
		}
	}
}

// addSums adds other sums.
func (p poolSums) addSums(other poolSums) {
	for pool, from := range other {
		to := p.of(pool)
		for account, rate := range from.listed {
			to.listed[account] += rate
		}
		to.rest += from.rest
		to.restCount = max(to.restCount, from.restCount)
	}
}

// larger returns by pool the larger one of two sums.
func (p poolSums) larger(other poolSums) poolSums {
	out := make(poolSums, max(len(p), len(other)))
	for pool, s := range p {
		out[pool] = s
	}
	for pool, s := range other {
		if out[pool] == nil || s.total() > out[pool].total() {
			out[pool] = s
		}
	}
	return out
}

// report returns the sums as a report.
func (p poolSums) report() []Work {
	var out []Work
	for pool, s := range p {
		listed := make([]Work, 0, len(s.listed))
		for account, rate := range s.listed {
			listed = append(listed, Work{Pool: pool, Account: account, Rate: rate})
		}
		slices.SortFunc(listed, func(x, y Work) int { return cmp.Or(cmp.Compare(y.Rate, x.Rate), cmp.Compare(x.Account, y.Account)) })
		rest, total := s.rest, s.total()
		for i, w := range listed {
			if i >= maxListed || w.Rate < minListedShare*total && i > 0 {
				rest += w.Rate
			} else {
				out = append(out, w)
			}
		}
		if rest > 0 {
			out = append(out, Work{Pool: pool, Rate: rest})
		}
	}
	slices.SortStableFunc(out, func(x, y Work) int { return cmp.Compare(x.Pool, y.Pool) })
	return out
}

func (b *Book) own(now time.Time) poolSums {
	out := make(poolSums)
	for pool, w := range b.pools {
		for account, r := range w.accounts {
			if rate := r.at(now); rate >= negligible {
				out.of(pool).listed[account] = rate
			}
		}
	}
	return out
}

// domainSums returns the sums of this host and of the others of its failure domain that
// report themselves.
func (b *Book) domainSums(now time.Time, own model.DomainName) poolSums {
	out := b.own(now)
	for _, r := range b.hosts {
		if r.domain == own && r.isCurrent(now) {
			out.add(r.work)
		}
	}
	return out
}

// heardSums returns the sums of this host, of the hosts that report themselves and of the
// failure domains that relays report.
func (b *Book) heardSums(now time.Time) poolSums {
	byDomain := make(map[model.DomainName]poolSums)
	for _, r := range b.hosts {
		if r.isCurrent(now) {
			if byDomain[r.domain] == nil {
				byDomain[r.domain] = make(poolSums)
			}
			byDomain[r.domain].add(r.work)
		}
	}
	for domain, r := range b.domains {
		if r.isCurrent(now) {
			total := make(poolSums)
			total.add(r.work)
			byDomain[domain] = byDomain[domain].larger(total)
		}
	}
	out := b.own(now)
	for _, s := range byDomain {
		out.addSums(s)
	}
	return out
}

// fleetSums returns the sums of all hosts.
func (b *Book) fleetSums(now time.Time) poolSums {
	heard := b.heardSums(now)
	if !b.fleet.isCurrent(now) {
		return heard
	}
	total := make(poolSums)
	total.add(b.fleet.work)
	return heard.larger(total)
}

// total returns the work of all accounts.
func (s *sums) total() float64 {
	total := s.rest
	for _, rate := range s.listed {
		total += rate
	}
	return total
}

// level returns the largest share of an account when a capacity is divided by max-min
// fairness; infinite if it suffices for all. The accounts that are not listed count as
// equal. The level is at least the work of the smallest account: to treat all accounts as
// above their share would favor none.
func (s *sums) level(capacity float64) float64 {
	type group struct{ rate, count float64 }
	groups := make([]group, 0, len(s.listed)+1)
	count := 0.0
	for _, rate := range s.listed {
		groups = append(groups, group{rate: rate, count: 1})
		count++
	}
	if s.rest > 0 {
		n := max(s.restCount, 1)
		groups = append(groups, group{rate: s.rest / n, count: n})
		count += n
	}
	slices.SortFunc(groups, func(x, y group) int { return cmp.Compare(x.rate, y.rate) })
	for _, g := range groups {
		if g.rate*count > capacity {
			return max(capacity/count, groups[0].rate)
		}
		capacity -= g.rate * g.count
		count -= g.count
	}
	return math.Inf(1)
}
