package admission

import (
	"math"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

const (
	// agedFactor raises the floor of a class whose oldest request has waited
	// past AgeAfter.
	agedFactor = 2
	// maxAgedFloor bounds the raised floor.
	maxAgedFloor = 0.5
)

// ClassRule is what the order between classes depends on.
type ClassRule struct {
	// Tier orders classes; 0 is served first.
	Tier model.Tier
	// Protected classes come before all floors.
	Protected bool
	// Floor is the part of the room, from 0 to 1, that the class may fill even
	// while higher tiers have work. It counts room and not grants, since the
	// requests of one class may run many times as long as those of another.
	Floor float64
	// AgeAfter is the waiting time that raises the floor; 0 for never.
	AgeAfter time.Duration
}

// Room is what a pool has for a class.
type Room struct {
	// Fits says that a request of the class can be served now.
	Fits bool
	// InFlight is the class's work and Limit the room for all classes.
	InFlight, Limit int
}

// Tiers chooses the class that is served next among the queues of a pool.
type Tiers struct {
	rules  []ClassRule
	queues []*ClassQueue
}

// NewTiers returns the order for classes that are sorted by tier.
func NewTiers(rules []ClassRule) *Tiers {
	t := &Tiers{rules: rules}
	for range rules {
		t.queues = append(t.queues, NewClassQueue())
	}
	return t
}

// Queue returns the queue of the class at index.
func (t *Tiers) Queue(index int) *ClassQueue { return t.queues[index] }

// Len returns the number of waiting requests in all classes.
func (t *Tiers) Len() int {
	n := 0
	for _, q := range t.queues {
		n += q.Len()
	}
	return n
}

// Next returns the index of the class to serve and its item; nil when no class
// with work can be served. The function room tells what the pool has for a
// class.
func (t *Tiers) Next(now time.Time, room func(index int) Room) (int, *Item) {
	index := t.nextClass(now, room)
	if index < 0 {
		return -1, nil
	}
	q := t.queues[index]
	if t.aged(now, index) {
		return index, q.Oldest()
	}
	return index, q.Next()
}

func (t *Tiers) nextClass(now time.Time, room func(int) Room) int {
	first := -1
	for i, q := range t.queues {
		if q.Len() == 0 {
			continue
		}
		r := room(i)
		if !r.Fits {
			continue
		}
		if t.rules[i].Protected {
			return i
		}
		if first < 0 {
			first = i
			continue
		}
		if r.InFlight < t.Floor(now, i, r.Limit) {
			return i
		}
	}
	return first
}

// Floor returns how much work the class may have while higher tiers wait.
func (t *Tiers) Floor(now time.Time, index, limit int) int {
	floor := t.rules[index].Floor
	if t.aged(now, index) {
		floor = max(floor, min(floor*agedFactor, maxAgedFloor))
	}
	return int(math.Ceil(floor * float64(limit)))
}

func (t *Tiers) aged(now time.Time, index int) bool {
	after := t.rules[index].AgeAfter
	return after > 0 && t.queues[index].OldestWait(now) > after
}
