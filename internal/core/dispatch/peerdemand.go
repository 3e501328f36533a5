package dispatch

import "github.com/wigeonsail/wigeonsail/internal/core/model"

// hostDemand is a peer's demand by class. It is summed once per digest, since
// every pool uses it.
type hostDemand struct {
	host model.HostID
	// classes are in the order of rules.classes.
	classes []classDemand
}

// classDemand is a peer's demand in one class.
type classDemand struct {
	// rate is in requests per second. queued reports whether requests are
	// queued.
	rate   float64
	queued bool
}

// sumDemand sums a peer's demand over its accounts. Classes that are not in the
// configuration are skipped.
func (r *rules) sumDemand(h PeerHost) hostDemand {
	sum := hostDemand{host: h.Host, classes: make([]classDemand, len(r.classes))}
	for _, e := range h.Demand {
		c := r.byName[e.Class]
		if c == nil {
			continue
		}
		sum.classes[c.index].rate += e.Rate
		if e.Queued > 0 {
			sum.classes[c.index].queued = true
		}
	}
	return sum
}

// poolRate returns the demand of the classes that use the pool, in requests per
// second.
func (h *hostDemand) poolRate(p *pool) float64 {
	sum := 0.0
	for i := range h.classes {
		if p.states[i].used {
			sum += h.classes[i].rate
		}
	}
	return sum
}

// hasPeerProtectedQueue reports whether a peer has protected requests queued in
// a class that uses the pool.
func (d *Dispatcher) hasPeerProtectedQueue(p *pool) bool {
	for _, h := range d.peerDemand {
		for i, c := range d.rules.classes {
			if c.Protected && h.classes[i].queued && p.states[i].used {
				return true
			}
		}
	}
	return false
}
