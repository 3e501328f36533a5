package capacity

import (
	"math"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

const (
	// minDeadband and deadbandShare are the difference from which on an order is worth its
	// call.
	minDeadband   = 2
	deadbandShare = 0.15
	// settleTime is the time beyond the boot time after which the endpoints of an order are
	// expected to be listed, lostSettleTime that after a reclaim.
	settleTime     = 4 * time.Second
	lostSettleTime = 1500 * time.Millisecond
	// maxRepeatDoublings bounds the time between repeats of an order that has no effect.
	maxRepeatDoublings = 4
	// observeTime is the time for which a host that has just taken over observes before it
	// gives up endpoints: those that its predecessor has ordered are then listed.
	observeTime = 8 * time.Second
	// giveUpInterval is the time between two reductions of a group that serves, giveUpShare
	// the part of a domain's endpoints that is given up at a time: the caches of the others are filled meanwhile.
	// shrinkInterval is the time between two reductions because of the load.
	giveUpInterval = 2 * time.Second
	shrinkInterval = 4 * time.Second
	giveUpShare    = 0.25
	// scarceSurplus is the number of endpoints relative to the need while a domain has none
	// available, singleSurplus that with a single domain.
	scarceSurplus = 1.25
	singleSurplus = 1.25
	// shortShare is the share of the need below which endpoints of full price are worth
	// ordering.
	shortShare = 0.85
)

// goal is what a pool should have.
type goal struct {
	// need is the number of endpoints that carry the load; 0 if it is not known.
	need  float64
	known bool
	// total is the number of endpoints of both kinds by domain, steady the least number of
	// those that are not reclaimable.
	total  map[model.DomainName]int
	steady int
	// missing is the number of endpoints by domain that are missing, beside those that serve
	// or boot, so that most of the load is carried.
	missing int
	// mayShrink reports whether groups may get smaller because of the load.
	mayShrink bool
}

// goal returns what a pool should have. While the load is not known, that is what it has had.
func (p *Planner) goal(now time.Time, v PoolView) goal {
	h := p.history[v.Pool]
	out := goal{total: make(map[model.DomainName]int)}
	out.need, out.known = h.peak()
	out.missing = int(math.Ceil(p.shortfall(v, out.need) / float64(len(v.Domains))))
	out.mayShrink = out.known && v.Current && h.isComplete(now) && now.Sub(p.since) >= observeTime
	each := p.perDomain(now, v, out.need)
	smallest := math.MaxInt
	for _, domain := range v.Domains {
		n := each[domain]
		if !out.mayShrink {
			// While the endpoints of one kind replace those of the other, both are there.
			n = max(n, p.group(Group{Pool: v.Pool, Domain: domain}).wished(),
				p.group(Group{Pool: v.Pool, Domain: domain, Reclaimable: true}).wished())
		}
		out.total[domain] = min(max(n, v.Scaling.Min, 1), v.Scaling.Max)
		smallest = min(smallest, out.total[domain])
	}
	out.steady = min(steadyEach(len(v.Domains), smallest, h.urgent, v.Scaling.Min), smallest)
	return out
}

// perDomain spreads the endpoints over the domains so that the loss of one leaves what the
// load needs. While a domain has none available, the others have a smaller surplus.
func (p *Planner) perDomain(now time.Time, v PoolView, n float64) map[model.DomainName]int {
	out := make(map[model.DomainName]int, len(v.Domains))
	k := float64(len(v.Domains))
	share := n * singleSurplus
	if k > 1 {
		share = n / (k - 1)
	}
	var available []model.DomainName
	standing := 0.0
	for _, domain := range v.Domains {
		out[domain] = int(math.Ceil(share))
		if v.hasReclaimable() && now.Before(p.group(Group{Pool: v.Pool, Domain: domain, Reclaimable: true}).pausedUntil) {
			standing += float64(v.Endpoints[Group{Pool: v.Pool, Domain: domain}].Serving)
			continue
		}
		available = append(available, domain)
	}
	if len(available) == len(v.Domains) || len(available) == 0 {
		return out
	}
	share = max(share, (n*scarceSurplus-standing)/float64(len(available)))
	for _, domain := range available {
		out[domain] = int(math.Ceil(share))
	}
	return out
}

// hasReclaimable reports whether reclaimable endpoints are worth ordering.
func (v *PoolView) hasReclaimable() bool {
	return v.Scaling.ReclaimablePrice > 0 && v.Scaling.ReclaimablePrice < 1
}

// steadyEach returns the number of endpoints by domain that are not reclaimable: with them,
// the loss of one domain and a reclaim in another one leave what the first rank needs.
func steadyEach(domains, total, urgent, least int) int {
	if domains < 2 {
		return max(urgent, least, 1)
	}
	missing := urgent - (domains-2)*total
	return max((missing+domains-2)/(domains-1), least, 1)
}

// wanted returns the count to order for a group and why; the reason is empty if no order is
// due.
func (p *Planner) wanted(now time.Time, v PoolView, id Group, goal goal) (int, Reason) {
	g := p.group(id)
	steady := p.group(Group{Pool: id.Pool, Domain: id.Domain})
	total := goal.total[id.Domain]
	if !id.Reclaimable {
		return p.wantedSteady(now, v, id, goal)
	}
	if !v.hasReclaimable() {
		return 0, ""
	}
	want := min(total-goal.steady, v.Scaling.Max-steady.count())
	if want < 0 {
		return 0, ""
	}
	if !goal.mayShrink {
		// A reclaim must not shrink the group either.
		want = max(want, g.count())
	}
	count, reason := p.due(now, v, g, want, goal.mayShrink)
	if reason == ReasonGrows && steady.count() > goal.steady {
		reason = ReasonCheaper
	}
	return count, reason
}

// wantedSteady returns the count to order of endpoints that are not reclaimable. They are
// given up as far as reclaimable ones serve in their place, and ordered where the pool has too
// few and reclaimable ones are not available.
func (p *Planner) wantedSteady(now time.Time, v PoolView, id Group, goal goal) (int, Reason) {
	g := p.group(id)
	total := goal.total[id.Domain]
	if !v.hasReclaimable() {
		return p.due(now, v, g, total, goal.mayShrink)
	}
	other := p.group(Group{Pool: id.Pool, Domain: id.Domain, Reclaimable: true})
	keep := max(total-other.seen.Serving, goal.steady)
	have := g.count()
	// The endpoints of both kinds together stay within the bound.
	most := max(v.Scaling.Max-other.count(), have)
	switch {
	case keep < have && other.ordered < 0 && now.Sub(p.since) < observeTime:
		// The other kind was ordered by another host: it may have meant both to serve.
		return 0, ""
	case keep < have:
		return p.giveUp(now, v, g, keep, total, goal)
	case other.refused:
		return p.due(now, v, g, min(max(have+goal.missing, goal.steady), most), false)
	default:
		return p.due(now, v, g, min(max(have, goal.steady), most), false)
	}
}

// shortfall returns the number of endpoints that are missing beside those that serve or boot
// so that most of the load is carried.
func (p *Planner) shortfall(v PoolView, need float64) float64 {
	sum := 0
	for _, domain := range v.Domains {
		for _, reclaimable := range []bool{false, true} {
			sum += p.group(Group{Pool: v.Pool, Domain: domain, Reclaimable: reclaimable}).count()
		}
	}
	return max(shortShare*need-float64(sum), 0)
}

// giveUp returns the next smaller count of a group whose replacements serve. While there is
// load, it gives up a part at a time, since the caches of the replacements are empty.
func (p *Planner) giveUp(now time.Time, v PoolView, g *group, keep, total int, goal goal) (int, Reason) {
	if !v.Current || g.seen.Serving < keep || now.Sub(g.orderedAt) < giveUpInterval {
		return 0, ""
	}
	if have := g.count(); have-keep < minDeadband && keep > goal.steady {
		return 0, ""
	}
	if goal.known {
		keep = max(keep, g.count()-max(int(giveUpShare*float64(total)), minDeadband))
	}
	return keep, ReasonCheaper
}

// due returns the count if an order of it is due and why: one that differs enough from the
// last one, or a repeat of that one.
func (p *Planner) due(now time.Time, v PoolView, g *group, want int, mayShrink bool) (int, Reason) {
	have := g.count()
	deadband := max(minDeadband, int(deadbandShare*float64(have)))
	if have == 0 {
		deadband = 1
	}
	switch {
	case g.reclaimed && now.Sub(g.orderedAt) < lostSettleTime:
		// The endpoints of a domain may vanish from the list one after the other.
		return 0, ""
	case g.reclaimed:
		return max(want, 0), ReasonReclaimed
	case want-have >= deadband:
		return want, ReasonGrows
	case have-want >= deadband && mayShrink:
		if now.Sub(g.orderedAt) < shrinkInterval {
			return 0, ""
		}
		return max(want, have-max(int(giveUpShare*float64(have)), minDeadband)), ReasonShrinks
	case g.refused:
		return max(want, g.seen.Serving), ReasonRepeat
	case g.ordered >= 0 && g.isUnmet() && now.Sub(g.orderedAt) >= p.repeatAfter(v, g):
		return g.ordered, ReasonRepeat
	default:
		return 0, ""
	}
}

// isUnmet reports whether the last order has not taken effect, or may take effect again.
func (g *group) isUnmet() bool { return g.seen.Serving != g.ordered || g.unknown }

// repeatAfter returns the time from an order without effect until its repeat.
func (p *Planner) repeatAfter(v PoolView, g *group) time.Duration {
	settle := settleTime
	if g.why == ReasonReclaimed && g.repeats == 0 {
		settle = lostSettleTime
	}
	return (v.Scaling.BootTime + settle) << min(g.repeats, maxRepeatDoublings)
}
