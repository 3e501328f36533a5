package balance_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/core/balance"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// busyPeer is the work of other hosts: drafts wait at all n engines, and some
// questions run.
func busyPeer(n, questions int) []balance.EndpointLoad {
	var out []balance.EndpointLoad
	for i := range n {
		l := balance.EndpointLoad{Endpoint: engineName(i)}
		l.Count = 1
		l.Pending[5] = 2000
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

// placeMany returns the engines that requests go to, with their number.
func (b *bench) placeMany(now time.Time, count int, one func(key model.PartID) balance.Request) map[model.EndpointName]int {
	out := make(map[model.EndpointName]int)
	for i := range count {
		now = now.Add(10 * time.Millisecond)
		id, d := b.submit(now, one(model.PartID(100+i)))
		out[d.Endpoint]++
		b.Finish(now, id, balance.Result{})
	}
	return out
}

// Load: drafts wait at all engines while questions run. Questions get engines of
// their own, the same at every host.
func TestBusyPoolsKeepEnginesForQuestions(t *testing.T) {
	var kept []map[model.EndpointName]int
	for range 2 {
		b := newBench(8)
		b.SetPeer(at(0), "h2", "north", busyPeer(8, 6), nil)
		b.placeMany(at(0), 50, question)
		b.SetPeer(at(time.Second), "h2", "north", busyPeer(8, 6), nil)
		questions := b.placeMany(at(time.Second), 50, question)
		drafts := b.placeMany(at(1500*time.Millisecond), 50, draft)
		must.Between(t, 1, len(questions), 4)
		for name := range questions {
			must.MapNotContainsKey(t, drafts, name)
		}
		kept = append(kept, questions)
	}
	must.Eq(t, kept[0], kept[1])
}

// Without questions, or without drafts that wait, all engines serve all.
func TestNoEnginesAreKeptWithoutNeed(t *testing.T) {
	for _, load := range [][]balance.EndpointLoad{nil, busyPeer(8, 0)} {
		b := newBench(8)
		b.SetPeer(at(0), "h2", "north", load, nil)
		b.placeMany(at(0), 20, draft)
		b.SetPeer(at(time.Second), "h2", "north", load, nil)
		must.MapLen(t, 8, b.placeMany(at(time.Second), 200, draft))
	}
}

// Load: all engines have more to read than drafts can wait for. A draft that
// will be late is read after those that can be in time; a question never is.
func TestLateDraftsAreReadLast(t *testing.T) {
	b := newBench(1)
	_, inTime := b.submit(at(0), draft(7))
	must.Less(t, balance.Priorities-1, inTime.Priority)
	var last balance.Decision
	for range 20 {
		_, last = b.submit(at(0), draft(7))
	}
	must.Eq(t, balance.Priorities-1, last.Priority)
	_, asked := b.submit(at(0), question(8))
	must.Eq(t, 0, asked.Priority)
}

// Load: drafts that are read last come far later than expected, as they should.
// Their engine is not taken for a slow or silent one.
func TestWhatIsReadLastTellsNothingOfItsEngine(t *testing.T) {
	b := newBench(1)
	type answer struct {
		id model.RequestID
		at time.Time
	}
	var answers []answer
	late := 0
	for range 30 {
		id, d := b.submit(at(0), draft(7))
		answered := at(d.Expected)
		if d.Priority == balance.Priorities-1 {
			answered = at(20 * time.Second)
			late++
		}
		answers = append(answers, answer{id: id, at: answered})
	}
	must.Positive(t, late)
	for _, a := range answers {
		b.FirstAnswer(a.at, a.id)
		b.Finish(a.at, a.id, balance.Result{})
	}
	_, d := b.submit(at(20*time.Second), question(8))
	idle := newBench(1)
	_, fresh := idle.submit(at(20*time.Second), question(8))
	must.LessEq(t, 3*fresh.Expected/2, d.Expected)
}

// A large draft on an idle engine is late by its own size, and delays nobody
// more than others do.
func TestLargeDraftsAreNotPutLast(t *testing.T) {
	b := newBench(2)
	large := draft(7)
	large.Prompt = prompt(7, 13_000, 80_000)
	_, d := b.submit(at(0), large)
	must.Greater(t, large.Target, d.Expected)
	must.Less(t, balance.Priorities-1, d.Priority)
}
