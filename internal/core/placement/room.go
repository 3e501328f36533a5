// Package placement chooses the endpoint that serves a request: it learns the
// room and the speed of each endpoint, ejects those that fail or are much
// slower than their peers, and chooses among the others.
package placement

import "time"

const (
	// roomIncrease is the growth of the room over one round of responses in
	// time.
	roomIncrease = 1
	// roomDecrease is the factor on the room after a sign of congestion.
	roomDecrease = 0.85
	// maxIncrease bounds the growth per response, for endpoints with little
	// room.
	maxIncrease = 0.25
	// aboveCeilingFactor slows the growth above the number of requests that the
	// endpoint itself has shown to serve at once.
	aboveCeilingFactor = 0.05
	// ceilingStep is the growth of the ceiling per report without queued
	// requests.
	ceilingStep = 0.05
	// maxRoomFactor bounds the learned room as a multiple of the configured
	// one.
	maxRoomFactor = 4
	// decreaseInterval is the shortest time between two decreases, since signs
	// of the same congestion arrive one after another.
	decreaseInterval = time.Second
)

// Room learns the concurrency limit of an endpoint, the number of requests that
// it serves at once: additive increase while first tokens arrive in time with
// the room in use, multiplicative decrease when they are late or the endpoint
// queues requests.
type Room struct {
	value        float64
	start        float64
	lastDecrease time.Time
	// ceiling is the number of requests that the endpoint served at once when
	// it last queued requests; 0 while unknown.
	ceiling float64
}

// NewRoom returns a room that starts at the configured value.
func NewRoom(start int) Room {
	start = max(start, 1)
	return Room{value: float64(start), start: float64(start)}
}

// Value returns the learned room, at least 1.
func (r *Room) Value() int { return int(r.value) }

// RecordOnTime records a response in time while used requests were in flight at
// the endpoint. The room grows only if it was in use.
func (r *Room) RecordOnTime(used int) {
	if used+1 < int(r.value) {
		return
	}
	step := min(roomIncrease/r.value, maxIncrease)
	if r.ceiling > 0 && r.value+step > r.ceiling {
		step *= aboveCeilingFactor
	}
	r.value = min(r.value+step, r.start*maxRoomFactor)
}

// RecordQueued records that requests are queued at the endpoint while running
// others are served: this is how many the endpoint serves at once. It lowers the
// room to that number.
func (r *Room) RecordQueued(running int) {
	r.ceiling = float64(max(running, 1))
	r.value = min(r.value, r.ceiling)
}

// RecordUnseenLoad records that requests are queued at the endpoint because of
// load that neither this host nor its known peers have sent. All hosts that do
// not see each other shrink the room by the same factor, and grow it slowly
// afterwards.
func (r *Room) RecordUnseenLoad(now time.Time) {
	r.RecordCongestion(now)
	r.ceiling = r.value
}

// RecordNoQueue records that no requests are queued at the endpoint, which
// raises the ceiling up to which the room grows fast.
func (r *Room) RecordNoQueue() {
	if r.ceiling > 0 {
		r.ceiling += ceilingStep
	}
}

// RecordCongestion records late responses and shrinks the room, at most once
// per decreaseInterval.
func (r *Room) RecordCongestion(now time.Time) {
	if !r.lastDecrease.IsZero() && now.Sub(r.lastDecrease) < decreaseInterval {
		return
	}
	r.lastDecrease = now
	r.value = max(r.value*roomDecrease, 1)
}
