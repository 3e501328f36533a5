package effect

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/wigeonsail/wigeonsail/internal/core/model"
)

// simulation runs hosts, the log and callers in random order. It counts the
// effects of each request as the service would.
type simulation struct {
	t            *rapid.T
	now          time.Time
	log          [][]byte // one partition; index is the offset
	times        []time.Time
	earliest     int
	down         bool
	hosts        []*simHost
	tries        map[TryID]simTry
	next         TryID
	effects      map[string]int
	begun        map[string]bool // by key: a try was made
	firstTryOpen map[string]bool // by key: its first try is unanswered
	sends        *int
}

type simTry struct {
	Try
	host *simHost
	key  string
}

type simHost struct {
	id      HostRef
	m       *Machine
	appends []Record
	permits []heldPermit
	frozen  bool
}

type heldPermit struct {
	try    TryID
	permit Permit
	sent   bool
}

const (
	simWindow    = time.Hour
	simRetention = simWindow + 15*time.Minute
)

// newSimulation returns a simulation of three hosts. It counts the requests that are
// sent in sends.
func newSimulation(t *rapid.T, sends *int) *simulation {
	s := &simulation{
		t: t, now: time.Unix(1_800_000_000, 0), tries: map[TryID]simTry{}, effects: map[string]int{},
		begun: map[string]bool{}, firstTryOpen: map[string]bool{}, sends: sends,
	}
	for i := range 3 {
		s.hosts = append(s.hosts, &simHost{id: HostRef{Host: model.HostID(fmt.Sprint("h", i))}})
		s.start(s.hosts[i])
	}
	return s
}

// start starts a new incarnation of the host with empty state.
func (s *simulation) start(h *simHost) {
	h.id.Incarnation++
	h.m = New(Options{Self: h.id, Secret: []byte("s"), Partitions: 1, Window: simWindow, ClaimTimeout: 2 * time.Second, MaxTickets: 9, CacheBytes: 100})
	h.appends, h.permits, h.frozen = nil, nil, false
	for _, other := range s.hosts {
		s.sync(other)
	}
	h.m.SetLogAvailable(s.now, !s.down)
	if !s.down {
		s.readAt(h, 16)
	}
}

// sync passes the running hosts to the host as the live ones.
func (s *simulation) sync(h *simHost) {
	var live []HostRef
	for _, other := range s.hosts {
		if other != h && !other.frozen {
			live = append(live, other.id)
		}
	}
	if h.m != nil && !h.frozen {
		s.execute(h, h.m.SetLiveHosts(s.now, live))
	}
}

// runningHost picks a random host and skips the step if the host is frozen.
func (s *simulation) runningHost() *simHost {
	h := rapid.SampledFrom(s.hosts).Draw(s.t, "host")
	if h.frozen {
		s.t.Skip("frozen")
	}
	return h
}

// execute executes the actions of a host, but only queues appends and permits.
func (s *simulation) execute(h *simHost, actions []Action) {
	for _, a := range actions {
		switch a.Kind {
		case ActionSend:
			*s.sends++
			h.permits = append(h.permits, heldPermit{try: a.Try, permit: a.Permit})
		case ActionAppend:
			h.appends = append(h.appends, a.Record)
		case ActionForward:
			s.forward(a)
		case ActionRefuse:
			s.recordOutcome(a.Try, a.Refusal.Outcome)
		default:
			s.recordOutcome(a.Try, model.OutcomeRan)
		}
	}
}

// recordOutcome ends a try. The test fails if a caller is told not_run of a request
// that was sent.
func (s *simulation) recordOutcome(id TryID, outcome model.Outcome) {
	try := s.tries[id]
	delete(s.tries, id)
	delete(s.firstTryOpen, try.KeyText)
	if outcome == model.OutcomeNotRun && s.effects[try.key] > 0 {
		s.t.Fatalf("a caller got outcome not_run for %s, which was sent", try.key)
	}
}

// forward begins a try at the issuer of its ticket, or ends it if the issuer is not
// running.
func (s *simulation) forward(a Action) {
	try := s.tries[a.Try]
	for _, h := range s.hosts {
		if h.id.Host == a.Host && !h.frozen {
			try.Forwarded = true
			s.tries[a.Try] = simTry{Try: try.Try, host: h, key: try.key}
			s.execute(h, h.m.Begin(s.now, try.Try))
			return
		}
	}
	s.recordOutcome(a.Try, unprovenOutcome(try.Try))
}

// begin begins a try with the key or ticket at a running host.
func (s *simulation) begin(text string) {
	if s.firstTryOpen[text] {
		s.t.Skip("the first try is open")
	}
	h := s.runningHost()
	body := rapid.SampledFrom([]string{"a", "a", "a", "b"}).Draw(s.t, "body")
	s.next++
	try := Try{ID: s.next, Account: "acc", KeyText: text, Digest: NewDigest("POST", "/", "", []byte(body)), Deadline: s.now.Add(time.Second)}
	if !s.begun[text] {
		try.First = rapid.Bool().Draw(s.t, "first")
		s.firstTryOpen[text] = try.First
	}
	s.begun[text] = true
	s.tries[try.ID] = simTry{Try: try, host: h, key: text + body}
	s.execute(h, h.m.Begin(s.now, try))
}

