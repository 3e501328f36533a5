package quarantine_test

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/core/quarantine"
)

// A simulation of hosts before endpoints that crash: of ordinary crashes, which must not
// put sound requests into quarantine, and of a request that crashes endpoints.

const (
	simDomains = 4
	// simDowntime is the time until a crashed endpoint is back.
	simDowntime = 3 * time.Second
	// simPopular is the number of lookups that come again and again.
	simPopular = 8
	// simCause is the fingerprint of the request that crashes endpoints, after
	// simCauseRun.
	simCause    model.Fingerprint = 1
	simCauseRun                   = 80 * time.Millisecond
	// simLookupRun and simStreamRun are the run times of sound requests.
	simLookupRun = 50 * time.Millisecond
	simStreamRun = 1500 * time.Millisecond
	simAttempts  = 3
)

// simFleet is the state of a simulation.
type simFleet struct {
	rng       *rand.Rand
	now       time.Duration
	events    simEvents
	hosts     []*quarantine.State
	announced []bool
	delay     time.Duration
	// downUntil and started are those of each endpoint, running the attempts there.
	downUntil []time.Duration
	started   []int64
	running   []map[*simAttempt]bool
	trials    map[model.Fingerprint]bool
	ids       uint64
	// wrong are the sound requests in quarantine; suspended and sent count the sound
	// requests that were refused while suspended, and all.
	wrong           map[model.Fingerprint]bool
	suspended, sent int
	// crashes and arrivals are the times of the crashes by simCause and of its arrivals.
	crashes, arrivals []time.Duration
}

// simAttempt is an attempt of a request at an endpoint.
type simAttempt struct {
	request    model.Fingerprint
	host       int
	endpoint   int
	left       int
	generation int
	run        time.Duration
	onTrial    bool
}

type simEvent struct {
	at    time.Duration
	order uint64
	do    func()
}

type simEvents []simEvent

