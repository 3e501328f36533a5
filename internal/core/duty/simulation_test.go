package duty

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/core/usage"
)

// A simulation of hosts that share a log, and of the platform that takes their reports.
// Faults come at random times; the platform checks the rules.

const (
	simStep  = 100 * time.Millisecond
	simLease = 3 * time.Second
	simCall  = time.Second
	simHosts = 3
	// simPools is the number of pools with orders of endpoints. The platform keeps the
	// highest fence for each.
	simPools = 3
	simQuiet = 25 * time.Second
)

var (
	simStart   = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	simWindows = usage.Windows{Length: 5 * time.Second, Due: 10 * time.Second}
)

// simFault is a fault of one kind that lasts for a time. It affects one host or, for
// faults of the store, all.
type simFault struct {
	kind     string
	host     int
	from, to time.Time
}

// simKinds are the kinds of faults. A restored store loses some of the newest records, a
// trimmed one the oldest. Lost and late appends and calls have their effect without an
// answer, at once or seconds later; those that are dropped have none. An idle host is no
// candidate, and does not read. Calls that are refused say nothing of their fence.
var simKinds = []string{"freeze", "cut", "stop", "idle", "store down", "restore", "trim", "lose", "late", "drop", "refuse"}

// later is an effect at a time.
type laterEffect struct {
	at time.Time
	do func()
}

type simulation struct {
	t       *rapid.T
	rng     *rand.Rand
	now     time.Time
	faults  []simFault
	hosts   []*simHost
	effects []laterEffect
	// records are those of the store's era, of which the first trimmed are gone.
	records [][]byte
	trimmed int
	era     model.Era
	// fences are the highest ones that the platform has seen by subject, authors the hosts
	// that sent them.
	fences  map[string]model.Offset
	authors map[model.Offset]string
	reports map[usage.Window]usage.Counts
	// accepted are the accepted calls.
	accepted []acceptedCall
}

// acceptedCall is an accepted call.
type acceptedCall struct {
	host string
	at   time.Time
}

type simHost struct {
	sim       *simulation
	index     int
	life      int
	keeper    *Keeper
	caughtUp  bool
	busyUntil time.Time
	reported  map[usage.Window]bool
	// refused is the highest fence with which a call was refused.
	refused model.Offset
}

func (s *simulation) active(kind string, host int) bool {
	for _, f := range s.faults {
		if f.kind == kind && f.host == host && !s.now.Before(f.from) && s.now.Before(f.to) {
			return true
		}
	}
	return false
}

func (h *simHost) name() string { return fmt.Sprintf("h%d", h.index) }

func (h *simHost) start() {
	h.life++
	h.keeper = New(h.sim.now, Options{
		Host: model.HostID(h.name()), Incarnation: model.Incarnation(h.life),
		Lease: simLease, CallTimeout: simCall, Margin: simLease / 10,
	})
	h.caughtUp, h.busyUntil = false, time.Time{}
	h.reported, h.refused = make(map[usage.Window]bool), 0
}

// step runs a host. It acts before it reads, so that a host which wakes acts on what it
// knew before.
func (h *simHost) step() {
	s := h.sim
	leaving, idle := s.active("stop", h.index), s.active("idle", h.index)
	rec, due := h.keeper.Due(s.now, Situation{
		Candidate: !leaving && !idle, Rank: h.index, Leaving: leaving, Busy: s.now.Before(h.busyUntil), CaughtUp: h.caughtUp,
	}, s.rng.Uint64())
	if due {
		h.append(rec)
	} else if _, ok := h.keeper.Fence(s.now); ok && !s.now.Before(h.busyUntil) && h.caughtUp {
		h.report()
	}
	_, holds := h.keeper.Fence(s.now)
	switch {
	case idle && !holds:
		h.caughtUp = false
	case s.rng.Float64() < 0.8:
		h.read()
	}
}

