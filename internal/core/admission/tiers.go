package admission

import (
	"math"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

const (
	// agedFactor is the factor on the floor of a class whose oldest request has
	// been queued for longer than AgeAfter.
	agedFactor = 2
	// maxAgedFloor bounds the raised floor.
	maxAgedFloor = 0.5
)

// ClassRule is the scheduling rule of a class.
type ClassRule struct {
	// Tier orders the classes; 0 is served first.
	Tier model.Tier
	// Protected classes are served before the floors of other classes are
	// filled.
	Protected bool
	// Floor is the share of the room, from 0 to 1, that the class may use even
	// while requests of higher tiers are queued. It counts room and not grants,
	// since the requests of one class may run many times as long as those of
	// another.
	Floor float64
	// AgeAfter is the queueing time after which the floor is raised; 0 for
	// never.
	AgeAfter time.Duration
}

// Room is the room of a pool for a class, in requests.
type Room struct {
	// Fits reports whether a request of the class can be served now.
	Fits bool
	// InFlight is the number of requests of the class in flight, Limit the room
	// for all classes.
	InFlight, Limit int
}

// Tiers selects the class to serve next among the queues of a pool.
type Tiers struct {
	rules  []ClassRule
	queues []*ClassQueue
}

// NewTiers returns empty queues for classes that are sorted by tier.
func NewTiers(rules []ClassRule) *Tiers {
	t := &Tiers{rules: rules}
	for range rules {
		t.queues = append(t.queues, NewClassQueue())
	}
	return t
}

// Queue returns the queue of the class at index.
func (t *Tiers) Queue(index int) *ClassQueue { return t.queues[index] }

// Len returns the number of queued requests of all classes.
func (t *Tiers) Len() int {
	n := 0
	for _, q := range t.queues {
		n += q.Len()
	}
	return n
}

// Next returns the index of the class to serve next and its item without
// removing it, or -1 and nil when no class with queued requests can be served.
// The function room returns the room of the pool for a class. The oldest item
// of an aged class is served first.
func (t *Tiers) Next(now time.Time, room func(index int) Room) (int, *Item) {
	index := t.nextClassIndex(now, room)
	if index < 0 {
		return -1, nil
	}
	q := t.queues[index]
	if t.isAged(now, index) {
		return index, q.Oldest()
	}
	return index, q.Next()
}

// nextClassIndex returns the index of the class to serve next: a protected
// class, else a class below its floor, else the highest tier; -1 for none.
func (t *Tiers) nextClassIndex(now time.Time, room func(int) Room) int {
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

// Floor returns the number of requests in flight up to which the class is
// served while higher tiers are queued.
func (t *Tiers) Floor(now time.Time, index, limit int) int {
	floor := t.rules[index].Floor
	if t.isAged(now, index) {
		floor = max(floor, min(floor*agedFactor, maxAgedFloor))
	}
	return int(math.Ceil(floor * float64(limit)))
}

// isAged reports whether the oldest request of the class has been queued for
// longer than AgeAfter.
func (t *Tiers) isAged(now time.Time, index int) bool {
	after := t.rules[index].AgeAfter
	return after > 0 && t.queues[index].OldestWait(now) > after
}
