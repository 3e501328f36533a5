// Package attempt decides about the tries of a request: whether another one is
// allowed, how many retries a class has left, and how long tries take.
package attempt

// budgetBurst is the number of retries that a class saves up at most.
const budgetBurst = 10

// Budget bounds the retries of a class to a share of its first tries, so that
// a failing pool is not loaded further by retries.
type Budget struct {
	share  float64
	credit float64
}

// NewBudget returns a budget of share retries a first try.
func NewBudget(share float64) *Budget {
	b := &Budget{share: share}
	if share > 0 {
		b.credit = 1
	}
	return b
}

// SetShare changes the share and keeps what was saved up.
func (b *Budget) SetShare(share float64) {
	b.share = share
	if share <= 0 {
		b.credit = 0
	}
}

// First counts a first try.
func (b *Budget) First() { b.credit = min(b.credit+b.share, budgetBurst) }

// Retry takes one retry and says whether there was one.
func (b *Budget) Retry() bool {
	if b.credit < 1 {
		return false
	}
	b.credit--
	return true
}