// write executes one append of a host. Its response may be lost, in which case
// the host appends again.
func (s *simulation) write() {
	h := rapid.SampledFrom(s.hosts).Draw(s.t, "host")
	if s.down || len(h.appends) == 0 {
		s.t.Skip("nothing to append")
	}
	i := rapid.IntRange(0, len(h.appends)-1).Draw(s.t, "append")
	if !h.frozen && !h.m.NeedsAppend(h.appends[i]) && rapid.Bool().Draw(s.t, "settled") {
		h.appends = append(h.appends[:i:i], h.appends[i+1:]...)
		return
	}
	entry, err := EncodeRecord(h.appends[i])
	must.NoError(s.t, err)
	data, err := EncodeBatch([][]byte{entry})
	must.NoError(s.t, err)
	s.log, s.times = append(s.log, data), append(s.times, s.now)
	if !rapid.Bool().Draw(s.t, "answer lost") {
		h.appends = append(h.appends[:i:i], h.appends[i+1:]...)
	}
}

// read lets a running host read some records.
func (s *simulation) read() {
	h := s.runningHost()
	if s.down {
		s.t.Skip("log down")
	}
	s.readAt(h, rapid.IntRange(1, 16).Draw(s.t, "records"))
}

// readAt lets the host read up to count records.
func (s *simulation) readAt(h *simHost, count int) {
	from := max(int(h.m.NextOffset(0)), s.earliest)
	to := min(len(s.log), from+count)
	var records []LogRecord
	for i := from; i < to; i++ {
		records = append(records, LogRecord{Offset: model.Offset(i), Data: s.log[i]})
	}
	actions, err := h.m.ApplyRecords(s.now, 0, Extent{Earliest: model.Offset(s.earliest)}, records)
	must.NoError(s.t, err)
	s.execute(h, actions)
}

// usePermit sends the request of a permit, or finishes a request that was sent.
func (s *simulation) usePermit() {
	h := s.runningHost()
	if len(h.permits) == 0 {
		s.t.Skip("no permit")
	}
	held := &h.permits[0]
	try := s.tries[held.try]
	outcome := model.OutcomeNotRun
	if held.sent {
		outcome = rapid.SampledFrom([]model.Outcome{model.OutcomeRan, model.OutcomeUnknown}).Draw(s.t, "outcome")
	} else if rapid.IntRange(0, 3).Draw(s.t, "refused by dispatch") > 0 {
		held.sent = true
		s.effects[try.key]++
		s.effects[try.KeyText]++
		if s.effects[try.KeyText] > 1 {
			s.t.Fatalf("%s was sent twice", try.KeyText)
		}
		return
	}
	permit := held.permit
	h.permits = h.permits[1:]
	s.recordOutcome(try.ID, outcome)
	s.execute(h, h.m.Finish(s.now, permit, Result{Outcome: outcome, Status: 200, Body: []byte("answer")}))
}

// advanceTime advances the clock, drops records after the retention, and cancels the
// tries whose deadline has passed.
func (s *simulation) advanceTime() {
	step := rapid.SampledFrom([]time.Duration{time.Millisecond, time.Second, 30 * time.Second, 20 * time.Minute}).Draw(s.t, "time")
	s.now = s.now.Add(step)
	for s.earliest < len(s.times) && s.now.Sub(s.times[s.earliest]) > simRetention {
		s.earliest++
	}
	for _, h := range s.hosts {
		if !h.frozen {
			s.execute(h, h.m.Tick(s.now))
		}
	}
	for id, try := range s.tries {
		if !try.host.frozen && s.now.After(try.Deadline) {
			s.execute(try.host, try.host.m.Cancel(s.now, id))
		}
	}
}

// TestRandomInterleavings checks, for random interleavings of host crashes and
// freezes, lost append responses, duplicate appends, log outages and log
// retention, that the request of a key is sent at most once within its window,
// and that no caller gets outcome not_run for a key whose request was sent.
func TestRandomInterleavings(t *testing.T) {
	sends := 0
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t, &sends)
		epoch := 0
		tickets := []string{}
		begin := func(t *rapid.T) {
			// A key is reused only after its window has passed.
			epoch = max(epoch, int(s.now.Sub(time.Unix(1_800_000_000, 0))/simWindow))
			s.begin(fmt.Sprintf("key-%d-%d", epoch, rapid.IntRange(0, 3).Draw(t, "key")))
		}
		t.Repeat(map[string]func(*rapid.T){
			"begin": begin, "begin again": begin,
			"issue": func(*rapid.T) {
				h := s.runningHost()
				text, err := h.m.IssueTicket(s.now, "acc", time.Minute)
				must.NoError(t, err)
				tickets = append(tickets, text)
			},
			"begin ticket": func(t *rapid.T) {
				if len(tickets) == 0 {
					t.Skip("no ticket")
				}
				s.begin(rapid.SampledFrom(tickets).Draw(t, "ticket"))
			},
			"write": func(*rapid.T) { s.write() }, "write again": func(*rapid.T) { s.write() },
			"read": func(*rapid.T) { s.read() }, "read again": func(*rapid.T) { s.read() },
			"read on":    func(*rapid.T) { s.read() },
			"use permit": func(*rapid.T) { s.usePermit() }, "use permit again": func(*rapid.T) { s.usePermit() },
			"pass": func(*rapid.T) { s.advanceTime() },
			"kill": func(*rapid.T) {
				h := rapid.SampledFrom(s.hosts).Draw(t, "host")
				for id, try := range s.tries {
					if try.host == h {
						s.recordOutcome(id, model.OutcomeUnknown)
					}
				}
				s.start(h)
			},
			"freeze or wake": func(t *rapid.T) {
				h := rapid.SampledFrom(s.hosts).Draw(t, "host")
				h.frozen = !h.frozen
				for _, other := range s.hosts {
					s.sync(other)
				}
			},
			"outage": func(t *rapid.T) {
				s.down = rapid.Bool().Draw(t, "down")
				for _, h := range s.hosts {
					if !h.frozen {
						s.execute(h, h.m.SetLogAvailable(s.now, !s.down))
					}
				}
			},
		})
	})
	must.Greater(t, 300, sends, must.Sprint("sends over all interleavings"))
}
