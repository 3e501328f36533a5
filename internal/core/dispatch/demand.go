package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/admission"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// tokensRetryAfter is the time to come back when tokens in flight are used up.
const tokensRetryAfter = 5 * time.Second

type demandKey struct {
	account model.AccountName
	class   model.ClassName
}

// demandTable measures the offered load by account and class.
type demandTable map[demandKey]*admission.Demand

func (t demandTable) add(now time.Time, a model.AccountName, c model.ClassName) {
	key := demandKey{account: a, class: c}
	entry := t[key]
	if entry == nil {
		entry = &admission.Demand{}
		t[key] = entry
	}
	entry.Add(now)
}

func (t demandTable) rate(now time.Time, a model.AccountName, c model.ClassName) float64 {
	if entry := t[demandKey{account: a, class: c}]; entry != nil {
		return entry.Rate(now)
	}
	return 0
}

// withinLimit takes a request from this host's part of its account's limit.
func (d *Dispatcher) withinLimit(now time.Time, req model.Request, c *class) (bool, time.Duration) {
	l := c.limits[req.Account]
	if l == nil {
		return true, 0
	}
	part := d.limitPart(now, req.Account, req.Class)
	if l.TokensInFlight > 0 && float64(l.tokens) >= part*float64(l.TokensInFlight) {
		return false, tokensRetryAfter
	}
	if l.RequestsPerSecond <= 0 {
		return true, 0
	}
	return l.bucket.Take(now, part*l.RequestsPerSecond, part*float64(l.Burst))
}

// limitPart returns this host's part of a limit over all hosts. Domains whose
// demand is not known count with an equal part of the limit.
func (d *Dispatcher) limitPart(now time.Time, a model.AccountName, c model.ClassName) float64 {
	own := d.demand.rate(now, a, c)
	var others []float64
	for _, h := range d.peers.Hosts {
		if h.Host != d.opts.Host {
			others = append(others, demandOf(h.Demand, a, c))
		}
	}
	known := 1
	for _, dom := range d.peers.Domains {
		if len(dom.Demand) > 0 {
			known++
			others = append(others, demandOf(dom.Demand, a, c))
		}
	}
	part := admission.ShareOf(own, others)
	return part * float64(min(known, d.rules.domains)) / float64(d.rules.domains)
}

func demandOf(list []AccountDemand, a model.AccountName, c model.ClassName) float64 {
	sum := 0.0
	for _, e := range list {
		if e.Account == a && e.Class == c {
			sum += e.Rate
		}
	}
	return sum
}

// minRate is the smallest demand that a digest names, in requests a second.
const minRate = 0.01

// Digest returns this host's own work and demand for its peers.
func (d *Dispatcher) Digest(now time.Time) PeerHost {
	out := PeerHost{Host: d.opts.Host, At: now}
	for _, p := range d.poolList {
		for _, e := range p.endpoints {
			if e.Own > 0 {
				out.InFlight = append(out.InFlight, EndpointCount{Endpoint: e.Name, Count: e.Own})
			}
		}
	}
	for key, entry := range d.demand {
		rate := entry.Rate(now)
		if rate < minRate {
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
