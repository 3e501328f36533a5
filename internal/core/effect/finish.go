package effect

import (
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// Finish ends the use of a permit. A result with outcome not_run releases the
// key for another request; any other result is recorded and answers all later
// tries. Unlogged permits and permits that are no longer in use are ignored.
func (m *Machine) Finish(now time.Time, permit Permit, result Result) []Action {
	f := m.inFlight[permit.Key]
	if permit.Unlogged || f == nil || f.owner != permit.Owner {
		return nil
	}
	if result.Outcome == model.OutcomeNotRun {
		m.finishNotRun(now, f)
	} else {
		m.finishRan(now, f, result)
	}
	return m.takeActions()
}

// finishNotRun releases the key or ticket of f, refuses the waiting tries, and
// removes f from m.inFlight.
func (m *Machine) finishNotRun(now time.Time, f *inFlightKey) {
	if f.ticket {
		m.tickets.release(f.owner.Nonce)
	} else {
		m.appendRecord(f.key, m.newRecord(now, KindRelease, f))
	}
	m.refuseAll(f, model.OutcomeNotRun, CodeEarlierTryNotRun, progressRetryAfter)
}

// finishRan caches and records the result of f, replays it to the waiting tries,
// and removes f from m.inFlight.
func (m *Machine) finishRan(now time.Time, f *inFlightKey, result Result) {
	m.results.put(f.key, cachedResult{digest: f.digest, result: result})
	rec := m.newRecord(now, KindOutcome, f)
	rec.Result = &result
	m.appendRecord(f.key, rec)
	if f.ticket {
		m.tickets.finish(f.owner.Nonce, result.Outcome)
	}
	for _, try := range f.waiting {
		m.emit(Replay(try.ID, result))
	}
	m.remove(f)
}

// Replay returns the action that answers a try with a known result: ActionReplay,
// or ActionRefuse if the result has no response to replay.
func Replay(try TryID, result Result) Action {
	if result.Truncated {
		return refuse(try, result.Outcome, CodeAnswerUnavailable, 0)
	}
	if result.Status == 0 {
		return refuse(try, result.Outcome, CodeEarlierTryUnknown, 0)
	}
	return Action{Kind: ActionReplay, Try: try, Result: result}
}

// replayIfDone answers a try if the result of its key's request is cached or
// recorded on the log. It reports whether it answered the try.
func (m *Machine) replayIfDone(now time.Time, key Key, try Try) bool {
	if cached, ok := m.results.get(key); ok {
		if cached.digest == try.Digest {
			m.emit(Replay(try.ID, cached.result))
		} else {
			m.emit(refuse(try.ID, model.OutcomeNotRun, CodeKeyReused, 0))
		}
		return true
	}
	e := m.partitionOf(key).keys.lookup(now, key)
	if e == nil || e.state != stateDone {
		return false
	}
	m.replayDone(key, e, try)
	return true
}

// replayDone answers a try whose key's outcome is recorded on the log.
func (m *Machine) replayDone(key Key, e *entry, try Try) {
	if e.digest != try.Digest {
		m.emit(refuse(try.ID, model.OutcomeNotRun, CodeKeyReused, 0))
		return
	}
	if cached, ok := m.results.get(key); ok && cached.digest == try.Digest {
		m.emit(Replay(try.ID, cached.result))
		return
	}
	m.emit(Action{
		Kind:      ActionFetch,
		Try:       try.ID,
		Key:       key,
		Partition: key.Partition(m.opts.Partitions),
		Position:  e.position,
		Result:    Result{Outcome: e.outcome},
	})
}

// replayAll answers all waiting tries with a key whose outcome is recorded on
// the log, and removes the key from m.inFlight.
func (m *Machine) replayAll(f *inFlightKey, e *entry) {
	for _, try := range f.waiting {
		m.replayDone(f.key, e, try)
	}
	m.remove(f)
}

// cachedResult is a result with the digest of its request.
type cachedResult struct {
	digest Digest
	result Result
}

// resultCache holds the most recent results, up to limit bytes in total.
type resultCache struct {
	limit int
	size  int
	byKey map[Key]cachedResult
	order []Key
}

func newResultCache(limit int) *resultCache {
	return &resultCache{limit: limit, byKey: make(map[Key]cachedResult)}
}

// get returns the key's result, and whether it is cached.
func (c *resultCache) get(key Key) (cachedResult, bool) {
	r, ok := c.byKey[key]
	return r, ok
}

// put adds a result unless the key has one already. It then evicts the oldest
// results until the rest fits the limit.
func (c *resultCache) put(key Key, r cachedResult) {
	if _, ok := c.byKey[key]; ok {
		return
	}
	c.byKey[key] = r
	c.order = append(c.order, key)
	c.size += len(r.result.Body) + len(key)
	for c.size > c.limit && len(c.order) > 0 {
		oldest := c.order[0]
		c.order = c.order[1:]
		c.size -= len(c.byKey[oldest].result.Body) + len(oldest)
		delete(c.byKey, oldest)
	}
}
