package fleet

import (
	"slices"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/virtual/eventclock"
)

// EngineSpec describes an engine by its published figures. Times are in
// milliseconds.
type EngineSpec struct {
	// Slots is the number of requests in a batch, Queue how many wait besides.
	Slots int
	Queue int
	// CacheTokens is the memory for running requests and cached parts.
	CacheTokens int
	// StepBase is the time of a step, StepPerSlot what each request in the batch
	// adds, and StepPerThousand what each 1,000 tokens in memory add.
	StepBase        float64
	StepPerSlot     float64
	StepPerThousand float64
	// ReadRate is the number of prompt tokens read in a millisecond, ReadPairs
	// the time for each million pairs of a token with one before it.
	ReadRate  float64
	ReadPairs float64
	// Chunk is the largest number of prompt tokens that are read in a step.
	Chunk int
	// FirstEvent is the time that a request takes besides.
	FirstEvent float64
	// EventTokens is the number of tokens of an event.
	EventTokens int
	// FetchBase and FetchPerThousand are the time to get parts from another
	// engine: for the first token and for each 1,000.
	FetchBase        float64
	FetchPerThousand float64
}

// engine is one engine. It makes a token of each request in its batch in a
// step, and reads a chunk of prompts in between.
type engine struct {
	name    model.EndpointName
	domain  model.DomainName
	spec    *EngineSpec
	clock   *eventclock.Clock
	cache   cache
	waiting []*sequence
	running []*sequence
	// held are the tokens of the running requests that are not shared.
	held    int
	stepped bool
	fleet   *Fleet
}

// sequence is a request at an engine.
type sequence struct {
	call     *call
	priority int
	order    int
	// fetch says that the shared parts come from another engine.
	fetch *engine
	// unread are the prompt tokens still to be read, context those in memory.
	unread  int
	context int
	// located says that the shared parts were looked for, ready is when a fetch
	// has ended.
	located bool
	ready   time.Time
	// made counts the answer's tokens.
	made  int
	ended bool
	// events are called with the number of tokens made so far.
	event func(made int)
}

