package fleet

import (
	"slices"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/virtual/eventclock"
)

// EngineSpec describes an engine by its published figures. All times are in
// milliseconds.
type EngineSpec struct {
	// Slots is the largest number of requests in a batch, Queue the number of
	// further requests that may wait.
	Slots int
	Queue int
	// CacheTokens is the memory for running requests and cached prefixes, in
	// tokens.
	CacheTokens int
	// StepBase is the time of a step. StepPerSlot is added for each decoding
	// request of the batch, and StepPerThousandTokens for each 1,000 tokens
	// that the running requests hold in memory.
	StepBase              float64
	StepPerSlot           float64
	StepPerThousandTokens float64
	// PrefillRate is the number of prompt tokens prefilled per millisecond.
	// PrefillPerMillionPairs is the additional time for attention, for each
	// million pairs of a prefilled token and a token before it.
	PrefillRate            float64
	PrefillPerMillionPairs float64
	// PrefillChunk is the largest number of prompt tokens prefilled in a step.
	PrefillChunk int
	// FirstEventDelay is the fixed delay of a request before it is queued.
	FirstEventDelay float64
	// TokensPerEvent is the number of tokens between two events of an answer.
	TokensPerEvent int
	// FetchBase is the fixed time to fetch a prefix from another engine's cache,
	// FetchPerThousandTokens the additional time for each 1,000 tokens.
	FetchBase              float64
	FetchPerThousandTokens float64
}

// engine simulates an engine with continuous batching. A step generates one
// token for each decoding request of the batch, and prefills up to
// EngineSpec.PrefillChunk prompt tokens.
type engine struct {
	name   model.EndpointName
	domain model.DomainName
	// index is the number of the engine, speed the factor on its speed.
	index int
	speed float64
	// busyMS is the time that its steps took so far.
	busyMS  float64
	spec    *EngineSpec
	clock   *eventclock.Clock
	cache   prefixCache
	waiting []*sequence
	running []*sequence
	// unsharedTokens counts the memory reserved for running requests, in tokens
	// of prompts without their shared prefixes and of answers.
	unsharedTokens int
	// stepping is true while a step is in progress.
	stepping bool
	fleet    *Fleet
}

// sequence is one attempt of a request at an engine.
type sequence struct {
	call *call
	// priority orders the requests of an engine; the lowest is the most urgent.
	// order is the number of the submission, which breaks ties.
	priority int
	order    int
	// fetchFrom is the engine whose cache the shared prefix is fetched from if
	// it is not cached here; nil for none.
	fetchFrom *engine
	// pendingPrefill counts the prompt tokens still to be prefilled, context the
	// tokens in memory.
	pendingPrefill int
	context        int
	// sharedResolved is true once the shared prefix was looked up. fetchDone is
	// when the fetch of the prefix, if any, has ended.
	sharedResolved bool
	fetchDone      time.Time
	// generated counts the generated tokens.
	generated int
	ended     bool
	// onEvent is called for each event with the number of tokens generated so
	// far.
	onEvent func(generated int)
}

// submit accepts a request and queues it in order of priority and submission.
// It returns false if the engine is full.
func (e *engine) submit(s *sequence) bool {
	if len(e.running)+len(e.waiting) >= e.spec.Slots+e.spec.Queue {
		return false
	}
	e.clock.After(milliseconds(e.spec.FirstEventDelay), func() {
		at, _ := slices.BinarySearchFunc(e.waiting, s, func(a, b *sequence) int {
			if a.priority != b.priority {
				return a.priority - b.priority
			}
			return a.order - b.order
		})
		e.waiting = slices.Insert(e.waiting, at, s)
		e.step()
	})
	return true
}

// cancel ends a request whose caller has abandoned it. A waiting request is
// removed before the next step, a running one at the end of a step. A step that
// prefills only a part of its prompt does not remove it.
func (e *engine) cancel(s *sequence) {
	s.ended = true
}

// step starts the next step, unless one is in progress or no request runs.
func (e *engine) step() {
	if e.stepping {
		return
	}
	e.admit()
	if len(e.running) == 0 {
		return
	}
	e.stepping = true
	stepMS, prefills := e.planStep()
	stepMS *= e.fleet.opts.Slowdowns.factor(e.fleet.opts.Seed, e.index, e.clock.Now().Sub(time.Unix(0, 0))) / e.speed
	e.busyMS += stepMS
	e.clock.After(milliseconds(stepMS), func() {
		e.stepping = false
		e.finishStep(prefills)
		e.step()
	})
}

// admit moves waiting requests into the batch while slots and memory allow.
func (e *engine) admit() {
	e.waiting = slices.DeleteFunc(e.waiting, func(s *sequence) bool { return s.ended })
	for len(e.waiting) > 0 && len(e.running) < e.spec.Slots {
		s := e.waiting[0]
		needed := s.call.prompt.UnsharedTokens() + s.call.output
		if len(e.running) > 0 && e.unsharedTokens+needed > e.spec.CacheTokens {
			return
		}
		e.waiting = e.waiting[1:]
		e.unsharedTokens += needed
		e.running = append(e.running, s)
	}
}

