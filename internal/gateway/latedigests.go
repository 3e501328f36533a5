package gateway

import (
	"time"

	"github.com/wigeonsail/wigeonsail/internal/port"
)

// The ages that another host reports are those when it sent the digest, which may be long ago:
// the link was cut, or a host stood still.

// lateDigests bounds how late the digests of a peer are that follow a silence.
type lateDigests struct {
	// most is the longest time that a digest that arrives before until may have been on
	// its way.
	most  time.Duration
	until time.Time
}

// ageDigest adds to the ages in a digest that arrives now how late it may be. It must be
// called before the arrival is recorded.
func (c *control) ageDigest(now time.Time, p *peer, d *port.LoadDigest) {
	if !p.lastSeen.IsZero() && !c.peers.hearsFrom(now, p) {
		p.late = lateDigests{most: now.Sub(p.lastSeen), until: now.Add(heartbeatInterval)}
	}
	arrived, late := c.sinceStart(now), time.Duration(0)
	p.clock.learn(arrived, c.gateway.opts.Incarnation, d)
	if way, known := p.clock.maxWay(arrived, d.SentAt); known {
		// Readers of the ages add readAgePerHop.
		late = max(way-readAgePerHop, 0)
	} else if now.Before(p.late.until) {
		late = p.late.most
	}
	for _, age := range []*time.Duration{&d.ListReadAge, &d.ListKnownAge, &d.ConfigAge} {
		*age = min(*age+late, maxReadAge)
	}
}