func (h *simHost) report() {
	s := h.sim
	lost, covered, isCovered := h.keeper.LostBefore()
	window, ok := simWindows.NextReport(s.now, usage.Knowledge{
		LostAt: lost, Covered: covered, IsCovered: isCovered,
		IsFixed:    func(w usage.Window) bool { _, fixed := h.keeper.Report(w); return fixed },
		IsReported: func(w usage.Window) bool { return h.reported[w] || w <= h.keeper.Done() },
	})
	if !ok {
		if s.rng.IntN(4) == 0 {
			h.call(fmt.Sprintf("pool %d", s.rng.IntN(simPools)), 0, nil)
		}
		return
	}
	if counts, fixed := h.keeper.Report(window); fixed {
		h.call(reportSubject, window, counts)
		return
	}
	counts := usage.Counts{"a": s.rng.Int64N(1000)}
	if rec, ok := h.keeper.PrepareReport(s.now, usage.Report{Window: window, Counts: counts}, window-1); ok {
		h.append(rec)
	}
}

// fate returns what becomes of a call by a host: "" if it is answered.
func (s *simulation) fate(host int) string {
	for _, kind := range []string{"cut", "drop"} {
		if s.active(kind, host) {
			return "drop"
		}
	}
	for _, kind := range []string{"lose", "late"} {
		if s.active(kind, host) && s.rng.IntN(2) == 0 {
			return kind
		}
	}
	return ""
}

// carryOut lets a call take effect according to its fate. It reports whether it is
// answered.
func (s *simulation) carryOut(fate string, do func()) bool {
	switch fate {
	case "late":
		s.effects = append(s.effects, laterEffect{s.now.Add(time.Duration(s.rng.IntN(6000)) * time.Millisecond), do})
	case "lose", "":
		do()
	}
	return fate == ""
}

func (h *simHost) append(rec *Record) {
	s := h.sim
	data, err := rec.Encode()
	must.NoError(s.t, err)
	fate := s.fate(h.index)
	if s.active("store down", 0) {
		fate = "drop"
	}
	var offset model.Offset
	answered := s.carryOut(fate, func() {
		offset = s.offset(len(s.records))
		s.records = append(s.records, data)
	})
	if !answered || offset != rec.Expected() || offset > h.keeper.Next() {
		h.caughtUp = false
		return
	}
	h.keeper.Apply(s.now, offset, data)
}

func (s *simulation) offset(index int) model.Offset {
	return model.Position{Era: s.era, Offset: model.Offset(index)}.StreamOffset()
}

func (h *simHost) read() {
	s := h.sim
	if s.active("store down", 0) || s.fate(h.index) != "" {
		h.caughtUp = false
		return
	}
	h.keeper.BeginBatch(s.now, s.offset(0), s.offset(s.trimmed))
	for i := s.trimmed; i < len(s.records); i++ {
		h.keeper.Apply(s.now, s.offset(i), s.records[i])
	}
	h.caughtUp = true
}

// reportSubject is the subject of the reports. Other subjects are orders.
const reportSubject = "usage"

// call sends a report or an order.
func (h *simHost) call(subject string, window usage.Window, counts usage.Counts) {
	s := h.sim
	fence, ok := h.keeper.Fence(s.now)
	must.True(s.t, ok)
	must.True(s.t, h.refused == 0 || fence > h.refused, must.Sprint("a call with a fence that was refused"))
	h.keeper.RecordCall(s.now)
	sentAt, accepted := s.now, false
	if s.active("refuse", h.index) {
		h.refused = fence
		h.keeper.Refuse(fence)
		return
	}
	if s.carryOut(s.fate(h.index), func() { accepted = s.accept(h.name(), fence, sentAt, subject, window, counts) }) {
		if accepted {
			h.reported[window] = true
		} else {
			h.refused = fence
			h.keeper.Refuse(fence)
		}
		return
	}
	h.busyUntil = s.now.Add(simCall)
}

