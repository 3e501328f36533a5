package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/admission"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// tokensRetryAfter is the retry time when an account's limit of tokens in
// flight is reached.
const tokensRetryAfter = 5 * time.Second

type demandKey struct {
	account model.AccountName
	class   model.ClassName
}

// demandTable measures the offered load by account and class, in requests per
// second.
type demandTable map[demandKey]*admission.Demand

// add counts one request.
func (t demandTable) add(now time.Time, a model.AccountName, c model.ClassName) {
	key := demandKey{account: a, class: c}
	entry := t[key]
	if entry == nil {
		entry = &admission.Demand{}
		t[key] = entry
	}
	entry.Add(now)
}

// rate returns the offered load of an account in a class.
func (t demandTable) rate(now time.Time, a model.AccountName, c model.ClassName) float64 {
	if entry := t[demandKey{account: a, class: c}]; entry != nil {
		return entry.Rate(now)
	}
	return 0
}

// takeFromLimit charges a request to this host's share of its account's limit.
// It reports whether the limit allows the request, and otherwise when to retry.
func (d *Dispatcher) takeFromLimit(now time.Time, req model.Request, c *class) (bool, time.Duration) {
	l := c.limits[req.Account]
	if l == nil {
		return true, 0
	}
	share := d.limitShare(now, req.Account, req.Class)
	if l.TokensInFlight > 0 && float64(l.tokens) >= share*float64(l.TokensInFlight) {
		return false, tokensRetryAfter
	}
	if l.RequestsPerSecond <= 0 {
		return true, 0
	}
	return l.bucket.Take(now, share*l.RequestsPerSecond, share*float64(l.Burst))
}

// limitShare returns this host's share, from 0 to 1, of a limit that applies to
// all hosts together. A domain whose demand is unknown counts with an equal
// share of the limit.
func (d *Dispatcher) limitShare(now time.Time, a model.AccountName, c model.ClassName) float64 {
	own := d.demand.rate(now, a, c)
	var others []float64
	for _, h := range d.peers.Hosts {
		if h.Host != d.opts.Host {
			others = append(others, accountRate(h.Demand, a, c))
		}
	}
	known := 1
	for _, dom := range d.peers.Domains {
		if len(dom.Demand) > 0 {
			known++
			others = append(others, accountRate(dom.Demand, a, c))
		}
	}
	share := admission.LimitShare(own, others)
	return share * float64(min(known, d.rules.domains)) / float64(d.rules.domains)
}

// accountRate returns the demand of an account in a class, in requests per
// second.
func accountRate(list []AccountDemand, a model.AccountName, c model.ClassName) float64 {
	sum := 0.0
	for _, e := range list {
		if e.Account == a && e.Class == c {
			sum += e.Rate
		}
	}
	return sum
}

// minDigestRate is the smallest demand that a digest lists, in requests per
// second.
const minDigestRate = 0.01

// Digest returns this host's requests in flight and demand, to be sent to its
// peers. Accounts whose demand has fallen below minDigestRate are dropped.
func (d *Dispatcher) Digest(now time.Time) PeerHost {
	out := PeerHost{Host: d.opts.Host, At: now}
	for _, p := range d.poolList {
		for _, e := range p.endpoints {
			if e.LocalInFlight > 0 {
				out.InFlight = append(out.InFlight, EndpointCount{Endpoint: e.Name, Count: e.LocalInFlight})
			}
		}
	}
	for key, entry := range d.demand {
		rate := entry.Rate(now)
		if rate < minDigestRate {
			delete(d.demand, key)
			continue
		}
		out.Demand = append(out.Demand, d.accountDemand(key, rate))
	}
	slices.SortFunc(out.Demand, func(a, b AccountDemand) int {
		return cmp.Or(cmp.Compare(a.Class, b.Class), cmp.Compare(a.Account, b.Account))
	})
	return out
}

// accountDemand returns the digest entry of an account in a class.
func (d *Dispatcher) accountDemand(key demandKey, rate float64) AccountDemand {
	out := AccountDemand{Account: key.account, Class: key.class, Rate: rate}
	c := d.rules.byName[key.class]
	if c == nil {
		return out
	}
	if l := c.limits[key.account]; l != nil {
		out.TokensInFlight = l.tokens
	}
	for _, p := range d.poolList {
		out.Queued += p.tiers.Queue(c.index).AccountLen(key.account)
	}
	return out
}
