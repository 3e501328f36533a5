package usage

import (
	"slices"
	"time"
)

const (
	// maxPeerAge is the age of another host's estimate up to which it counts.
	maxPeerAge = 5 * time.Second
	// maxClockError is the difference to the estimates of most hosts from which on this
	// host takes over theirs. It exceeds the time that digests take.
	maxClockError = 150 * time.Millisecond
	// maxWallStep is the difference to the wall clock up to which an estimate follows it. A
	// larger one means that one of the two has jumped.
	maxWallStep = 100 * time.Millisecond
)

// Clock estimates the true time. A host's wall clock may jump by seconds, so the estimate
// advances with a clock that never does, and follows the estimates of most hosts. A Clock
// is not safe for concurrent use.
type Clock struct {
	// base is the estimate at the time baseAt of the steady clock.
	base, baseAt time.Time
	peers        map[string]peerClock
}

// peerClock is the estimate of another host, received at a time of the steady clock.
type peerClock struct {
	clock, at time.Time
}

// NewClock returns a Clock that starts with the wall clock, at a time of the steady clock.
func NewClock(steady, wall time.Time) *Clock {
	return &Clock{base: wall, baseAt: steady, peers: make(map[string]peerClock)}
}

// At returns the estimate of the true time at a time of the steady clock.
func (c *Clock) At(steady time.Time) time.Time { return c.base.Add(steady.Sub(c.baseAt)) }

// ObservePeer records the estimate of another host.
func (c *Clock) ObservePeer(steady time.Time, host string, clock time.Time) {
	if !clock.IsZero() {
		c.peers[host] = peerClock{clock: clock, at: steady}
	}
}

// Correct adjusts the estimate to those of most hosts or, if it agrees with them, to a wall
// clock that differs a little. It returns by how much it took over the former.
func (c *Clock) Correct(steady, wall time.Time) time.Duration {
	now := c.At(steady)
	if off := c.medianOffset(steady); off.Abs() > maxClockError {
		c.base, c.baseAt = now.Add(off), steady
		return off
	}
	if off := wall.Sub(now); off.Abs() <= maxWallStep {
		c.base, c.baseAt = wall, steady
	}
	return 0
}

// medianOffset returns the median of the differences between the estimates of all hosts,
// this one included, and this host's. Of two middle ones it is the one nearer to this
// host's.
func (c *Clock) medianOffset(steady time.Time) time.Duration {
	offsets := []time.Duration{0}
	for host, p := range c.peers {
		age := steady.Sub(p.at)
		if age > maxPeerAge {
			delete(c.peers, host)
			continue
		}
		offsets = append(offsets, p.clock.Add(age).Sub(c.At(steady)))
	}
	slices.Sort(offsets)
	low, high := offsets[(len(offsets)-1)/2], offsets[len(offsets)/2]
	if low.Abs() < high.Abs() {
		return low
	}
	return high
}
