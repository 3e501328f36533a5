// Package placement decides which endpoint serves a request: it learns how much
// room and speed each has, ejects those that fail or lag behind their peers,
// and chooses between the others.
package placement

import "time"

const (
	// roomIncrease is what the room grows by over one round of good answers.
	roomIncrease = 0.2
	// roomDecrease is the factor on the room after a sign of congestion.
	roomDecrease = 0.85
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
	r.value = min(r.value+roomIncrease/r.value, r.start*roomRaise)
}

// Congested tells of a late answer or of requests that queue at the endpoint.
func (r *Room) Congested(now time.Time) {
	if !r.decreased.IsZero() && now.Sub(r.decreased) < decreaseEvery {
		return
	}
	r.decreased = now
	r.value = max(r.value*roomDecrease, 1)
}
