package admission

import (
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

const (
	// creditLimit bounds the grants that a floor saves up while it cannot be
	// used.
	creditLimit = 2
	// agedFactor raises the floor of a class whose oldest request has waited
	// past AgeAfter.
	agedFactor = 4
	// maxAgedFloor bounds the raised floor.
	maxAgedFloor = 0.5
)

// ClassRule is what the order between classes depends on.
type ClassRule struct {
	// Tier orders classes; 0 is served first.
	Tier model.Tier
	// Protected classes come before all floors.
	Protected bool
	// Floor is the share of grants, from 0 to 1, that the class gets even
	// while higher tiers have work.
	Floor float64
	// AgeAfter is the waiting time that raises the floor; 0 for never.
	AgeAfter time.Duration
}

// Tiers chooses the class that is served next among the queues of a pool.
type Tiers struct {
	rules  []ClassRule
	queues []*ClassQueue
	credit []float64
}

// NewTiers returns the order for classes that are sorted by tier.
func NewTiers(rules []ClassRule) *Tiers {
	t := &Tiers{rules: rules, credit: make([]float64, len(rules))}
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
// with work may be served. The function fits says which class has room.
func (t *Tiers) Next(now time.Time, fits func(index int) bool) (int, *Item) {
	chosen, byFloor := t.nextClass(fits)
	if chosen < 0 {
		return -1, nil
	}
	q := t.queues[chosen]
	if byFloor && t.aged(now, chosen) {
		return chosen, q.Oldest()
	}
	return chosen, q.Next()
}

func (t *Tiers) nextClass(fits func(int) bool) (index int, byFloor bool) {
	first := -1
	for i, q := range t.queues {
		if q.Len() == 0 || !fits(i) {
			continue
		}
		if t.rules[i].Protected {
			return i, false
		}
		if first < 0 {
			first = i
			continue
		}
		if t.credit[i] >= itemCost {
			return i, true
		}
	}
	return first, first >= 0
}

// Take removes the served item and gives the classes that still wait their
// floor's part of the grant.
func (t *Tiers) Take(now time.Time, index int, it *Item) {
	t.queues[index].Take(it)
	if t.rules[index].Protected {
		return
	}
	for i, q := range t.queues {
		if q.Len() == 0 {
			continue
		}
		t.credit[i] = min(t.credit[i]+t.floor(now, i), creditLimit)
	}
	t.credit[index] = max(t.credit[index]-itemCost, 0)
}

func (t *Tiers) floor(now time.Time, index int) float64 {
	floor := t.rules[index].Floor
	if !t.aged(now, index) {
		return floor
	}
	return max(floor, min(floor*agedFactor, maxAgedFloor))
}

func (t *Tiers) aged(now time.Time, index int) bool {
	after := t.rules[index].AgeAfter
	return after > 0 && t.queues[index].OldestWait(now) > after
}