// resolveShared determines, when the prefill of a request is about to start,
// whether its shared prefix is cached here, fetched from another engine's cache,
// or prefilled.
func (e *engine) resolveShared(s *sequence) {
	s.sharedResolved = true
	prompt := &s.call.prompt
	key, shared := prompt.SharedPrefixID(), prompt.SharedPrefixTokens()
	s.pendingPrefill = prompt.UnsharedTokens()
	s.fetchDone = e.clock.Now()
	switch {
	case key == 0 || e.cache.touch(key):
		s.context = shared
	case s.fetchFrom != nil && s.fetchFrom.cache.touch(key):
		s.context = shared
		s.fetchDone = s.fetchDone.Add(milliseconds(e.spec.FetchBase + e.spec.FetchPerThousandTokens*float64(shared)/1000))
		e.fleet.stats.fetched += shared
		e.cache.add(key, shared, e.spec.CacheTokens-e.unsharedTokens)
	default:
		s.pendingPrefill += shared
		e.fleet.recordPrefill(key, shared)
	}
}

// planStep chooses the prompts to prefill in the next step. It returns the time
// of the step in milliseconds, and the number of tokens to prefill by request.
func (e *engine) planStep() (stepMS float64, prefills map[*sequence]int) {
	prefills = make(map[*sequence]int)
	left := e.spec.PrefillChunk
	now := e.clock.Now()
	decoding, memory, pairs := 0, 0, 0.0
	// Prompts whose prefill has begun go first, then the most urgent ones.
	slices.SortStableFunc(e.running, func(a, b *sequence) int {
		if a.sharedResolved != b.sharedResolved {
			if a.sharedResolved {
				return -1
			}
			return 1
		}
		if a.priority != b.priority {
			return a.priority - b.priority
		}
		return a.order - b.order
	})
	for _, s := range e.running {
		if left > 0 && !s.sharedResolved {
			e.resolveShared(s)
		}
		memory += s.context
		switch {
		case s.sharedResolved && s.pendingPrefill == 0:
			decoding++
		case left > 0 && !s.fetchDone.After(now):
			n := min(left, s.pendingPrefill)
			left -= n
			prefills[s] = n
			pairs += float64(n) * float64(s.context) / 1e6
		}
	}
	stepMS = e.spec.StepBase + e.spec.StepPerSlot*float64(decoding) + e.spec.StepPerThousandTokens*float64(memory)/1000
	stepMS += float64(e.spec.PrefillChunk-left)/e.spec.PrefillRate + e.spec.PrefillPerMillionPairs*pairs
	return stepMS, prefills
}

// finishStep applies the results of a step: the prefilled tokens, and one
// generated token for each request whose prefill is complete. It removes the
// requests that have ended.
func (e *engine) finishStep(prefills map[*sequence]int) {
	kept := e.running[:0]
	for _, s := range e.running {
		if n := prefills[s]; n > 0 {
			s.pendingPrefill -= n
			s.context += n
			if s.pendingPrefill > 0 {
				kept = append(kept, s)
				continue
			}
			e.cacheShared(s)
		} else if !s.ended && (s.pendingPrefill > 0 || !s.sharedResolved) {
			kept = append(kept, s)
			continue
		}
		if !s.ended {
			e.generateToken(s)
		}
		if s.ended {
			e.unsharedTokens -= s.call.prompt.UnsharedTokens() + s.call.output
			continue
		}
		kept = append(kept, s)
	}
	clear(e.running[len(kept):])
	e.running = kept
}

// cacheShared adds the shared prefix of a prefilled prompt to the cache.
func (e *engine) cacheShared(s *sequence) {
	if key := s.call.prompt.SharedPrefixID(); key != 0 {
		e.cache.add(key, s.call.prompt.SharedPrefixTokens(), e.spec.CacheTokens-e.unsharedTokens)
	}
}

// generateToken adds a token to an answer, and sends an event for the first
// token, after every TokensPerEvent tokens and at the end.
func (e *engine) generateToken(s *sequence) {
	s.generated++
	s.context++
	s.ended = s.generated >= s.call.output
	if s.generated == 1 || s.generated%e.spec.TokensPerEvent == 0 || s.ended {
		s.onEvent(s.generated)
	}
}

// prefixCache is a cache of shared prefixes with least-recently-used eviction.
type prefixCache struct {
	// order lists the keys, the most recently used one last. tokens has the
	// sizes, of which total is the sum.
	order  []model.PartID
	tokens map[model.PartID]int
	total  int
}

// touch reports whether the cache holds a prefix, and if so marks it as the most
// recently used one.
func (c *prefixCache) touch(key model.PartID) bool {
	if _, cached := c.tokens[key]; !cached {
		return false
	}
	at := slices.Index(c.order, key)
	c.order = append(slices.Delete(c.order, at, at+1), key)
	return true
}

// add adds a prefix to the cache and evicts the least recently used ones until
// the rest fits into room, in tokens. At least one prefix stays.
func (c *prefixCache) add(key model.PartID, tokens, room int) {
	if c.touch(key) {
		return
	}
	if c.tokens == nil {
		c.tokens = make(map[model.PartID]int)
	}
	c.tokens[key] = tokens
	c.order = append(c.order, key)
	c.total += tokens
	for c.total > room && len(c.order) > 1 {
		oldest := c.order[0]
		c.order = c.order[1:]
		c.total -= c.tokens[oldest]
		delete(c.tokens, oldest)
	}
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