// accept is the platform's side of a call. It returns false for a conflict.
func (s *simulation) accept(host string, fence model.Offset, sentAt time.Time, subject string, window usage.Window, counts usage.Counts) bool {
	if fence < s.fences[subject] {
		return false
	}
	if before, used := s.authors[fence]; used && before != host {
		s.t.Fatalf("%s and %s sent the fence %d", before, host, fence)
	}
	s.fences[subject], s.authors[fence] = fence, host
	s.accepted = append(s.accepted, acceptedCall{host, sentAt})
	if subject != reportSubject {
		return true
	}
	if before, known := s.reports[window]; known && !maps.Equal(before, counts) {
		s.t.Fatalf("window %d was reported with %v and by %s with %v", window, before, host, counts)
	}
	s.reports[window] = counts
	return true
}

// checkOrder checks that no holder acts again, within the duration of a lease, after
// another one has acted. The calls count when they were sent.
func (s *simulation) checkOrder() {
	slices.SortStableFunc(s.accepted, func(a, b acceptedCall) int { return a.at.Compare(b.at) })
	last := make(map[string]time.Time)
	before := ""
	for _, c := range s.accepted {
		if at, acted := last[c.host]; acted && before != c.host && c.at.Sub(at) < simLease {
			s.t.Fatalf("%s acts again %s after it was followed by another holder", c.host, c.at.Sub(at))
		}
		last[c.host], before = c.at, c.host
	}
}

// tick advances the time and runs all hosts.
func (s *simulation) tick() {
	s.now = s.now.Add(simStep)
	pending := s.effects
	s.effects = nil
	for _, e := range pending {
		if s.now.Before(e.at) {
			s.effects = append(s.effects, e)
		} else {
			e.do()
		}
	}
	for _, f := range s.faults {
		if f.from.After(s.now.Add(-simStep)) && !f.from.After(s.now) {
			s.begin(f)
		}
		if f.kind == "stop" && f.to.After(s.now.Add(-simStep)) && !f.to.After(s.now) {
			s.hosts[f.host].start()
		}
	}
	for _, h := range s.hosts {
		if !s.active("freeze", h.index) {
			h.step()
		}
	}
}

// begin carries out the faults that take no time.
func (s *simulation) begin(f simFault) {
	switch f.kind {
	case "restore":
		s.records = s.records[:s.trimmed+s.rng.IntN(len(s.records)-s.trimmed+1)]
		s.era++
	case "trim":
		s.trimmed = len(s.records) - s.rng.IntN(2)*s.rng.IntN(len(s.records)-s.trimmed+1)
	}
}

func drawFaults(t *rapid.T) []simFault {
	draw := rapid.Custom(func(t *rapid.T) simFault {
		f := simFault{kind: rapid.SampledFrom(simKinds).Draw(t, "kind"), host: rapid.IntRange(0, simHosts-1).Draw(t, "host")}
		if f.kind == "store down" {
			f.host = 0
		}
		f.from = simStart.Add(time.Duration(rapid.IntRange(40, 300).Draw(t, "from")) * simStep)
		f.to = f.from.Add(time.Duration(rapid.IntRange(1, 120).Draw(t, "for")) * simStep)
		return f
	})
	return rapid.SliceOfN(draw, 0, 30).Draw(t, "faults")
}

// No schedule of faults yields two holders with one fence, holders that alternate within
// the lease, or two different reports of a window. Once the faults are over, the windows are
// reported again.
func TestOneHolderAndOneReport(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{
			t: t, rng: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)), now: simStart, era: 1,
			faults: drawFaults(t), reports: make(map[usage.Window]usage.Counts),
			fences: make(map[string]model.Offset), authors: make(map[model.Offset]string),
		}
		end := simStart.Add(10 * time.Second)
		for _, f := range s.faults {
			if f.to.After(end) {
				end = f.to
			}
		}
		for i := range simHosts {
			h := &simHost{sim: s, index: i}
			h.start()
			s.hosts = append(s.hosts, h)
		}
		for s.now.Before(end.Add(simQuiet)) {
			s.tick()
		}
		s.checkOrder()
		for window := simWindows.Of(end.Add(10 * time.Second)); window < simWindows.Of(end.Add(20*time.Second)); window++ {
			_, reported := s.reports[window]
			must.True(t, reported, must.Sprintf("window %d is not reported after the faults", window))
		}
	})
}
