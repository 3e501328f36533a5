package balance_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/core/balance"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// busyPeer returns the load of other hosts: drafts are queued at all n engines
// and questions are in flight.
func busyPeer(n, questions int) []balance.EndpointLoad {
	var out []balance.EndpointLoad
	for i := range n {
		l := balance.EndpointLoad{Endpoint: engineName(i)}
		l.Count = 1
		l.PendingPrefill[5] = 2000
		if i == 0 {
			l.Urgent = questions
		}
		out = append(out, l)
	}
	return out
}

func engineName(i int) model.EndpointName {
	return model.EndpointName("engines-" + string(rune('0'+i)))
}

// placeMany submits and finishes requests one after another, and returns their
// number by engine.
func (b *fixture) placeMany(now time.Time, count int, newRequest func(key model.PartID) balance.Request) map[model.EndpointName]int {
	out := make(map[model.EndpointName]int)
	for i := range count {
		now = now.Add(10 * time.Millisecond)
		id, d := b.submit(now, newRequest(model.PartID(100+i)))
		out[d.Endpoint]++
		b.Finish(now, id, balance.Result{})
	}
	return out
}

// While drafts are queued at all engines and questions run, questions must get
// engines of their own, the same ones at every host.
func TestBusyPoolReservesEnginesForUrgentRequests(t *testing.T) {
	var reserved []map[model.EndpointName]int
	for range 2 {
		b := newFixture(8)
		b.SetPeerLoad(at(0), "h2", "north", busyPeer(8, 6), nil)
		b.placeMany(at(0), 50, question)
		b.SetPeerLoad(at(time.Second), "h2", "north", busyPeer(8, 6), nil)
		questions := b.placeMany(at(time.Second), 50, question)
		drafts := b.placeMany(at(1500*time.Millisecond), 50, draft)
		must.Between(t, 1, len(questions), 4)
		for name := range questions {
			must.MapNotContainsKey(t, drafts, name)
		}
		reserved = append(reserved, questions)
	}
	must.Eq(t, reserved[0], reserved[1])
}

// Without questions, or without queued drafts, no engine is reserved.
func TestNoEnginesAreReservedWithoutNeed(t *testing.T) {
	for _, load := range [][]balance.EndpointLoad{nil, busyPeer(8, 0)} {
		b := newFixture(8)
		b.SetPeerLoad(at(0), "h2", "north", load, nil)
		b.placeMany(at(0), 20, draft)
		b.SetPeerLoad(at(time.Second), "h2", "north", load, nil)
		must.MapLen(t, 8, b.placeMany(at(time.Second), 200, draft))
	}
}

// When all engines have more prefill queued than drafts can wait for, a draft
// that will be late must be prefilled after those that can be in time; a
// question never is.
func TestLateDraftsGetLowestPriority(t *testing.T) {
	b := newFixture(1)
	_, inTime := b.submit(at(0), draft(7))
	must.Less(t, balance.NumPriorities-1, inTime.Priority)
	var last balance.Decision
	for range 20 {
		_, last = b.submit(at(0), draft(7))
	}
	must.Eq(t, balance.NumPriorities-1, last.Priority)
	_, urgent := b.submit(at(0), question(8))
	must.Eq(t, 0, urgent.Priority)
}

// Low-priority drafts are answered far later than expected, as intended. Their
// latency must not make the engine count as slow or silent.
func TestLowestPriorityLatencyIsNotLearned(t *testing.T) {
	b := newFixture(1)
	type answer struct {
		id model.RequestID
		at time.Time
	}
	var answers []answer
	late := 0
	for range 30 {
		id, d := b.submit(at(0), draft(7))
		answered := at(d.Expected)
		if d.Priority == balance.NumPriorities-1 {
			answered = at(20 * time.Second)
			late++
		}
		answers = append(answers, answer{id: id, at: answered})
	}
	must.Positive(t, late)
	for _, a := range answers {
		b.RecordFirstResponse(a.at, a.id)
		b.Finish(a.at, a.id, balance.Result{})
	}
	_, d := b.submit(at(20*time.Second), question(8))
	idle := newFixture(1)
	_, fresh := idle.submit(at(20*time.Second), question(8))
	must.LessEq(t, 3*fresh.Expected/2, d.Expected)
}

// A large draft on an idle engine is late because of its own size and delays
// nobody more than other requests do, so it must keep its priority.
func TestLargeDraftKeepsItsPriority(t *testing.T) {
	b := newFixture(2)
	large := draft(7)
	large.Prompt = prompt(7, 13_000, 80_000)
	_, d := b.submit(at(0), large)
	must.Greater(t, large.Target, d.Expected)
	must.Less(t, balance.NumPriorities-1, d.Priority)
}
