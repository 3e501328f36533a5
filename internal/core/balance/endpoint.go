package balance

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeonsail/wigeonsail/internal/core/directory"
)

const (
	// learnWeight is the weight of the newest answer in a learned mean.
	learnWeight = 0.15
	// maxSlowness bounds the learned factor of one answer.
	maxSlowness = 8
	// forgetTime is the time in which half of what was learned of an endpoint's
	// slowness and failures is forgotten, so that it is tried again.
	forgetTime = 4 * time.Second
	// firstPause is the time without requests, or until the next check, after
	// the first failure; it doubles up to maxPause.
	firstPause = 250 * time.Millisecond
	maxPause   = 2 * time.Second
	// replacedPause is the time without requests after another endpoint was found
	// at the address: the list shows it within about that time.
	replacedPause = 2 * time.Second
	// breaksToPause is the number of broken answers in a row after which an
	// endpoint is paused.
	breaksToPause = 2
)

// endpoint is what is known of one endpoint.
type endpoint struct {
	directory.Entry
	// hash is that of the name, for rendezvous hashing.
	hash uint64
	// own is this host's work there, peers that of the others.
	own   Load
	peers Load
	// opened is the largest number of requests at once, which is about the
	// number of connections that this host keeps.
	opened int

	// slowness is the mean of the time that answers took by the time that was
	// expected; 1 for an endpoint as fast as expected.
	slowness float64
	// failing is the mean share of failures.
	failing float64
	learned time.Time

	// stalled counts this host's streams that have stopped for longer than usual,
	// overdue its requests without a first answer after far more than expected.
	stalled int
	overdue int

	// breaks counts the failures to connect or answer in a row.
	breaks int
	paused time.Time
	// unreachable says that the last connection could not be opened; checkAt is
	// when that is checked again.
	unreachable bool
	checkAt     time.Time
	// checking says that a check has no result yet, inRound that it is one of a
	// round of its domain.
	checking bool
	inRound  bool
	// reserved says that the endpoint is kept for urgent requests.
	reserved bool
}

func newEndpoint(entry directory.Entry) *endpoint {
	return &endpoint{Entry: entry, hash: xxhash.Sum64String(string(entry.Name)), slowness: 1}
}

// total is the known work of all hosts there.
func (e *endpoint) total() Load {
	all := e.own
	all.sum(e.peers)
	return all
}

// usable says that the endpoint may get requests.
func (e *endpoint) usable(now time.Time) bool {
	return !e.Draining && !e.unreachable && !now.Before(e.paused)
}

// learn takes the time to a first answer.
func (e *endpoint) learn(now time.Time, took, expected time.Duration) {
	e.fade(now)
	ratio := took.Seconds() / max(expected.Seconds(), minExpected.Seconds())
	ratio = min(ratio, maxSlowness)
	e.slowness += learnWeight * (ratio - e.slowness)
	e.breaks = 0
}

// minExpected keeps the ratio of very short answers from being noise.
const minExpected = 5 * time.Millisecond

// ended takes the end of an attempt.
func (e *endpoint) ended(now time.Time, f Failure) {
	e.fade(now)
	failed := 0.0
	switch f {
	case FailureNone:
		e.breaks = 0
	case FailureRefused:
		failed = 1
	case FailureError:
		failed = 1
		e.breaks = 0
	case FailureBroken:
		failed = 1
		e.breaks++
		if e.breaks >= breaksToPause {
			e.pause(now, e.breaks-breaksToPause)
		}
	case FailureUnreachable:
		failed = 1
		e.lose(now)
	case FailureReplaced:
		failed = 1
		e.paused = now.Add(replacedPause)
	}
	e.failing += learnWeight * (failed - e.failing)
}

// pause keeps requests away after a failure.
func (e *endpoint) pause(now time.Time, doublings int) { e.paused = now.Add(pauseAfter(doublings)) }

// pauseAfter is the length of a pause that has doubled so often.
func pauseAfter(doublings int) time.Duration { return min(firstPause<<min(doublings, 8), maxPause) }

// fade lets what was learned go back to the expected value with time.
func (e *endpoint) fade(now time.Time) {
	if !e.learned.IsZero() {
		keep := math.Exp2(-now.Sub(e.learned).Seconds() / forgetTime.Seconds())
		e.slowness = 1 + (e.slowness-1)*keep
		e.failing *= keep
	}
	e.learned = now
}

// Load is work at an endpoint.
type Load struct {
	// Count is the number of requests, Urgent that of those of rank 0.
	Count  int
	Urgent int
	// Pending are the prompt tokens that are still to be read, by priority.
	Pending [Priorities]int
	// Memory is the number of tokens that the requests hold.
	Memory int
}

// Priorities is the number of priorities that engines tell apart; 0 is served
// first.
const Priorities = 10

func (l *Load) add(priority, pending, memory, count int) {
	l.Count += count
	l.Pending[priority] += pending
	l.Memory += memory
}

// sum adds another load.
func (l *Load) sum(other Load) { l.sumTimes(other, 1) }

func (l *Load) sumTimes(other Load, times int) {
	l.Count += times * other.Count
	l.Urgent += times * other.Urgent
	l.Memory += times * other.Memory
	for i, n := range other.Pending {
		l.Pending[i] += times * n
	}
}

// pending returns the prompt tokens that are read before those of a request of
// the priority. Less urgent ones count in part, since what an engine has begun
// to read it goes on with.
func (l *Load) pending(priority int) float64 {
	total := 0.0
	for i, n := range l.Pending {
		if i <= priority {
			total += float64(n)
		} else {
			total += lessUrgentShare * float64(n)
		}
	}
	return total
}
