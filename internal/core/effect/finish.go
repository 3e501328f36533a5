package effect

import (
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// Finish ends the use of a right. A not_run result gives the key free again;
// any other is recorded and answers all later tries.
func (m *Machine) Finish(now time.Time, right Right, result Result) []Action {
	f := m.flights[right.Key]
	if right.Unprotected || f == nil || f.owner != right.Owner {
		return nil
	}
	if result.Outcome == model.OutcomeNotRun {
		m.finishNotRun(now, f)
	} else {
		m.finishRan(now, f, result)
	}
	return m.take()
}

func (m *Machine) finishNotRun(now time.Time, f *flight) {
	if f.ticket {
		m.tickets.release(f.owner.Nonce)
	} else {
		m.append(f.key, m.record(now, KindRelease, f))
	}
	m.refuseAll(f, model.OutcomeNotRun, CodeNotRun, progressRetryAfter)
}

func (m *Machine) finishRan(now time.Time, f *flight, result Result) {
	m.answers.put(f.key, answer{digest: f.digest, result: result})
	rec := m.record(now, KindOutcome, f)
	rec.Result = &result
	m.append(f.key, rec)
	if f.ticket {
		m.tickets.finish(f.owner.Nonce, result.Outcome)
	}
	for _, try := range f.waiting {
		m.emit(Replay(try.ID, result))
	}
	m.end(f)
}

// Replay answers a try with a result that is at hand.
func Replay(try TryID, result Result) Action {
	if result.Truncated {
		return refuse(try, result.Outcome, CodeAnswerUnavailable, 0)
	}
	if result.Status == 0 {
		return refuse(try, result.Outcome, CodeUnknownOutcome, 0)
	}
	return Action{Kind: ActionReplay, Try: try, Result: result}
}

// answerKnown answers a try whose key's end is in memory or on the log. It
// tells whether it did.
func (m *Machine) answerKnown(now time.Time, key Key, try Try) bool {
	if known, ok := m.answers.get(key); ok {
		if known.digest == try.Digest {
			m.emit(Replay(try.ID, known.result))
		} else {
			m.emit(refuse(try.ID, model.OutcomeNotRun, CodeKeyReused, 0))
		}
		return true
	}
	e := m.partitionOf(key).fold.lookup(now, key)
	if e == nil || e.state != stateDone {
		return false
	}
	m.answerDone(key, e, try)
	return true
}

// answerDone answers a try whose key's end is recorded on the log.
func (m *Machine) answerDone(key Key, e *entry, try Try) {
	if e.digest != try.Digest {
		m.emit(refuse(try.ID, model.OutcomeNotRun, CodeKeyReused, 0))
		return
	}
	if known, ok := m.answers.get(key); ok && known.digest == try.Digest {
		m.emit(Replay(try.ID, known.result))
		return
	}
	m.emit(Action{
		Kind:      ActionFetch,
		Try:       try.ID,
		Partition: key.Partition(m.opts.Partitions),
		Place:     e.place,
		Result:    Result{Outcome: e.outcome},
	})
}

func (m *Machine) answerAll(f *flight, e *entry) {
	for _, try := range f.waiting {
		m.answerDone(f.key, e, try)
	}
	m.end(f)
}

// answer is a result with the digest of its request.
type answer struct {
	digest Digest
	result Result
}

// answerCache keeps the latest answers up to a number of bytes.
type answerCache struct {
	limit int
	size  int
	byKey map[Key]answer
	order []Key
}

func newAnswerCache(limit int) *answerCache {
	return &answerCache{limit: limit, byKey: make(map[Key]answer)}
}

func (c *answerCache) get(key Key) (answer, bool) {
	a, ok := c.byKey[key]
	return a, ok
}

func (c *answerCache) put(key Key, a answer) {
	if _, ok := c.byKey[key]; ok {
		return
	}
	c.byKey[key] = a
	c.order = append(c.order, key)
	c.size += len(a.result.Body) + len(key)
	for c.size > c.limit && len(c.order) > 0 {
		oldest := c.order[0]
		c.order = c.order[1:]
		c.size -= len(c.byKey[oldest].result.Body) + len(oldest)
		delete(c.byKey, oldest)
	}
}
