// Package placement decides which endpoint serves a request: it learns how much
// room and speed each has, ejects those that fail or lag behind their peers,
// and chooses between the others.
package placement

import "time"

const (
	// roomIncrease is what the room grows by over one round of good answers.
	roomIncrease = 1
	// roomDecrease is the factor on the room after a sign of congestion.
	roomDecrease = 0.85
	// maxStep bounds what one answer adds, for endpoints with little room.
	maxStep = 0.25
	// probeFactor slows the increase above what the endpoint itself has shown
	// to serve at once.
	probeFactor = 0.05
	// ceilingStep is what one report without queued work adds to the ceiling.
	ceilingStep = 0.05
	// roomRaise bounds the learned room by the configured one.
	roomRaise = 4
	// decreaseEvery is the least time between two decreases, since signs of
	// the same congestion arrive one after another.
	decreaseEvery = time.Second
)

// Room learns how many requests an endpoint serves at once: additive increase
// while first tokens come in time with the room in use, multiplicative decrease
// when they are late or the endpoint queues.
type Room struct {
	value     float64
	start     float64
	decreased time.Time
	// ceiling is what the endpoint served at once when it last queued work; 0
	// while unknown.
	ceiling float64
}

// NewRoom starts from the configured room.
func NewRoom(start int) Room {
	start = max(start, 1)
	return Room{value: float64(start), start: float64(start)}
}

// Value returns the learned room, at least 1.
func (r *Room) Value() int { return int(r.value) }

// Good tells of an answer in time while used requests were at the endpoint.
func (r *Room) Good(used int) {
	if used+1 < int(r.value) {
		return
	}
	step := min(roomIncrease/r.value, maxStep)
	if r.ceiling > 0 && r.value+step > r.ceiling {
		step *= probeFactor
	}
	r.value = min(r.value+step, r.start*roomRaise)
}

// Queued tells that requests wait at an endpoint while running others do not:
// the endpoint itself shows how many it serves at once.
func (r *Room) Queued(running int) {
	r.ceiling = float64(max(running, 1))
	r.value = min(r.value, r.ceiling)
}

// Crowded tells that requests wait at an endpoint because of work that this
// host and the peers it hears of did not send. All who do not see each other
// give way by the same factor, and grow again slowly.
func (r *Room) Crowded(now time.Time) {
	r.Congested(now)
	r.ceiling = r.value
}

// Clear tells that nothing waits at an endpoint, which raises the number up to
// which the room grows fast.
func (r *Room) Clear() {
	if r.ceiling > 0 {
		r.ceiling += ceilingStep
	}
}

// Congested tells of late answers.
func (r *Room) Congested(now time.Time) {
	if !r.decreased.IsZero() && now.Sub(r.decreased) < decreaseEvery {
		return
	}
	r.decreased = now
	r.value = max(r.value*roomDecrease, 1)
}