func (e simEvents) Len() int { return len(e) }
func (e simEvents) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(e[i].at, e[j].at), cmp.Compare(e[i].order, e[j].order)) < 0
}
func (e simEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)   { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func newSimFleet(seed uint64, hosts, endpoints int) *simFleet {
	f := &simFleet{
		rng: rand.New(rand.NewPCG(seed, 7)), announced: make([]bool, hosts), delay: 60 * time.Millisecond,
		downUntil: make([]time.Duration, endpoints), started: make([]int64, endpoints),
		trials: make(map[model.Fingerprint]bool), wrong: make(map[model.Fingerprint]bool),
	}
	if hosts > 20 {
		// Through relays.
		f.delay = 500 * time.Millisecond
	}
	for range hosts {
		f.hosts = append(f.hosts, quarantine.New())
	}
	for range endpoints {
		f.running = append(f.running, make(map[*simAttempt]bool))
	}
	return f
}

// after plans something.
func (f *simFleet) after(d time.Duration, do func()) {
	f.ids++
	heap.Push(&f.events, simEvent{at: f.now + d, order: f.ids, do: do})
}

// play runs the events of a time.
func (f *simFleet) play(d time.Duration) {
	for f.events.Len() > 0 && f.events[0].at <= d {
		e := heap.Pop(&f.events).(simEvent)
		f.now = e.at
		e.do()
	}
}

// send sends an attempt from its host.
func (f *simFleet) send(a simAttempt) {
	a.endpoint = f.rng.IntN(len(f.running))
	if a.left == 0 || f.now < f.downUntil[a.endpoint] {
		return
	}
	state := f.hosts[a.host]
	if evidence, found := state.Check(at(f.now), model.Prompt{}, a.request); found {
		if evidence.IsQuarantined() && a.request != simCause {
			f.wrong[a.request] = true
		}
		if evidence.IsQuarantined() || a.onTrial || f.trials[a.request] {
			if a.request != simCause {
				f.suspended++
			}
			return
		}
		a.onTrial, f.trials[a.request] = true, true
	}
	if a.request == simCause {
		f.arrivals = append(f.arrivals, f.now)
	}
	a.generation = state.Generation(a.request)
	attempt := &a
	f.running[a.endpoint][attempt] = true
	f.after(a.run, func() { f.end(attempt) })
}

// end ends an attempt that still runs.
func (f *simFleet) end(a *simAttempt) {
	if !f.running[a.endpoint][a] {
		return
	}
	if a.request == simCause {
		f.crashes = append(f.crashes, f.now)
		f.crash(a.endpoint)
		return
	}
	delete(f.running[a.endpoint], a)
	delete(f.trials, a.request)
	if _, cleared := f.hosts[a.host].RecordAnswer(at(f.now), a.request); cleared {
		f.announce(a.host)
	}
}

// crash crashes an endpoint. Hosts notice, report it and try again.
func (f *simFleet) crash(endpoint int) {
	if f.now < f.downUntil[endpoint] {
		return
	}
	instance := model.Instance{Name: model.EndpointName(fmt.Sprint("e", endpoint)), Started: f.started[endpoint]}
	f.downUntil[endpoint] = f.now + simDowntime
	f.started[endpoint]++
	for a := range f.running[endpoint] {
		delete(f.running[endpoint], a)
		f.ids++
		c := quarantine.Crash{ID: f.ids, Endpoint: instance, Request: a.request, Generation: a.generation, At: at(f.now)}
		f.after(2*time.Millisecond, func() {
			f.hosts[a.host].RecordCrash(at(f.now), c)
			f.announce(a.host)
			next := *a
			next.left--
			f.send(next)
		})
		if a.onTrial {
			f.after(time.Second, func() { delete(f.trials, a.request) })
		}
	}
}

// announce sends the report of a host to all others, unless one is on its way.
func (f *simFleet) announce(host int) {
	if f.announced[host] {
		return
	}
	f.announced[host] = true
	f.after(f.delay, func() {
		f.announced[host] = false
		report := f.hosts[host].Report(at(f.now))
		for other := range f.hosts {
			if other != host {
				f.hosts[other].Merge(at(f.now), report)
			}
		}
	})
}

// sendSound sends sound requests at a rate per second for a time: popular lookups, others
// and streams.
func (f *simFleet) sendSound(rate int, d time.Duration) {
	for i := range int(d.Seconds()) * rate {
		f.after(time.Duration(i)*time.Second/time.Duration(rate), func() {
			a := simAttempt{request: model.Fingerprint(1000 + i), host: f.rng.IntN(len(f.hosts)), left: simAttempts, run: simLookupRun}
			switch draw := f.rng.Float64(); {
			case draw < 0.3:
				a.request = model.Fingerprint(100 + f.rng.IntN(simPopular))
			case draw < 0.6:
				a.run = simStreamRun
			}
			f.sent++
			f.send(a)
		})
	}
}

// crashOrdinarily crashes endpoints every few seconds: a share of them at once, or a
// failure domain within 100 ms.
func (f *simFleet) crashOrdinarily(d time.Duration) {
	for t := 2 * time.Second; t < d; t += time.Duration(1000+f.rng.IntN(7000)) * time.Millisecond {
		domain, whole := f.rng.IntN(simDomains), f.rng.IntN(3) == 0
		for endpoint := range f.running {
			switch {
			case whole && endpoint%simDomains == domain:
				f.after(t+time.Duration(f.rng.IntN(100))*time.Millisecond, func() { f.crash(endpoint) })
			case !whole && f.rng.Float64() < 0.15:
				f.after(t, func() { f.crash(endpoint) })
			}
		}
	}
}

// simSizes are the numbers of hosts and endpoints, the sound requests per second, and the
// seeds and the time to play.
var simSizes = []struct {
	hosts, endpoints, rate int
	seeds                  uint64
	length                 time.Duration
}{
	{7, 4, 40, 8, 60 * time.Second},
	{18, 26, 150, 4, 60 * time.Second},
	{88, 60, 400, 1, 40 * time.Second},
	{295, 90, 600, 1, 20 * time.Second},
}

// Ordinary crashes put no sound request into quarantine.
func TestOrdinaryCrashesQuarantineNoSoundRequest(t *testing.T) {
	for _, size := range simSizes {
		t.Run(fmt.Sprint(size.hosts, " hosts"), func(t *testing.T) {
			wrong, suspended, sent := 0, 0, 0
			for seed := range size.seeds {
				f := newSimFleet(seed, size.hosts, size.endpoints)
				f.sendSound(size.rate, size.length)
				f.crashOrdinarily(size.length)
				f.play(size.length)
				wrong, suspended, sent = wrong+len(f.wrong), suspended+f.suspended, sent+f.sent
			}
			t.Logf("%d of %d sound requests in quarantine, %d refused while suspended", wrong, sent, suspended)
			must.Zero(t, wrong)
			must.Less(t, sent/1000, suspended)
		})
	}
}

// A request that crashes endpoints is found beside ordinary crashes.
func TestCauseIsFoundBesideOrdinaryCrashes(t *testing.T) {
	const settled = 3 * time.Second
	for _, size := range simSizes {
		t.Run(fmt.Sprint(size.hosts, " hosts"), func(t *testing.T) {
			worst := 0
			for seed := range size.seeds {
				f := newSimFleet(seed, size.hosts, size.endpoints)
				f.sendSound(size.rate/4, size.length)
				f.crashOrdinarily(size.length)
				copies := 1 + f.rng.IntN(size.hosts)
				for d := 5 * time.Second; d < size.length; d += time.Duration(200+f.rng.IntN(3000)) * time.Millisecond {
					for range copies {
						f.after(d, func() {
							f.send(simAttempt{request: simCause, host: f.rng.IntN(len(f.hosts)), left: simAttempts, run: simCauseRun})
						})
					}
				}
				f.play(size.length)
				late := 0
				for _, arrived := range f.arrivals {
					if len(f.crashes) >= 3 && arrived > f.crashes[2]+settled {
						late++
					}
				}
				worst = max(worst, late)
			}
			t.Logf("at most %d requests reached endpoints later than %v after the third crash", worst, settled)
			must.LessEq(t, 3, worst)
		})
	}
}
