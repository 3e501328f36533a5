package dispatch

import "github.com/wigeonsail/wigeonsail/internal/core/model"

// hostDemand is a peer's demand summed by class once for each digest, since
// every pool asks for it.
type hostDemand struct {
	host model.HostID
	// classes are in the order of the rules.
	classes []classDemand
}

type classDemand struct {
	// rate is in requests a second.
	rate    float64
	waiting bool
}

// sumDemand sums a peer's demand over its accounts. Classes that the
// configuration does not know are left out.
func (r *rules) sumDemand(h PeerHost) hostDemand {
	sum := hostDemand{host: h.Host, classes: make([]classDemand, len(r.classes))}
	for _, e := range h.Demand {
		c := r.byName[e.Class]
		if c == nil {
			continue
		}
		sum.classes[c.index].rate += e.Rate
		if e.Queued > 0 {
			sum.classes[c.index].waiting = true
		}
	}
	return sum
}

// rate is the demand on a pool, in requests a second.
func (h *hostDemand) rate(p *pool) float64 {
	sum := 0.0
	for i := range h.classes {
		if p.states[i].seen {
			sum += h.classes[i].rate
		}
	}
	return sum
}

// peersWait says that a peer has protected requests waiting for the pool.
func (d *Dispatcher) peersWait(p *pool) bool {
	for _, h := range d.peerDemand {
		for i, c := range d.rules.classes {
			if c.Protected && h.classes[i].waiting && p.states[i].seen {
				return true
			}
		}
	}
	return false
}
