package gateway

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/wigeonsail/wigeonsail/internal/core/balance"
	"github.com/wigeonsail/wigeonsail/internal/core/directory"
	"github.com/wigeonsail/wigeonsail/internal/core/model"
	"github.com/wigeonsail/wigeonsail/internal/core/routing"
	"github.com/wigeonsail/wigeonsail/internal/port"
)

// interleaving is a model of hosts and the platform's store. Its steps come in
// any order; hosts hear of each other by digests that are late, lost or merged.
type interleaving struct {
	t     *rapid.T
	now   time.Time
	log   []port.ListRecord
	hosts []*modelHost
	// drained are the starts of endpoints that the store has shown draining or
	// removed, by name.
	drained map[model.EndpointName]int64
	starts  int64
}

// modelHost is a host with its place in the store's log.
type modelHost struct {
	*control
	next    int
	whole   bool
	reading bool
	away    bool
	mailbox map[*modelHost]port.LoadDigest
	seen    map[model.EndpointName]int64
}

func newInterleaving(t *rapid.T, hosts int) *interleaving {
	m := &interleaving{t: t, now: at(0), drained: make(map[model.EndpointName]int64)}
	for i := range hosts {
		g := New(Options{Host: model.HostID(fmt.Sprint("h", i)), Domain: "north", Log: &log.Logger{Handler: discard.New()}})
		h := &modelHost{
			control: g.control, reading: i < 2,
			mailbox: make(map[*modelHost]port.LoadDigest), seen: make(map[model.EndpointName]int64),
		}
		m.hosts = append(m.hosts, h)
	}
	return m
}

// listed is the list as the others get it from the host.
func (h *modelHost) listed() map[model.EndpointName]directory.Entry {
	out := make(map[model.EndpointName]directory.Entry)
	for _, e := range h.directory.Entries() {
		out[e.Name] = e
	}
	return out
}

func (m *interleaving) host() *modelHost { return rapid.SampledFrom(m.hosts).Draw(m.t, "host") }

// write adds a record to the store's log: an endpoint that starts, goes on,
// drains or is removed.
func (m *interleaving) write() {
	name := model.EndpointName(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(m.t, "endpoint"))
	state := m.store()
	before, listed := state[name]
	rec := port.ListRecord{Name: name, Entry: before}
	switch {
	case !listed:
		m.starts++
		rec.Entry = directory.Entry{Name: name, Pool: "p", Address: string(name), Domain: "north", Started: m.starts}
	case rapid.Bool().Draw(m.t, "remove"):
		rec = port.ListRecord{Name: name, Removed: true}
		m.drained[name] = before.Started
	default:
		rec.Entry.Draining = true
		m.drained[name] = before.Started
	}
	m.log = append(m.log, rec)
}

// store is the list by the log.
func (m *interleaving) store() map[model.EndpointName]directory.Entry { return fold(m.log) }

func fold(records []port.ListRecord) map[model.EndpointName]directory.Entry {
	out := make(map[model.EndpointName]directory.Entry)
	for _, rec := range records {
		if rec.Removed {
			delete(out, rec.Name)
		} else {
			out[rec.Name] = rec.Entry
		}
	}
	return out
}

// read lets a host read the store, if it answers the host.
func (m *interleaving) read(h *modelHost) {
	if h.away {
		h.listFailed()
		return
	}
	update := endpointUpdate{next: model.Offset(len(m.log))}
	if h.whole {
		update.list = m.log[h.next:]
	} else {
		update.whole = true
		for name, e := range m.store() {
			update.list = append(update.list, port.ListRecord{Name: name, Entry: e})
		}
	}
	h.whole, h.next = true, len(m.log)
	h.endpointsFound(m.now, update)
}

// tell puts a host's digest into the mailboxes of the others.
func (m *interleaving) tell(h *modelHost) {
	d := h.digest(m.now)
	s := &h.peers.digests
	d.Changes, s.changes = s.changes, port.ListChanges{}
	for _, other := range m.hosts {
		if other == h {
			continue
		}
		if before, waits := other.mailbox[h]; waits {
			other.mailbox[h] = mergeDigests(before, d)
		} else {
			other.mailbox[h] = d
		}
	}
}

// deliver hands one waiting digest over, or loses it.
func (m *interleaving) deliver(h *modelHost, lost bool) {
	for _, from := range m.hosts {
		d, waits := h.mailbox[from]
		if !waits {
			continue
		}
		delete(h.mailbox, from)
		if !lost {
			h.listNewsCame(m.now, d)
		}
		return
	}
}

// ask lets a host ask another one for its list.
func (m *interleaving) ask(h, from *modelHost) {
	h.takeList(m.now, port.EndpointList{Entries: from.directory.Entries(), NextOffset: from.listNext})
}

// restart replaces a host by one that knows nothing.
func (m *interleaving) restart(i int) {
	g := New(Options{Host: m.hosts[i].gateway.opts.Host, Domain: "north", Log: &log.Logger{Handler: discard.New()}})
	h := m.hosts[i]
	h.control, h.next, h.whole = g.control, 0, false
	h.mailbox = make(map[*modelHost]port.LoadDigest)
	h.seen = make(map[model.EndpointName]int64)
	for _, other := range m.hosts {
		delete(other.mailbox, h)
	}
}