// submit takes a request. It returns false when no place is left.
func (e *engine) submit(s *sequence) bool {
	if len(e.running)+len(e.waiting) >= e.spec.Slots+e.spec.Queue {
		return false
	}
	e.clock.After(milliseconds(e.spec.FirstEvent), func() {
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

// cancel ends a request whose caller has left.
func (e *engine) cancel(s *sequence) {
	s.ended = true
}

// step begins the next step unless one is in progress.
func (e *engine) step() {
	if e.stepped {
		return
	}
	e.admit()
	if len(e.running) == 0 {
		return
	}
	e.stepped = true
	took, readers := e.plan()
	e.clock.After(milliseconds(took), func() {
		e.stepped = false
		e.finishStep(readers)
		e.step()
	})
}

// admit moves waiting requests into the batch.
func (e *engine) admit() {
	e.waiting = slices.DeleteFunc(e.waiting, func(s *sequence) bool { return s.ended })
	for len(e.waiting) > 0 && len(e.running) < e.spec.Slots {
		s := e.waiting[0]
		own := s.call.prompt.UnsharedTokens() + s.call.output
		if len(e.running) > 0 && e.held+own > e.spec.CacheTokens {
			return
		}
		e.waiting = e.waiting[1:]
		e.held += own
		e.running = append(e.running, s)
	}
}

// takeShared works out how the shared parts come into memory, when the request
// is about to be read.
func (e *engine) takeShared(s *sequence) {
	s.located = true
	prompt := &s.call.prompt
	key, shared := prompt.SharedPrefixID(), prompt.SharedPrefixTokens()
	s.unread = prompt.UnsharedTokens()
	s.ready = e.clock.Now()
	switch {
	case key == 0 || e.cache.use(key):
		s.context = shared
	case s.fetch != nil && s.fetch.cache.use(key):
		s.context = shared
		s.ready = s.ready.Add(milliseconds(e.spec.FetchBase + e.spec.FetchPerThousand*float64(shared)/1000))
		e.fleet.stats.moved += shared
		e.cache.add(key, shared, e.spec.CacheTokens-e.held)
	default:
		s.unread += shared
		e.fleet.noteRead(key, shared)
	}
}

// plan chooses the prompts that are read in the next step and returns its time
// in milliseconds.
func (e *engine) plan() (took float64, readers map[*sequence]int) {
	readers = make(map[*sequence]int)
	left := e.spec.Chunk
	now := e.clock.Now()
	decoding, memory, pairs := 0, 0, 0.0
	// A prompt that was begun is read to its end, then the most urgent one.
	slices.SortStableFunc(e.running, func(a, b *sequence) int {
		if a.located != b.located {
			if a.located {
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
		if left > 0 && !s.located {
			e.takeShared(s)
		}
		memory += s.context
		switch {
		case s.located && s.unread == 0:
			decoding++
		case left > 0 && !s.ready.After(now):
			n := min(left, s.unread)
			left -= n
			readers[s] = n
			pairs += float64(n) * float64(s.context) / 1e6
		}
	}
	took = e.spec.StepBase + e.spec.StepPerSlot*float64(decoding) + e.spec.StepPerThousand*float64(memory)/1000
	took += float64(e.spec.Chunk-left)/e.spec.ReadRate + e.spec.ReadPairs*pairs
	return took, readers
}

// finishStep takes the tokens that a step has read and made.
func (e *engine) finishStep(readers map[*sequence]int) {
	kept := e.running[:0]
	for _, s := range e.running {
		if n := readers[s]; n > 0 {
			s.unread -= n
			s.context += n
			if s.unread > 0 {
				kept = append(kept, s)
				continue
			}
			e.keepShared(s)
		} else if !s.ended && (s.unread > 0 || !s.located) {
			kept = append(kept, s)
			continue
		}
		if !s.ended {
			e.makeToken(s)
		}
		if s.ended {
			e.held -= s.call.prompt.UnsharedTokens() + s.call.output
			continue
		}
		kept = append(kept, s)
	}
	clear(e.running[len(kept):])
	e.running = kept
}

// keepShared caches the shared parts of a prompt that was read.
func (e *engine) keepShared(s *sequence) {
	if key := s.call.prompt.SharedPrefixID(); key != 0 {
		e.cache.add(key, s.call.prompt.SharedPrefixTokens(), e.spec.CacheTokens-e.held)
	}
}

// makeToken adds a token to an answer and sends an event when it is due.
func (e *engine) makeToken(s *sequence) {
	s.made++
	s.context++
	s.ended = s.made >= s.call.output
	if s.made == 1 || s.made%e.spec.EventTokens == 0 || s.ended {
		s.event(s.made)
	}
}

// cache holds shared parts; the least recently used ones yield.
type cache struct {
	// order lists the keys, the last used one last.
	order  []model.PartID
	tokens map[model.PartID]int
	sum    int
}

// use says whether the cache holds a part, which then counts as used.
func (c *cache) use(key model.PartID) bool {
	if _, held := c.tokens[key]; !held {
		return false
	}
	at := slices.Index(c.order, key)
	c.order = append(slices.Delete(c.order, at, at+1), key)
	return true
}

// add puts a part into the cache and drops others until all fit into room.
func (c *cache) add(key model.PartID, tokens, room int) {
	if c.use(key) {
		return
	}
	if c.tokens == nil {
		c.tokens = make(map[model.PartID]int)
	}
	c.tokens[key] = tokens
	c.order = append(c.order, key)
	c.sum += tokens
	for c.sum > room && len(c.order) > 1 {
		oldest := c.order[0]
		c.order = c.order[1:]
		c.sum -= c.tokens[oldest]
		delete(c.tokens, oldest)
	}
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
