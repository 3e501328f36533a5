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
// order. Hosts exchange digests that may be late, lost or merged. The store may be
// restored from an older copy; endpoints then publish their entries again.
type fleetModel struct {
	t *rapid.T
	// fail ends the test.
	fail  func(format string, args ...any)
	now   time.Time
	store modelStore
	hosts []*modelHost
	// endpoints are the endpoints that run, by name, as they last published
	// themselves. The store may not list all of them.
	endpoints map[model.EndpointName]directory.Entry
	// ended are the endpoints that have ended, and lapsed those whose entries the
	// store has removed although they run.
	ended  map[model.Instance]bool
	lapsed map[model.EndpointName]bool
	starts int64
	writes int64
}

// modelStore is the store's log and its history.
type modelStore struct {
	era     model.Era
	log     []port.ListRecord
	written []time.Time
	// republishAt is when all endpoints publish again after a restoration, and
	// expireAt when the store removes the entries of those that have ended; zero
	// when there is nothing to do.
	republishAt, expireAt time.Time
}

const (
	// modelRepublishDelay is the time within which endpoints publish again after a
	// restoration of the store, modelExpireDelay the time after which it removes
	// the entries of silent endpoints.
	modelRepublishDelay = 1500 * time.Millisecond
	modelExpireDelay    = 3600 * time.Millisecond
	// modelCopyAge is the highest age of the copy from which the store is restored.
	modelCopyAge = 10 * time.Second
)

// modelHost is a host with its position in the store's log.
type modelHost struct {
	*control
	next         int
	era          model.Era
	synced       bool
	reading      bool
	storeDown    bool
	mailbox      map[*modelHost]port.LoadDigest
	seenDraining map[model.EndpointName]int64
	// late is a response of the store that has not arrived yet; nil for none.
	late *listUpdate
	// listed are the entries at the last check.
	listed map[model.EndpointName]directory.Entry
}

// newFleetModel returns a model of hosts without lists, of which the first two read
// the store.
func newFleetModel(t *rapid.T, hosts int) *fleetModel {
	m := newPlannedModel(t.Fatalf, hosts)
	m.t = t
	return m
}

// newPlannedModel returns a model whose steps are not drawn at random.
func newPlannedModel(fail func(format string, args ...any), hosts int) *fleetModel {
	m := &fleetModel{
		fail: fail, now: at(0), store: modelStore{era: 1}, endpoints: make(map[model.EndpointName]directory.Entry),
		ended: make(map[model.Instance]bool), lapsed: make(map[model.EndpointName]bool),
	}
	for i := range hosts {
		h := &modelHost{reading: i < 2}
		m.hosts = append(m.hosts, h)
		m.restart(i)
	}
	return m
}

// listEntries returns the list that the host serves to other hosts, by name and
// without the counts of writes.
func (h *modelHost) listEntries() map[model.EndpointName]directory.Entry {
	out := make(map[model.EndpointName]directory.Entry)
	for _, e := range h.directory.Entries() {
		e.Sequence = 0
		out[e.Name] = e
	}
	return out
}

// host draws one of the hosts.
func (m *fleetModel) host() *modelHost { return rapid.SampledFrom(m.hosts).Draw(m.t, "host") }

// append appends a record to the store's log.
func (m *fleetModel) append(rec port.ListRecord) {
	rec.At = model.Offset(len(m.store.log))
	m.store.log = append(m.store.log, rec)
	m.store.written = append(m.store.written, m.now)
}

// publish writes the entry of an endpoint to the store.
func (m *fleetModel) publishEntry(e directory.Entry) {
	m.writes++
	e.Sequence = m.writes
	m.endpoints[e.Name] = e
	m.append(port.ListRecord{Name: e.Name, Entry: e})
}

