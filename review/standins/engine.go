package main

import (
	"fmt"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// engine is a stand-in for a model replica. It processes requests in steps: each step reads
// prompt tokens, and every few steps each running request makes an event. Requests and their
// answers share the memory: more urgent requests are admitted first and preempt others, the
// newest of the least urgent ones first. A preempted request waits for memory, is read in
// again and goes on.
type engine struct {
	id     string
	record *record
	// slots is the number of requests that run at once, memory the number of tokens that
	// they hold together.
	slots  int
	memory int

	mu      sync.Mutex
	jobs    []*job
	arrived int
	runs    []*run
}

const (
	stepTime = 20 * time.Millisecond
	// stepsPerEvent and tokensPerEvent give the speed of a stream.
	stepsPerEvent  = 3
	tokensPerEvent = 3
	// prefillPerStep is the number of prompt tokens that an engine reads in a step.
	prefillPerStep = 38.7 * 20
)

// run is what an engine did for a request.
type run struct {
	id        string
	began     time.Time
	ended     time.Time
	completed bool
	preempted int
}

// job is a request at an engine.
type job struct {
	run       *run
	number    int
	priority  int
	prompt    int
	last      int
	made      int
	ready     int
	running   bool
	unread    float64
	steps     int
	signalled chan struct{}
	closed    bool
}

func (j *job) tokens() int { return j.prompt + j.made*tokensPerEvent }

func newEngine(id string, r *record, slots, memory int) *engine {
	e := &engine{id: id, record: r, slots: slots, memory: memory}
	go func() {
		for range time.Tick(stepTime) {
			e.step()
		}
	}()
	return e
}

// used returns the memory that running requests hold.
func (e *engine) used() (tokens, running int) {
	for _, j := range e.jobs {
		if j.running {
			tokens += j.tokens()
			running++
		}
	}
	return tokens, running
}

// step runs one step.
func (e *engine) step() {
	e.mu.Lock()
	defer e.mu.Unlock()
	sort.SliceStable(e.jobs, func(a, b int) bool {
		if e.jobs[a].priority != e.jobs[b].priority {
			return e.jobs[a].priority < e.jobs[b].priority
		}
		return e.jobs[a].number < e.jobs[b].number
	})
	for _, j := range e.jobs {
		if !j.running && !e.admit(j) {
			break
		}
	}
	for used, _ := e.used(); used > e.memory; used, _ = e.used() {
		if !e.preempt(-1) {
			break
		}
	}
	left := float64(prefillPerStep)
	for _, j := range e.jobs {
		if !j.running {
			continue
		}
		if j.unread > 0 {
			read := min(left, j.unread)
			j.unread -= read
			left -= read
			continue
		}
		if j.steps++; j.steps%stepsPerEvent == 0 && j.made < j.last {
			j.made++
			j.wake()
		}
	}
}

// admit starts a waiting request if there is room, and preempts less urgent ones for it.
func (e *engine) admit(j *job) bool {
	for {
		used, running := e.used()
		if used+j.tokens() <= e.memory && running < e.slots {
			break
		}
		if !e.preempt(j.priority) {
			return false
		}
	}
	j.running, j.unread, j.steps = true, float64(j.tokens()), 0
	if j.run.began.IsZero() {
		j.run.began = time.Now()
		e.record.add("%s runs %s", e.id, j.run.id)
	}
	return true
}

// preempt stops the newest of the least urgent requests that run, if it is less urgent than
// a priority.
func (e *engine) preempt(priority int) bool {
	var victim *job
	for _, j := range e.jobs {
		if j.running && j.priority > priority && (victim == nil || j.priority > victim.priority || j.priority == victim.priority && j.number > victim.number) {
			victim = j
		}
	}
	if victim == nil {
		return false
	}
	victim.running = false
	victim.run.preempted++
	e.record.add("%s preempts %s after event %d", e.id, victim.run.id, victim.made)
	return true
}

func (j *job) wake() {
	select {
	case j.signalled <- struct{}{}:
	default:
	}
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	id := r.Header.Get("X-Wigeonsail-Attempt-Id")
	w.Header().Set("X-Wigeonsail-Attempt-Id", id)
	w.Header().Set("X-Wigeonsail-Instance-Id", e.id)
	if expected := r.Header.Get("X-Wigeonsail-Expect-Instance"); expected != "" && expected != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	input, output, _ := strings.Cut(r.Header.Get("X-Wigeonsail-Token-Usage"), ",")
	prompt, _ := strconv.Atoi(input)
	maximum, _ := strconv.Atoi(output)
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	priority := 5
	if text := r.Header.Get("X-Wigeonsail-Request-Priority"); text != "" {
		priority, _ = strconv.Atoi(text)
	}
	j := &job{
		run: &run{id: id}, priority: priority, prompt: prompt, last: maximum / tokensPerEvent,
		made: after, ready: after, signalled: make(chan struct{}, 1),
	}
	e.mu.Lock()
	e.arrived++
	j.number = e.arrived
	e.jobs = append(e.jobs, j)
	e.runs = append(e.runs, j.run)
	e.mu.Unlock()
	e.record.add("%s gets %s, priority %d, %d tokens, after event %d", e.id, id, priority, prompt, after)
	e.stream(w, r, j)
	e.mu.Lock()
	defer e.mu.Unlock()
	for i, other := range e.jobs {
		if other == j {
			e.jobs = append(e.jobs[:i], e.jobs[i+1:]...)
			break
		}
	}
	j.run.ended = time.Now()
}

// stream sends the events of a request until the last one, or until its channel closes.
func (e *engine) stream(w http.ResponseWriter, r *http.Request, j *job) {
	for first := true; ; first = false {
		select {
		case <-j.signalled:
		case <-r.Context().Done():
			e.record.add("%s stops %s after event %d: its channel was closed", e.id, j.run.id, j.ready)
			return
		}
		e.mu.Lock()
		made := j.made
		e.mu.Unlock()
		if first {
			w.Header().Set("Content-Type", "text/event-stream")
			w.Header().Set("X-Wigeonsail-Response-Signature", "sig."+j.run.id)
		}
		for ; j.ready < made; j.ready++ {
			fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", j.ready+1, j.ready+1)
		}
		_ = http.NewResponseController(w).Flush()
		if made >= j.last {
			j.run.completed = true
			e.record.add("%s ends %s after event %d: complete", e.id, j.run.id, made)
			return
		}
	}
}

// takeRuns returns what the engine did.
func (e *engine) takeRuns() []run {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]run, len(e.runs))
	for i, r := range e.runs {
		out[i] = *r
	}
	return out
}
