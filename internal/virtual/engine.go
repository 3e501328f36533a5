package virtual

import (
	"math"
	"time"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/virtual/eventclock"
)

const (
	// tokenRate is the number of tokens per second of a request that runs
	// alone on an engine of speed 1.
	tokenRate = 40.0
	// batchCost is the slowdown of each request if all slots are in use: its
	// rate is divided by 1 + batchCost.
	batchCost = 0.5
	// prefillCost is the work for a prompt token relative to a generated token.
	prefillCost = 0.02
	// workEpsilon absorbs the rounding errors of the virtual clock.
	workEpsilon = 1e-6
)

// engine is a fake of an endpoint with continuous batching. Up to slots
// requests run, all at the same rate. The others wait, in order of priority
// and then of arrival; the lowest number is the most urgent. Work is measured
// in generated tokens.
type engine struct {
	clock   *eventclock.Clock
	name    model.EndpointName
	pool    model.PoolName
	domain  int
	slots   int
	speed   float64
	running []*task
	waiting []*task
	// workPerSlot is the work done so far for a request that has been running
	// since the start. advancedAt is when it was last updated.
	workPerSlot float64
	advancedAt  time.Time
	// scheduleVersion changes whenever the next event is rescheduled, so that
	// outdated events are ignored.
	scheduleVersion int
}

// task is one attempt at an engine.
type task struct {
	job      *job
	attempt  model.Attempt
	priority int
	// prefill is the work before the first token, answer the number of tokens
	// to generate.
	prefill float64
	answer  float64
	// startWork is the engine's workPerSlot when the attempt started.
	startWork     float64
	started       bool
	hasFirstToken bool
	// onFirstToken and onEnd are called at the first token and at the end.
	onFirstToken func()
	onEnd        func()
}

// capacity returns the engine's work per second if all slots are in use.
func (e *engine) capacity() float64 {
	return e.speed * float64(e.slots) * tokenRate / (1 + batchCost)
}

// rate returns the current work per second of each running request.
func (e *engine) rate() float64 {
	return e.speed * tokenRate / (1 + batchCost*float64(len(e.running))/float64(e.slots))
}

// submit queues an attempt, and starts it if a slot is free.
func (e *engine) submit(t *task) {
	e.advance()
	i := len(e.waiting)
	for i > 0 && e.waiting[i-1].priority > t.priority {
		i--
	}
	e.waiting = append(e.waiting, nil)
	copy(e.waiting[i+1:], e.waiting[i:])
	e.waiting[i] = t
	e.admitWaiting()
	e.scheduleNextEvent()
}

// cancel ends an attempt and returns the number of tokens that it generated.
func (e *engine) cancel(t *task) float64 {
	e.advance()
	done := e.generatedTokens(t)
	e.running = remove(e.running, t)
	e.waiting = remove(e.waiting, t)
	e.admitWaiting()
	e.scheduleNextEvent()
	return done
}

// setSpeed sets the engine's speed from now on; 1 is the normal speed.
func (e *engine) setSpeed(speed float64) {
	e.advance()
	e.speed = speed
	e.scheduleNextEvent()
}

// generatedTokens returns the number of tokens that an attempt has generated.
func (e *engine) generatedTokens(t *task) float64 {
	if !t.started {
		return 0
	}
	return min(max(math.Floor(e.workPerSlot-t.startWork-t.prefill+workEpsilon), 0), t.answer)
}

// advance adds the work done since the last call. It has to be called before
// the speed or the set of running requests changes.
func (e *engine) advance() {
	e.workPerSlot += e.rate() * e.clock.Now().Sub(e.advancedAt).Seconds()
	e.advancedAt = e.clock.Now()
}

// admitWaiting starts waiting attempts while slots are free.
func (e *engine) admitWaiting() {
	for len(e.running) < e.slots && len(e.waiting) > 0 {
		t := e.waiting[0]
		e.waiting = e.waiting[1:]
		t.started = true
		t.startWork = e.workPerSlot
		t.job.recordStart(e.clock.Now())
		e.running = append(e.running, t)
	}
}

// nextEventWork returns the engine's workPerSlot at the task's next event: its
// first token or its end.
func (t *task) nextEventWork() float64 {
	if !t.hasFirstToken {
		return t.startWork + t.prefill + 1
	}
	return t.startWork + t.prefill + t.answer
}

// scheduleNextEvent schedules the earliest first token or end of the running
// attempts.
func (e *engine) scheduleNextEvent() {
	e.scheduleVersion++
	if len(e.running) == 0 {
		return
	}
	next := e.running[0].nextEventWork()
	for _, t := range e.running[1:] {
		next = min(next, t.nextEventWork())
	}
	version := e.scheduleVersion
	e.clock.After(seconds(max(next-e.workPerSlot, 0)/e.rate())+time.Nanosecond, func() {
		if version == e.scheduleVersion {
			e.handleEvents()
		}
	})
}

// handleEvents ends the attempts that are complete, admits waiting ones, and
// calls the callbacks of the first tokens and ends that are due.
func (e *engine) handleEvents() {
	e.advance()
	var firsts, ends []*task
	for _, t := range e.running {
		if !t.hasFirstToken && e.workPerSlot+workEpsilon >= t.nextEventWork() {
			t.hasFirstToken = true
			firsts = append(firsts, t)
		}
		if t.hasFirstToken && e.workPerSlot+workEpsilon >= t.nextEventWork() {
			ends = append(ends, t)
		}
	}
	for _, t := range ends {
		e.running = remove(e.running, t)
	}
	e.admitWaiting()
	e.scheduleNextEvent()
	for _, t := range firsts {
		t.onFirstToken()
	}
	for _, t := range ends {
		t.onEnd()
	}
}

// remove deletes a task from a list, if present, and keeps the order.
func remove(list []*task, t *task) []*task {
	for i, other := range list {
		if other == t {
			return append(list[:i], list[i+1:]...)
		}
	}
	return list
}
