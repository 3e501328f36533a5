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

// fleetModel is a model of hosts and the platform's store. Its steps run in any
// order. Hosts exchange digests that may be late, lost or merged.
type fleetModel struct {
	t     *rapid.T
	now   time.Time
	log   []port.ListRecord
	hosts []*modelHost
	// drained are the start numbers of endpoints that the store has listed as
	// draining or removed, by name.
	drained map[model.EndpointName]int64
	starts  int64
}

// modelHost is a host with its position in the store's log.
type modelHost struct {
	*control
	next         int
	synced       bool
	reading      bool
	storeDown    bool
	mailbox      map[*modelHost]port.LoadDigest
	seenDraining map[model.EndpointName]int64
}

// newFleetModel returns a model of hosts without lists, of which the first two read
// the store.
func newFleetModel(t *rapid.T, hosts int) *fleetModel {
	m := &fleetModel{t: t, now: at(0), drained: make(map[model.EndpointName]int64)}
	for i := range hosts {
		g := New(Options{Host: model.HostID(fmt.Sprint("h", i)), Domain: "north", Log: &log.Logger{Handler: discard.New()}})
		h := &modelHost{
			control: g.control, reading: i < 2,
			mailbox: make(map[*modelHost]port.LoadDigest), seenDraining: make(map[model.EndpointName]int64),
		}
		m.hosts = append(m.hosts, h)
	}
	return m
}

// listEntries returns the list that the host serves to other hosts, by name.
func (h *modelHost) listEntries() map[model.EndpointName]directory.Entry {
	out := make(map[model.EndpointName]directory.Entry)
	for _, e := range h.directory.Entries() {
		out[e.Name] = e
	}
	return out
}

// host draws one of the hosts.
func (m *fleetModel) host() *modelHost { return rapid.SampledFrom(m.hosts).Draw(m.t, "host") }

// write appends a record to the store's log: an endpoint that starts, is
// unchanged, drains or is removed.
func (m *fleetModel) write() {
	name := model.EndpointName(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(m.t, "endpoint"))
	state := m.storeList()
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

// storeList returns the list that results from the store's log.
func (m *fleetModel) storeList() map[model.EndpointName]directory.Entry { return fold(m.log) }

// fold returns the list that results from the records, by name.
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

// read lets a host read the store, if the store answers this host.
func (m *fleetModel) read(h *modelHost) {
	if h.storeDown {
		h.recordListFailure()
		return
	}
	update := listUpdate{next: model.Offset(len(m.log))}
	if h.synced {
		update.records = m.log[h.next:]
	} else {
		update.full = true
		for name, e := range m.storeList() {
			update.records = append(update.records, port.ListRecord{Name: name, Entry: e})
		}
	}
	h.synced, h.next = true, len(m.log)
	h.applyListRead(m.now, update)
}

// publish puts a host's digest into the mailboxes of the others.
func (m *fleetModel) publish(h *modelHost) {
	d := h.digest(m.now)
	s := &h.peers.digests
	d.Changes, s.unsentChanges = s.unsentChanges, port.ListChanges{}
	for _, other := range m.hosts {
		if other == h {
			continue
		}
		if queued, found := other.mailbox[h]; found {
			other.mailbox[h] = mergeDigests(queued, d)
		} else {
			other.mailbox[h] = d
		}
	}
}

// deliver delivers one queued digest to a host, or drops it.
func (m *fleetModel) deliver(h *modelHost, lost bool) {
	for _, from := range m.hosts {
		d, found := h.mailbox[from]
		if !found {
			continue
		}
		delete(h.mailbox, from)
		if !lost {
			h.receiveListChanges(m.now, d)
		}
		return
	}
}

// fetchList lets a host fetch the list of another one.
func (m *fleetModel) fetchList(h, from *modelHost) {
	h.adoptList(m.now, port.EndpointList{Entries: from.directory.Entries(), NextOffset: from.nextListOffset})
}

// restart replaces a host by one with empty state.
func (m *fleetModel) restart(i int) {
	g := New(Options{Host: m.hosts[i].gateway.opts.Host, Domain: "north", Log: &log.Logger{Handler: discard.New()}})
	h := m.hosts[i]
	h.control, h.next, h.synced = g.control, 0, false
	h.mailbox = make(map[*modelHost]port.LoadDigest)
	h.seenDraining = make(map[model.EndpointName]int64)
	for _, other := range m.hosts {
		delete(other.mailbox, h)
	}
}

// check runs after each step. A host that has seen an endpoint drain must not
// use the same start of it again, also after its removal.
func (m *fleetModel) check() {
	for _, h := range m.hosts {
		entries := h.listEntries()
		for name, started := range h.seenDraining {
			if e, listed := entries[name]; listed && e.Started == started && !e.Draining {
				m.t.Fatalf("host %s uses endpoint %s again after its drain", h.gateway.opts.Host, name)
			}
		}
		for name, e := range entries {
			if e.Draining {
				h.seenDraining[name] = e.Started
			}
		}
	}
}

// settle brings the store back and lets all hosts read and exchange digests
// until nothing changes.
func (m *fleetModel) settle() {
	for range 4 {
		m.now = m.now.Add(3 * time.Second)
		for _, h := range m.hosts {
			h.storeDown = false
			if h.reading {
				m.read(h)
			}
		}
		for _, h := range m.hosts {
			m.publish(h)
		}
		for _, h := range m.hosts {
			for len(h.mailbox) > 0 {
				m.deliver(h, false)
			}
			if h.missing.upto > h.nextListOffset {
				m.fetchList(h, m.hosts[0])
			}
			h.applyEndpointChanges(m.now, h.directory.ExpireMissing(m.now))
		}
	}
}

// For any order of writes, reads, digests, losses, outages and restarts: no
// host returns to an endpoint that it has seen leave, and all hosts end with
// the store's list.
func TestListsConvergeUnderAnyInterleaving(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newFleetModel(t, 4)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			m.now = m.now.Add(time.Duration(rapid.IntRange(1, 700).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 7).Draw(t, "step") {
			case 0, 1:
				m.write()
			case 2:
				m.read(m.host())
			case 3:
				m.publish(m.host())
			case 4, 5:
				m.deliver(m.host(), rapid.IntRange(0, 3).Draw(t, "lost") == 0)
			case 6:
				h := m.host()
				if rapid.Bool().Draw(t, "expired") {
					h.synced = false
				} else {
					h.storeDown = !h.storeDown
				}
			default:
				if rapid.Bool().Draw(t, "restart") {
					m.restart(rapid.IntRange(0, len(m.hosts)-1).Draw(t, "which"))
				} else if h, from := m.host(), m.host(); h != from {
					m.fetchList(h, from)
				}
			}
			m.check()
		}
		m.settle()
		want := m.storeList()
		for _, h := range m.hosts {
			got := h.listEntries()
			if !maps.Equal(want, got) {
				t.Fatalf("host %s has the list %v, the store has %v", h.gateway.opts.Host, got, want)
			}
		}
	})
}

