// Package fairshare divides the capacity of a pool among client accounts by max-min
// fairness: an account that requests no more than its share gets all of it, and what it
// leaves is divided among the others. It counts the work that the accounts request of all
// hosts. It is a state machine without I/O and without a clock.
package fairshare

import (
	"math"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

const (
	// timeConstant is that of the exponentially decaying rates.
	timeConstant = 2 * time.Second
	// reportLife is the time for which a report counts. Hosts report more often than
	// twice a second while their accounts request something.
	reportLife = 2 * time.Second
	// divideInterval is the time between two divisions of a pool.
	divideInterval = 50 * time.Millisecond
	// minServedShare and maxServedShare bound the share of the requested work that a pool
	// is taken to serve in time: the rates follow changes late.
	minServedShare = 0.6
	maxServedShare = 0.8
	// tolerance is the multiple of its share up to which an account does not count as above
	// it: the rates of small numbers of requests vary.
	tolerance = 1.25
	// negligible is the rate in ms/s below which an account counts as idle.
	negligible = 0.01
)

// Work is the work that an account requests of a pool, in milliseconds of engine time per
// second. An empty Account stands for the accounts that are not listed.
type Work struct {
	Pool    model.PoolName
	Account model.AccountName
	Rate    float64
}

// Standing is the standing of an account at a pool.
type Standing struct {
	// Use is what the account requests, Share what it may have at most, both in
	// milliseconds of engine time per second. Share is infinite if all get what they
	// request.
	Use, Share float64
}

// Excess is the share of the account's requests that exceed its share; 0 for an account
// that does not exceed it noticeably.
func (s Standing) Excess() float64 {
	if s.Use <= tolerance*s.Share {
		return 0
	}
	return 1 - s.Share/s.Use
}

// Book counts the work that accounts request. It is not safe for concurrent use.
type Book struct {
	pools   map[model.PoolName]*ownWork
	hosts   map[model.HostID]report
	domains map[model.DomainName]report
	// fleet is the sum of all hosts, as last reported by a relay.
	fleet report
	// divisions are those of dividedAt.
	divisions map[model.PoolName]division
	dividedAt time.Time
}

// ownWork is the work requested of this host at a pool.
type ownWork struct {
	accounts map[model.AccountName]*rate
	// requested and served are the sums of all accounts.
	requested, served rate
}

// report is the work that another host, or a relay for several, has reported.
type report struct {
	at     time.Time
	domain model.DomainName
	work   []Work
}

// division is the division of a pool.
type division struct {
	sums  *sums
	level float64
}

// NewBook returns a Book without any work.
func NewBook() *Book {
	return &Book{
		pools: make(map[model.PoolName]*ownWork), hosts: make(map[model.HostID]report),
		domains: make(map[model.DomainName]report),
	}
}

// Clone returns a copy on which the work of this host can change without an effect on the
// original. Reports are shared, since they are only replaced.
func (b *Book) Clone() *Book {
	out := *b
	out.pools = make(map[model.PoolName]*ownWork, len(b.pools))
	for name, w := range b.pools {
		own := *w
		own.accounts = make(map[model.AccountName]*rate, len(w.accounts))
		for account, r := range w.accounts {
			state := *r
			own.accounts[account] = &state
		}
		out.pools[name] = &own
	}
	return &out
}

// RecordRequested counts work in milliseconds that an account has requested of a pool.
func (b *Book) RecordRequested(now time.Time, pool model.PoolName, account model.AccountName, ms float64) {
	w := b.pools[pool]
	if w == nil {
		w = &ownWork{accounts: make(map[model.AccountName]*rate)}
		b.pools[pool] = w
	}
	r := w.accounts[account]
	if r == nil {
		r = new(rate)
		w.accounts[account] = r
	}
	r.add(now, ms)
	w.requested.add(now, ms)
}

// RecordServed counts requested work that was served in time.
func (b *Book) RecordServed(now time.Time, pool model.PoolName, ms float64) {
	if w := b.pools[pool]; w != nil {
		w.served.add(now, ms)
	}
}

// Standing returns the standing of an account at a pool.
func (b *Book) Standing(now time.Time, pool model.PoolName, account model.AccountName) Standing {
	b.divide(now)
	d, known := b.divisions[pool]
	if !known {
		return Standing{Share: math.Inf(1)}
	}
	return Standing{Use: d.sums.listed[account], Share: d.level}
}

// AboveShare returns the standings of the accounts that are above their share.
func (b *Book) AboveShare(now time.Time) map[model.PoolName]map[model.AccountName]Standing {
	b.divide(now)
	out := make(map[model.PoolName]map[model.AccountName]Standing)
	for pool, d := range b.divisions {
		for account, use := range d.sums.listed {
			s := Standing{Use: use, Share: d.level}
			if s.Excess() == 0 {
				continue
			}
			if out[pool] == nil {
				out[pool] = make(map[model.AccountName]Standing)
			}
			out[pool][account] = s
		}
	}
	return out
}

// divide divides all pools, at most once per divideInterval.
func (b *Book) divide(now time.Time) {
	if age := now.Sub(b.dividedAt); b.divisions != nil && age >= 0 && age < divideInterval {
		return
	}
	b.divisions, b.dividedAt = make(map[model.PoolName]division), now
	for pool, all := range b.fleetSums(now) {
		b.divisions[pool] = division{sums: all, level: all.level(b.servedShare(now, pool) * all.total())}
	}
}

// servedShare returns the share of the requested work that the pool serves in time. All hosts see
// about the same one, since their callers compete for the same endpoints.
func (b *Book) servedShare(now time.Time, pool model.PoolName) float64 {
	w := b.pools[pool]
	if w == nil {
		return maxServedShare
	}
	requested := w.requested.at(now)
	if requested < negligible {
		return maxServedShare
	}
	return min(max(w.served.at(now)/requested, minServedShare), maxServedShare)
}

// Expire drops outdated reports and idle accounts.
func (b *Book) Expire(now time.Time) {
	for host, r := range b.hosts {
		if !r.isCurrent(now) {
			delete(b.hosts, host)
		}
	}
	for domain, r := range b.domains {
		if !r.isCurrent(now) {
			delete(b.domains, domain)
		}
	}
	for pool, w := range b.pools {
		for account, r := range w.accounts {
			if r.at(now) < negligible {
				delete(w.accounts, account)
			}
		}
		if len(w.accounts) == 0 {
			delete(b.pools, pool)
		}
	}
}

// rate is an exponentially decaying rate.
type rate struct {
	sum       float64
	updatedAt time.Time
}

func (r *rate) add(now time.Time, ms float64) {
	r.sum = r.at(now)*timeConstant.Seconds() + ms
	r.updatedAt = now
}

// at returns the rate per second.
func (r *rate) at(now time.Time) float64 {
	age := max(now.Sub(r.updatedAt), 0)
	return r.sum * math.Exp(-age.Seconds()/timeConstant.Seconds()) / timeConstant.Seconds()
}