// write lets an endpoint start, restart, drain or end, or its entry lapse.
func (m *fleetModel) write() {
	name := model.EndpointName(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(m.t, "endpoint"))
	e, runs := m.endpoints[name]
	what := rapid.IntRange(0, 5).Draw(m.t, "change")
	switch {
	case !runs || what == 0:
		m.ended[model.Instance{Name: name, Started: e.Started}] = runs
		m.starts++
		m.publishEntry(directory.Entry{Name: name, Pool: "p", Address: string(name), Domain: "north", Started: m.starts})
	case what <= 2:
		m.ended[model.Instance{Name: name, Started: e.Started}] = true
		delete(m.endpoints, name)
		m.append(port.ListRecord{Name: name, Removed: true})
	case what == 3:
		m.lapsed[name] = true
		m.append(port.ListRecord{Name: name, Removed: true})
		m.publishEntry(e)
	default:
		e.Draining = true
		m.publishEntry(e)
	}
}

// restore replaces the store's log by an older copy of it.
func (m *fleetModel) restore() {
	first := len(m.store.log)
	for first > 0 && m.now.Sub(m.store.written[first-1]) <= modelCopyAge {
		first--
	}
	m.restoreTo(rapid.IntRange(first, len(m.store.log)).Draw(m.t, "kept"))
}

// restoreTo replaces the store's log by its first records.
func (m *fleetModel) restoreTo(kept int) {
	m.store.log = slices.Clone(m.store.log[:kept])
	m.store.written = slices.Clone(m.store.written[:kept])
	m.store.era++
	m.store.republishAt = m.now.Add(modelRepublishDelay)
	m.store.expireAt = m.now.Add(modelExpireDelay)
}

// advance lets time pass, in which endpoints publish again and the store removes
// the entries of those that have ended. Like the store's, an entry that differs
// only in its count makes no record.
func (m *fleetModel) advance(d time.Duration) {
	m.now = m.now.Add(d)
	if at := m.store.republishAt; !at.IsZero() && !m.now.Before(at) {
		m.store.republishAt = time.Time{}
		listed := m.storeList()
		for _, name := range slices.Sorted(maps.Keys(m.endpoints)) {
			e := m.endpoints[name]
			e.Sequence = 0
			if listed[name] != e {
				m.publishEntry(m.endpoints[name])
			}
		}
	}
	if at := m.store.expireAt; !at.IsZero() && !m.now.Before(at) {
		m.store.expireAt = time.Time{}
		for _, name := range slices.Sorted(maps.Keys(m.storeList())) {
			if _, runs := m.endpoints[name]; !runs {
				m.append(port.ListRecord{Name: name, Removed: true})
			}
		}
	}
}

// storeList returns the list that results from the store's log, without the
// counts of writes.
func (m *fleetModel) storeList() map[model.EndpointName]directory.Entry {
	out := make(map[model.EndpointName]directory.Entry)
	for _, rec := range m.store.log {
		if rec.Removed {
			delete(out, rec.Name)
			continue
		}
		e := rec.Entry
		e.Sequence = 0
		out[rec.Name] = e
	}
	return out
}

// read returns what a host reads from the store.
func (m *fleetModel) read(h *modelHost) listUpdate {
	update := listUpdate{next: model.Position{Era: m.store.era, Offset: model.Offset(len(m.store.log))}}
	if h.synced && h.era == m.store.era {
		update.records = m.store.log[h.next:]
	} else {
		update.full = true
		last := make(map[model.EndpointName]port.ListRecord)
		for _, rec := range m.store.log {
			last[rec.Name] = rec
		}
		for _, rec := range last {
			if !rec.Removed {
				update.records = append(update.records, rec)
			}
		}
	}
	update.asOf = m.now
	h.synced, h.next, h.era = true, len(m.store.log), m.store.era
	return update
}

// readNow lets a host read the store, if the store answers this host. A response
// that is still under way arrives first.
func (m *fleetModel) readNow(h *modelHost) {
	if h.late != nil {
		h.applyListRead(m.now, *h.late)
		h.late = nil
	}
	if h.storeDown {
		h.recordListFailure()
		return
	}
	h.applyListRead(m.now, m.read(h))
}

// readLate lets a host read the store, with a response that arrives later.
func (m *fleetModel) readLate(h *modelHost) {
	if h.late == nil && !h.storeDown {
		update := m.read(h)
		h.late = &update
	}
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
			if d.ListReadFailing {
				h.directory.RecordReadFailure()
			}
			h.receiveListChanges(m.now, d)
			if !h.lacksChanges() && d.ListReadAge < h.directory.Age(m.now) {
				h.directory.RecordStoreRead(m.now.Add(-d.ListReadAge), m.now.Add(-d.ListReadAge))
			}
		}
		return
	}
}