// For any order of configurations from the store and from peers, the version in
// force never decreases, and the highest one stays in force.
func TestConfigVersionNeverDecreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := New(Options{Host: "h1", Domain: "north", Log: &log.Logger{Handler: discard.New()}})
		versions := rapid.SliceOfN(rapid.Uint64Range(1, 50), 1, 30).Draw(t, "versions")
		highest := model.Version(0)
		for _, n := range versions {
			v := model.Version(n)
			highest = max(highest, v)
			cfg := &routing.Config{Version: v}
			g.control.applyConfig(cfg, port.ConfigRecord{Version: v}, "test")
			if got := g.control.version(); got != highest {
				t.Fatalf("version %d in force after %v", got, versions)
			}
			if got := g.table.Load().Version(); got != highest {
				t.Fatalf("routing table has version %d after %v", got, versions)
			}
		}
	})
}

// For any results of a request's attempts: a request that may run only once is
// never sent again after it may have run. None runs on more endpoints than its
// route allows, and none is sent again after its deadline.
func TestRetriesRespectRouteLimits(t *testing.T) {
	outcomes := []model.Outcome{model.OutcomeNotRun, model.OutcomeRan, model.OutcomeUnknown}
	failures := []balance.Failure{balance.FailureRefused, balance.FailureError, balance.FailureBroken, balance.FailureUnreachable}
	rapid.Check(t, func(t *rapid.T) {
		route := &routing.Route{
			Kind:        rapid.SampledFrom([]routing.Kind{routing.NonIdempotent, routing.Idempotent, routing.Streaming}).Draw(t, "kind"),
			MaxAttempts: rapid.IntRange(0, 3).Draw(t, "attempts"),
			Resumable:   rapid.Bool().Draw(t, "resumable"),
		}
		pastDeadline := rapid.Bool().Draw(t, "late")
		x := &exchange{route: route, deadline: time.Now().Add(time.Hour)}
		if pastDeadline {
			x.deadline = time.Now().Add(minRetryTime / 2)
		}
		runs := 0
		for sent := 1; ; sent++ {
			result := attemptResult{
				outcome: rapid.SampledFrom(outcomes).Draw(t, "outcome"),
				failure: rapid.SampledFrom(failures).Draw(t, "failure"),
			}
			if result.outcome != model.OutcomeNotRun {
				runs++
				x.eventsSent += rapid.IntRange(0, 1).Draw(t, "events")
			}
			retry := x.canRetry(context.Background(), result)
			runOnce := route.Kind == routing.NonIdempotent || route.Kind == routing.Streaming && !route.Resumable
			switch {
			case retry && runOnce && runs > 0:
				t.Fatal("request was sent again although it may have run")
			case retry && runs >= max(route.MaxAttempts, 1):
				t.Fatal("request may run on more endpoints than the route allows")
			case retry && pastDeadline:
				t.Fatal("request was sent again without time left")
			case sent > maxDelivered+maxUnreachable:
				t.Fatal("request was sent more often than the limits allow")
			}
			if !retry {
				return
			}
		}
	})
	must.True(t, slices.Contains(outcomes, model.OutcomeNotRun))
}
