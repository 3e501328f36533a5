package gateway

import (
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

// clockDriftDivisor is the reciprocal of the greatest relative difference of the speeds of two
// hosts' clocks.
const clockDriftDivisor = 2000

// peerClock bounds when the digests of an incarnation of a peer were sent, without clocks that agree: the peer
// received a digest of this host, by its own clock, no earlier than this host had sent it. All
// times are those since the start of a host, including those in which it was suspended.
type peerClock struct {
	// sentAt and receivedAt are those of the peer's latest digest, the last one by the clock of
	// this host.
	sentAt     time.Duration
	receivedAt time.Duration
	// ahead is the least time by which the clock of this host can be ahead of that of the
	// peer, as found at foundAt, if known.
	ahead   time.Duration
	foundAt time.Duration
	known   bool
}

// learn applies a digest of the peer that arrives now. own is the incarnation of this host.
func (p *peerClock) learn(now time.Duration, own model.Incarnation, d *port.LoadDigest) {
	p.sentAt, p.receivedAt = d.SentAt, now
	if d.Echo.SentAt == 0 || d.Echo.Incarnation != own {
		return
	}
	if ahead := d.Echo.SentAt - d.Echo.ReceivedAt; !p.known || ahead >= p.minAhead(now) {
		p.ahead, p.foundAt, p.known = ahead, now, true
	}
}

// minAhead returns the least time by which the clock of this host can be ahead now.
func (p *peerClock) minAhead(now time.Duration) time.Duration {
	return p.ahead - (now-p.foundAt)/clockDriftDivisor
}

// maxWay returns the longest time that a digest which the peer sent at sentAt and which arrives
// now may have been on its way. It returns false if nothing bounds it.
func (p *peerClock) maxWay(now, sentAt time.Duration) (time.Duration, bool) {
	if !p.known || sentAt == 0 {
		return 0, false
	}
	return now - p.minAhead(now) - sentAt, true
}

// echo returns what this host echoes to the peer, which is in an incarnation; zero if nothing was
// received.
func (p *peerClock) echo(incarnation model.Incarnation) port.DigestEcho {
	if p.sentAt == 0 {
		return port.DigestEcho{}
	}
	return port.DigestEcho{Incarnation: incarnation, SentAt: p.sentAt, ReceivedAt: p.receivedAt}
}

// sinceStart returns the time from the start of this host to now, including the time in which
// it was suspended. It is not zero.
func (c *control) sinceStart(now time.Time) time.Duration {
	return now.Sub(c.gateway.suspension.startedAt) + c.suspended + time.Millisecond
}