// fetchList lets a host fetch the list of another one.
func (m *fleetModel) fetchList(h, from *modelHost) {
	h.adoptList(m.now, from.endpointList(), "peer")
}

// restart replaces a host by one with empty state.
func (m *fleetModel) restart(i int) {
	g := New(Options{Host: model.HostID(fmt.Sprint("h", i)), Domain: "north", Log: &log.Logger{Handler: discard.New()}})
	h := m.hosts[i]
	*h = modelHost{
		control: g.control, reading: h.reading, storeDown: h.storeDown,
		mailbox: make(map[*modelHost]port.LoadDigest), seenDraining: make(map[model.EndpointName]int64),
	}
	for _, other := range m.hosts {
		delete(other.mailbox, h)
	}
}

// check runs after each step. A host that has seen an endpoint drain or end must
// not use the same start of it again, and it must not drop an endpoint that runs.
func (m *fleetModel) check() {
	for _, h := range m.hosts {
		entries := h.listEntries()
		for name, started := range h.seenDraining {
			// An entry whose removal is delayed is in use, too.
			if e, used := h.directory.Lookup(name); used && e.Started == started && !e.Draining {
				m.fail("host %s uses endpoint %s again after its drain", h.gateway.opts.Host, name)
			}
		}
		for name, e := range entries {
			if e.Draining {
				h.seenDraining[name] = e.Started
			}
		}
		for name, e := range h.listed {
			if isListed(h.directory, name) {
				continue
			}
			if m.ended[model.Instance{Name: name, Started: e.Started}] {
				h.seenDraining[name] = e.Started
			} else if !m.lapsed[name] && !e.Draining {
				m.fail("host %s dropped endpoint %s, which runs", h.gateway.opts.Host, name)
			}
		}
		h.listed = entries
	}
}

// settle brings the store back and lets all hosts read and exchange digests
// until nothing changes.
func (m *fleetModel) settle() {
	for range 5 {
		m.advance(3 * time.Second)
		for _, h := range m.hosts {
			h.storeDown = false
			if h.reading {
				m.readNow(h)
			}
		}
		for _, h := range m.hosts {
			m.publish(h)
		}
		for _, h := range m.hosts {
			for len(h.mailbox) > 0 {
				m.deliver(h, false)
			}
			if h.missing.upto.IsAfter(h.nextInList) {
				m.fetchList(h, m.hosts[0])
			}
			h.applyEndpointChanges(m.now, h.directory.Expire(m.now), sourceTimer)
		}
		m.check()
	}
}

// For any order of writes, reads, digests, losses, outages, restarts and
// restorations of the store: no host returns to an endpoint that it has seen
// leave, no host drops an endpoint that runs, and all hosts end with the store's
// list.
func TestListsConvergeUnderAnyInterleaving(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newFleetModel(t, 4)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			m.advance(time.Duration(rapid.IntRange(1, 700).Draw(t, "ms")) * time.Millisecond)
			m.step()
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

// step does one random step.
func (m *fleetModel) step() {
	switch rapid.IntRange(0, 9).Draw(m.t, "step") {
	case 0, 1:
		m.write()
	case 2:
		m.readNow(m.host())
	case 3:
		m.publish(m.host())
	case 4, 5:
		m.deliver(m.host(), rapid.IntRange(0, 3).Draw(m.t, "lost") == 0)
	case 6:
		h := m.host()
		if rapid.Bool().Draw(m.t, "expired") {
			h.synced = false
		} else {
			h.storeDown = !h.storeDown
		}
	case 7:
		m.readLate(m.host())
	case 8:
		m.restore()
	default:
		if rapid.Bool().Draw(m.t, "restart") {
			m.restart(rapid.IntRange(0, len(m.hosts)-1).Draw(m.t, "which"))
		} else if h, from := m.host(), m.host(); h != from {
			m.fetchList(h, from)
		}
	}
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