// check holds after each step: a host that has once seen an endpoint drain, or
// go, does not use that start of it again.
func (m *interleaving) check() {
	for _, h := range m.hosts {
		entries := h.listed()
		for name, start := range h.seen {
			if e, listed := entries[name]; listed && e.Started == start && !e.Draining {
				m.t.Fatalf("host %s uses %s again", h.gateway.opts.Host, name)
			}
		}
		for name, e := range entries {
			if e.Draining {
				h.seen[name] = e.Started
			}
		}
	}
}

// settle lets all read and hear until nothing changes, with the store back.
func (m *interleaving) settle() {
	for range 4 {
		m.now = m.now.Add(3 * time.Second)
		for _, h := range m.hosts {
			h.away = false
			if h.reading {
				m.read(h)
			}
		}
		for _, h := range m.hosts {
			m.tell(h)
		}
		for _, h := range m.hosts {
			for len(h.mailbox) > 0 {
				m.deliver(h, false)
			}
			if h.news.known > h.listNext {
				m.ask(h, m.hosts[0])
			}
			h.apply(m.now, h.directory.Tick(m.now))
		}
	}
}

// Whatever the order of writes, reads, digests, losses, outages and restarts: no
// host goes back to an endpoint that it has seen leave, and all hosts end with
// the store's list.
func TestListsOfAllHostsAgreeInTheEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newInterleaving(t, 4)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			m.now = m.now.Add(time.Duration(rapid.IntRange(1, 700).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 7).Draw(t, "step") {
			case 0, 1:
				m.write()
			case 2:
				m.read(m.host())
			case 3:
				m.tell(m.host())
			case 4, 5:
				m.deliver(m.host(), rapid.IntRange(0, 3).Draw(t, "lost") == 0)
			case 6:
				h := m.host()
				if rapid.Bool().Draw(t, "expired") {
					h.whole = false
				} else {
					h.away = !h.away
				}
			default:
				if rapid.Bool().Draw(t, "restart") {
					m.restart(rapid.IntRange(0, len(m.hosts)-1).Draw(t, "which"))
				} else if h, from := m.host(), m.host(); h != from {
					m.ask(h, from)
				}
			}
			m.check()
		}
		m.settle()
		want := m.store()
		for _, h := range m.hosts {
			got := h.listed()
			if !maps.Equal(want, got) {
				t.Fatalf("host %s has %v, the store %v", h.gateway.opts.Host, got, want)
			}
		}
	})
}

// Whatever the order in which configurations come from the store and from peers,
// the version in force never falls, and the highest one stays.
func TestVersionsNeverFall(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := New(Options{Host: "h1", Domain: "north", Log: &log.Logger{Handler: discard.New()}})
		versions := rapid.SliceOfN(rapid.Uint64Range(1, 50), 1, 30).Draw(t, "versions")
		highest := model.Version(0)
		for _, n := range versions {
			v := model.Version(n)
			highest = max(highest, v)
			cfg := &routing.Config{Version: v}
			g.control.configFound(cfg, port.ConfigRecord{Version: v}, "test")
			if got := g.control.version(); got != highest {
				t.Fatalf("version %d in force after %v", got, versions)
			}
			if got := g.table.Load().Version(); got != highest {
				t.Fatalf("a table of version %d after %v", got, versions)
			}
		}
	})
}

// Whatever becomes of the attempts of a request: one that may run once is never
// sent again once it may have run, and none may run on more endpoints than its
// route allows, or goes on after its deadline.
func TestRequestsRunAtMostAsOftenAsAllowed(t *testing.T) {
	outcomes := []model.Outcome{model.OutcomeNotRun, model.OutcomeRan, model.OutcomeUnknown}
	failures := []balance.Failure{balance.FailureRefused, balance.FailureError, balance.FailureBroken, balance.FailureUnreachable}
	rapid.Check(t, func(t *rapid.T) {
		route := &routing.Route{
			Kind:        rapid.SampledFrom([]routing.Kind{routing.NonIdempotent, routing.Idempotent, routing.Streaming}).Draw(t, "kind"),
			MaxAttempts: rapid.IntRange(0, 3).Draw(t, "attempts"),
			Resumable:   rapid.Bool().Draw(t, "resumable"),
		}
		late := rapid.Bool().Draw(t, "late")
		x := &exchange{route: route, deadline: time.Now().Add(time.Hour)}
		if late {
			x.deadline = time.Now().Add(minTimeLeft / 2)
		}
		runs := 0
		for sent := 1; ; sent++ {
			end := tryEnd{
				outcome: rapid.SampledFrom(outcomes).Draw(t, "outcome"),
				failure: rapid.SampledFrom(failures).Draw(t, "failure"),
			}
			if end.outcome != model.OutcomeNotRun {
				runs++
				x.events += rapid.IntRange(0, 1).Draw(t, "events")
			}
			again := x.mayTryAgain(context.Background(), end)
			once := route.Kind == routing.NonIdempotent || route.Kind == routing.Streaming && !route.Resumable
			switch {
			case again && once && runs > 0:
				t.Fatal("sent again though it may have run")
			case again && runs >= max(route.MaxAttempts, 1):
				t.Fatal("sent to more endpoints than the route allows")
			case again && late:
				t.Fatal("sent again without time left")
			case sent > maxTries+maxUnreachable:
				t.Fatal("sent without end")
			}
			if !again {
				return
			}
		}
	})
	must.True(t, slices.Contains(outcomes, model.OutcomeNotRun))
}
