// Package attempt decides about the attempts of a request: whether a retry is
// allowed, how many retries a class or a pool has left, and how long attempts
// take.
package attempt

// budgetBurst is the largest number of retries that a class can save up.
const budgetBurst = 10

// Budget limits the retries of a class to a share of its first attempts, so
// that retries do not add load to a failing pool.
type Budget struct {
	share  float64
	credit float64
}

// NewBudget returns a budget of share retries per first attempt.
func NewBudget(share float64) *Budget {
	b := &Budget{share: share}
	if share > 0 {
		b.credit = 1
	}
	return b
}

// SetShare changes the share and keeps the retries that are saved up.
func (b *Budget) SetShare(share float64) {
	b.share = share
	if share <= 0 {
		b.credit = 0
	}
}

// RecordFirst counts a first attempt.
func (b *Budget) RecordFirst() { b.credit = min(b.credit+b.share, budgetBurst) }

// TakeRetry takes one retry from the budget and reports whether one was left.
func (b *Budget) TakeRetry() bool {
	if b.credit < 1 {
		return false
	}
	b.credit--
	return true
}
