package balance

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeonsail/wigeonsail/internal/core/directory"
)

const (
	// newestWeight is the weight of the newest sample in an exponential moving
	// average.
	newestWeight = 0.15
	// maxLatencyRatio bounds the latency ratio of one response.
	maxLatencyRatio = 8
	// learnedHalfLife is the time after which half of an endpoint's learned
	// latency ratio and failure rate has decayed, so that it is tried again.
	learnedHalfLife = 4 * time.Second
	// initialPause is the time without requests, or until the next connectivity
	// check, after the first failure. It doubles with each further failure up
	// to maxPause.
	initialPause = 250 * time.Millisecond
	maxPause     = 2 * time.Second
	// replacedPause is the time without requests after a different endpoint was
	// found at the address: the endpoint list shows the change within about
	// that time.
	replacedPause = 2 * time.Second
	// failuresToPause is the number of consecutive broken responses after which
	// an endpoint is paused.
	failuresToPause = 2
)

// endpoint is the state of one endpoint.
type endpoint struct {
	directory.Entry
	// hash is the hash of the name, for rendezvous hashing.
	hash uint64
	// localLoad is this host's load at the endpoint, remoteLoad that of all
	// other hosts as they last reported it.
	localLoad  Load
	remoteLoad Load
	// peakInFlight is the largest number of concurrent requests from this host,
	// which is about the number of connections that it keeps open.
	peakInFlight int

	// latencyRatio is the moving average of measured over expected response
	// time; 1 for an endpoint as fast as expected.
	latencyRatio float64
	// failureRate is the moving average of the share of failed attempts.
	// decayedAt is when both averages were last decayed.
	failureRate float64
	decayedAt   time.Time

	// stalled counts this host's streams that have been silent for longer than
	// usual, overdue its requests whose first response is far later than
	// expected.
	stalled int
	overdue int

	// consecutiveFailures counts the failed connections and broken responses in
	// a row. Until pausedUntil, the endpoint gets no requests.
	consecutiveFailures int
	pausedUntil         time.Time
	// pausedForBreaks reports that the last pause was for broken responses.
	pausedForBreaks bool
	backoff         backoff
	limit           requestLimit
	brittle         brittleness
	room            brittleShare
	speed           engineSpeed
	// failingSince is the time since which all connections have failed; zero if the last one has
	// not. answeredFrom is when the latest request or check that was answered began, crashedAt when
	// the endpoint has crashed last, as far as known and not later than it did.
	failingSince time.Time
	answeredFrom time.Time
	crashedAt    time.Time
	// unreachable reports whether the last connection could not be opened.
	// nextCheck is when that is checked again.
	unreachable bool
	nextCheck   time.Time
	// unproven reports that this host has lost its paths and not checked the endpoint
	// since.
	unproven bool
	// watched is the set to which the endpoint is added when it may need checks.
	watched watchedEndpoints
	// checkOpen reports whether a connectivity check is in progress, which began at
	// checkStarted, inDomainRound whether it belongs to a round of checks of the failure
	// domain.
	checkOpen     bool
	checkStarted  time.Time
	inDomainRound bool
	// down is when the endpoint was found to be down, unreached when no connection could be
	// opened to it.
	down, unreached downtime
	// softwareCertainFrom is the time as of which the list has to be known so that it is
	// certain that the endpoint runs the version that is listed; zero if it always is.
	softwareCertainFrom time.Time
	// reserved reports whether the endpoint is reserved for urgent requests.
	reserved bool
}

// newEndpoint returns the state of a newly listed endpoint, without load.
func newEndpoint(entry directory.Entry) *endpoint {
	return &endpoint{Entry: entry, hash: xxhash.Sum64String(string(entry.Name)), latencyRatio: 1}
}

// totalLoad returns the load of all hosts at the endpoint, as far as known.
func (e *endpoint) totalLoad() Load {
	all := e.localLoad
	all.addLoad(e.remoteLoad)
	return all
}

// isInService reports whether the endpoint is not draining, unreachable or
// paused.
func (e *endpoint) isInService(now time.Time) bool {
	return !e.Draining && !e.unreachable && !now.Before(e.pausedUntil)
}

// isUsable reports whether the endpoint may get a request: it is in service, and its
// backoff and its limit allow it.
func (e *endpoint) isUsable(now time.Time) bool {
	return e.isInService(now) && e.backoffAllowsRequest(now) && e.limit.allowsRequest(now)
}

