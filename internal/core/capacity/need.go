package capacity

import (
	"math"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/routing"
)

// Load is what the requests in flight occupy at the endpoints of a pool, over all hosts.
type Load struct {
	// Running is the number of requests in flight, Urgent that of the first rank.
	Running, Urgent int
	// PendingPrefill are the prompt tokens that are still to be read, Memory the tokens that
	// requests are expected to hold.
	PendingPrefill, Memory int
}

// The utilisation at which endpoints still answer in time, with room for bursts of about
// twice the usual load.
const (
	// prefillSeconds is the time to read a prompt token. It is the prior of a large model;
	// engines differ by a factor of two.
	prefillSeconds = 0.000018
	// prefillShare is the share of the time in which an endpoint may read prompts,
	// slotShare that of its slots and memoryShare that of its memory which may be taken:
	// the rest of the memory holds shared prompt prefixes.
	prefillShare = 0.5
	slotShare    = 0.4
	memoryShare  = 0.5
	// urgentShare is the share of the slots that requests of the first rank may take while
	// most endpoints are lost.
	urgentShare = 0.8
	// backlogTime is the time in which the prompt tokens that wait are to be read.
	backlogTime = time.Second
)

// need returns the number of endpoints that carry a load.
func need(engine *routing.Engine, slots int, demand Demand, load Load) float64 {
	if engine != nil {
		slots = engine.Slots
	}
	n := float64(load.Running) / (slotShare * float64(max(slots, 1)))
	if engine == nil {
		return n
	}
	backlog := float64(load.PendingPrefill) / backlogTime.Seconds()
	n = max(n, max(demand.PromptTokens, backlog)*prefillSeconds/prefillShare)
	return max(n, float64(load.Memory)/(memoryShare*float64(max(engine.CacheTokens, 1))))
}

// urgentNeed returns the number of endpoints that carry the requests of the first rank alone.
func urgentNeed(engine *routing.Engine, slots int, load Load) int {
	if engine != nil {
		slots = engine.Slots
	}
	return int(math.Ceil(float64(load.Urgent) / (urgentShare * float64(max(slots, 1)))))
}

const (
	// peakMemory is how long the highest need of a pool counts: it is longer than bursts and
	// the swings of the load last, so that neither makes the number of endpoints follow.
	peakMemory = 15 * time.Second
	// sampleInterval is the time between two samples of the need.
	sampleInterval = 500 * time.Millisecond
	// meanTime is the time over which the need is averaged. A burst that is shorter than the
	// endpoints take to boot counts by burstRoom less: the utilisation leaves room for it.
	meanTime  = 6 * time.Second
	burstRoom = 2
	// maxGrowth bounds the growth that is expected until ordered endpoints serve.
	maxGrowth = 1.25
	// idleAfter is the time without requests after which a pool counts as idle. Before, it
	// may be about to get its first ones.
	idleAfter = 5 * time.Minute
)

// sample is the need of a pool at a moment, and the one that was expected to follow.
type sample struct {
	at             time.Time
	need, expected float64
}

// history is the need of a pool over peakMemory.
type history struct {
	// recent are the needs over meanTime, samples what is to be carried.
	recent, samples []sample
	// urgent is the highest need of the first rank since the history began.
	urgent int
	// since is when it began, busyAt when there were requests last.
	since, busyAt time.Time
}

// record adds a sample. Without requests it adds none, until the pool counts as idle. ahead is
// the time until ordered endpoints serve.
func (h *history) record(now time.Time, n float64, busy bool, ahead time.Duration) {
	if h.since.IsZero() {
		h.since, h.busyAt = now, now
	}
	if busy {
		h.busyAt = now
	}
	if !busy && now.Sub(h.busyAt) < idleAfter {
		return
	}
	h.recent = appendSample(h.recent, sample{at: now, need: n}, meanTime)
	sum := 0.0
	for _, s := range h.recent {
		sum += s.need
	}
	carried := max(sum/float64(len(h.recent)), n/burstRoom)
	h.samples = appendSample(h.samples, sample{at: now, need: carried, expected: h.expected(now, carried, ahead)}, peakMemory)
}

// appendSample appends a sample and drops those that are older than life. Of those within
// sampleInterval it keeps the highest.
func appendSample(all []sample, s sample, life time.Duration) []sample {
	if last := len(all) - 1; last >= 0 && s.at.Sub(all[last].at) < sampleInterval {
		all[last].need = max(all[last].need, s.need)
		all[last].expected = max(all[last].expected, s.expected)
		return all
	}
	for len(all) > 1 && s.at.Sub(all[0].at) > life {
		all = all[1:]
	}
	return append(all, s)
}

// peak returns the highest need of late, growth included. It returns false if nothing is
// known.
func (h *history) peak() (float64, bool) {
	highest := 0.0
	for _, s := range h.samples {
		highest = max(highest, s.expected)
	}
	return highest, len(h.samples) > 0
}

// expected returns the need after a time if it grows as it did over the same time before. A
// need that has been higher of late is more likely to fall than to rise.
func (h *history) expected(now time.Time, n float64, ahead time.Duration) float64 {
	before := sample{}
	for _, s := range h.samples {
		if s.need > n {
			return n
		}
		if before.at.IsZero() && now.Sub(s.at) <= ahead {
			before = s
		}
	}
	elapsed := now.Sub(before.at)
	if before.need <= 0 || elapsed < ahead/2 {
		return n
	}
	growth := (n - before.need) * ahead.Seconds() / elapsed.Seconds()
	return min(n+growth, n*maxGrowth)
}

// isComplete reports whether the history covers peakMemory, so that its peak may be lower
// than before.
func (h *history) isComplete(now time.Time) bool {
	return len(h.samples) > 0 && now.Sub(h.samples[0].at) >= peakMemory-2*sampleInterval
}
