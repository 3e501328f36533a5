package balance

import (
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

const (
	// refreshInterval is the shortest time between two refreshes of the
	// estimates.
	refreshInterval = 10 * time.Millisecond
	// minPendingShare is the share of a prompt that counts as not yet prefilled
	// until the first event has arrived.
	minPendingShare = 0.15
	// overdueFactor and overdueSlack define when a first response is overdue:
	// after the expected time times the factor, plus the slack.
	overdueFactor = 2
	overdueSlack  = 200 * time.Millisecond
)

// refreshEstimates estimates the remaining prefill of this host's requests in
// flight and marks those that are overdue, at most once per refreshInterval.
func (b *Balancer) refreshEstimates(now time.Time) {
	if now.Sub(b.refreshedAt) < refreshInterval {
		return
	}
	b.refreshedAt = now
	for _, p := range b.pools {
		p.refreshSpeeds(now)
	}
	for _, r := range b.running {
		if r.answered {
			continue
		}
		limit := overdueFactor*r.expected + overdueSlack
		r.setOverdue(now.Sub(r.placedAt) > limit && !r.isDelayedOnPurpose())
		if r.prefill == 0 {
			continue
		}
		left := r.remainingPrefill(now)
		r.endpoint.localLoad.add(r.priority, left-r.pendingPrefill, 0, 0)
		r.pendingPrefill = left
	}
}

// remainingPrefill estimates the number of prompt tokens that the endpoint has
// not prefilled yet. It assumes that the prefill takes the last part of the
// expected time.
func (r *runningRequest) remainingPrefill(now time.Time) int {
	prefillMS := float64(r.prefill) * r.endpoint.speed.perTokenMS(0)
	start := float64(r.expected.Milliseconds()) - r.baseMS - prefillMS
	elapsed := float64(now.Sub(r.placedAt).Milliseconds())
	share := 1 - (elapsed-start)/max(prefillMS, 1)
	return int(float64(r.prefill) * min(max(share, minPendingShare), 1))
}

// setOverdue marks the request as overdue, or not, and updates the count of its
// endpoint.
func (r *runningRequest) setOverdue(overdue bool) {
	if overdue == r.overdue {
		return
	}
	r.overdue = overdue
	if overdue {
		r.endpoint.overdue++
		r.endpoint.watched.watch(r.endpoint)
		return
	}
	r.endpoint.overdue--
}

// setStalled marks the request as stalled, or not, and updates the count of its
// endpoint.
func (r *runningRequest) setStalled(stalled bool) {
	if stalled == r.stalled {
		return
	}
	r.stalled = stalled
	if stalled {
		r.endpoint.stalled++
		r.endpoint.watched.watch(r.endpoint)
		return
	}
	r.endpoint.stalled--
}

// SetStalled records that a stream has been silent for longer than usual, or
// that it has resumed. Unknown IDs are ignored.
func (b *Balancer) SetStalled(id model.RequestID, stalled bool) {
	if r := b.running[id]; r != nil {
		r.setStalled(stalled)
	}
}
