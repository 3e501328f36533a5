package virtual

import (
	"math"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/virtual/eventclock"
)

const (
	// tokenRate is the tokens a second of a request that runs alone.
	tokenRate = 40.0
	// batchCost is the slowdown of each request when all slots are in use.
	batchCost = 0.5
	// prefillCost is the work of a prompt token against a generated one.
	prefillCost = 0.02
	// workEpsilon absorbs rounding of the virtual clock.
	workEpsilon = 1e-6
)

// engine is a fake of an endpoint that batches continuously: up to slots
// requests run at the same speed, the others wait by priority.
type engine struct {
	clock   *eventclock.Clock
	name    model.EndpointName
	pool    model.PoolName
	domain  int
	slots   int
	speed   float64
	running []*task
	waiting []*task
	// work is what each running request has got since the start.
	work       float64
	updated    time.Time
	generation int
}

// task is one attempt at an engine.
type task struct {
	job      *job
	attempt  model.Attempt
	priority int
	prefill  float64
	answer   float64
	startAt  float64
	started  bool
	first    bool
	// onFirst and onEnd are called at the first token and at the end.
	onFirst func()
	onEnd   func()
}

// capacity returns the engine's work a second with all slots in use.
func (e *engine) capacity() float64 {
	return e.speed * float64(e.slots) * tokenRate / (1 + batchCost)
}

func (e *engine) rate() float64 {
	return e.speed * tokenRate / (1 + batchCost*float64(len(e.running))/float64(e.slots))
}

// submit takes an attempt.
func (e *engine) submit(t *task) {
	e.advance()
	i := len(e.waiting)
	for i > 0 && e.waiting[i-1].priority > t.priority {
		i--
	}
	e.waiting = append(e.waiting, nil)
	copy(e.waiting[i+1:], e.waiting[i:])
	e.waiting[i] = t
	e.fill()
	e.schedule()
}

// cancel ends an attempt and returns the tokens that it generated.
func (e *engine) cancel(t *task) float64 {
	e.advance()
	done := e.generated(t)
	e.running = remove(e.running, t)
	e.waiting = remove(e.waiting, t)
	e.fill()
	e.schedule()
	return done
}

// setSpeed makes the engine slower or faster from now on.
func (e *engine) setSpeed(speed float64) {
	e.advance()
	e.speed = speed
	e.schedule()
}

func (e *engine) generated(t *task) float64 {
	if !t.started {
		return 0
	}
	return min(max(math.Floor(e.work-t.startAt-t.prefill+workEpsilon), 0), t.answer)
}

func (e *engine) advance() {
	e.work += e.rate() * e.clock.Now().Sub(e.updated).Seconds()
	e.updated = e.clock.Now()
}

func (e *engine) fill() {
	for len(e.running) < e.slots && len(e.waiting) > 0 {
		t := e.waiting[0]
		e.waiting = e.waiting[1:]
		t.started = true
		t.startAt = e.work
		t.job.started(e.clock.Now())
		e.running = append(e.running, t)
	}
}

// due returns the work at which the task's next token of interest is done.
func (t *task) due() float64 {
	if !t.first {
		return t.startAt + t.prefill + 1
	}
	return t.startAt + t.prefill + t.answer
}

// schedule plans the engine's next first token or end.
func (e *engine) schedule() {
	e.generation++
	if len(e.running) == 0 {
		return
	}
	next := e.running[0].due()
	for _, t := range e.running[1:] {
		next = min(next, t.due())
	}
	generation := e.generation
	e.clock.After(seconds(max(next-e.work, 0)/e.rate())+time.Nanosecond, func() {
		if generation == e.generation {
			e.step()
		}
	})
}

// step tells of the first tokens and ends that are due.
func (e *engine) step() {
	e.advance()
	var firsts, ends []*task
	for _, t := range e.running {
		if !t.first && e.work+workEpsilon >= t.due() {
			t.first = true
			firsts = append(firsts, t)
		}
		if t.first && e.work+workEpsilon >= t.due() {
			ends = append(ends, t)
		}
	}
	for _, t := range ends {
		e.running = remove(e.running, t)
	}
	e.fill()
	e.schedule()
	for _, t := range firsts {
		t.onFirst()
	}
	for _, t := range ends {
		t.onEnd()
	}
}

func remove(list []*task, t *task) []*task {
	for i, other := range list {
		if other == t {
			return append(list[:i], list[i+1:]...)
		}
	}
	return list
}
