package balance

import (
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

const (
	// refreshEvery is the least time between two looks at the running requests.
	refreshEvery = 10 * time.Millisecond
	// leastPending is the part of a prompt that counts as not yet read until the
	// first event has come.
	leastPending = 0.15
	// overdueFactor and overdueSlack tell from when on a first answer is overdue,
	// against the expected time.
	overdueFactor = 2
	overdueSlack  = 200 * time.Millisecond
)

// refresh estimates what is still to be read of this host's requests, and looks
// for endpoints that have fallen silent.
func (b *Balancer) refresh(now time.Time) {
	if now.Sub(b.refreshed) < refreshEvery {
		return
	}
	b.refreshed = now
	for _, r := range b.running {
		if r.answered {
			continue
		}
		limit := overdueFactor*r.expected + overdueSlack
		r.setOverdue(now.Sub(r.granted) > limit && !r.last())
		if r.read == 0 {
			continue
		}
		left := r.left(now)
		r.endpoint.own.add(r.priority, left-r.pending, 0, 0)
		r.pending = left
	}
}

// left estimates the prompt tokens that the endpoint has not read yet: it reads
// them in the last part of the expected time.
func (r *running) left(now time.Time) int {
	own := float64(r.read) * readTime
	begins := float64(r.expected.Milliseconds()) - firstEventBase - own
	elapsed := float64(now.Sub(r.granted).Milliseconds())
	part := 1 - (elapsed-begins)/max(own, 1)
	return int(float64(r.read) * min(max(part, leastPending), 1))
}

// setOverdue counts the request among the overdue ones of its endpoint.
func (r *running) setOverdue(overdue bool) {
	if overdue == r.overdue {
		return
	}
	r.overdue = overdue
	if overdue {
		r.endpoint.overdue++
		return
	}
	r.endpoint.overdue--
}

// setStalled counts the request among the stalled ones of its endpoint.
func (r *running) setStalled(stalled bool) {
	if stalled == r.stalled {
		return
	}
	r.stalled = stalled
	if stalled {
		r.endpoint.stalled++
		return
	}
	r.endpoint.stalled--
}

// Stalled tells that a stream has stopped for longer than usual, or goes on.
func (b *Balancer) Stalled(id model.RequestID, stalled bool) {
	if r := b.running[id]; r != nil {
		r.setStalled(stalled)
	}
}
