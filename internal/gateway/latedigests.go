package gateway

import (
	"time"

	"github.com/wigeonsail/wigeonsail/internal/port"
)

// The ages that another host reports are those when it sent the digest. After a time in
// which nothing arrived from it, digests may arrive that were sent long ago: the link was
// cut, or this host stood still.

// lateDigests bounds how late the digests of a peer are.
type lateDigests struct {
	// most is the longest time that a digest that arrives before until may have been on
	// its way.
	most  time.Duration
	until time.Time
}

// ageDigest adds to the ages in a digest that arrives now how late it may be. It must be
// called before the arrival is recorded.
func (t *peerTable) ageDigest(now time.Time, p *peer, d *port.LoadDigest) {
	if !p.lastSeen.IsZero() && !t.hearsFrom(now, p) {
		p.late = lateDigests{most: now.Sub(p.lastSeen), until: now.Add(heartbeatInterval)}
	}
	if !now.Before(p.late.until) {
		return
	}
	for _, age := range []*time.Duration{&d.ListReadAge, &d.ListKnownAge, &d.ConfigAge} {
		*age = min(*age+p.late.most, maxReadAge)
	}
}