// recordLatency updates the latency ratio with the time to a first response and
// resets the consecutive failures.
func (e *endpoint) recordLatency(now time.Time, took, expected time.Duration) {
	e.decay(now)
	ratio := took.Seconds() / max(expected.Seconds(), minExpected.Seconds())
	ratio = min(ratio, maxLatencyRatio)
	e.latencyRatio += newestWeight * (ratio - e.latencyRatio)
	e.consecutiveFailures = 0
}

// minExpected is the shortest expected time used in a latency ratio, so that
// very short responses do not add noise.
const minExpected = 5 * time.Millisecond

// recordResult updates the failure rate with the result of an attempt and, after
// some failures, pauses the endpoint or marks it unreachable. FailureNone counts
// as a success.
func (e *endpoint) recordResult(now time.Time, f Failure) {
	e.decay(now)
	failed := 0.0
	switch f {
	case FailureNone:
		e.consecutiveFailures = 0
	case FailureRefused:
		failed = 1
	case FailureError:
		failed = 1
		e.consecutiveFailures = 0
	case FailureBroken:
		failed = 1
		e.recordFailing(now)
		e.consecutiveFailures++
		if e.consecutiveFailures >= failuresToPause {
			e.pause(now, e.consecutiveFailures-failuresToPause)
			e.pausedForBreaks = true
		}
	case FailureUnreachable:
		failed = 1
		e.recordConnectFailure(now)
	case FailureReplaced:
		failed = 1
		e.down.add(downtime{first: now, last: now})
		e.doubtSoftware(now)
		e.pausedUntil, e.pausedForBreaks = now.Add(replacedPause), false
	}
	e.failureRate += newestWeight * (failed - e.failureRate)
}

// pause stops requests to the endpoint after a failure, for a time that doubles
// with each further failure.
func (e *endpoint) pause(now time.Time, doublings int) {
	e.pausedUntil = now.Add(pauseLength(doublings))
}

// pauseLength returns the backoff after the given number of doublings.
func pauseLength(doublings int) time.Duration { return min(initialPause<<min(doublings, 8), maxPause) }

// decay moves the learned averages back towards their defaults, in proportion to
// the time since the last call.
func (e *endpoint) decay(now time.Time) {
	if !e.decayedAt.IsZero() && (e.latencyRatio != 1 || e.failureRate != 0) {
		keep := math.Exp2(-now.Sub(e.decayedAt).Seconds() / learnedHalfLife.Seconds())
		e.latencyRatio = 1 + (e.latencyRatio-1)*keep
		e.failureRate *= keep
	}
	e.decayedAt = now
}

// Load is the load of one or more hosts at an endpoint.
type Load struct {
	// Count is the number of requests in flight, Urgent the number of those
	// with rank 0.
	Count  int
	Urgent int
	// PendingPrefill is the number of prompt tokens still to be prefilled, by
	// priority.
	PendingPrefill [NumPriorities]int
	// Memory is the number of cache tokens that the requests are expected to
	// hold.
	Memory int
}

// NumPriorities is the number of engine priorities; 0 is served first.
const NumPriorities = 10

// add adds count requests of one priority, with pending prompt tokens to prefill
// and memory cache tokens. Negative amounts subtract. Urgent is not changed.
func (l *Load) add(priority, pending, memory, count int) {
	l.Count += count
	l.PendingPrefill[priority] += pending
	l.Memory += memory
}

// addLoad adds another load.
func (l *Load) addLoad(other Load) { l.addScaled(other, 1) }

// addScaled adds another load times a factor; a factor of -1 subtracts it.
func (l *Load) addScaled(other Load, factor int) {
	l.Count += factor * other.Count
	l.Urgent += factor * other.Urgent
	l.Memory += factor * other.Memory
	for i, n := range other.PendingPrefill {
		l.PendingPrefill[i] += factor * n
	}
}

// prefillAhead returns the number of prompt tokens that are prefilled before
// those of a request with the priority. Lower-priority tokens count in part,
// since an engine finishes a prompt that it has started.
func (l *Load) prefillAhead(priority int) float64 {
	total := 0.0
	for i, n := range l.PendingPrefill {
		if i <= priority {
			total += float64(n)
		} else {
			total += lowerPriorityShare * float64(n)
		}
	}
	return total
}
